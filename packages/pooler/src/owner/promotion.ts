/** Replaces a primary that is down, failing, leaving, or cannot replicate. */

import {chooseCandidate} from '../decisions/candidate.js';
import type {Candidate} from '../decisions/candidate.js';
import {areWritesStuck} from '../decisions/stuck_writes.js';
import {isFailing} from '../decisions/fault_level.js';
import {getAckedUpperBound, getSyncReplicas, learnBase} from './acks.js';
import {closeTx} from './jobs.js';
import {
  FAILING_MS,
  GIVE_UP_LEFT_MS,
  FAILING_COOLDOWN_MS,
  DRAIN_TIMEOUT_MS,
  PRIMARY_DOWN_MS,
} from './limits.js';
import {countReportsNeeded, removeMembersLeftBy} from './members.js';
import {
  cancelCalls,
  clearSuspects,
  hasOpenCalls,
  isPrimaryDoubtful,
  mayHavePromoted,
  removeSettledCalls,
} from './promotion_calls.js';
import {requestPromotion} from './promotion_request.js';
import {findWaitReason, recordWait} from './promotion_wait.js';
import {abortWorkAt} from './status.js';
import {updatePromotion} from './state.js';
import type {EndpointState, Pool, Primary, Promotion} from './state.js';

/**
 * Returns whether the primary confirms no writes and a replica can replace it.
 * While no replica answers, the primary still serves reads.
 */
function shouldReplaceStuckPrimary(pool: Pool): boolean {
  const now = pool.now();
  const {primary, unanswered, adoptedAt} = pool.read();
  return (
    areWritesStuck(unanswered, now) &&
    now - adoptedAt >= FAILING_COOLDOWN_MS &&
    pool.endpoints
      .list()
      .some(
        ({entry, status, downSince, missingSince}) =>
          entry.id !== primary?.endpoint &&
          status?.role === 'replica' &&
          downSince === null &&
          missingSince === null &&
          !entry.isLeaving,
      )
  );
}

/**
 * Returns whether the primary has been failing for long enough to be replaced.
 * A change interrupts writes for about a second, and one that did not help is
 * not repeated immediately.
 */
function isFailingForLong(pool: Pool, state: EndpointState): boolean {
  const now = pool.now();
  const {faults, failingSince} = state;
  return (
    failingSince !== null &&
    isFailing(faults, now) &&
    now - failingSince >= FAILING_MS &&
    now - pool.read().adoptedAt >= FAILING_COOLDOWN_MS
  );
}

/** Returns whether an endpoint answers and last reported that it leads a term. */
function answersAsPrimary(pool: Pool, {endpoint, term}: Primary): boolean {
  const state = pool.endpoints.get(endpoint);
  return (
    state !== undefined &&
    state.downSince === null &&
    state.status?.role === 'primary' &&
    state.status.term === term
  );
}

/** Returns why the primary has to be replaced, or null. */
function findPromotionReason(pool: Pool): Promotion['reason'] | null {
  const {primary} = pool.read();
  if (primary === null) {
    return hasNoPrimary(pool) ? 'no_primary' : null;
  }
  if (isPrimaryDoubtful(pool)) {
    return 'requested';
  }
  const state = pool.endpoints.get(primary.endpoint);
  if (state === undefined) {
    return 'down';
  }
  const {downSince, entry, status} = state;
  if (downSince !== null && pool.now() - downSince >= PRIMARY_DOWN_MS) {
    return 'down';
  }
  if (status?.role === 'replica') {
    return 'down';
  }
  if (entry.isLeaving) {
    return 'leaving';
  }
  if (isFailingForLong(pool, state)) {
    return 'failing';
  }
  return shouldReplaceStuckPrimary(pool) ? 'stuck' : null;
}

/** Time in which a new owner waits for a primary to report its role, in ms. */
const PRIMARY_SEARCH_MS = 1_500;

/**
 * Time in which a new owner waits for the connection to an endpoint, in ms, if
 * the others have reported that they are replicas. It usually takes 12 ms.
 */
const PRIMARY_CONNECT_MS = 600;

