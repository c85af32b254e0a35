/** Admission control: accepts requests into a pool's queue or refuses them. */

import {isOwnerOf, isViewFromBeforePause} from '../control/control_status.js';
import type {HostId, Instant} from '../model/ids.js';
import type {RunMessage} from '../model/message.js';
import type {NotRunReason} from '../model/outcome.js';
import {RANKS} from '../model/table.js';
import {findStartFault, isLeaving, isReadable} from './checks.js';
import {answerJob, endJob} from './answers.js';
import {
  POSITION_WAIT_MS,
  QUEUE_LIMIT_PER_RANK,
  QUEUE_LIMIT_TOTAL,
} from './limits.js';
import {
  countMembers,
  countQueued,
  findJob,
  putJob,
  readBounds,
  getFlowKey,
  getKindKey,
  tightenBounds,
} from './job_set.js';
import type {JobSet} from './job_set.js';
import {countBusySlots} from './overdue.js';
import {canMeetTarget, isInTime} from './queue_policy.js';
import {notRun} from './steps.js';
import {getEndpoint, getPool, record, setJob, setPool} from './turn.js';
import type {Turn} from './turn.js';
import type {Job, Pool} from './state.js';

/** Queues a request, or answers at once with the reason why it does not run. */
export function admit(
  turn: Turn,
  host: HostId,
  generation: number,
  msg: RunMessage,
): void {
  const {endpoint} = msg;
  const pool = getPool(turn, endpoint);
  if (pool !== null && updateAttempt(turn, pool, host, generation, msg)) {
    return;
  }
  const job = createJob(turn, host, generation, msg);
  const reason = pool === null ? 'not_owner' : findRefusal(turn, pool, job);
  if (pool === null || reason !== null) {
    const refused = notRun(reason ?? 'not_owner');
    answerJob(turn, endpoint, job, refused);
    return;
  }
  enqueue(turn, pool, job);
}

/**
 * Handles a request that was sent again: a newer attempt replaces the known one
 * as the recipient of the answer. Returns whether the request was known.
 */
function updateAttempt(
  turn: Turn,
  pool: Pool,
  host: HostId,
  generation: number,
  msg: RunMessage,
): boolean {
  const existing = findJob(pool.jobs, msg.request);
  if (existing === undefined) {
    return false;
  }
  if (msg.attempt > existing.msg.attempt) {
    const newer = {...existing.msg, attempt: msg.attempt};
    const part = {msg: newer, host, generation};
    setJob(turn, pool.endpoint, msg.request, part);
  }
  return true;
}

function createJob(
  turn: Turn,
  host: HostId,
  generation: number,
  received: RunMessage,
): Job {
  const isOutsideTx =
    received.mode === 'autocommit' || received.mode === 'begin';
  const msg = isOutsideTx ? {...received, tx: null} : received;
  const order = turn.pools().nextOrder;
  turn.setPools({nextOrder: order + 1});
  return {
    msg,
    kindKey: getKindKey(msg),
    flowKey: getFlowKey(msg),
    host,
    generation,
    order,
    receivedAt: turn.now,
    targetAt: turn.now + msg.targetLeftMs,
    deadline: turn.now + msg.timeoutLeftMs,
    phase: 'queued',
    dataDeadline: null,
    conn: null,
    step: null,
    startedAt: null,
    pending: null,
    saved: null,
    isRequeued: false,
  };
}

/** Returns the reason to refuse a request, or null. */
function findRefusal(turn: Turn, pool: Pool, job: Job): NotRunReason | null {
  const {msg} = job;
  if (msg.tx !== null) {
    return findTxRefusal(turn, pool, job);
  }
  if (msg.mode !== 'autocommit' && msg.mode !== 'begin') {
    return 'tx_gone';
  }
  if (pool.closeAt !== null || !isOwnerOf(turn.board(), pool.endpoint)) {
    return 'not_owner';
  }
  if (turn.pools().isDraining || turn.board().self.drainDeadline !== null) {
    return 'draining';
  }
  if (isLeaving(turn, pool)) {
    return 'endpoint_leaving';
  }
  if (isViewFromBeforePause(turn.board(), turn.now)) {
    return 'no_evidence';
  }
  if (pool.isDown && turn.now < pool.backoffUntil) {
    return 'endpoint_down';
  }
  return findStartFault(turn, pool, msg) ?? findLoadRefusal(turn, pool, job);
}

