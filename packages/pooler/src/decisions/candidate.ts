/** Selects the replica that becomes the next primary. */

import type {EndpointId, LogPosition} from '@lacewingroad/core';
import {isAtLeast} from './positions.js';

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
}

/** What a candidate is checked against when a primary has to be replaced. */
export interface CandidateRequirements {
  /** Position at or after every acknowledged commit; null if unknown. */
  readonly acked: LogPosition | null;
  /** Number of endpoints of the group, in any role. */
  readonly endpoints: number;
  /** Number of replicas that receive a commit before it is acknowledged. */
  readonly syncReplicas: number;
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
  return isEqual ? a.isNear && !b.isNear : isAhead;
}

/**
 * Chooses the replica to promote, or null if none is known to have every
 * acknowledged commit. Each such commit is at its primary and at `syncReplicas`
 * replicas. If the last acknowledged commit is unknown, all endpoints except
 * `syncReplicas` must have reported: the most advanced one then has them all.
 */
export function chooseCandidate(
  candidates: readonly Candidate[],
  requirements: CandidateRequirements,
): Candidate | null {
  const {acked, endpoints, syncReplicas} = requirements;
  if (acked === null && candidates.length < endpoints - syncReplicas) {
    return null;
  }
  const mostAdvanced = candidates.reduce<Candidate | null>(
    (best, candidate) =>
      best === null || !isAtLeast(best.received, candidate.received)
        ? candidate
        : best,
    null,
  );
  const minReceived = acked ?? mostAdvanced?.received ?? null;
  return candidates
    .filter(({received}) => isAtLeast(received, minReceived))
    .reduce<Candidate | null>(
      (best, candidate) =>
        best === null || isBetter(candidate, best) ? candidate : best,
      null,
    );
}
