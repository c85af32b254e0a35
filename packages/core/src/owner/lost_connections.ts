/** Ends the jobs and transactions of connections that are lost or given up. */

import type {EndpointId, TxId} from '../model/ids.js';
import type {Outcome} from '../model/outcome.js';
import {endJob} from './answers.js';
import {closeConn} from './connections.js';
import {CHECK_TIMEOUT_MS} from './limits.js';
import {STEPS, notRun} from './steps.js';
import {getPool, record, setJob, setPool} from './turn.js';
import type {Turn} from './turn.js';
import type {Conn, Job} from './state.js';

/** Closes a connection that failed its check and requeues its job in front. */
export function requeue(
  turn: Turn,
  endpoint: EndpointId,
  job: Job,
  conn: Conn,
): void {
  closeConn(turn, endpoint, conn.id);
  setJob(turn, endpoint, job.msg.request, {
    phase: 'queued',
    conn: null,
    step: null,
    startedAt: null,
    isRequeued: true,
  });
}

/** Reasons for ending a job whose statement was not answered. */
export type LossReason =
  'connection_lost' | 'timed_out' | 'evidence_expired' | 'replaced_primary';

/**
 * Closes a connection that is given up; ends the job that runs on it and the
 * transaction that is pinned to it.
 */
export function failConn(
  turn: Turn,
  endpoint: EndpointId,
  conn: Conn,
  reason: LossReason,
): void {
  closeConn(turn, endpoint, conn.id);
  endConnWork(turn, endpoint, conn, reason);
}

/** Ends the job and the transaction of a connection that is already closed. */
export function endConnWork(
  turn: Turn,
  endpoint: EndpointId,
  conn: Conn,
  reason: LossReason,
): void {
  const pool = getPool(turn, endpoint);
  if (pool === null) {
    return;
  }
  const job =
    conn.request === null ? undefined : pool.jobs.active.get(conn.request);
  record(turn, 'info', 'conn_lost', {
    endpoint,
    conn: conn.id,
    request: conn.request,
    reason,
  });
  if (conn.tx !== null) {
    dropTx(turn, endpoint, conn.tx, reason);
  }
  if (job === undefined) {
    return;
  }
  if (job.step === 'check' && reason !== 'timed_out') {
    requeue(turn, endpoint, job, conn);
    return;
  }
  endJob(turn, endpoint, job.msg.request, findLossOutcome(job, reason));
}

/** Returns the outcome of a job whose step was not answered. */
function findLossOutcome(job: Job, reason: LossReason): Outcome {
  if (job.step === 'check') {
    return notRun('too_late');
  }
  const outcome = STEPS[job.step!].onConnLost(job);
  return outcome.type === 'unknown' ? {type: 'unknown', reason} : outcome;
}

/** Removes a transaction and ends the jobs that are queued for it. */
function dropTx(
  turn: Turn,
  endpoint: EndpointId,
  tx: TxId,
  reason: string,
): void {
  const pool = getPool(turn, endpoint)!;
  setPool(turn, endpoint, {txs: pool.txs.delete(tx)});
  record(turn, 'info', 'tx_closed', {endpoint, tx, reason});
  endQueuedOfTx(turn, endpoint, tx);
}

/** Ends the jobs that are queued for a transaction that has ended. */
export function endQueuedOfTx(
  turn: Turn,
  endpoint: EndpointId,
  tx: TxId,
): void {
  getPool(turn, endpoint)!
    .jobs.active.valueSeq()
    .filter(job => job.msg.tx === tx && job.phase === 'queued')
    .forEach(job => {
      endJob(turn, endpoint, job.msg.request, notRun('tx_gone'));
    });
}

/** Closes a transaction by closing its connection. */
export function closeTx(
  turn: Turn,
  endpoint: EndpointId,
  id: TxId,
  reason: string,
): void {
  const pool = getPool(turn, endpoint);
  const tx = pool?.txs.get(id);
  const conn = tx === undefined ? undefined : pool?.conns.get(tx.conn);
  if (!pool || conn === undefined) {
    return;
  }
  const lossReason =
    reason === 'writes_stopped' ? 'evidence_expired' : 'timed_out';
  record(turn, 'debug', 'tx_close_asked', {endpoint, tx: id, reason});
  failConn(turn, endpoint, conn, lossReason);
}

/** Returns the instant by which the step in flight must be answered. */
export function computeAnswerDeadline(conn: Conn, job: Job): number {
  return job.step === 'check' && conn.sentAt !== null
    ? Math.min(job.deadline, conn.sentAt + CHECK_TIMEOUT_MS)
    : job.deadline;
}
