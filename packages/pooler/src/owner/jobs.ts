/** Runs statements on connections and reports their results. */

import type {EndpointId, LogPosition} from '@lacewingroad/core';
import {isCommitting, isRetryable, isWrite} from '../decisions/effects.js';
import {addWrite, removeWrite} from '../decisions/stuck_writes.js';
import {refused, unknown} from '../model/result.js';
import type {RunResult} from '../model/result.js';
import type {
  EndpointCommand,
  EndpointFault,
  EndpointReply,
} from '../model/statement.js';
import {recordAckedCommit} from './acks.js';
import {recordReply} from './capacity.js';
import {dropConn} from './connections.js';
import {BUSY_BACKOFF_MS, MAX_READ_ATTEMPTS} from './limits.js';
import {prepareConn} from './prepare.js';
import {recordUse} from './overload.js';
import {markUp, recordOutcome} from './state.js';
import type {Conn, Job, Pool, Tx} from './state.js';

type ErrorReply = Extract<EndpointReply, {type: 'error'}>;
type DoneReply = Extract<EndpointReply, {type: 'done'}>;

/** Ends a job and sends the result to the requesting host. */
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
    rank: String(job.priority),
    attempts: job.attempts,
    took_ms: Math.round(pool.now() - job.receivedAt),
    left_ms: Math.round(job.deadline - pool.now()),
    generation: pool.cfg.readGeneration(),
  });
  send(job.host, {type: 'ran', request: job.msg.request, result});
}

/** Puts a job back into the queue. */
function requeueJob(
  pool: Pool,
  job: Job,
  avoided: readonly EndpointId[],
): void {
  pool.jobs.update(job.msg.request, {
    phase: 'waiting',
    conn: null,
    endpoint: null,
    sentAt: null,
    awaitsReplicas: false,
    sentAfter: null,
    avoided,
  });
  pool.wake();
}

/** Ends a transaction by closing its connection, which rolls it back. */
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
    dropConn(pool, conn, reason, createConnLostHandler(pool));
  }
}

/** Rolls back a transaction that its caller ended, and keeps the connection. */
export function rollBackTx(pool: Pool, tx: Tx): void {
  const conn = pool.conns.get(tx.conn);
  if (conn === undefined || conn.request !== null) {
    closeTx(pool, tx, 'rolled back while a statement ran');
    return;
  }
  pool.txs.remove(tx.id);
  pool.conns.update(conn.id, {
    tx: null,
    replyDeadline: pool.now() + ROLLBACK_TIMEOUT_MS,
  });
  conn.link.send({type: 'rollback'}, null, null, reply => {
    markUp(pool, conn.endpoint);
    if (reply.state !== 'idle') {
      dropConn(
        pool,
        pool.conns.get(conn.id) ?? conn,
        'a rollback failed',
        createConnLostHandler(pool),
      );
      return;
    }
    pool.conns.update(conn.id, {replyDeadline: null, idleSince: pool.now()});
    pool.wake();
  });
}

/** Time after a deadline in which a reply may still arrive, in ms. */
const LATE_REPLY_MS = 500;
/** Timeout for a rollback, which needs no slot, in ms. */
const ROLLBACK_TIMEOUT_MS = 600;

/** Marks a connection as free after its statement. */
function releaseConn(pool: Pool, conn: Conn): void {
  pool.conns.update(conn.id, {
    request: null,
    replyDeadline: null,
    idleSince: pool.now(),
  });
  pool.wake();
}

/** Marks a connection as free and removes the transaction that ended on it. */
function releaseTx(pool: Pool, conn: Conn): void {
  if (conn.tx !== null) {
    pool.txs.remove(conn.tx);
  }
  pool.conns.update(conn.id, {tx: null});
  releaseConn(pool, conn);
}

/**
 * Returns the handler of lost connections. It requeues the job if its statement
 * was not sent or is a read, and reports an unknown outcome if the statement
 * may have taken effect.
 */
export function createConnLostHandler(
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
    if (isRetryable(job.msg) || (!wasSent && isFirst)) {
      retryWithLimit(pool, job, conn.endpoint);
      return;
    }
    endJob(pool, job, refused('tx_gone'));
  };
}

/** Requeues a job that has not run, preferably for another endpoint. */
function retryElsewhere(pool: Pool, job: Job, failed: EndpointId): void {
  requeueJob(pool, job, addAvoided(pool, job, failed));
}

/**
 * Requeues a job that may have run, preferably for another endpoint. Attempts
 * are limited, because each uses a slot.
 */
function retryWithLimit(pool: Pool, job: Job, failed: EndpointId): void {
  if (job.attempts >= MAX_READ_ATTEMPTS) {
    endJob(pool, job, refused('no_endpoint'));
    return;
  }
  retryElsewhere(pool, job, failed);
}

/**
 * Adds an endpoint to those avoided, or clears the list if no other is usable.
 */
