/**
 * Rules for what the next owner of a group has to know of requested promotions.
 * Load: an owner that loses the store, the primary and its own process at once.
 *
 * A promotion is requested only after the next owner is certain to learn of it:
 * the record in the store names it, or a majority of the deputies have noted it.
 * Too few deputies are left to consent to a takeover without one of that
 * majority. They note the newest term that the owner has used as well. An owner
 * that takes over without enough reports assumes that any endpoint may have been
 * promoted.
 */

import type {EndpointId, HostId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import type {
  GroupLineage,
  PromotionLineage,
  StoredOwnership,
} from '../model/ownership.js';
import {UNKNOWN_ENDPOINT} from '../model/ownership.js';
import {countConsentsNeeded, countPromisesNeeded} from './lease.js';
import {isCopy} from './store_era.js';

/** What is known of an owner's promotions; null if nothing is known. */
export type KnownPromotions = PromotionLineage | null;

/** What a deputy has confirmed to the owner that it noted. */
export interface ConfirmedNote {
  /** When the owner sent it. */
  readonly sentAt: Instant;
  readonly promotions: PromotionLineage;
}

/** The writes that may have replaced a revision of a record. */
interface SentWrites {
  readonly base: number | null;
  readonly firstSentAt: Instant;
}

/**
 * Returns whether the record in the store names an endpoint, whichever write of
 * this revision is executed later. `since` is when its promotion was decided;
 * all later writes name it.
 */
export function isNamedInRecord(
  stored: StoredOwnership,
  pendingWrites: SentWrites | null,
  endpoint: EndpointId,
  since: Instant,
): boolean {
  const {ownership, revision} = stored;
  const isNamed = ownership.lineage?.promoting.includes(endpoint) ?? false;
  const mayBeReplaced =
    pendingWrites?.base === revision && pendingWrites.firstSentAt < since;
  return isNamed && !isCopy(stored) && !mayBeReplaced;
}

/**
 * Returns whether so many deputies of each set have noted an endpoint that none
 * of the sets can consent to a takeover without one of them.
 */
export function isNotedByDeputies(
  deputySets: readonly (readonly HostId[])[],
  notes: ReadonlyMap<HostId, ConfirmedNote>,
  endpoint: EndpointId,
  since: Instant,
): boolean {
  const hasNoted = (host: HostId): boolean => {
    const note = notes.get(host);
    return (
      note !== undefined &&
      note.sentAt >= since &&
      note.promotions.promoting.includes(endpoint)
    );
  };
  return (
    deputySets.length > 0 &&
    deputySets.every(
      deputies =>
        deputies.length > 0 &&
        deputies.filter(hasNoted).length >=
          countPromisesNeeded(deputies.length),
    )
  );
}

/** Returns whether the reports of these deputies name every promotion. */
export function areReportsComplete(
  deputies: readonly HostId[],
  reports: ReadonlyMap<HostId, KnownPromotions>,
): boolean {
  const known = deputies.filter(host => (reports.get(host) ?? null) !== null);
  return (
    deputies.length === 0 ||
    known.length >= countConsentsNeeded(deputies.length)
  );
}

/**
 * Returns the lineage that a claim of a record leaves, with the newest term and
 * the promotions that deputies report of earlier owners.
 */
export function addReportedPromotions(
  lineage: GroupLineage | null,
  reports: ReadonlyMap<HostId, KnownPromotions>,
  areComplete: boolean,
): GroupLineage | null {
  const known = [...reports.values()].filter(report => report !== null);
  const promoting = new Set([
    ...(lineage?.promoting ?? []),
    ...known.flatMap(report => report.promoting),
    ...(areComplete ? [] : [UNKNOWN_ENDPOINT]),
  ]);
  const term = Math.max(
    lineage?.term ?? 0,
    ...known.map(report => report.term),
  );
  return promoting.size === 0 && term === 0
    ? lineage
    : {members: lineage?.members ?? [], term, promoting: [...promoting]};
}
