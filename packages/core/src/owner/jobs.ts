/** Runs the steps of jobs on connections and ends jobs. */

import type {ConnAnsweredEvent} from '../engine/event.js';
import {invariant} from '../engine/invariant.js';
import type {EndpointId} from '../model/ids.js';
import type {Outcome} from '../model/outcome.js';
import {queryReplicas} from './acks.js';
import {findAckFault, findEvidenceFault, findStartFault} from './checks.js';
import {endJob} from './answers.js';
import {closeConn, needsCheck} from './connections.js';
import {SERVICE_TIME_GAIN, TX_IDLE_MS} from './limits.js';
import {closeTx, endQueuedOfTx, requeue} from './lost_connections.js';
import {STEPS, findFirstStep, notRun} from './steps.js';
import type {ConnUse, Next} from './steps.js';
import {getPool, record, setConn, setJob, setPool} from './turn.js';
import type {Turn} from './turn.js';
import type {Conn, Job, Pool, StepName, Tx} from './state.js';

/** Starts a job on a free connection or on that of its transaction. */
export function startJob(turn: Turn, pool: Pool, job: Job, conn: Conn): void {
  const {endpoint} = pool;
  const {request, tx} = job.msg;
  invariant(
    conn.request === null && conn.tx === tx,
    `Connection ${conn.id} is in use and cannot run request ${request}.`,
  );
  const fault = findStartFault(turn, pool, job.msg);
  if (fault !== null) {
    refuseStart(turn, pool, job, notRun(fault));
    return;
  }
  setConn(turn, endpoint, conn.id, {request});
  const started = setJob(turn, endpoint, request, {
    phase: 'running',
    conn: conn.id,
    startedAt: turn.now,
  })!;
  const isChecked = tx !== null || !needsCheck(conn, turn.now);
  const step = isChecked ? findFirstStep(job) : 'check';
  const {attempt, group, kind, rank} = job.msg;
  record(turn, 'debug', 'job_started', {
    request,
    attempt,
    endpoint,
    group,
    kind,
    rank,
    conn: conn.id,
    step,
    waited_ms: Math.round(turn.now - job.receivedAt),
  });
  sendStep(turn, endpoint, started, step);
}

/** Ends a job before any step; a refused commit closes its transaction. */
function refuseStart(turn: Turn, pool: Pool, job: Job, outcome: Outcome): void {
  endJob(turn, pool.endpoint, job.msg.request, outcome);
  if (job.msg.mode === 'commit' && job.msg.tx !== null) {
    closeTx(turn, pool.endpoint, job.msg.tx, 'commit_refused');
  }
}

/** Sends one step of a running job. */
function sendStep(
  turn: Turn,
  endpoint: EndpointId,
  job: Job,
  name: StepName,
): void {
  const step = turn.pools().nextStep;
  const conn = getPool(turn, endpoint)!.conns.get(job.conn!)!;
  turn.setPools({nextStep: step + 1});
  const next = setJob(turn, endpoint, job.msg.request, {step: name})!;
  setConn(turn, endpoint, conn.id, {
    step,
    sentAt: turn.now,
    isOverdue: false,
  });
  const statement =
    name === 'check' && conn.isUnclean
      ? STEPS.key_rollback.statement(next)
      : STEPS[name].statement(next);
  turn.act({type: 'run_conn', endpoint, conn: conn.id, step, statement});
}

/** Steps that are sent only while the write evidence is valid. */
const STEPS_NEEDING_EVIDENCE: ReadonlySet<StepName> = new Set([
  'statement',
  'key_statement',
  'key_update',
  'key_commit',
]);

/** Handles the answer to the step in flight; ignores answers to other steps. */
export function handleAnswer(turn: Turn, event: ConnAnsweredEvent): void {
  const {endpoint} = event;
  const pool = getPool(turn, endpoint);
  const conn = pool?.conns.get(event.conn);
  if (!pool || conn === undefined || conn.step !== event.step) {
    return;
  }
  const job =
    conn.request === null ? undefined : pool.jobs.active.get(conn.request);
  invariant(
    job !== undefined && job.step !== null,
    `Connection ${conn.id} has step ${event.step} in flight but no job.`,
  );
  setConn(turn, endpoint, conn.id, {
    step: null,
    sentAt: null,
    isOverdue: false,
  });
  const isCheck = job.step === 'check';
  const {answer} = event;
  const hasTx = answer.type === 'result' && answer.inTx;
  if (isCheck && (answer.type === 'error' || hasTx)) {
    requeue(turn, endpoint, job, conn);
    return;
  }
  if (isCheck) {
    setConn(turn, endpoint, conn.id, {isSuspect: false, isUnclean: false});
  }
  updateAnsweredSentAt(turn, endpoint, job.step, conn);
  const step = STEPS[job.step];
  const next =
    answer.type === 'result'
      ? step.onResult(job, answer)
      : step.onError(job, answer.error);
  applyNext(turn, pool, job, conn, next, hasTx);
}

/**
 * Records that a statement was answered. A check uses no slot of the endpoint,
 * so its answer does not show that slots are free.
 */
function updateAnsweredSentAt(
  turn: Turn,
  endpoint: EndpointId,
  step: StepName,
  {sentAt}: Conn,
): void {
  const {answeredSentAt} = getPool(turn, endpoint)!;
  if (step !== 'check' && sentAt !== null && sentAt > answeredSentAt) {
    setPool(turn, endpoint, {answeredSentAt: sentAt});
  }
}

