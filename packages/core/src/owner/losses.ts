/** Ends what ran on connections that are lost or given up. */

import type {EndpointId, TxId} from '../model/ids.js';
import type {Outcome} from '../model/outcome.js';
import {endJob} from './answers.js';
import {closeConn} from './connections.js';
import {CHECK_TIMEOUT_MS} from './limits.js';
import {STEPS, notRun} from './steps.js';
import {getPool, record, setJob, setPool} from './turn.js';
import type {Turn} from './turn.js';
import type {Conn, Job} from './state.js';

/** Puts a job whose connection failed its check back at the queue's head. */
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
    isFront: true,
  });
}

/** Reasons of a job's end when no answer came. */
export type LossReason =
  'connection_lost' | 'timed_out' | 'evidence_expired' | 'replaced_primary';

/**
 * Ends what runs on a connection that is lost or given up, and the
 * transaction that is pinned to it. The connection is closed.
 */
export function loseConn(
  turn: Turn,
  endpoint: EndpointId,
  conn: Conn,
  reason: LossReason,
): void {
  closeConn(turn, endpoint, conn.id);
  endLost(turn, endpoint, conn, reason);
}

/** Ends what ran on a connection that is closed already. */
export function endLost(
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
  endJob(turn, endpoint, job.msg.request, explainLoss(job, reason));
}

/** Returns what is true of a job whose step was not answered. */
function explainLoss(job: Job, reason: LossReason): Outcome {
  if (job.step === 'check') {
    return notRun('too_late');
  }
  const outcome = STEPS[job.step!].whenLost(job);
  return outcome.type === 'unknown' ? {type: 'unknown', reason} : outcome;
}

/** Forgets a transaction and ends what is queued for it. */
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

/** Ends what is queued for a transaction that is over. */
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
  const why = reason === 'writes_stopped' ? 'evidence_expired' : 'timed_out';
  record(turn, 'debug', 'tx_close_asked', {endpoint, tx: id, reason});
  loseConn(turn, endpoint, conn, why);
}

/** Instant by which the step in flight must be answered. */
export function readAnswerBy(conn: Conn, job: Job): number {
  return job.step === 'check' && conn.sentAt !== null
    ? Math.min(job.deadline, conn.sentAt + CHECK_TIMEOUT_MS)
    : job.deadline;
}