function addAvoided(
  pool: Pool,
  job: Job,
  endpoint: EndpointId,
): readonly EndpointId[] {
  const avoided = [...new Set([...job.avoided, endpoint])];
  const isAnotherUsable = pool.endpoints
    .list()
    .some(
      ({entry, downSince}) =>
        !avoided.includes(entry.id) && !entry.isLeaving && downSince === null,
    );
  return isAnotherUsable ? avoided : [];
}

/** Closes the connection of a read without a reply; it is retried elsewhere. */
export function retryUnansweredRead(pool: Pool, job: Job): void {
  const conn = job.conn === null ? undefined : pool.conns.get(job.conn);
  if (conn === undefined || !isRetryable(job.msg)) {
    return;
  }
  recordOutcome(pool, conn.endpoint, true);
  dropConn(pool, conn, 'no reply to a read', createConnLostHandler(pool));
}

/** Ends a job whose deadline has passed. */
export function expireJob(pool: Pool, job: Job): void {
  if (job.phase === 'waiting') {
    endJob(pool, job, refused('too_late'));
    closeTxOf(pool, job, 'a statement missed its deadline');
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
    // The statement keeps running at the endpoint. Opening a new connection
    // would occupy another slot while slots are scarce.
    pool.conns.update(conn.id, {replyDeadline: pool.now() + LATE_REPLY_MS});
    return;
  }
  dropConn(
    pool,
    conn,
    'a statement had no answer',
    createConnLostHandler(pool),
  );
}

/** Closes the open transaction of a job, if any. */
export function closeTxOf(pool: Pool, job: Job, reason: string): void {
  const tx = job.msg.tx === null ? undefined : pool.txs.get(job.msg.tx.id);
  if (tx !== undefined) {
    closeTx(pool, tx, reason);
  }
}

/**
 * Runs a job on a free connection, or on the one that its transaction holds.
 */
export function runJob(
  pool: Pool,
  job: Job,
  conn: Conn,
  required: LogPosition | null,
): void {
  const {msg} = job;
  const {request, tx} = msg;
  const preparation = prepareConn(conn, msg);
  const started = pool.jobs.update(request, {
    phase: 'running',
    conn: conn.id,
    endpoint: conn.endpoint,
    attempts: job.attempts + 1,
  })!;
  pool.conns.update(conn.id, {
    request,
    tx: tx?.id ?? null,
    values: preparation.values,
    prepared: preparation.prepared,
  });
  recordStart(pool, started, required);
  const begin: readonly EndpointCommand[] =
    tx?.isFirst === true ? [{type: 'begin', readOnly: tx.readOnly}] : [];
  const steps = [...preparation.commands, ...begin];
  const sendStatement = (): void => {
    const current = pool.jobs.get(request);
    if (current?.conn !== conn.id) {
      return;
    }
    recordSent(pool, current);
    conn.link.send(
      preparation.statement,
      msg.callerRequest,
      isRetryable(msg) ? required : null,
      reply => handleReply(pool, request, conn.id, reply),
    );
  };
  if (steps.length === 0) {
    sendStatement();
    return;
  }
  let remaining = steps.length;
  let hasFailed = false;
  for (const command of steps) {
    const after = command.type === 'begin' ? required : null;
    conn.link.send(command, null, after, reply => {
      remaining--;
      if (reply.type === 'error' && !hasFailed) {
        hasFailed = true;
        handlePreparationError(pool, request, conn.id, command, reply);
      }
      if (remaining === 0 && !hasFailed) {
        openTx(pool, request, conn.id);
        sendStatement();
      }
    });
  }
}

/** Records that the statement of a job is sent now. */
function recordSent(pool: Pool, job: Job): void {
  const {msg} = job;
  const tx = msg.tx === null ? undefined : pool.txs.get(msg.tx.id);
  const awaitsReplicas =
    isCommitting(msg) && (msg.tx === null || tx?.hasWritten === true);
  const endpoint = pool.endpoints.get(job.endpoint ?? '');
  pool.jobs.update(msg.request, {
    sentAt: pool.now(),
    awaitsReplicas,
    sentAfter: endpoint?.applied ?? null,
  });
  if (tx !== undefined && isWrite(msg)) {
    pool.txs.update(tx.id, {hasWritten: true});
  }
  if (awaitsReplicas) {
    pool.update({unanswered: addWrite(pool.read().unanswered, pool.now())});
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

/** Registers a transaction once its begin has succeeded. */
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
    hasWritten: false,
    idleDeadline: Infinity,
  });
}

