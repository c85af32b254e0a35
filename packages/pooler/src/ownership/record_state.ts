/** What a host knows about the record of one group. */

import type {GroupId, HostId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import type {HeldLease} from '../decisions/lease.js';
import type {StoredOwnership} from '../model/ownership.js';

/** The writes that may have replaced one revision of a record. */
export interface PendingWrites {
  /** The revision that they replace; null if they create the record. */
  readonly base: number | null;
  /** Send time of the first of them. */
  readonly firstSentAt: Instant;
  readonly lastSentAt: Instant;
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
  /** Set while this host is the owner. */
  readonly lease: HeldLease | null;
  /** When this host became the owner. */
  readonly gainedAt: Instant;
  /** When the lease was first seen to have expired; null while it is valid. */
  readonly expiredAt: Instant | null;
  /** Whether this host was reported to be unable to act as the owner. */
  readonly isInactive: boolean;
  readonly askedAt: Instant;
  readonly asks: ReadonlyMap<number, {host: HostId; sentAt: Instant}>;
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
    lease: null,
    gainedAt: -Infinity,
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
