/** Runs statements on connections, and tells what became of them. */

import type {EndpointId, LogPosition} from '@lacewingroad/core';
import {isCommitting, isRepeatable} from '../decisions/effects.js';
import {refused, unknown} from '../model/result.js';
import type {RunResult} from '../model/result.js';
import type {
  EndpointCommand,
  EndpointFault,
  EndpointReply,
} from '../model/statement.js';
import {noteAcked} from './acks.js';
import {dropConn} from './connections.js';
import {BUSY_BACKOFF_MS, MAX_READ_ATTEMPTS, SERVICE_GAIN} from './limits.js';
import {prepareConn, toCommand} from './prepare.js';
import {noteAlive, noteRun} from './state.js';
import type {Conn, Job, Pool, Tx} from './state.js';

type ErrorReply = Extract<EndpointReply, {type: 'error'}>;
type DoneReply = Extract<EndpointReply, {type: 'done'}>;

/** Ends a job and tells the host that asked. */
export function endJob(pool: Pool, job: Job, result: RunResult): void {
  if (!pool.jobs.remove(job.msg.request)) {
    return;
  }
  const {record, send} = pool.cfg.ports;
  const isDone = result.type === 'done';
  record(isDone ? 'debug' : 'info', isDone ? 'job_done' : 'job_ended', {
    request: job.msg.request,
    caller_request: job.msg.callerRequest,
    group: pool.cfg.group,
    endpoint: job.endpoint,
    tx: job.msg.tx?.id ?? null,
    outcome: result.type,
    reason: 'reason' in result ? result.reason : null,
    attempts: job.attempts,
    took_ms: Math.round(pool.now() - job.receivedAt),
    left_ms: Math.round(job.deadline - pool.now()),
    generation: pool.cfg.readGeneration(),
  });
  send(job.host, {type: 'ran', request: job.msg.request, result});
}

/** Lets a statement that has not run wait for another turn. */
function returnToQueue(
  pool: Pool,
  job: Job,
  avoided: readonly EndpointId[],
): void {
  pool.jobs.update(job.msg.request, {
    phase: 'waiting',
    conn: null,
    endpoint: null,
    sentAt: null,
    avoided,
  });
  pool.wake();
}

/** Ends a transaction at its endpoint; closing the connection rolls back. */
export function closeTx(pool: Pool, tx: Tx, reason: string): void {
  if (!pool.txs.remove(tx.id)) {
    return;
  }
  pool.cfg.ports.record('info', 'tx_closed', {
    group: pool.cfg.group,
    tx: tx.id,
    endpoint: tx.endpoint,
    reason,
  });
  const conn = pool.conns.get(tx.conn);
  if (conn !== undefined) {
    dropConn(pool, conn, reason, endOnLostConn(pool));
  }
}

/** Rolls a transaction back that its caller ended, keeping the connection. */
export function rollBackTx(pool: Pool, tx: Tx): void {
  const conn = pool.conns.get(tx.conn);
  if (conn === undefined || conn.request !== null) {
    closeTx(pool, tx, 'rolled back while a statement ran');
    return;
  }
  pool.txs.remove(tx.id);
  pool.conns.update(conn.id, {tx: null, answerBy: pool.now() + ROLLBACK_MS});
  conn.link.send({type: 'rollback'}, null, null, reply => {
    noteAlive(pool, conn.endpoint);
    if (reply.state !== 'idle') {
      dropConn(
        pool,
        pool.conns.get(conn.id) ?? conn,
        'a rollback failed',
        endOnLostConn(pool),
      );
      return;
    }
    pool.conns.update(conn.id, {answerBy: null, idleSince: pool.now()});
    pool.wake();
  });
}

/** Time after its deadline for the answer to a statement, in ms. */
const LATE_ANSWER_MS = 500;
/** Time for the answer to a rollback, which needs no slot, in ms. */
const ROLLBACK_MS = 600;

/** Frees a connection after its statement. */
function releaseConn(pool: Pool, conn: Conn): void {
  pool.conns.update(conn.id, {
    request: null,
    answerBy: null,
    idleSince: pool.now(),
  });
  pool.wake();
}

/** Frees a connection and the transaction that ended on it. */
function releaseTx(pool: Pool, conn: Conn): void {
  if (conn.tx !== null) {
    pool.txs.remove(conn.tx);
  }
  pool.conns.update(conn.id, {tx: null});
  releaseConn(pool, conn);
}

/**
 * Returns what becomes of jobs whose connection is lost: a statement that was
 * not sent waits for another, a read too, and one that may have taken effect
 * is unknown.
 */
