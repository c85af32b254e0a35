/** Selects the replica that becomes the next primary. */

import type {EndpointId, LogPosition} from '@lacewingroad/core';
import {isAtLeast, latestOf} from './positions.js';

/**
 * A replica that can be promoted, as it reported itself after the primary was
 * lost.
 */
export interface Candidate {
  readonly id: EndpointId;
  readonly received: LogPosition;
  readonly isLeaving: boolean;
  /** Whether its recent failure rate is too high. */
  readonly isFailing: boolean;
  readonly isNear: boolean;
  /** Time that a statement takes there relative to the normal time. */
  readonly factor: number;
}

/** What a candidate is checked against when a primary has to be replaced. */
export interface CandidateRequirements {
  /**
   * Position at or after every acknowledged commit; null if unknown. No replica
   * may have it: it covers commits that were on their way to the replicas.
   */
  readonly acked: LogPosition | null;
  /** Position at or before the newest acknowledged commit; null if unknown. */
  readonly surelyAcked: LogPosition | null;
  /** Number of logs of which one has every acknowledged commit. */
  readonly reportsNeeded: number;
}

/**
 * Returns the class of a speed factor; the factors of a class differ by less
 * than two, which is too little to prefer one to the nearer endpoint.
 */
function classifySpeed({factor}: Candidate): number {
  return Math.round(Math.log2(factor));
}

function isBetter(a: Candidate, b: Candidate): boolean {
  if (a.isLeaving !== b.isLeaving) {
    return !a.isLeaving;
  }
  if (a.isFailing !== b.isFailing) {
    return !a.isFailing;
  }
  const isAhead = isAtLeast(a.received, b.received);
  const isEqual = isAhead && isAtLeast(b.received, a.received);
  if (!isEqual) {
    return isAhead;
  }
  const speedOrder = classifySpeed(a) - classifySpeed(b);
  return speedOrder === 0 ? a.isNear && !b.isNear : speedOrder < 0;
}

function findMostAdvanced(reports: readonly Candidate[]): LogPosition | null {
  return reports.reduce<LogPosition | null>(
    (newest, {received}) => latestOf(newest, received),
    null,
  );
}

/**
 * Returns the position that a log must have to be known to hold every
 * acknowledged commit, or null if that cannot be known. The most advanced of
 * `reportsNeeded` logs has them all.
 */
function findRequiredLog(
  reports: readonly Candidate[],
  {acked, surelyAcked, reportsNeeded}: CandidateRequirements,
): LogPosition | null {
  if (reports.length < reportsNeeded) {
    return acked;
  }
  const newest = findMostAdvanced(reports);
  const isShort = acked === null || !isAtLeast(newest, acked);
  return isShort ? latestOf(newest, surelyAcked) : acked;
}

/**
 * Chooses the replica to promote, or null if none is known to have every
 * acknowledged commit. Only `eligible` ones are chosen; all reports count.
 */
export function chooseCandidate(
  reports: readonly Candidate[],
  requirements: CandidateRequirements,
  eligible: readonly Candidate[] = reports,
): Candidate | null {
  const required = findRequiredLog(reports, requirements);
  if (required === null) {
    return null;
  }
  return eligible
    .filter(({received}) => isAtLeast(received, required))
    .reduce<Candidate | null>(
      (best, candidate) =>
        best === null || isBetter(candidate, best) ? candidate : best,
      null,
    );
}
