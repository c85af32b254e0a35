/** Determines the log position that an endpoint must have to serve a read. */

import {latestPosition} from '@lacewingroad/core';
import type {LogPosition} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import type {Consistency} from '../model/directory.js';

/** An acknowledged commit. */
export interface AckedCommit {
  readonly position: LogPosition;
  readonly ackedAt: Instant;
}

/** How recent the data of a read has to be. */
export interface FreshnessRequirements {
  readonly consistency: Consistency;
  readonly maxStalenessMs: number;
  /** The session's newest acknowledged commit, or null. */
  readonly position: LogPosition | null;
  readonly receivedAt: Instant;
}

/**
 * Reduction of the allowed staleness, in ms, for the time between a caller's
 * first byte and the arrival at the pool. A request that takes longer has
 * waited in its entry host's queue, where a separate deadline applies.
 */
export const STALENESS_MARGIN_MS = 400;

/** Returns the later of two positions, where null means no position. */
export function latestOf(
  a: LogPosition | null,
  b: LogPosition | null,
): LogPosition | null {
  if (a === null || b === null) {
    return a ?? b;
  }
  return latestPosition(a, b);
}

/**
 * Returns whether a log at `position` has `required`; terms compare before
 * indexes.
 */
export function isAtLeast(
  position: LogPosition | null,
  required: LogPosition | null,
): boolean {
  if (required === null) {
    return true;
  }
  if (position === null) {
    return false;
  }
  return position.term !== required.term
    ? position.term > required.term
    : position.index >= required.index;
}

/**
 * Returns a position that covers every acknowledged commit, or null if the
 * reports are too few. Serves reads after the loss of an owner and its primary
 * together, while the next primary is chosen and promoted.
 */
export function findCoveringPosition(
  received: readonly LogPosition[],
  reportsNeeded: number,
): LogPosition | null {
  return received.length < reportsNeeded
    ? null
    : received.reduce<LogPosition | null>(latestOf, null);
}

/** Returns the newest commit acknowledged at or before an instant, or null. */
function findNewestAckedBy(
  commits: readonly AckedCommit[],
  instant: Instant,
): LogPosition | null {
  let low = 0;
  let high = commits.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (commits[middle]!.ackedAt <= instant) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return commits[low - 1]?.position ?? null;
}

/**
 * Returns the position that a read requires. `base` covers every commit
 * acknowledged before the first of `commits`.
 */
export function findRequiredPosition(
  freshness: FreshnessRequirements,
  base: LogPosition | null,
  commits: readonly AckedCommit[],
): LogPosition | null {
  const {consistency, maxStalenessMs, position, receivedAt} = freshness;
  if (consistency === 'strict') {
    return latestOf(base, commits.at(-1)?.position ?? null);
  }
  const allowedMs = Math.max(0, maxStalenessMs - STALENESS_MARGIN_MS);
  const byAge = latestOf(
    base,
    findNewestAckedBy(commits, receivedAt - allowedMs),
  );
  return consistency === 'session' ? latestOf(byAge, position) : byAge;
}
