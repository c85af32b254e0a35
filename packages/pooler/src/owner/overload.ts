/** Admission control of a pool, and its bookkeeping of slot time. */

import {
  decideAdmission,
  findHopeless,
  needsReview,
} from '../decisions/admission.js';
import type {Capacity, QueueLoad, Refusal} from '../decisions/admission.js';
import {toWork} from '../decisions/arrival_rates.js';
import {isReadOnly} from '../decisions/effects.js';
import {orderJobs} from '../decisions/queue_order.js';
import type {IsOverShare} from '../decisions/queue_order.js';
import type {RunMessage} from '../model/message.js';
import {refused} from '../model/result.js';
import type {RefusalReason} from '../model/result.js';
import {getWorkKindOf} from './capacity.js';
import {MAX_JOBS} from './limits.js';
import {isPrimaryDoubtful} from './promotion_calls.js';
import type {Job, Pool} from './state.js';

/** Usual time from the loss of a primary until the next one serves, in ms. */
const USUAL_OUTAGE_MS = 1_000;
/** Usual time until a new owner knows what its endpoints hold, in ms. */
const USUAL_START_MS = 200;
/** Least time that an outage is still expected to last, in ms. */
const MIN_OUTAGE_LEFT_MS = 200;
/** Interval of the lines about refusals, in ms. */
const REFUSAL_LOG_MS = 1_000;

/** Returns what scheduling has to know of a statement's work. */
export function describeWork(
  pool: Pool,
  msg: RunMessage,
): Pick<Job, 'workspace' | 'expectedMs' | 'needsPrimary'> {
  return {
    workspace: msg.workspace,
    expectedMs: pool.capacity.times.expectMs(getWorkKindOf(msg)),
    needsPrimary: !isReadOnly(msg),
  };
}

/** Returns the function that tells which workspaces are over their share now. */
export function createShareCheck(pool: Pool): IsOverShare {
  const {use} = pool.overload;
  const now = pool.now();
  return (rank, workspace) => use.isOverShare(rank, workspace, now);
}

/**
 * Returns how long endpoints that cannot serve now are expected not to, in ms.
 * One that has lasted for longer than usual may last as long again.
 */
function estimateOutageMs(pool: Pool): number {
  const {promotion, base, openedAt} = pool.read();
  const now = pool.now();
  const isNew = base === null;
  const usualMs = isNew ? USUAL_START_MS : USUAL_OUTAGE_MS;
  const lastedMs = now - (isNew ? openedAt : (promotion?.startedAt ?? now));
  return lastedMs < usualMs
    ? Math.max(MIN_OUTAGE_LEFT_MS, usualMs - lastedMs)
    : lastedMs;
}

function readCapacity(pool: Pool): Capacity {
  const {primary, promotion, base} = pool.read();
  const outageMs = estimateOutageMs(pool);
  if (base === null) {
    return {primary: 0, all: 0, outageMs};
  }
  const isPrimaryServing = promotion === null && !isPrimaryDoubtful(pool);
  const slots = {primary: 0, all: 0};
  for (const {entry, downSince} of pool.endpoints.list()) {
    const isPrimary = entry.id === primary?.endpoint;
    const isUsable =
      !entry.isLeaving &&
      downSince === null &&
      (!isPrimary || isPrimaryServing);
    if (isUsable) {
      slots.primary += isPrimary ? entry.slots : 0;
      slots.all += entry.slots;
    }
  }
  return {...slots, outageMs};
}

function readLoad(pool: Pool): QueueLoad {
  return {
    capacity: readCapacity(pool),
    rates: pool.overload.rates,
    isOverShare: createShareCheck(pool),
    now: pool.now(),
  };
}

function listWaiting(pool: Pool): readonly Job[] {
  return pool.jobs.list().filter(({phase}) => phase === 'waiting');
}

/**
 * Returns why a new statement is refused, or null. The limit of a pool counts
 * what is as urgent or more so: a flood of less urgent work fills no queue for
 * the urgent.
 */
