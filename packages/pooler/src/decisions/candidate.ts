/** Which endpoint becomes the next primary. */

import type {EndpointId, LogPosition} from '@lacewingroad/core';
import {isAtLeast} from './positions.js';

/** A replica that could lead, by what it stated after the primary was lost. */
export interface Candidate {
  readonly id: EndpointId;
  readonly received: LogPosition;
  readonly isLeaving: boolean;
  /** Fails much of what it runs. */
  readonly isFailing: boolean;
  readonly isNear: boolean;
}

/** What is known when a primary has to be replaced. */
export interface CandidateNeed {
  /** Every acknowledged commit is at or before it; null where unknown. */
  readonly acked: LogPosition | null;
  /** Endpoints of the group, whatever their role. */
  readonly endpoints: number;
  /** Replicas that have received a commit before it is acknowledged. */
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
  const isLevel = isAhead && isAtLeast(b.received, a.received);
  return isLevel ? a.isNear && !b.isNear : isAhead;
}

/**
 * Chooses the replica to promote, or null where none is known to have every
 * acknowledged commit. Such a commit stands at the primary that took it and at
 * `syncReplicas` others: without knowledge of what was acknowledged, all
 * endpoints but as many must be heard, and the furthest has everything.
 */
export function chooseCandidate(
  candidates: readonly Candidate[],
  need: CandidateNeed,
): Candidate | null {
  const {acked, endpoints, syncReplicas} = need;
  if (acked === null && candidates.length < endpoints - syncReplicas) {
    return null;
  }
  const furthest = candidates.reduce<Candidate | null>(
    (best, candidate) =>
      best === null || !isAtLeast(best.received, candidate.received)
        ? candidate
        : best,
    null,
  );
  const floor = acked ?? furthest?.received ?? null;
  return candidates
    .filter(({received}) => isAtLeast(received, floor))
    .reduce<Candidate | null>(
      (best, candidate) =>
        best === null || isBetter(candidate, best) ? candidate : best,
      null,
    );
}
