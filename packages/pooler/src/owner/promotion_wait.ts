/** Reports why a promotion that has begun is not requested yet. */

import type {LogPosition} from '@lacewingroad/core';
import {isAtLeast} from '../decisions/positions.js';
import type {Candidate, CandidateRequirements} from '../decisions/candidate.js';
import type {Member, Pool, WaitReason} from './state.js';

function formatPosition(position: LogPosition | null): string | null {
  return position === null ? null : `${position.term}.${position.index}`;
}

function formatMember(
  pool: Pool,
  {endpoint, startedAt, leftAt}: Member,
): string {
  const state =
    leftAt === null ? 'listed' : `left_${Math.round(pool.now() - leftAt)}_ms`;
  return `${endpoint}@${startedAt}/${state}`;
}

/** Returns why none of the candidates may be promoted. */
export function findWaitReason(
  candidates: readonly Candidate[],
  eligible: readonly Candidate[],
  {acked, reportsNeeded}: CandidateRequirements,
): WaitReason {
  if (candidates.length === 0) {
    return 'no_candidate';
  }
  if (eligible.length === 0) {
    return 'requested_candidate_missing';
  }
  return acked === null && candidates.length < reportsNeeded
    ? 'reports_missing'
    : 'commits_missing';
}

/** Records that a promotion waits, unless it did so for the same reason. */
export function recordWait(
  pool: Pool,
  reason: WaitReason,
  candidates: readonly Candidate[],
  {acked, reportsNeeded}: CandidateRequirements,
): void {
  const {promotion} = pool.read();
  if (promotion === null || promotion.waitReason === reason) {
    return;
  }
  pool.update({promotion: {...promotion, waitReason: reason}});
  const best = candidates.reduce<Candidate | null>(
    (most, candidate) =>
      most !== null && isAtLeast(most.received, candidate.received)
        ? most
        : candidate,
    null,
  );
  pool.cfg.ports.record('warn', 'promotion_waits', {
    group: pool.cfg.group,
    reason,
    promotion: promotion.reason,
    members: pool.members
      .list()
      .map(member => formatMember(pool, member))
      .join(),
    reports: candidates
      .map(({id, received}) => `${id}:${formatPosition(received)}`)
      .join(),
    reports_needed: reportsNeeded,
    acked: formatPosition(acked),
    best: formatPosition(best?.received ?? null),
    generation: pool.cfg.readGeneration(),
  });
}