export function endOnLostConn(
  pool: Pool,
): (conn: Conn, detail: string) => void {
  return (conn, detail) => {
    pool.cfg.ports.record('info', 'conn_lost', {
      group: pool.cfg.group,
      endpoint: conn.endpoint,
      conn: conn.id,
      request: conn.request,
      detail,
    });
    const job = conn.request === null ? undefined : pool.jobs.get(conn.request);
    if (conn.tx !== null) {
      pool.txs.remove(conn.tx);
    }
    if (job === undefined) {
      return;
    }
    const wasSent = job.sentAt !== null;
    if (wasSent && isCommitting(job.msg)) {
      endJob(pool, job, unknown('connection_lost'));
      return;
    }
    const isFirst = job.msg.tx?.isFirst ?? true;
    if (isRepeatable(job.msg) || (!wasSent && isFirst)) {
      retryAfterSilence(pool, job, conn.endpoint);
      return;
    }
    endJob(pool, job, refused('tx_gone'));
  };
}

/** Lets a job that has not run wait for another endpoint, if there is one. */
function retryElsewhere(pool: Pool, job: Job, failed: EndpointId): void {
  returnToQueue(pool, job, addAvoided(pool, job, failed));
}

/** The same for one that may have run; bounded, since it takes slots. */
function retryAfterSilence(pool: Pool, job: Job, failed: EndpointId): void {
  if (job.attempts >= MAX_READ_ATTEMPTS) {
    endJob(pool, job, refused('no_endpoint'));
    return;
  }
  retryElsewhere(pool, job, failed);
}

/** Adds an endpoint to those avoided; forgets all once none would be left. */
function addAvoided(
  pool: Pool,
  job: Job,
  endpoint: EndpointId,
): readonly EndpointId[] {
  const avoided = [...new Set([...job.avoided, endpoint])];
  const isLeft = pool.endpoints
    .list()
    .some(
      ({entry, downSince}) =>
        !avoided.includes(entry.id) && !entry.isLeaving && downSince === null,
    );
  return isLeft ? avoided : [];
}

/** Gives up a read without an answer, and tries it elsewhere. */
export function hedgeRead(pool: Pool, job: Job): void {
  const conn = job.conn === null ? undefined : pool.conns.get(job.conn);
  if (conn === undefined || !isRepeatable(job.msg)) {
    return;
  }
  noteRun(pool, conn.endpoint, true);
  dropConn(pool, conn, 'a read had no answer', endOnLostConn(pool));
}

/** Ends a job whose time is over. */
export function expireJob(pool: Pool, job: Job): void {
  if (job.phase === 'waiting') {
    endJob(pool, job, refused('too_late'));
    closeTxOf(pool, job, 'a statement was too late');
    return;
  }
  const wasSent = job.sentAt !== null;
  const result: RunResult =
    wasSent && isCommitting(job.msg)
      ? unknown('timed_out')
      : refused('too_late');
  endJob(pool, job, result);
  const conn = job.conn === null ? undefined : pool.conns.get(job.conn);
  if (conn === undefined) {
    return;
  }
  if (wasSent && job.msg.tx === null) {
    // It goes on running there. A new connection would take a slot as well, at
    // the very time when there are too few.
    pool.conns.update(conn.id, {answerBy: pool.now() + LATE_ANSWER_MS});
    return;
  }
  dropConn(pool, conn, 'a statement had no answer', endOnLostConn(pool));
}

function closeTxOf(pool: Pool, job: Job, reason: string): void {
  const tx = job.msg.tx === null ? undefined : pool.txs.get(job.msg.tx.id);
  if (tx !== undefined) {
    closeTx(pool, tx, reason);
  }
}

/** Runs a job on a connection that is free, or that its transaction holds. */
export function runJob(
  pool: Pool,
  job: Job,
  conn: Conn,
  required: LogPosition | null,
): void {
  const {msg} = job;
  const {request, tx} = msg;
  const prep = prepareConn(conn, msg);
  const started = pool.jobs.update(request, {
    phase: 'running',
    conn: conn.id,
    endpoint: conn.endpoint,
    attempts: job.attempts + 1,
  })!;
  pool.conns.update(conn.id, {
    request,
    tx: tx?.id ?? null,
    values: prep.values,
    prepared: prep.prepared,
  });
  recordStart(pool, started, required);
  const begin: readonly EndpointCommand[] =
    tx?.isFirst === true ? [{type: 'begin', readOnly: tx.readOnly}] : [];
  const steps = [...prep.commands, ...begin];
  const sendStatement = (): void => {
    const current = pool.jobs.get(request);
    if (current?.conn !== conn.id) {
      return;
    }
    pool.jobs.update(request, {sentAt: pool.now()});
    conn.link.send(
      toCommand(msg),
      msg.callerRequest,
      isRepeatable(msg) ? required : null,
      reply => handleReply(pool, request, conn.id, reply),
    );
  };
  if (steps.length === 0) {
    sendStatement();
    return;
  }
  let left = steps.length;
  let hasFailed = false;
  for (const command of steps) {
    const after = command.type === 'begin' ? required : null;
    conn.link.send(command, null, after, reply => {
      left--;
      if (reply.type === 'error' && !hasFailed) {
        hasFailed = true;
        handlePrepareFault(pool, request, conn.id, command, reply);
      }
      if (left === 0 && !hasFailed) {
        openTx(pool, request, conn.id);
        sendStatement();
      }
    });
  }
}

