/** Replaces a primary that is down, leaving, or cannot replicate. */

import {chooseCandidate} from '../decisions/candidate.js';
import type {Candidate} from '../decisions/candidate.js';
import {isCommitting} from '../decisions/effects.js';
import {isFailing} from '../decisions/fault_level.js';
import {readAcked} from './acks.js';
import {closeTx} from './jobs.js';
import {
  FAILING_MS,
  FAILING_PAUSE_MS,
  PLANNED_DRAIN_MS,
  PRIMARY_DOWN_MS,
  PROMOTE_RETRY_MS,
  PROMOTE_TIMEOUT_MS,
  REJECTED_CANDIDATE_MS,
  WRITES_STUCK_MS,
} from './limits.js';
import {endWorkAt} from './status.js';
import type {EndpointState, Pool, Promotion} from './state.js';

/** Tells whether writes hang at a primary that still answers. */
function areWritesStuck(pool: Pool): boolean {
  const now = pool.now();
  const {primary} = pool.read();
  const wroteAt = pool.endpoints.get(primary?.endpoint ?? '')?.wroteAt ?? null;
  return pool.jobs
    .list()
    .some(
      ({msg, sentAt, endpoint}) =>
        isCommitting(msg) &&
        endpoint === primary?.endpoint &&
        sentAt !== null &&
        now - sentAt >= WRITES_STUCK_MS &&
        (wroteAt === null || wroteAt < sentAt),
    );
}

/**
 * Tells whether the primary has failed much of what it ran for long enough. A
 * change takes about a second of writes, and one that did not help is not
 * tried again at once.
 */
function isFailingForLong(pool: Pool, state: EndpointState): boolean {
  const now = pool.now();
  const {faults, failingSince} = state;
  return (
    failingSince !== null &&
    isFailing(faults, now) &&
    now - failingSince >= FAILING_MS &&
    now - pool.read().adoptedAt >= FAILING_PAUSE_MS
  );
}

/** Returns why the primary has to be replaced, or null. */
function findReason(pool: Pool): Promotion['reason'] | null {
  const {primary} = pool.read();
  if (primary === null) {
    return isWithoutPrimary(pool) ? 'no_primary' : null;
  }
  const state = pool.endpoints.get(primary.endpoint);
  if (state === undefined) {
    return 'down';
  }
  const {downSince, entry} = state;
  if (downSince !== null && pool.now() - downSince >= PRIMARY_DOWN_MS) {
    return 'down';
  }
  if (entry.isLeaving) {
    return 'leaving';
  }
  if (isFailingForLong(pool, state)) {
    return 'failing';
  }
  return areWritesStuck(pool) ? 'stuck' : null;
}

/** Time for a primary to show itself to a new owner, in ms. */
const PRIMARY_SEARCH_MS = 1_500;

/** Tells whether a new owner finds nobody that leads. */
function isWithoutPrimary(pool: Pool): boolean {
  const states = pool.endpoints.list();
  const isOld = pool.now() - pool.read().openedAt >= PRIMARY_SEARCH_MS;
  const top = Math.max(0, ...states.map(({status}) => status?.term ?? 0));
  const hasLeader = states.some(
    ({status, downSince}) =>
      status?.role === 'primary' && status.term >= top && downSince === null,
  );
  return isOld && states.some(({status}) => status !== null) && !hasLeader;
}

function setPromotion(pool: Pool, part: Partial<Promotion>): void {
  const {promotion} = pool.read();
  if (promotion !== null) {
    pool.update({promotion: {...promotion, ...part}});
  }
}

/** Reasons for which the primary still runs what it has. */
const PLANNED_REASONS: ReadonlySet<Promotion['reason']> = new Set([
  'failing',
  'leaving',
]);

/** Begins to replace the primary. */
function beginPromotion(pool: Pool, reason: Promotion['reason']): void {
  const now = pool.now();
  const isPlanned = PLANNED_REASONS.has(reason);
  const {primary} = pool.read();
  pool.update({
    promotion: {
      reason,
      phase: isPlanned ? 'draining' : 'choosing',
      startedAt: now,
      drainBy: now + PLANNED_DRAIN_MS,
      candidate: null,
      nextAt: now,
    },
  });
  pool.cfg.ports.record('warn', 'promotion_begun', {
    group: pool.cfg.group,
    reason,
    primary: primary?.endpoint ?? null,
    term: primary?.term ?? null,
    generation: pool.cfg.readGeneration(),
  });
  if (!isPlanned && primary !== null) {
    endWorkAt(pool, primary.endpoint);
  }
}

