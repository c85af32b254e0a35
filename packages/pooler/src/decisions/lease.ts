/**
 * Lease rules: how long the owner of a group's pool may act, and when another
 * host may take over. The ownership record in the store arbitrates: a new owner
 * replaces it by a conditional update. Clocks of different hosts are never
 * compared: an owner counts from when it sent a request, a deputy from when the
 * request arrived, which is later.
 *
 * - A deputy promises not to consent to a takeover for PROMISE_MS. After the
 *   promise has expired it may consent for one revision of the record, and then
 *   makes no more promises for that revision.
 * - A host takes over once the record has not changed for RECORD_LEASE_MS and
 *   enough deputies consent, or once it has not changed for
 *   ABANDONED_RECORD_MS.
 *
 * The owner may therefore act if it renewed the record within RECORD_LEASE_MS,
 * or if it renewed it within ABANDONED_RECORD_MS and so many deputies promise
 * that too few are left to consent. The second case does not need the store, so
 * an owner survives a store outage combined with the loss of one deputy.
 */

import type {HostId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';

/** Duration of a deputy's promise, in ms: limits the time without an owner. */
export const PROMISE_MS = 1_200;
/** Time for which a renewed record prevents any takeover, in ms. */
export const RECORD_LEASE_MS = 1_500;
/**
 * Age from which a record may be taken over without consent, in ms: the longest
 * store outage that an owner survives.
 */
export const ABANDONED_RECORD_MS = 15_000;
/** Margin by which an owner shortens its lease for clock drift, in ms. */
export const DRIFT_MARGIN_MS = 50;
/** Additional delay of each candidate after the one ranked before it, in ms. */
const CANDIDATE_STAGGER_MS = 300;
/** Rank from which all hosts wait equally long before requesting consent. */
const LAST_STAGGERED_RANK = 8;

/** Returns how many deputies have to promise: a majority. */
export function countPromisesNeeded(deputies: number): number {
  return deputies === 0 ? 0 : Math.floor(deputies / 2) + 1;
}

/**
 * Returns how many consents leave too few deputies for a majority of promises.
 */
export function countConsentsNeeded(deputies: number): number {
  return deputies - countPromisesNeeded(deputies) + 1;
}

/** The state of a lease at its owner. */
export interface HeldLease {
  /** Send time of the last successful write of the record. */
  readonly renewedAt: Instant;
  /** Send time of the last granted promise request, by deputy. */
  readonly grants: ReadonlyMap<HostId, Instant>;
  /**
   * The deputies. While a write that changes them is unconfirmed there are two
   * sets, and each needs its own majority of promises.
   */
  readonly deputySets: readonly (readonly HostId[])[];
}

/**
 * Corrects a lease after the process was suspended: the monotonic clock
 * stopped, while the lease and its promises continued to expire.
 */
export function subtractSuspendedTime(
  lease: HeldLease,
  suspendedMs: number,
): HeldLease {
  const {renewedAt, grants} = lease;
  return {
    ...lease,
    renewedAt: renewedAt - suspendedMs,
    grants: new Map([...grants].map(([host, at]) => [host, at - suspendedMs])),
  };
}

/**
 * Returns the send time of the oldest promise in the newest majority of a set.
 */
function findQuorumTime(
  deputies: readonly HostId[],
  grants: ReadonlyMap<HostId, Instant>,
): Instant {
  const needed = countPromisesNeeded(deputies.length);
  const newestFirst = deputies
    .map(host => grants.get(host) ?? -Infinity)
    .sort((a, b) => b - a);
  return needed === 0 ? Infinity : newestFirst[needed - 1]!;
}

/** Returns the send time of the oldest promise that the lease depends on. */
export function computePromiseQuorumTime({
  deputySets,
  grants,
}: HeldLease): Instant {
  return Math.min(
    ...deputySets.map(deputies => findQuorumTime(deputies, grants)),
  );
}

/** Returns the instant at which the lease expires. */
export function computeLeaseExpiry(lease: HeldLease): Instant {
  const {renewedAt} = lease;
  const byPromises = Math.min(
    renewedAt + ABANDONED_RECORD_MS,
    computePromiseQuorumTime(lease) + PROMISE_MS,
  );
  return Math.max(renewedAt + RECORD_LEASE_MS, byPromises) - DRIFT_MARGIN_MS;
}

/** Returns whether the owner may act now. */
export function isLeaseValid(lease: HeldLease, now: Instant): boolean {
  return now < computeLeaseExpiry(lease);
}

/** What a host that is not the owner knows about an ownership record. */
export interface ObservedRecord {
  /** When this host first saw the current revision of the record. */
  readonly seenAt: Instant;
  /** End of this host's own promise not to consent. */
  readonly promisedUntil: Instant;
  /** Rank among the hosts that may take over, from 0; deputies come first. */
  readonly rank: number;
}

/** Returns the instant from which a host may request consent to a takeover. */
export function computeTakeoverTime(record: ObservedRecord): Instant {
  const {seenAt, promisedUntil, rank} = record;
  const staggerSteps = Math.min(rank, LAST_STAGGERED_RANK);
  return (
    Math.max(seenAt + RECORD_LEASE_MS, promisedUntil) +
    staggerSteps * CANDIDATE_STAGGER_MS
  );
}

/** Returns the instant from which a host may take over without consent. */
export function computeAbandonedTime({seenAt, rank}: ObservedRecord): Instant {
  return seenAt + ABANDONED_RECORD_MS + rank * CANDIDATE_STAGGER_MS;
}