function recordStart(pool: Pool, job: Job, required: LogPosition | null): void {
  const {msg} = job;
  pool.cfg.ports.record('debug', 'job_started', {
    request: msg.request,
    caller_request: msg.callerRequest,
    group: pool.cfg.group,
    endpoint: job.endpoint,
    attempt: job.attempts,
    tx: msg.tx?.id ?? null,
    rank: String(msg.priority),
    consistency: msg.consistency,
    min_term: required?.term ?? null,
    min_index: required?.index ?? null,
    primary: pool.read().primary?.endpoint ?? null,
    term: pool.read().primary?.term ?? null,
    waited_ms: Math.round(pool.now() - job.receivedAt),
    left_ms: Math.round(job.deadline - pool.now()),
    generation: pool.cfg.readGeneration(),
  });
}

/** Notes that a transaction is open, once its begin was answered. */
function openTx(pool: Pool, request: string, connId: number): void {
  const job = pool.jobs.get(request);
  const conn = pool.conns.get(connId);
  if (job?.msg.tx?.isFirst !== true || conn === undefined) {
    return;
  }
  const {id, readOnly} = job.msg.tx;
  pool.txs.put(id, {
    id,
    host: job.host,
    conn: connId,
    endpoint: conn.endpoint,
    readOnly,
    idleAt: Infinity,
  });
}

/** Handles an error before the statement was sent: nothing has run. */
function handlePrepareFault(
  pool: Pool,
  request: string,
  connId: number,
  command: EndpointCommand,
  reply: ErrorReply,
): void {
  const job = pool.jobs.get(request);
  const conn = pool.conns.get(connId);
  if (job === undefined || conn === undefined) {
    return;
  }
  noteAlive(pool, conn.endpoint);
  noteFault(pool, conn, job, reply.fault);
  const isFirst = job.msg.tx?.isFirst ?? true;
  if (isFirst) {
    retryElsewhere(pool, job, conn.endpoint);
  } else {
    endJob(pool, job, refused('tx_gone'));
  }
  if (command.type === 'begin' && reply.state === 'idle') {
    // The last of the steps: all others took effect, and nothing is open.
    releaseTx(pool, conn);
    return;
  }
  pool.conns.update(connId, {request: null});
  dropConn(
    pool,
    pool.conns.get(connId)!,
    `could not be prepared: ${reply.fault}`,
    endOnLostConn(pool),
  );
}

/** Notes what a fault tells of its endpoint. */
function noteFault(
  pool: Pool,
  conn: Conn,
  job: Job,
  fault: EndpointFault,
): void {
  const now = pool.now();
  const state = pool.endpoints.get(conn.endpoint);
  if (state === undefined) {
    return;
  }
  if (fault === 'busy') {
    pool.endpoints.update(conn.endpoint, {
      backoffUntil: now + BUSY_BACKOFF_MS,
    });
  }
  if (fault === 'lagging') {
    const since = now - job.receivedAt;
    pool.endpoints.update(conn.endpoint, {
      lagMs: Math.max(state.lagMs, since, 1) * LAG_GROWTH,
    });
  }
  if (fault === 'read_only') {
    pool.endpoints.update(conn.endpoint, {
      backoffUntil: now + ROLE_BACKOFF_MS,
    });
  }
}

/** Pause of a primary that says it is none, in ms: one fast status probe. */
const ROLE_BACKOFF_MS = 100;
/** Growth of a replica's lag estimate when it lacks a position. */
const LAG_GROWTH = 1.5;

/** Handles the answer to a statement. */
function handleReply(
  pool: Pool,
  request: string,
  connId: number,
  reply: EndpointReply,
): void {
  const conn = pool.conns.get(connId);
  const job = pool.jobs.get(request);
  if (conn === undefined) {
    return;
  }
  noteAlive(pool, conn.endpoint);
  if (job === undefined || conn.request !== request) {
    releaseConn(pool, conn);
    return;
  }
  noteService(pool, conn, job, reply);
  const isRun = reply.type === 'done' || RAN_FAULTS.has(reply.fault);
  if (isRun) {
    noteRun(pool, conn.endpoint, reply.type === 'error');
  }
  if (reply.type === 'done') {
    handleDone(pool, job, conn, reply);
  } else {
    FAULT_HANDLERS[reply.fault](pool, job, conn, reply);
  }
}

