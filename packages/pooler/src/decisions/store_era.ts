/**
 * Rules for a store that was restored from an older copy. Each restoration
 * raises the store's era by one. Load: an owner that acts while the store falls
 * back to a record of an earlier owner, and claims that were sent before.
 *
 * A revision holds the era of the store that gave it, so revisions never fall.
 * A record holds the era that its writer knew. A record whose era is lower than
 * that of its revision is a copy, or was written by a call that the store
 * executed only after it was restored: somebody else may own the group.
 */

import type {Instant} from '@lacewingroad/runtime';
import type {Ownership, StoredOwnership} from '../model/ownership.js';
import {computeAbandonedTime} from './lease.js';
import type {ObservedRecord} from './lease.js';

/**
 * Revisions in one era: more than Unix time in ms, from which a store may count.
 * 2^11 eras stay below the largest safe integer.
 */
const ERA_SPAN = 2 ** 42;

/** Returns a revision that includes its era. */
export function joinRevision(era: number, storeRevision: number): number {
  return era * ERA_SPAN + storeRevision;
}

/** Returns the era of a revision. */
export function readEra(revision: number): number {
  return Math.floor(revision / ERA_SPAN);
}

/** Returns the revision as the store knows it. */
export function readStoreRevision(revision: number): number {
  return revision % ERA_SPAN;
}

/**
 * Returns the revision of a record that is missing in an era, as the base of
 * the write that creates it.
 */
export function getMissingRevision(era: number): number {
  return joinRevision(era, 0);
}

/** Returns whether a record is known to be missing in its era. */
export function isMissing({revision}: StoredOwnership): boolean {
  return readStoreRevision(revision) === 0;
}

/** Returns the era in which a record was written. */
function getWrittenEra({era}: Ownership): number {
  return era ?? 0;
}

/** Returns whether the store holds a record that was written in this era. */
export function isWrittenIn(
  {ownership, revision}: StoredOwnership,
  era: number,
): boolean {
  return getWrittenEra(ownership) === era && readEra(revision) === era;
}

/** Returns whether a record was written in an earlier era than it is read in. */
export function isCopy({ownership, revision}: StoredOwnership): boolean {
  return getWrittenEra(ownership) < readEra(revision);
}

/** Returns whether `a` was written after `b` or is the same record. */
function isAtLeastAsNew(a: Ownership, b: Ownership): boolean {
  const differences = [
    getWrittenEra(a) - getWrittenEra(b),
    a.generation - b.generation,
    a.renewals - b.renewals,
  ];
  return (differences.find(difference => difference !== 0) ?? 0) >= 0;
}

/**
 * Returns what to keep of a known and a received record; `known` itself if
 * nothing changes. A copy never replaces newer knowledge: only its revision is
 * adopted, so that the next write replaces it. Knowledge that arrives late
 * replaces a copy in turn.
 */
export function mergeRecords(
  known: StoredOwnership | null,
  received: StoredOwnership,
): StoredOwnership {
  if (known === null) {
    return received;
  }
  const isNewer = received.revision > known.revision;
  if (isNewer && !isCopy(received)) {
    return received;
  }
  const keepsKnown = isAtLeastAsNew(known.ownership, received.ownership);
  if (isNewer) {
    return {
      ownership: keepsKnown ? known.ownership : received.ownership,
      revision: received.revision,
    };
  }
  return isCopy(known) && !keepsKnown
    ? {ownership: received.ownership, revision: known.revision}
    : known;
}

/** What a host knows about the era of the store. */
export interface KnownEra {
  readonly era: number;
  /** When this host first saw the era; -Infinity if nothing precedes it. */
  readonly seenAt: Instant;
}

/**
 * Returns the instant from which a host may claim a group whose record has not
 * been written in the present era. Every lease of an earlier era has expired by
 * then, and so has the lease of an owner whose record of this era was replaced
 * by a late write. Neither the named owner nor a host with consents may claim
 * earlier.
 */
export function computeCopyClaimTime(
  observed: ObservedRecord,
  {seenAt}: KnownEra,
): Instant {
  return computeAbandonedTime({
    ...observed,
    seenAt: Math.max(observed.seenAt, seenAt),
  });
}