function findTxRefusal(turn: Turn, pool: Pool, job: Job): NotRunReason | null {
  const tx = pool.txs.get(job.msg.tx!);
  if (tx === undefined || tx.host !== job.host) {
    return 'tx_gone';
  }
  return turn.now >= job.deadline ? 'too_late' : null;
}

/**
 * Refuses a request that would probably miss its deadline or finds no room in
 * the queue. A request that need not wait is always accepted: the estimated
 * service time, which slow or silent connections may have raised, is corrected
 * only by statements that run.
 */
function findLoadRefusal(
  turn: Turn,
  pool: Pool,
  job: Job,
): NotRunReason | null {
  const waitMs = estimateWaitMs(turn, pool, job);
  const isTooLate = turn.now + waitMs + pool.serviceMs > job.deadline;
  if (waitMs > 0 && isTooLate) {
    return 'too_late';
  }
  return makeRoom(turn, pool, job) ? null : 'queue_full';
}

/** Counts the jobs of its rank that fair queueing serves before a new job. */
function countAheadInRank(jobs: JobSet, job: Job): number {
  const {kindKey, flowKey} = job;
  const {rank} = job.msg;
  const ofRank = countQueued(jobs, rank);
  const ofKind = countQueued(jobs, kindKey);
  const ofFlow = countQueued(jobs, flowKey);
  const kinds = countMembers(jobs, rank) + (ofKind === 0 ? 1 : 0);
  const callers = countMembers(jobs, kindKey) + (ofFlow === 0 ? 1 : 0);
  const inKind = Math.min(ofKind, (ofFlow + 1) * callers);
  return Math.min(ofRank, (inKind + 1) * kinds);
}

/** Estimates how long a new job waits for a slot, in milliseconds. */
function estimateWaitMs(turn: Turn, pool: Pool, job: Job): number {
  const slots = getEndpoint(turn, pool)?.slots ?? 1;
  if (pool.jobs.queued.size === 0 && countBusySlots(pool, slots) < slots) {
    return 0;
  }
  const higher = RANKS.slice(0, RANKS.indexOf(job.msg.rank))
    .map(rank => countQueued(pool.jobs, rank))
    .reduce((sum, count) => sum + count, 0);
  const own = countAheadInRank(pool.jobs, job);
  const perJobMs = pool.serviceMs / slots;
  const floor = job.msg.floorPercent / 100;
  const byFloorMs = floor > 0 ? ((own + 1) * perJobMs) / floor : Infinity;
  return Math.min((higher + own) * perJobMs, byFloorMs);
}