/** Returns whether an endpoint has accepted a connection of this pool. */
function hasConnected(pool: Pool, {entry, status}: EndpointState): boolean {
  return (
    status !== null ||
    pool.conns.list().some(conn => conn.endpoint === entry.id && conn.isOpen)
  );
}

/**
 * Returns how long a new owner searches for the primary, in ms. The owner that
 * it replaces is often cut off together with the primary: the endpoints that
 * have not reported then accept no connection either.
 */
function computeSearchMs(pool: Pool): number {
  const states = pool.endpoints.list();
  const silent = states.filter(({status}) => status === null);
  const areOthersKnown = silent.length <= getSyncReplicas(pool);
  const isUnconnected = !silent.some(state => hasConnected(pool, state));
  return areOthersKnown && isUnconnected
    ? PRIMARY_CONNECT_MS
    : PRIMARY_SEARCH_MS;
}

/** Returns whether a new owner has found no primary. */
function hasNoPrimary(pool: Pool): boolean {
  const states = pool.endpoints.list();
  const isSearchOver =
    pool.now() - pool.read().openedAt >= computeSearchMs(pool);
  const highestTerm = Math.max(
    0,
    ...states.map(({status}) => status?.term ?? 0),
  );
  const hasPrimary = states.some(
    ({status, downSince}) =>
      status?.role === 'primary' &&
      status.term >= highestTerm &&
      downSince === null,
  );
  return (
    isSearchOver && states.some(({status}) => status !== null) && !hasPrimary
  );
}

/** Reasons for which the primary can still finish its open transactions. */
const PLANNED_REASONS: ReadonlySet<Promotion['reason']> = new Set([
  'failing',
  'leaving',
]);

/** Reasons that end if the primary answers again. */
const RECOVERABLE_REASONS: ReadonlySet<Promotion['reason']> = new Set([
  'down',
  'no_primary',
  'requested',
]);