/** Handles an error of a preparation command: the statement was not sent. */
function handlePreparationError(
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
  markUp(pool, conn.endpoint);
  applyFault(pool, conn, job, reply.fault);
  const isFirst = job.msg.tx?.isFirst ?? true;
  if (isFirst) {
    retryElsewhere(pool, job, conn.endpoint);
  } else {
    endJob(pool, job, refused('tx_gone'));
  }
  if (command.type === 'begin' && reply.state === 'idle') {
    // Begin is the last step: all others succeeded, and no transaction is open.
    releaseTx(pool, conn);
    return;
  }
  pool.conns.update(connId, {request: null});
  dropConn(
    pool,
    pool.conns.get(connId)!,
    `preparing the connection failed: ${reply.fault}`,
    createConnLostHandler(pool),
  );
}

/** Updates an endpoint's backoff or lag estimate after a fault. */
function applyFault(
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

/**
 * Pause of an endpoint that refuses writes, in ms: one fast status interval.
 */
const ROLE_BACKOFF_MS = 100;
/** Growth factor of a replica's lag estimate when it lacks a position. */
const LAG_GROWTH = 1.5;

/** Handles the reply to a statement. */
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
  markUp(pool, conn.endpoint);
  if (job === undefined || conn.request !== request) {
    releaseConn(pool, conn);
    return;
  }
  recordReply(pool, conn, job, reply);
  recordUse(pool, job);
  if (job.awaitsReplicas) {
    const {unanswered} = pool.read();
    const isConfirmed = reply.type === 'done';
    pool.update({unanswered: removeWrite(unanswered, isConfirmed)});
  }
  const hasRun = reply.type === 'done' || RAN_FAULTS.has(reply.fault);
  if (hasRun) {
    recordOutcome(pool, conn.endpoint, reply.type === 'error');
  }
  if (reply.type === 'done') {
    handleDone(pool, job, conn, reply);
  } else {
    FAULT_HANDLERS[reply.fault](pool, job, conn, reply);
  }
}

/** Faults of statements that the endpoint started to run. */
const RAN_FAULTS: ReadonlySet<EndpointFault> = new Set([
  'failed',
  'timed_out',
  'other',
]);

function handleDone(pool: Pool, job: Job, conn: Conn, reply: DoneReply): void {
  const {msg} = job;
  const {rows, signature, position} = reply;
  const isCommit = msg.statement.type === 'commit';
  if (isCommit || msg.tx === null) {
    releaseTx(pool, conn);
  } else {
    pool.txs.update(msg.tx.id, {idleDeadline: pool.now() + getTxIdleMs(pool)});
    releaseConn(pool, conn);
  }
  if (!pool.cfg.isLeaseValid()) {
    endJobWithoutLease(pool, job);
    return;
  }
  if (job.awaitsReplicas) {
    // The position after another commit may include writes that the primary
    // has not confirmed.
    recordAckedCommit(pool, job, position);
  }
  endJob(pool, job, {type: 'done', rows, signature, position});
}

/** Ends a job after this host's lease on the group has expired. */
export function endJobWithoutLease(pool: Pool, job: Job): void {
  const result =
    job.sentAt !== null && isCommitting(job.msg)
      ? unknown('lease_expired')
      : refused(job.msg.tx === null ? 'not_owner' : 'tx_gone');
  endJob(pool, job, result);
  closeTxOf(pool, job, 'the lease expired');
}

function getTxIdleMs(pool: Pool): number {
  return pool.cfg.readTable()?.txIdleMs ?? DEFAULT_TX_IDLE_MS;
}

/** Idle timeout of transactions until the table is known, in ms. */
const DEFAULT_TX_IDLE_MS = 3_000;

type FaultHandler = (
  pool: Pool,
  job: Job,
  conn: Conn,
  reply: ErrorReply,
) => void;

/** The statement has not run: it is requeued, or its transaction ends. */
const onNotRun: FaultHandler = (pool, job, conn, reply) => {
  applyFault(pool, conn, job, reply.fault);
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
      // It holds a connection from now on, which must not wait behind new work.
      isInTx: true,
    });
    requeueJob(pool, job, job.avoided);
    return;
  }
  endJob(pool, job, refused('tx_gone'));
  closeTxOf(pool, job, `not run: ${reply.fault}`);
};

/**
 * The statement ran and failed: a read is retried, otherwise the caller gets
 * the error.
 */
const onFailed: FaultHandler = (pool, job, conn, reply) => {
  const fault = reply.fault === 'timed_out' ? 'timed_out' : 'failed';
  if (isRetryable(job.msg) && job.attempts < MAX_READ_ATTEMPTS) {
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

/** The reply does not show whether the statement took effect. */
const onOther: FaultHandler = (pool, job, conn, reply) => {
  const result =
    isCommitting(job.msg) && reply.fault === 'other'
      ? unknown('connection_lost')
      : refused('tx_gone');
  endJob(pool, job, result);
  closeTxOf(pool, job, reply.text);
  const currentConn = pool.conns.get(conn.id);
  if (currentConn !== undefined) {
    dropConn(pool, currentConn, reply.text, createConnLostHandler(pool));
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