/** Returns the newest job of the flow with the most jobs, and their number. */
function findHeaviest(
  jobs: readonly Job[],
): {readonly job: Job; readonly count: number} | null {
  const counts = new Map<string, number>();
  for (const job of jobs) {
    const key = job.flowKey;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const countOf = (job: Job): number => counts.get(job.flowKey) ?? 0;
  const heaviest = jobs.reduce<Job | null>((best, job) => {
    if (best === null || countOf(job) > countOf(best)) {
      return job;
    }
    return countOf(job) === countOf(best) && job.order > best.order
      ? job
      : best;
  }, null);
  return heaviest === null ? null : {job: heaviest, count: countOf(heaviest)};
}

function isDisplaceable(job: Job): boolean {
  return job.msg.tx === null && !job.isRequeued;
}

/** Among the jobs that will miss their targets, returns the one due first. */
function findLatest(
  ofRank: readonly Job[],
  now: Instant,
  serviceMs: number,
): Job | null {
  const late = ofRank.filter(
    job => isDisplaceable(job) && !canMeetTarget(job, now, serviceMs),
  );
  return late.reduce<Job | null>(
    (latest, job) =>
      latest === null || job.targetAt < latest.targetAt ? job : latest,
    null,
  );
}

/** Returns the queued job that a new one displaces, or null. */
function findDisplaced(
  queued: readonly Job[],
  job: Job,
  now: Instant,
  serviceMs: number,
): Job | null {
  const rank = RANKS.indexOf(job.msg.rank);
  const ofRank = queued.filter(other => other.msg.rank === job.msg.rank);
  if (ofRank.length < QUEUE_LIMIT_PER_RANK) {
    const lowest = [...RANKS]
      .reverse()
      .find(candidate => queued.some(other => other.msg.rank === candidate))!;
    if (RANKS.indexOf(lowest) > rank) {
      const low = queued.filter(other => other.msg.rank === lowest);
      return findHeaviest(low.filter(isDisplaceable))?.job ?? null;
    }
  }
  const latest = canMeetTarget(job, now, serviceMs)
    ? findLatest(ofRank, now, serviceMs)
    : null;
  if (latest !== null) {
    return latest;
  }
  const heaviest = findHeaviest(ofRank.filter(isDisplaceable));
  const flowKey = job.flowKey;
  const own = ofRank.filter(other => other.flowKey === flowKey).length;
  return heaviest !== null && heaviest.count > own + 1 ? heaviest.job : null;
}

/**
 * Returns whether the bounds alone show that a new job displaces no job of its
 * full rank. Under overload this refuses jobs at a cost that does not depend on
 * the length of the queue.
 */
function isRefusedByBounds(turn: Turn, pool: Pool, job: Job): boolean {
  const {jobs, serviceMs} = pool;
  const {rank} = job.msg;
  if (countQueued(jobs, rank) < QUEUE_LIMIT_PER_RANK) {
    return false;
  }
  const {earliestTarget, heaviestFlow} = readBounds(jobs, rank);
  const isNoFlowHeavier = heaviestFlow <= countQueued(jobs, job.flowKey) + 1;
  const areAllInTime = isInTime(earliestTarget, turn.now, serviceMs);
  return (
    isNoFlowHeavier &&
    (areAllInTime || !canMeetTarget(job, turn.now, serviceMs))
  );
}

/** Makes room in a full queue; returns false if the new job must be refused. */
function makeRoom(turn: Turn, pool: Pool, job: Job): boolean {
  const {jobs} = pool;
  const isFull =
    jobs.queued.size >= QUEUE_LIMIT_TOTAL ||
    countQueued(jobs, job.msg.rank) >= QUEUE_LIMIT_PER_RANK;
  if (!isFull) {
    return true;
  }
  if (isRefusedByBounds(turn, pool, job)) {
    return false;
  }
  const displaced = findDisplaced(
    [...jobs.queued.values()],
    job,
    turn.now,
    pool.serviceMs,
  );
  if (displaced === null) {
    const tight = tightenBounds(jobs, job.msg.rank);
    setPool(turn, pool.endpoint, {jobs: tight});
    return false;
  }
  const {request} = displaced.msg;
  endJob(turn, pool.endpoint, request, notRun('queue_full'));
  return true;
}

function enqueue(turn: Turn, pool: Pool, job: Job): void {
  const {endpoint} = pool;
  const {request, group, kind, rank, mode, attempt} = job.msg;
  const latest = Math.min(
    turn.now + POSITION_WAIT_MS,
    Math.max(turn.now, job.targetAt),
    job.deadline,
  );
  const dataDeadline = isReadable(turn, pool, job.msg) ? null : latest;
  if (dataDeadline !== null && dataDeadline <= turn.now) {
    answerJob(turn, endpoint, job, notRun('not_reached'));
    return;
  }
  const {jobs} = getPool(turn, endpoint)!;
  setPool(turn, endpoint, {
    jobs: putJob(jobs, {...job, dataDeadline}),
  });
  turn.act({
    type: 'set_timer',
    at: job.deadline,
    timer: {name: 'job_deadline', endpoint, request},
  });
  const queued = jobs.queued.size;
  const fields = {request, attempt, endpoint, group, kind, rank, mode, queued};
  record(turn, 'debug', 'job_queued', fields);
}