/** Faults of a statement that the endpoint has begun to run. */
const RAN_FAULTS: ReadonlySet<EndpointFault> = new Set([
  'failed',
  'timed_out',
  'other',
]);

/** Takes the time and the position of an answer into account. */
function noteService(
  pool: Pool,
  conn: Conn,
  job: Job,
  reply: EndpointReply,
): void {
  const state = pool.endpoints.get(conn.endpoint);
  if (state === undefined || job.sentAt === null) {
    return;
  }
  const took = pool.now() - job.sentAt;
  pool.endpoints.update(conn.endpoint, {
    serviceMs: state.serviceMs + SERVICE_GAIN * (took - state.serviceMs),
    applied: reply.position ?? state.applied,
    wroteAt: isCommitting(job.msg) ? pool.now() : state.wroteAt,
  });
}

function handleDone(pool: Pool, job: Job, conn: Conn, reply: DoneReply): void {
  const {msg} = job;
  const {rows, signature, position} = reply;
  const isEnd = msg.statement.type === 'commit';
  if (isEnd || msg.tx === null) {
    releaseTx(pool, conn);
  } else {
    pool.txs.update(msg.tx.id, {idleAt: pool.now() + readTxIdleMs(pool)});
    releaseConn(pool, conn);
  }
  if (!pool.cfg.isLeaseValid()) {
    endWithoutLease(pool, job);
    return;
  }
  if (isCommitting(msg)) {
    noteAcked(pool, position);
  }
  endJob(pool, job, {type: 'done', rows, signature, position});
}

/** Ends a job whose answer came when this host may no longer act. */
export function endWithoutLease(pool: Pool, job: Job): void {
  const result =
    job.sentAt !== null && isCommitting(job.msg)
      ? unknown('lease_expired')
      : refused(job.msg.tx === null ? 'not_owner' : 'tx_gone');
  endJob(pool, job, result);
  closeTxOf(pool, job, 'the lease expired');
}

function readTxIdleMs(pool: Pool): number {
  return pool.cfg.readTable()?.txIdleMs ?? DEFAULT_TX_IDLE_MS;
}

/** Used until the table is known, in ms. */
const DEFAULT_TX_IDLE_MS = 3_000;

type FaultHandler = (
  pool: Pool,
  job: Job,
  conn: Conn,
  reply: ErrorReply,
) => void;

/** The statement has not run: it waits for another turn. */
const onNotRun: FaultHandler = (pool, job, conn, reply) => {
  noteFault(pool, conn, job, reply.fault);
  const {tx} = job.msg;
  if (tx === null) {
    releaseConn(pool, conn);
    retryElsewhere(pool, job, conn.endpoint);
    return;
  }
  if (reply.fault === 'busy' && reply.state === 'open') {
    releaseConn(pool, conn);
    pool.jobs.update(job.msg.request, {
      msg: {...job.msg, tx: {...tx, isFirst: false}},
    });
    returnToQueue(pool, job, job.avoided);
    return;
  }
  endJob(pool, job, refused('tx_gone'));
  closeTxOf(pool, job, `not run: ${reply.fault}`);
};

/** The statement ran and failed; the caller learns how. */
const onFailed: FaultHandler = (pool, job, conn, reply) => {
  const fault = reply.fault === 'timed_out' ? 'timed_out' : 'failed';
  if (isRepeatable(job.msg) && job.attempts < MAX_READ_ATTEMPTS) {
    releaseConn(pool, conn);
    retryElsewhere(pool, job, conn.endpoint);
    return;
  }
  endJob(pool, job, {type: 'failed', fault, text: reply.text});
  if (job.msg.tx === null) {
    releaseConn(pool, conn);
    return;
  }
  closeTxOf(pool, job, `failed: ${reply.text}`);
};

/** The endpoint gave an answer that tells nothing of the outcome. */
const onOther: FaultHandler = (pool, job, conn, reply) => {
  const result =
    isCommitting(job.msg) && reply.fault === 'other'
      ? unknown('connection_lost')
      : refused('tx_gone');
  endJob(pool, job, result);
  closeTxOf(pool, job, reply.text);
  const left = pool.conns.get(conn.id);
  if (left !== undefined) {
    dropConn(pool, left, reply.text, endOnLostConn(pool));
  }
};

const FAULT_HANDLERS: Readonly<Record<EndpointFault, FaultHandler>> = {
  busy: onNotRun,
  not_prepared: onNotRun,
  lagging: onNotRun,
  read_only: onNotRun,
  failed: onFailed,
  timed_out: onFailed,
  moved: onOther,
  too_many_connections: onOther,
  aborted: onOther,
  other: onOther,
};
