/** What a host knows about the record of one group. */

import type {GroupId, HostId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import type {HeldLease} from '../decisions/lease.js';
import type {
  ConfirmedNote,
  KnownPromotions,
} from '../decisions/promotion_knowledge.js';
import type {PromotionLineage, StoredOwnership} from '../model/ownership.js';

/** The writes that may have replaced one revision of a record. */
export interface PendingWrites {
  /** The revision that they replace; null if they create the record. */
  readonly base: number | null;
  /** Send time of the first of them. */
  readonly firstSentAt: Instant;
  readonly lastSentAt: Instant;
}

/** What an owner has told this host, as a deputy, of its promotions. */
export interface PromotionNote {
  readonly generation: number;
  /** Number of the owner's request that said so. */
  readonly ask: number;
  readonly promotions: KnownPromotions;
}

/** A request for a promise that was sent to a deputy. */
export interface SentAsk {
  readonly host: HostId;
  readonly sentAt: Instant;
  readonly promotions: PromotionLineage;
}

/** What the controller knows about a group's record. */
export interface RecordState {
  readonly group: GroupId;
  readonly stored: StoredOwnership | null;
  /** When this revision of the record was first seen. */
  readonly seenAt: Instant;
  readonly promisedUntil: Instant;
  /** The newest revision for which this host consented to a takeover. */
  readonly consentedRevision: number;
  /** Deputies that consented to a takeover of this revision of the record. */
  readonly consents: ReadonlySet<HostId>;
  /** Promotions of the owner that deputies know of, at this revision. */
  readonly reports: ReadonlyMap<HostId, KnownPromotions>;
  /** When these were first asked for; null if they are not awaited. */
  readonly reportsAskedAt: Instant | null;
  readonly note: PromotionNote | null;
  /** What each deputy has noted of this host's promotions as the owner. */
  readonly confirmedNotes: ReadonlyMap<HostId, ConfirmedNote>;
  /** Set while this host is the owner. */
  readonly lease: HeldLease | null;
  /** When this host became the owner. */
  readonly gainedAt: Instant;
  /** When this host, as the owner, knew that the owner before had ended. */
  readonly predecessorEndedAt: Instant;
  /** When the lease was first seen to have expired; null while it is valid. */
  readonly expiredAt: Instant | null;
  /** Whether this host was reported to be unable to act as the owner. */
  readonly isInactive: boolean;
  readonly askedAt: Instant;
  readonly asks: ReadonlyMap<number, SentAsk>;
  readonly writtenAt: Instant;
  readonly isWriting: boolean;
  /** This host's last writes, if one of them may have been executed. */
  readonly pendingWrites: PendingWrites | null;
  /** Hosts that were asked for promises before they become deputies. */
  readonly nextDeputies: readonly HostId[];
  readonly isReleasing: boolean;
}

/** Creates the state of a group whose record is not known. */
export function createRecordState(
  group: GroupId,
  promisedUntil: Instant,
): RecordState {
  return {
    group,
    stored: null,
    seenAt: -Infinity,
    promisedUntil,
    consentedRevision: -Infinity,
    consents: new Set(),
    reports: new Map(),
    reportsAskedAt: null,
    note: null,
    confirmedNotes: new Map(),
    lease: null,
    gainedAt: -Infinity,
    predecessorEndedAt: -Infinity,
    expiredAt: null,
    isInactive: false,
    askedAt: -Infinity,
    asks: new Map(),
    writtenAt: -Infinity,
    isWriting: false,
    pendingWrites: null,
    nextDeputies: [],
    isReleasing: false,
  };
}

/** Adds a write to those that may have replaced the same revision. */
export function addPendingWrite(
  earlier: PendingWrites | null,
  base: number | null,
  sentAt: Instant,
): PendingWrites {
  const isSameBase = earlier !== null && earlier.base === base;
  const firstSentAt = isSameBase ? earlier.firstSentAt : sentAt;
  return {base, firstSentAt, lastSentAt: sentAt};
}