export function refuseNew(pool: Pool, job: Job): Refusal | null {
  const jobs = pool.jobs.list();
  const limited =
    jobs.length < MAX_JOBS
      ? 0
      : jobs.filter(({priority}) => priority <= job.priority).length;
  if (limited >= MAX_JOBS) {
    return {
      waitMs: Infinity,
      retryAfterMs: Math.round(job.targetAt - pool.now()),
    };
  }
  const waiting = jobs.filter(({phase}) => phase === 'waiting');
  const {random} = pool.cfg.ports.runtime;
  return decideAdmission(job, waiting, readLoad(pool), random());
}

/** Counts the work of a statement that was admitted. */
export function recordArrival(pool: Pool, job: Job): void {
  const work = toWork(job.needsPrimary, job.expectedMs);
  pool.overload.rates.add(job.priority, work, pool.now());
}

/** Counts the slot time that a statement is expected to use from now on. */
export function recordStartOfUse(pool: Pool, job: Job): void {
  const {priority, workspace, expectedMs} = job;
  pool.overload.use.add(priority, workspace, expectedMs, pool.now());
}

/** Corrects the slot time of a statement once it has completed. */
export function recordUse(pool: Pool, job: Job): void {
  const {priority, workspace, expectedMs, sentAt} = job;
  if (sentAt !== null) {
    const tookMs = pool.now() - sentAt;
    pool.overload.use.add(priority, workspace, tookMs - expectedMs, pool.now());
  }
}

/** Ends a statement that is not run for lack of slots; `end` is `endJob`. */
export function endRefused(
  pool: Pool,
  job: Job,
  reason: RefusalReason,
  {waitMs, retryAfterMs}: Refusal,
  end: (pool: Pool, job: Job, result: ReturnType<typeof refused>) => void,
): void {
  const {refusals} = pool.overload;
  const {priority: rank} = job;
  const key = `${rank} ${reason}`;
  const count = refusals.get(key) ?? {rank, reason, count: 0, maxWaitMs: 0};
  count.count++;
  count.maxWaitMs = Math.max(count.maxWaitMs, waitMs);
  refusals.set(key, count);
  pool.cfg.ports.record('debug', 'job_refused', {
    request: job.msg.request,
    caller_request: job.msg.callerRequest,
    group: pool.cfg.group,
    rank: String(rank),
    workspace: job.workspace,
    reason,
    expected_wait_ms: toWholeMs(waitMs),
    retry_after_ms: retryAfterMs,
    held_ms: Math.round(pool.now() - job.receivedAt),
    left_ms: Math.round(job.deadline - pool.now()),
    generation: pool.cfg.readGeneration(),
  });
  end(pool, job, refused(reason, retryAfterMs));
}

/** Returns a wait for a log line; null if it has no end. */
function toWholeMs(waitMs: number): number | null {
  return Number.isFinite(waitMs) ? Math.round(waitMs) : null;
}

function logRefusals(pool: Pool): void {
  const {overload, cfg} = pool;
  const isDue = pool.now() - overload.refusalsLoggedAt >= REFUSAL_LOG_MS;
  if (overload.refusals.size === 0 || !isDue) {
    return;
  }
  for (const {rank, reason, count, maxWaitMs} of overload.refusals.values()) {
    cfg.ports.record('info', 'queue_refused', {
      group: cfg.group,
      rank: String(rank),
      reason,
      count,
      max_expected_wait_ms: toWholeMs(maxWaitMs),
      queued: listWaiting(pool).length,
    });
  }
  overload.refusals.clear();
  overload.refusalsLoggedAt = pool.now();
}

/** Refuses the waiting statements that have become hopeless. */
export function reviewQueue(
  pool: Pool,
  end: (pool: Pool, job: Job, result: ReturnType<typeof refused>) => void,
): void {
  logRefusals(pool);
  const waiting = listWaiting(pool);
  const load = readLoad(pool);
  if (waiting.length === 0 || !needsReview(waiting, load)) {
    return;
  }
  const {skipCounts} = pool.read();
  const ordered = orderJobs(waiting, skipCounts, load.now, load.isOverShare);
  const {random} = pool.cfg.ports.runtime;
  for (const {job, refusal} of findHopeless(ordered, load, random)) {
    endRefused(pool, job, 'overtaken', refusal, end);
  }
}