/** Lets open transactions end, and then goes on. */
function drainPrimary(pool: Pool, promotion: Promotion): void {
  const {primary} = pool.read();
  const txs = pool.txs
    .list()
    .filter(tx => tx.endpoint === primary?.endpoint && !tx.readOnly);
  const isRunning = pool.jobs
    .list()
    .some(
      ({phase, endpoint}) =>
        phase === 'running' && endpoint === primary?.endpoint,
    );
  if ((txs.length > 0 || isRunning) && pool.now() < promotion.drainBy) {
    return;
  }
  txs.forEach(tx => closeTx(pool, tx, `the primary is ${promotion.reason}`));
  if (primary !== null) {
    endWorkAt(pool, primary.endpoint);
  }
  setPromotion(pool, {phase: 'choosing', startedAt: pool.now()});
}

/** Lists replicas that stated their position since the promotion began. */
function listCandidates(
  pool: Pool,
  promotion: Promotion,
): readonly Candidate[] {
  const now = pool.now();
  return pool.endpoints
    .list()
    .filter(
      ({status, statusAskedAt, downSince, rejectedUntil, missingSince}) =>
        status?.role === 'replica' &&
        downSince === null &&
        missingSince === null &&
        (statusAskedAt ?? -1) >= promotion.startedAt &&
        now >= rejectedUntil,
    )
    .map(({entry, status, faults}) => ({
      id: entry.id,
      received: status!.received,
      isLeaving: entry.isLeaving,
      isFailing: isFailing(faults, now),
      isNear: entry.dataCentre === pool.cfg.dataCentre,
    }));
}

function readSyncReplicas(pool: Pool): number {
  const {group, readTable} = pool.cfg;
  return readTable()?.groups.get(group)?.syncReplicas ?? 0;
}

/** Names the next primary, if one is known to have everything. */
function choose(pool: Pool, promotion: Promotion): void {
  const state = pool.read();
  const current = state.primary;
  const isBack =
    (promotion.reason === 'down' || promotion.reason === 'no_primary') &&
    current !== null &&
    pool.endpoints.get(current.endpoint)?.downSince === null;
  if (isBack) {
    pool.update({promotion: null});
    pool.cfg.ports.record('info', 'promotion_dropped', {
      group: pool.cfg.group,
      reason: 'the primary answers again',
    });
    return;
  }
  const acked = current === null ? null : readAcked(pool);
  const candidate = chooseCandidate(listCandidates(pool, promotion), {
    acked,
    endpoints: pool.endpoints.count(),
    syncReplicas: readSyncReplicas(pool),
  });
  if (candidate !== null) {
    call(pool, candidate);
  }
}

/** Calls the platform for a new primary. */
function call(pool: Pool, candidate: Candidate): void {
  const {group, readGeneration, ports} = pool.cfg;
  const startedAt = pool.now();
  setPromotion(pool, {phase: 'calling', candidate: candidate.id});
  ports.record('warn', 'promotion_called', {
    group,
    endpoint: candidate.id,
    term: candidate.received.term,
    index: candidate.received.index,
    acked: readAcked(pool)?.index ?? null,
    generation: readGeneration(),
  });
  const done = ports.promote({
    group,
    endpoint: candidate.id,
    generation: readGeneration(),
  });
  void done.then(result => {
    const {promotion} = pool.read();
    ports.record('info', 'promotion_answered', {
      group,
      endpoint: candidate.id,
      outcome: result.type,
      detail: 'detail' in result ? result.detail : null,
      took_ms: Math.round(pool.now() - startedAt),
    });
    if (promotion?.phase !== 'calling') {
      return;
    }
    if (result.type === 'accepted') {
      setPromotion(pool, {
        phase: 'awaiting',
        nextAt: pool.now() + PROMOTE_TIMEOUT_MS,
      });
      return;
    }
    if (result.type === 'rejected') {
      pool.endpoints.update(candidate.id, {
        rejectedUntil: pool.now() + REJECTED_CANDIDATE_MS,
      });
    }
    setPromotion(pool, {
      phase: 'choosing',
      nextAt: pool.now() + PROMOTE_RETRY_MS,
    });
  });
}

type StepHandler = (pool: Pool, promotion: Promotion) => void;

const STEPS: Readonly<Record<Promotion['phase'], StepHandler>> = {
  draining: drainPrimary,
  choosing: (pool, promotion) => {
    if (pool.now() >= promotion.nextAt) {
      choose(pool, promotion);
    }
  },
  calling: () => undefined,
  awaiting: (pool, promotion) => {
    if (pool.now() >= promotion.nextAt) {
      setPromotion(pool, {phase: 'choosing', startedAt: pool.now()});
    }
  },
};

/** Begins or goes on with a change of primary; the owner alone does so. */
export function reviewPrimary(pool: Pool): void {
  const {promotion, isHandingOver} = pool.read();
  if (!pool.cfg.isLeaseValid()) {
    return;
  }
  if (promotion !== null) {
    STEPS[promotion.phase](pool, promotion);
    return;
  }
  const reason = isHandingOver ? null : findReason(pool);
  if (reason !== null) {
    beginPromotion(pool, reason);
  }
}