/** Sends the next step of a job, or ends it. */
function applyNext(
  turn: Turn,
  pool: Pool,
  job: Job,
  conn: Conn,
  next: Next,
  hasTx: boolean,
): void {
  const {endpoint} = pool;
  const {request} = job.msg;
  if (next.type === 'end') {
    const use = next.use === 'free' && hasTx ? 'close' : next.use;
    endRunning(turn, pool, job, conn, next.outcome, use);
    return;
  }
  const saved = setJob(turn, endpoint, request, {
    pending: next.pending ?? null,
    saved: next.saved ?? job.saved,
  })!;
  const fault = STEPS_NEEDING_EVIDENCE.has(next.step)
    ? findEvidenceFault(turn, pool, job.msg)
    : null;
  if (fault === null) {
    sendStep(turn, endpoint, saved, next.step);
    return;
  }
  rollBackJob(turn, pool, saved, conn, notRun(fault));
}

/** Rolls back a job whose write evidence expired between two of its steps. */
function rollBackJob(
  turn: Turn,
  pool: Pool,
  job: Job,
  conn: Conn,
  outcome: Outcome,
): void {
  const isOpenTx = job.step !== 'check';
  if (!isOpenTx) {
    endRunning(turn, pool, job, conn, outcome, 'free');
    return;
  }
  const isInTx = job.msg.tx !== null;
  const {endpoint} = pool;
  const pending = isInTx ? notRun('tx_gone') : outcome;
  const next = setJob(turn, endpoint, job.msg.request, {pending})!;
  sendStep(turn, endpoint, next, isInTx ? 'tx_rollback' : 'key_rollback');
}

/**
 * Ends a running job: checks the write evidence, releases the connection and
 * sends the outcome. Without evidence an open transaction is closed, so that it
 * cannot commit.
 */
function endRunning(
  turn: Turn,
  pool: Pool,
  job: Job,
  conn: Conn,
  outcome: Outcome,
  use: ConnUse,
): void {
  const {endpoint} = pool;
  const fault =
    outcome.type === 'done' ? findAckFault(turn, pool, job.msg) : null;
  updateServiceTime(turn, pool, job);
  if (fault !== null && use === 'pin') {
    releaseConn(turn, pool, job, conn, 'close');
    endJob(turn, endpoint, job.msg.request, notRun('tx_gone'));
    return;
  }
  const finalOutcome: Outcome =
    fault === null ? outcome : {type: 'unknown', reason: fault};
  releaseConn(turn, pool, job, conn, use);
  if (finalOutcome.type === 'done' && awaitsReplica(job, finalOutcome)) {
    queryReplicas(turn, endpoint, job, finalOutcome);
    return;
  }
  endJob(turn, endpoint, job.msg.request, finalOutcome);
}

/** Returns whether a replica must confirm a job before it is acknowledged. */
function awaitsReplica(job: Job, outcome: Outcome): boolean {
  return (
    job.msg.ack === 'replica' &&
    outcome.type === 'done' &&
    outcome.position !== null &&
    (job.msg.mode === 'commit' || job.msg.mode === 'autocommit')
  );
}

/** Adds the duration of a job to the average service time. */
function updateServiceTime(turn: Turn, pool: Pool, job: Job): void {
  const tookMs = turn.now - (job.startedAt ?? turn.now);
  const serviceMs =
    pool.serviceMs + SERVICE_TIME_GAIN * (tookMs - pool.serviceMs);
  setPool(turn, pool.endpoint, {serviceMs});
}

/** Frees, pins or closes the connection of a job that has ended. */
function releaseConn(
  turn: Turn,
  pool: Pool,
  job: Job,
  conn: Conn,
  use: ConnUse,
): void {
  const {endpoint} = pool;
  if (use === 'pin') {
    pinConn(turn, pool, job, conn);
    return;
  }
  removeTx(turn, pool, job);
  if (use === 'close') {
    closeConn(turn, endpoint, conn.id);
    return;
  }
  setConn(turn, endpoint, conn.id, {
    request: null,
    tx: null,
    step: null,
    sentAt: null,
    idleSince: turn.now,
    isUnclean: use === 'unclean',
  });
}

function pinConn(turn: Turn, pool: Pool, job: Job, conn: Conn): void {
  const {endpoint} = pool;
  const id = job.msg.tx ?? job.msg.request;
  const idleAt = turn.now + TX_IDLE_MS;
  const existing = pool.txs.get(id);
  const tx: Tx = {
    id,
    host: job.host,
    generation: job.generation,
    conn: conn.id,
    term: job.msg.term ?? existing?.term ?? null,
    kindKey: existing?.kindKey ?? job.kindKey,
    hasWritten: (existing?.hasWritten ?? false) || job.msg.isWrite,
    idleAt,
  };
  const {txs} = getPool(turn, endpoint)!;
  setPool(turn, endpoint, {txs: txs.set(id, tx)});
  setConn(turn, endpoint, conn.id, {request: null, tx: id});
  turn.act({type: 'set_timer', at: idleAt, timer: {name: 'tx_idle', tx: id}});
}

function removeTx(turn: Turn, pool: Pool, job: Job): void {
  if (job.msg.tx === null) {
    return;
  }
  const {txs} = getPool(turn, pool.endpoint)!;
  setPool(turn, pool.endpoint, {txs: txs.delete(job.msg.tx)});
  endQueuedOfTx(turn, pool.endpoint, job.msg.tx);
}
