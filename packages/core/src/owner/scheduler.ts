/** Gives slots and connections of a pool to the requests that wait. */

import {isViewFromBeforePause} from '../control/facts.js';
import type {ConnId, EndpointId} from '../model/ids.js';
import type {NotRunReason} from '../model/outcome.js';
import {probeSooner, hasPositionWait, serveWaits} from './acks.js';
import {isLeaving, isReadable} from './checks.js';
import {
  closeConn,
  findFreeConn,
  isFree,
  openConns,
  tendIdleConns,
} from './connections.js';
import {endJob} from './answers.js';
import {readJobs} from './job_set.js';
import {startJob} from './jobs.js';
import {closeTx, loseConn, readAnswerBy} from './losses.js';
import {FAST_PROBE_MS, IDLE_CLOSE_MS} from './limits.js';
import {countBusySlots, readNextProbeAt} from './overdue.js';
import {QUEUE_POLICIES, isTooLateToBegin} from './queue_policy.js';
import {notRun} from './steps.js';
import {getEndpoint, getPool, setJob, setPool} from './turn.js';
import type {Turn} from './turn.js';
import type {Conn, Job, Pool} from './state.js';

/** Brings a pool up to date after its conditions may have changed. */
export function schedule(turn: Turn, endpoint: EndpointId): void {
  if (getPool(turn, endpoint) === null) {
    return;
  }
  expireChecks(turn, endpoint);
  sweepQueue(turn, endpoint);
  scheduleNext(turn, endpoint);
}

/** Gives what is free to those who wait, after an arrival or an answer. */
export function scheduleNext(turn: Turn, endpoint: EndpointId): void {
  if (getPool(turn, endpoint) === null) {
    return;
  }
  startJobs(turn, endpoint);
  openWanted(turn, endpoint);
  tendIdleConns(turn, endpoint);
  serveWaits(turn, endpoint);
  probeSooner(turn, endpoint);
  closeWhenDone(turn, endpoint);
  setWake(turn, endpoint);
}

/** Brings every pool up to date. */
export function scheduleAll(turn: Turn): void {
  for (const endpoint of turn.pools().byEndpoint.keys()) {
    schedule(turn, endpoint);
  }
}

/** Gives up connections whose check was not answered in time. */
function expireChecks(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint)!;
  for (const job of pool.jobs.active.values()) {
    const conn = job.conn === null ? undefined : pool.conns.get(job.conn);
    if (job.step !== 'check' || conn === undefined) {
      continue;
    }
    if (turn.now >= readAnswerBy(conn, job)) {
      suspectFreeConns(turn, endpoint);
      loseConn(turn, endpoint, conn, 'connection_lost');
    }
  }
}

/** Has every free connection checked before its next use. */
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

/** Ends queued jobs that cannot run any more. */
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
    awaitData(turn, pool, job);
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

/** Lets a read go on once its position is reached, or hands it back. */
function awaitData(turn: Turn, pool: Pool, job: Job): void {
  if (job.reachBy === null) {
    return;
  }
  const {request} = job.msg;
  if (isReadable(turn, pool, job.msg)) {
    setJob(turn, pool.endpoint, request, {reachBy: null});
    return;
  }
  if (turn.now >= job.reachBy) {
    endJob(turn, pool.endpoint, request, notRun('not_reached'));
  }
}

/** Connections that each kind holds: running or pinned. */
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

/** Returns queued new work whose kind may hold another connection. */
function readNewWork(turn: Turn, pool: Pool): readonly Job[] {
  if (isViewFromBeforePause(turn.board(), turn.now)) {
    return [];
  }
  const counts = countByKind(pool);
  return [...pool.jobs.queued.values()].filter(job => {
    const held = counts.get(job.kindKey) ?? 0;
    return held < job.msg.connectionLimit;
  });
}

/** Returns the statements of open transactions that could run now. */
function readTxWork(pool: Pool): readonly Job[] {
  if (pool.txs.size === 0) {
    return [];
  }
  return pool.jobs.active
    .valueSeq()
    .filter(job => job.phase === 'queued' && job.msg.tx !== null)
    .filter(job => job.reachBy === null && isTxReady(pool, job))
    .sortBy(job => job.order)
    .toArray();
}

function countFreeSlots(turn: Turn, pool: Pool): number {
  const slots = getEndpoint(turn, pool)?.slots ?? 0;
  return slots - countBusySlots(pool, slots);
}

/** Tells whether anything could run: new work, or a statement of a transaction. */
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
    const newWork = free === null ? [] : readNewWork(turn, pool);
    const jobs = [...readTxWork(pool), ...newWork];
    if (jobs.length === 0) {
      return;
    }
    const policy = QUEUE_POLICIES[turn.pools().policy];
    const {job, memory} = policy(jobs, pool.memory, turn.now, pool.serviceMs);
    setPool(turn, endpoint, {memory});
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
function openWanted(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint)!;
  if (pool.jobs.queued.size === 0) {
    return;
  }
  const slots = countFreeSlots(turn, pool);
  if (slots <= 0) {
    return;
  }
  openConns(turn, endpoint, Math.min(readNewWork(turn, pool).length, slots));
}

/** Ends the transactions of a pool that was lost, and the pool itself. */
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

/** Returns the instants at which the pool has something to do. */
function readWakes(turn: Turn, pool: Pool): readonly number[] {
  const wakes: number[] = [];
  for (const job of pool.jobs.active.values()) {
    const conn = job.conn === null ? undefined : pool.conns.get(job.conn);
    if (job.step === 'check' && conn !== undefined) {
      wakes.push(readAnswerBy(conn, job));
    }
    if (job.reachBy !== null) {
      wakes.push(job.reachBy);
    }
  }
  for (const conn of pool.conns.values()) {
    if (isFree(conn)) {
      wakes.push(conn.idleSince + IDLE_CLOSE_MS);
    }
  }
  if (hasPositionWait(pool)) {
    wakes.push((pool.lastProbeAt ?? turn.now) + FAST_PROBE_MS);
  }
  wakes.push(pool.backoffUntil);
  wakes.push(readNextProbeAt(turn, pool));
  if (pool.closeAt !== null) {
    wakes.push(pool.closeAt);
  }
  return wakes.filter(wake => wake > turn.now);
}

/** Sets the pool's timer when something is due before it. */
function setWake(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint);
  if (pool === null) {
    return;
  }
  const at = Math.min(...readWakes(turn, pool));
  const isSet = pool.wakeAt !== null && pool.wakeAt <= at;
  if (isSet || at === Infinity) {
    return;
  }
  setPool(turn, endpoint, {wakeAt: at});
  turn.act({type: 'set_timer', at, timer: {name: 'pool', endpoint}});
}
