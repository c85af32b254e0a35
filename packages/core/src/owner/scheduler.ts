/** Assigns the slots and connections of a pool to its queued jobs. */

import {isViewFromBeforePause} from '../control/control_status.js';
import type {ConnId, EndpointId} from '../model/ids.js';
import type {NotRunReason} from '../model/outcome.js';
import {requestFastProbe, hasPositionWait, answerDueWaits} from './acks.js';
import {isLeaving, isReadable} from './checks.js';
import {
  closeConn,
  findFreeConn,
  isFree,
  openConns,
  maintainIdleConns,
} from './connections.js';
import {endJob} from './answers.js';
import {readJobs} from './job_set.js';
import {startJob} from './jobs.js';
import {closeTx, failConn, computeAnswerDeadline} from './lost_connections.js';
import {FAST_PROBE_MS, IDLE_CLOSE_MS} from './limits.js';
import {countBusySlots, computeNextProbeTime} from './overdue.js';
import {QUEUE_POLICIES, isTooLateToBegin} from './queue_policy.js';
import {notRun} from './steps.js';
import {getEndpoint, getPool, setJob, setPool} from './turn.js';
import type {Turn} from './turn.js';
import type {Conn, Job, Pool} from './state.js';

/** Updates a pool after a change that may affect its queued jobs. */
export function schedule(turn: Turn, endpoint: EndpointId): void {
  if (getPool(turn, endpoint) === null) {
    return;
  }
  expireChecks(turn, endpoint);
  sweepQueue(turn, endpoint);
  scheduleNext(turn, endpoint);
}

/** Uses free slots and connections, after a request or an answer arrived. */
export function scheduleNext(turn: Turn, endpoint: EndpointId): void {
  if (getPool(turn, endpoint) === null) {
    return;
  }
  startJobs(turn, endpoint);
  openNeededConns(turn, endpoint);
  maintainIdleConns(turn, endpoint);
  answerDueWaits(turn, endpoint);
  requestFastProbe(turn, endpoint);
  closeWhenDone(turn, endpoint);
  setPoolTimer(turn, endpoint);
}

/** Updates every pool; see `schedule`. */
export function scheduleAll(turn: Turn): void {
  for (const endpoint of turn.pools().byEndpoint.keys()) {
    schedule(turn, endpoint);
  }
}

/** Closes connections whose check was not answered in time. */
function expireChecks(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint)!;
  for (const job of pool.jobs.active.values()) {
    const conn = job.conn === null ? undefined : pool.conns.get(job.conn);
    if (job.step !== 'check' || conn === undefined) {
      continue;
    }
    if (turn.now >= computeAnswerDeadline(conn, job)) {
      suspectFreeConns(turn, endpoint);
      failConn(turn, endpoint, conn, 'connection_lost');
    }
  }
}

/** Marks every free connection to be checked before its next use. */
export function suspectFreeConns(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint);
  if (pool === null) {
    return;
  }
  const conns = pool.conns.map(conn =>
    isFree(conn) ? {...conn, isSuspect: true} : conn,
  );
  setPool(turn, endpoint, {conns});
}

/** Ends queued jobs that can no longer run. */
function sweepQueue(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint)!;
  for (const job of readJobs(pool.jobs)) {
    if (job.phase !== 'queued') {
      continue;
    }
    const reason = findQueueFault(turn, pool, job);
    if (reason !== null) {
      endJob(turn, endpoint, job.msg.request, notRun(reason));
      continue;
    }
    settleDataWait(turn, pool, job);
  }
}

function findQueueFault(turn: Turn, pool: Pool, job: Job): NotRunReason | null {
  if (job.msg.tx !== null) {
    return pool.txs.has(job.msg.tx) ? null : 'tx_gone';
  }
  if (pool.closeAt !== null) {
    return 'not_owner';
  }
  if (isLeaving(turn, pool)) {
    return 'endpoint_leaving';
  }
  return turn.now >= job.deadline ? 'too_late' : null;
}

/**
 * Releases a read that waits for its position or freshness once the endpoint
 * has reached it, or refuses the read after its wait has expired.
 */
function settleDataWait(turn: Turn, pool: Pool, job: Job): void {
  if (job.dataDeadline === null) {
    return;
  }
  const {request} = job.msg;
  if (isReadable(turn, pool, job.msg)) {
    setJob(turn, pool.endpoint, request, {dataDeadline: null});
    return;
  }
  if (turn.now >= job.dataDeadline) {
    endJob(turn, pool.endpoint, request, notRun('not_reached'));
  }
}

/** Returns the number of connections that each kind uses, running or pinned. */
function countByKind(pool: Pool): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  const add = (key: string): void => {
    counts.set(key, (counts.get(key) ?? 0) + 1);
  };
  for (const job of pool.jobs.active.values()) {
    if (job.phase === 'running' && job.msg.tx === null) {
      add(job.kindKey);
    }
  }
  for (const tx of pool.txs.values()) {
    add(tx.kindKey);
  }
  return counts;
}

function isTxReady(pool: Pool, job: Job): boolean {
  const tx = pool.txs.get(job.msg.tx!);
  const conn = tx === undefined ? undefined : pool.conns.get(tx.conn);
  return conn !== undefined && conn.request === null;
}

/** Returns queued new jobs whose kind is below its connection limit. */
function listNewWork(turn: Turn, pool: Pool): readonly Job[] {
  if (isViewFromBeforePause(turn.board(), turn.now)) {
    return [];
  }
  const counts = countByKind(pool);
  return [...pool.jobs.queued.values()].filter(job => {
    const held = counts.get(job.kindKey) ?? 0;
    return held < job.msg.connectionLimit;
  });
}

