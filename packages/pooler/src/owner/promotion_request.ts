/** Requests the promotion of an endpoint from the platform. */

import type {EndpointId} from '@lacewingroad/core';
import type {Candidate} from '../decisions/candidate.js';
import type {PromoteResult} from '../ports.js';
import {getAckedUpperBound} from './acks.js';
import {
  CONFIRM_PRIMARY_MS,
  PROMOTE_RETRY_MS,
  PROMOTE_TIMEOUT_MS,
  REJECTED_CANDIDATE_MS,
} from './limits.js';
import {awaitEffect, closeCall, openCall} from './promotion_calls.js';
import {updatePromotion} from './state.js';
import type {Pool} from './state.js';

/** Results of requests that take effect, now or later. */
const MAY_TAKE_EFFECT: ReadonlySet<PromoteResult['type']> = new Set([
  'accepted',
  'unknown',
]);

/**
 * Time for a promotion to be kept for the next owner before the candidate is
 * chosen again, in ms: an interval between two requests to the deputies.
 */
const KEEP_TIMEOUT_MS = 300;

/**
 * Requests the promotion of a candidate from the platform, once the next owner
 * is certain to learn of it. Otherwise that owner would let the old primary
 * acknowledge commits.
 */
export async function requestPromotion(
  pool: Pool,
  candidate: Candidate,
): Promise<void> {
  const {group, readGeneration, ports} = pool.cfg;
  const startedAt = pool.now();
  const generation = readGeneration();
  const controller = new AbortController();
  const isCurrent = pool.read().primary?.endpoint === candidate.id;
  const effectMs = isCurrent ? CONFIRM_PRIMARY_MS : PROMOTE_TIMEOUT_MS;
  updatePromotion(pool, {
    phase: 'calling',
    candidate: candidate.id,
    waitReason: null,
  });
  const call = openCall(pool, candidate.id, () => controller.abort());
  const isWanted = (): boolean => pool.read().promotion?.phase === 'calling';
  const maySend = (): boolean =>
    pool.cfg.isLeaseValid() &&
    readGeneration() === generation &&
    isWanted() &&
    !pool.read().isClosed;
  const keeper = await pool.cfg.keepPromotion(
    group,
    candidate.id,
    startedAt + KEEP_TIMEOUT_MS,
  );
  if (keeper === null) {
    ports.record('warn', 'promotion_not_kept', {
      group,
      endpoint: candidate.id,
      generation,
      took_ms: Math.round(pool.now() - startedAt),
    });
    closeCall(pool, call);
    if (isWanted()) {
      updatePromotion(pool, {phase: 'choosing', nextAt: pool.now()});
    }
    return;
  }
  ports.record('warn', 'promotion_called', {
    group,
    endpoint: candidate.id,
    term: candidate.received.term,
    index: candidate.received.index,
    acked: getAckedUpperBound(pool)?.index ?? null,
    kept_by: keeper,
    kept_ms: Math.round(pool.now() - startedAt),
    generation: readGeneration(),
  });
  const result = await ports.promote({
    group,
    endpoint: candidate.id,
    generation,
    maySend,
    signal: controller.signal,
  });
  ports.record('info', 'promotion_answered', {
    group,
    endpoint: candidate.id,
    outcome: result.type,
    detail: 'detail' in result ? result.detail : null,
    took_ms: Math.round(pool.now() - startedAt),
  });
  if (MAY_TAKE_EFFECT.has(result.type)) {
    awaitEffect(pool, call, effectMs);
    noteCalled(pool, candidate.id, result.type);
  } else {
    closeCall(pool, call);
  }
  if (result.type === 'rejected') {
    pool.endpoints.update(candidate.id, {
      rejectedUntil: pool.now() + REJECTED_CANDIDATE_MS,
    });
  }
  if (!isWanted()) {
    return;
  }
  const isAccepted = result.type === 'accepted';
  updatePromotion(pool, {
    phase: isAccepted ? 'awaiting' : 'choosing',
    nextAt: pool.now() + (isAccepted ? effectMs : PROMOTE_RETRY_MS),
  });
}

/**
 * Notes an endpoint other than the primary that may have been promoted. A
 * confirmed promotion of the primary replaces all that came before, or changes
 * nothing; one without an answer tells nothing.
 */
function noteCalled(
  pool: Pool,
  endpoint: EndpointId,
  result: PromoteResult['type'],
): void {
  const {primary, suspects} = pool.read();
  if (primary?.endpoint !== endpoint) {
    const earlier = suspects.filter(id => id !== endpoint);
    pool.update({suspects: [...earlier, endpoint]});
    return;
  }
  if (result === 'accepted') {
    pool.update({suspects: []});
  }
}