/** Starts to replace the primary. */
function beginPromotion(pool: Pool, reason: Promotion['reason']): void {
  const now = pool.now();
  const isPlanned = PLANNED_REASONS.has(reason);
  const {primary} = pool.read();
  pool.update({
    promotion: {
      reason,
      phase: isPlanned ? 'draining' : 'choosing',
      startedAt: now,
      drainDeadline: now + DRAIN_TIMEOUT_MS,
      candidate: null,
      waitReason: null,
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
    abortWorkAt(pool, primary.endpoint);
  }
}

/**
 * Waits for open transactions to end, then starts the choice of a candidate.
 */
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
  if ((txs.length > 0 || isRunning) && pool.now() < promotion.drainDeadline) {
    return;
  }
  txs.forEach(tx => closeTx(pool, tx, `the primary is ${promotion.reason}`));
  if (primary !== null) {
    abortWorkAt(pool, primary.endpoint);
  }
  updatePromotion(pool, {phase: 'choosing', startedAt: pool.now()});
}

/**
 * Lists replicas whose status was requested since the promotion started. To a
 * new owner without a primary each status counts: nobody acknowledges commits.
 */
function listCandidates(
  pool: Pool,
  promotion: Promotion,
): readonly Candidate[] {
  const now = pool.now();
  const {primary, openedAt} = pool.read();
  const since = primary === null ? openedAt : promotion.startedAt;
  return pool.endpoints
    .list()
    .filter(
      state =>
        state.status?.role === 'replica' &&
        !state.hasLostLog &&
        state.downSince === null &&
        state.missingSince === null &&
        (state.statusRequestedAt ?? -1) >= since &&
        now >= state.rejectedUntil,
    )
    .map(({entry, status, faults}) => ({
      id: entry.id,
      received: status!.received,
      isLeaving: entry.isLeaving,
      isFailing: isFailing(faults, now),
      isNear: entry.dataCentre === pool.cfg.dataCentre,
      factor: pool.capacity.times.readFactor(entry.id, now),
    }));
}

/** Promotes a candidate, if one is known to have every acknowledged commit. */
function chooseNextPrimary(pool: Pool, promotion: Promotion): void {
  const state = pool.read();
  const current = state.primary;
  const isPrimaryUp = current !== null && answersAsPrimary(pool, current);
  const hasRecovered =
    RECOVERABLE_REASONS.has(promotion.reason) &&
    !hasOpenCalls(pool) &&
    isPrimaryUp;
  if (hasRecovered && mayHavePromoted(pool)) {
    if (!state.isSettling) {
      confirmPrimary(pool, promotion);
    }
    return;
  }
  if (hasRecovered) {
    pool.update({promotion: null, suspects: []});
    pool.cfg.ports.record('info', 'promotion_dropped', {
      group: pool.cfg.group,
      reason: 'the primary answers again',
    });
    return;
  }
  const candidates = listCandidates(pool, promotion);
  const requirements = {
    acked: getAckedUpperBound(pool),
    surelyAcked: state.surelyAcked,
    reportsNeeded: countReportsNeeded(
      pool,
      candidates.map(({id}) => id),
    ),
  };
  if (state.isSettling) {
    recordWait(pool, 'settling', candidates, requirements);
    return;
  }
  // Of two requests, the one that takes effect first would lose its commits.
  const requested = candidates.filter(({id}) =>
    state.calls.some(({endpoint}) => endpoint === id),
  );
  const mustWait = hasOpenCalls(pool) && isPrimaryUp;
  const eligible = requested.length > 0 || mustWait ? requested : candidates;
  const candidate = chooseCandidate(candidates, requirements, eligible);
  if (candidate !== null) {
    void requestPromotion(pool, candidate);
    return;
  }
  const reason = findWaitReason(candidates, eligible, requirements);
  recordWait(pool, reason, candidates, requirements);
  if (candidates.length === pool.endpoints.count()) {
    giveUpLeftMembers(pool);
  }
}

/**
 * Requests the promotion of the old primary that answers again. It may have been
 * replaced by an endpoint that nobody sees.
 */
function confirmPrimary(pool: Pool, {startedAt}: Promotion): void {
  const {primary} = pool.read();
  const state = pool.endpoints.get(primary?.endpoint ?? '');
  const isReportNew = (state?.statusRequestedAt ?? -Infinity) >= startedAt;
  if (state === undefined || state.status === null || !isReportNew) {
    return;
  }
  const {entry, status, faults} = state;
  void requestPromotion(pool, {
    id: entry.id,
    received: status.received,
    isLeaving: entry.isLeaving,
    isFailing: isFailing(faults, pool.now()),
    isNear: false,
    factor: 1,
  });
}

/**
 * Stops to wait for endpoints that left long ago and have not been replaced.
 * Their commits may be lost, but nothing else would ever serve the group again.
 */
function giveUpLeftMembers(pool: Pool): void {
  const left = removeMembersLeftBy(pool, pool.now() - GIVE_UP_LEFT_MS);
  if (left.length === 0) {
    return;
  }
  pool.cfg.ports.record('error', 'commits_given_up', {
    group: pool.cfg.group,
    endpoints: left.map(({endpoint}) => endpoint).join(),
    acked: getAckedUpperBound(pool)?.index ?? null,
    generation: pool.cfg.readGeneration(),
  });
  pool.update({base: null, commits: [], surelyAcked: null});
  learnBase(pool);
}

type StepHandler = (pool: Pool, promotion: Promotion) => void;

const STEPS: Readonly<Record<Promotion['phase'], StepHandler>> = {
  draining: drainPrimary,
  choosing: (pool, promotion) => {
    if (pool.now() >= promotion.nextAt) {
      chooseNextPrimary(pool, promotion);
    }
  },
  calling: () => undefined,
  awaiting: (pool, promotion) => {
    if (pool.now() >= promotion.nextAt) {
      updatePromotion(pool, {phase: 'choosing', startedAt: pool.now()});
    }
  },
};

/** Starts or continues a change of primary while this host holds the lease. */
export function advancePromotion(pool: Pool): void {
  removeSettledCalls(pool);
  clearSuspects(pool);
  const {promotion, isHandingOver, isSettling} = pool.read();
  if (!pool.cfg.isLeaseValid()) {
    cancelCalls(pool);
    return;
  }
  if (promotion !== null) {
    STEPS[promotion.phase](pool, promotion);
    return;
  }
  const isKept = !isHandingOver && !isSettling;
  const reason = isKept ? findPromotionReason(pool) : null;
  if (reason !== null) {
    beginPromotion(pool, reason);
  }
}
