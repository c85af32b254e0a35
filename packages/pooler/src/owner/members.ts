/**
 * Tracks the endpoint runs whose logs may hold acknowledged commits, listed or
 * not. A new owner knows every acknowledged commit once no more than
 * `syncReplicas` endpoints have such a run that has not reported.
 */

import type {EndpointId, LogPosition} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import type {EndpointRun, GroupLineage} from '../model/ownership.js';
import {isAtLeast, latestOf} from '../decisions/positions.js';
import {getAckedUpperBound, getSyncReplicas} from './acks.js';
import type {Member, Pool} from './state.js';

function getKey({endpoint, startedAt}: EndpointRun): string {
  return `${startedAt} ${endpoint}`;
}

/** Adds the members that earlier owners knew, as not listed. */
export function addKnownMembers(pool: Pool): void {
  const leftAt = pool.now();
  for (const run of pool.cfg.lineage?.members ?? []) {
    const ackedBefore = run.ackedBefore ?? null;
    const endedAt = ackedBefore === null ? null : leftAt;
    pool.members.put(getKey(run), {...run, leftAt, endedAt, ackedBefore});
  }
}

/**
 * Returns whether a member that has left may be forgotten: enough others have
 * all commits that were acknowledged before it left.
 */
function isReplaced(pool: Pool, {ackedBefore}: Member): boolean {
  const {primary, promotion} = pool.read();
  if (primary === null || promotion !== null || ackedBefore === null) {
    return false;
  }
  const holders = pool.endpoints
    .list()
    .filter(
      ({status, downSince, missingSince}) =>
        status?.term === primary.term &&
        isAtLeast(status.received, ackedBefore) &&
        downSince === null &&
        missingSince === null,
    );
  return holders.length > getSyncReplicas(pool);
}

/** Returns whether a newer run of the same endpoint is listed. */
function hasEnded(pool: Pool, {endpoint, startedAt}: Member): boolean {
  const listed = pool.endpoints.get(endpoint)?.entry.startedAt ?? 0;
  return startedAt > 0 && listed > startedAt;
}

/**
 * Returns a position that covers the commits that a run has confirmed, or null.
 * For one that has ended, the primary must have reported it since: a commit
 * that it confirmed may have been on its way to this host when it ended.
 */
function findAckedBefore(
  pool: Pool,
  endedAt: Member['endedAt'],
): Member['ackedBefore'] {
  const {primary} = pool.read();
  const acked = primary === null ? null : getAckedUpperBound(pool);
  if (primary === null || endedAt === null) {
    return acked;
  }
  const state = pool.endpoints.get(primary.endpoint);
  const isReported =
    state?.status?.role === 'primary' &&
    state.status.term === primary.term &&
    (state.statusRequestedAt ?? -Infinity) >= endedAt;
  return isReported ? latestOf(acked, state.status.received) : null;
}

/**
 * Notes the position of a commit for the runs that had ended before it was
 * sent: it follows each commit that they confirmed.
 */
export function coverEndedMembers(
  pool: Pool,
  sentAt: Instant,
  position: LogPosition,
): void {
  for (const member of pool.members.list()) {
    const {endedAt, ackedBefore} = member;
    if (endedAt !== null && endedAt <= sentAt && ackedBefore === null) {
      pool.members.update(getKey(member), {ackedBefore: position});
    }
  }
}

/** Adds listed endpoints, and forgets members that left and were replaced. */
export function updateMembers(pool: Pool): void {
  const listed = new Set<string>();
  for (const {entry} of pool.endpoints.list()) {
    const run = {endpoint: entry.id, startedAt: entry.startedAt};
    const key = getKey(run);
    listed.add(key);
    if (pool.members.get(key)?.leftAt !== null) {
      pool.members.put(key, {
        ...run,
        leftAt: null,
        endedAt: null,
        ackedBefore: null,
      });
    }
  }
  for (const member of pool.members.list()) {
    const key = getKey(member);
    if (listed.has(key)) {
      continue;
    }
    if (isReplaced(pool, member)) {
      pool.members.remove(key);
      continue;
    }
    const leftAt = member.leftAt ?? pool.now();
    const endedAt =
      member.endedAt ?? (hasEnded(pool, member) ? pool.now() : null);
    // An endpoint whose entry had only expired may have confirmed more since.
    const known = endedAt === member.endedAt ? member.ackedBefore : null;
    const ackedBefore = known ?? findAckedBefore(pool, endedAt);
    pool.members.update(key, {leftAt, endedAt, ackedBefore});
  }
}

/** Removes the members that left at or before an instant; returns them. */
export function removeMembersLeftBy(
  pool: Pool,
  instant: number,
): readonly Member[] {
  const left = pool.members
    .list()
    .filter(({leftAt}) => leftAt !== null && leftAt <= instant);
  left.forEach(member => pool.members.remove(getKey(member)));
  return left;
}

/**
 * Returns whether a run has ended and a reported log has every acknowledged
 * commit that it confirmed. No later commit is at that run.
 */
function isCovered(
  pool: Pool,
  {endedAt, ackedBefore}: Member,
  reporters: readonly EndpointId[],
): boolean {
  return (
    endedAt !== null &&
    ackedBefore !== null &&
    reporters.some(id => {
      const received = pool.endpoints.get(id)?.status?.received;
      return received !== undefined && isAtLeast(received, ackedBefore);
    })
  );
}

/**
 * Returns how many endpoints have to report their logs, given those that have,
 * until one of them has every acknowledged commit. Each such commit was at its
 * primary and at `syncReplicas` replicas, all at once, so that the runs of one
 * endpoint count as one place that it may be at.
 */
export function countReportsNeeded(
  pool: Pool,
  reporters: readonly EndpointId[],
): number {
  const syncReplicas = getSyncReplicas(pool);
  if (syncReplicas === 0) {
    return Math.max(1, pool.endpoints.count());
  }
  const silent = pool.members
    .list()
    .filter(
      member =>
        !isCovered(pool, member, reporters) &&
        (member.leftAt !== null || !reporters.includes(member.endpoint)),
    );
  const places = new Set(silent.map(({endpoint}) => endpoint));
  const missing = Math.max(0, places.size - syncReplicas);
  const needed = Math.max(1, reporters.length + missing);
  const {term = 0, members = []} = pool.cfg.lineage ?? {};
  // Without a record of an owner that knew a primary, others may have left
  // unnoticed.
  return term === 0 || members.length === 0
    ? Math.max(needed, syncReplicas + 1)
    : needed;
}

/** Returns what the next owner has to know; null before a primary is known. */
export function readLineage(pool: Pool): GroupLineage | null {
  const known = pool.cfg.lineage;
  const {primary, calls, suspects} = pool.read();
  if (known === null && primary === null && calls.length === 0) {
    return null;
  }
  return {
    members: pool.members
      .list()
      .map(({endpoint, startedAt, endedAt, ackedBefore}) => ({
        endpoint,
        startedAt,
        ...(endedAt !== null && ackedBefore !== null && {ackedBefore}),
      })),
    term: Math.max(known?.term ?? 0, primary?.term ?? 0),
    promoting: [...new Set([...suspects, ...calls.map(call => call.endpoint)])],
  };
}