/** Returns the queued jobs of open transactions that could run now. */
function listTxWork(pool: Pool): readonly Job[] {
  if (pool.txs.size === 0) {
    return [];
  }
  return pool.jobs.active
    .valueSeq()
    .filter(job => job.phase === 'queued' && job.msg.tx !== null)
    .filter(job => job.dataDeadline === null && isTxReady(pool, job))
    .sortBy(job => job.order)
    .toArray();
}

function countFreeSlots(turn: Turn, pool: Pool): number {
  const slots = getEndpoint(turn, pool)?.slots ?? 0;
  return slots - countBusySlots(pool, slots);
}

/** Returns whether new work or a statement of a transaction may be waiting. */
function mayHaveWork({jobs, txs}: Pool): boolean {
  return jobs.queued.size > 0 || (txs.size > 0 && jobs.active.size > 0);
}

/** Starts jobs until slots, connections or jobs run out. */
function startJobs(turn: Turn, endpoint: EndpointId): void {
  for (;;) {
    const pool = getPool(turn, endpoint)!;
    if (!mayHaveWork(pool) || countFreeSlots(turn, pool) <= 0) {
      return;
    }
    const free = findFreeConn(pool);
    const newWork = free === null ? [] : listNewWork(turn, pool);
    const jobs = [...listTxWork(pool), ...newWork];
    if (jobs.length === 0) {
      return;
    }
    const policy = QUEUE_POLICIES[turn.pools().policy];
    const {job, policyState} = policy(
      jobs,
      pool.policyState,
      turn.now,
      pool.serviceMs,
    );
    setPool(turn, endpoint, {policyState});
    startChosen(turn, endpoint, job, free);
  }
}

function startChosen(
  turn: Turn,
  endpoint: EndpointId,
  job: Job,
  free: Conn | null,
): void {
  const pool = getPool(turn, endpoint)!;
  if (job.msg.tx === null && !isReadable(turn, pool, job.msg)) {
    endJob(turn, endpoint, job.msg.request, notRun('not_reached'));
    return;
  }
  if (job.msg.tx === null && isTooLateToBegin(job, turn.now, pool.serviceMs)) {
    endJob(turn, endpoint, job.msg.request, notRun('too_late'));
    return;
  }
  const pinned: ConnId | undefined =
    job.msg.tx === null ? undefined : pool.txs.get(job.msg.tx)?.conn;
  const conn = pinned === undefined ? free! : pool.conns.get(pinned)!;
  startJob(turn, pool, job, conn);
}

/** Opens connections for new work that has a slot but no connection. */
function openNeededConns(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint)!;
  if (pool.jobs.queued.size === 0) {
    return;
  }
  const slots = countFreeSlots(turn, pool);
  if (slots <= 0) {
    return;
  }
  openConns(turn, endpoint, Math.min(listNewWork(turn, pool).length, slots));
}

/**
 * Closes the transactions of a pool whose ownership was lost once its grace
 * period is over, and removes the pool when it has no more work.
 */
function closeWhenDone(turn: Turn, endpoint: EndpointId): void {
  const {closeAt, txs} = getPool(turn, endpoint)!;
  if (closeAt === null) {
    return;
  }
  if (turn.now >= closeAt) {
    [...txs.keys()].forEach(tx => {
      closeTx(turn, endpoint, tx, 'ownership_lost');
    });
  }
  const pool = getPool(turn, endpoint)!;
  if (
    pool.jobs.active.size > 0 ||
    pool.jobs.queued.size > 0 ||
    pool.txs.size > 0
  ) {
    return;
  }
  [...pool.conns.keys()].forEach(conn => {
    closeConn(turn, endpoint, conn);
  });
  turn.setPools({byEndpoint: turn.pools().byEndpoint.delete(endpoint)});
}

/** Returns the future instants at which the pool must be updated. */
function listWakeTimes(turn: Turn, pool: Pool): readonly number[] {
  const wakeTimes: number[] = [];
  for (const job of pool.jobs.active.values()) {
    const conn = job.conn === null ? undefined : pool.conns.get(job.conn);
    if (job.step === 'check' && conn !== undefined) {
      wakeTimes.push(computeAnswerDeadline(conn, job));
    }
    if (job.dataDeadline !== null) {
      wakeTimes.push(job.dataDeadline);
    }
  }
  for (const conn of pool.conns.values()) {
    if (isFree(conn)) {
      wakeTimes.push(conn.idleSince + IDLE_CLOSE_MS);
    }
  }
  if (hasPositionWait(pool)) {
    wakeTimes.push((pool.lastProbeAt ?? turn.now) + FAST_PROBE_MS);
  }
  wakeTimes.push(pool.backoffUntil);
  wakeTimes.push(computeNextProbeTime(turn, pool));
  if (pool.closeAt !== null) {
    wakeTimes.push(pool.closeAt);
  }
  return wakeTimes.filter(at => at > turn.now);
}

/** Sets the pool's timer, unless it is set to an earlier instant. */
function setPoolTimer(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint);
  if (pool === null) {
    return;
  }
  const at = Math.min(...listWakeTimes(turn, pool));
  const isSet = pool.wakeAt !== null && pool.wakeAt <= at;
  if (isSet || at === Infinity) {
    return;
  }
  setPool(turn, endpoint, {wakeAt: at});
  turn.act({type: 'set_timer', at, timer: {name: 'pool', endpoint}});
}
