/** Tracks acknowledged commits and what reads must see of them. */

import type {LogPosition} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import type {ReadRequirements} from '../decisions/placement.js';
import {
  findCoveringPosition,
  findRequiredPosition,
  isAtLeast,
  latestOf,
} from '../decisions/positions.js';
import {COMMIT_HISTORY_MS} from './limits.js';
import {countReportsNeeded, coverEndedMembers} from './members.js';
import type {Job, Pool} from './state.js';

/** Returns a position at or after every acknowledged commit; null if unknown. */
export function getAckedUpperBound(pool: Pool): LogPosition | null {
  const {base, commits} = pool.read();
  return latestOf(base, commits.at(-1)?.position ?? null);
}

/** Returns how many replicas receive a commit before it is acknowledged. */
export function getSyncReplicas(pool: Pool): number {
  const {group, readTable} = pool.cfg;
  return readTable()?.groups.get(group)?.syncReplicas ?? 0;
}

/**
 * Lets a new owner run reads before it knows a primary, as soon as the newest
 * position reported so far covers every acknowledged commit.
 */
export function learnBase(pool: Pool): void {
  if (pool.read().base !== null) {
    return;
  }
  const reporters = pool.endpoints
    .list()
    .filter(({status, hasLostLog}) => status !== null && !hasLostLog);
  const base = findCoveringPosition(
    reporters.map(({status}) => status!.received),
    countReportsNeeded(
      pool,
      reporters.map(({entry}) => entry.id),
    ),
  );
  if (base === null) {
    return;
  }
  pool.update({base});
  pool.cfg.ports.record('info', 'reads_started', {
    group: pool.cfg.group,
    term: base.term,
    index: base.index,
    generation: pool.cfg.readGeneration(),
  });
}

/** Records a commit that is about to be acknowledged. */
export function recordAckedCommit(
  pool: Pool,
  {sentAfter, sentAt}: Job,
  position: LogPosition | null,
): void {
  const now = pool.now();
  if (sentAfter !== null) {
    const first = {term: sentAfter.term, index: sentAfter.index + 1};
    pool.update({surelyAcked: latestOf(pool.read().surelyAcked, first)});
  }
  const {base, commits} = pool.read();
  const latest = latestOf(getAckedUpperBound(pool), position);
  if (latest === null) {
    return;
  }
  if (sentAt !== null && position !== null) {
    coverEndedMembers(pool, sentAt, position);
  }
  const next = [...commits, {position: latest, ackedAt: now}];
  const firstKept = next.findIndex(
    ({ackedAt}) => ackedAt > now - COMMIT_HISTORY_MS,
  );
  const folded = firstKept > 0 ? next[firstKept - 1]!.position : null;
  pool.update({
    base: latestOf(base, folded),
    commits: firstKept > 0 ? next.slice(firstKept) : next,
  });
}

/**
 * Returns when a position was acknowledged, or null if before the kept history.
 */
function findAckedAt(pool: Pool, position: LogPosition | null): Instant | null {
  if (position === null) {
    return null;
  }
  const {commits} = pool.read();
  // Searches backwards: the position is usually among the newest.
  let ackedAt: Instant | null = null;
  for (let i = commits.length - 1; i >= 0; i--) {
    const commit = commits[i]!;
    if (!isAtLeast(commit.position, position)) {
      break;
    }
    ackedAt = commit.ackedAt;
  }
  return ackedAt;
}

/** Returns what a read requires of its endpoint. */
export function findReadRequirements(pool: Pool, job: Job): ReadRequirements {
  const {base, commits} = pool.read();
  const {msg, receivedAt, avoided} = job;
  const required = findRequiredPosition({...msg, receivedAt}, base, commits);
  return {required, requiredSince: findAckedAt(pool, required), avoided};
}
