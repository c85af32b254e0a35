/** Waits for replicas: asks other owners, and answers those that ask. */

import {isOwnerOf} from '../control/facts.js';
import type {EndpointId, HostId} from '../model/ids.js';
import type {AwaitPositionMessage, PositionMessage} from '../model/message.js';
import type {DoneOutcome, Outcome} from '../model/outcome.js';
import {findAckFault, isPositionReached} from './checks.js';
import {endJob} from './answers.js';
import {FAST_PROBE_MS} from './limits.js';
import {getGroup, getPool, setJob, setPool} from './turn.js';
import type {Turn} from './turn.js';
import type {Job, Pool, PositionWait} from './state.js';

const REPLICA_NOT_REACHED: Outcome = {
  type: 'unknown',
  reason: 'replica_not_reached',
};

/** Asks the owners of the group's other endpoints for a write's position. */
export function askReplicas(
  turn: Turn,
  endpoint: EndpointId,
  job: Job,
  outcome: DoneOutcome,
): void {
  const pool = getPool(turn, endpoint)!;
  const {request} = job.msg;
  const {position} = outcome;
  const group = getGroup(turn, pool);
  const others = (group?.endpoints ?? []).filter(
    other => other.id !== endpoint && group?.owners[other.id] !== undefined,
  );
  if (others.length === 0 || position === null) {
    endJob(turn, endpoint, request, REPLICA_NOT_REACHED);
    return;
  }
  setJob(turn, endpoint, request, {
    phase: 'acking',
    conn: null,
    step: null,
    pending: outcome,
  });
  for (const other of others) {
    askReplica(turn, job, endpoint, group!.owners[other.id]!, {
      type: 'await_position',
      ask: turn.pools().nextAsk,
      endpoint: other.id,
      position,
      timeoutLeftMs: job.deadline - turn.now,
    });
  }
  turn.act({
    type: 'set_timer',
    at: job.deadline,
    timer: {name: 'ack_wait', endpoint, request},
  });
}

function askReplica(
  turn: Turn,
  job: Job,
  endpoint: EndpointId,
  host: HostId,
  msg: AwaitPositionMessage,
): void {
  const {asks, nextAsk} = turn.pools();
  const {request} = job.msg;
  turn.setPools({
    nextAsk: nextAsk + 1,
    asks: asks.set(nextAsk, {endpoint, request}),
  });
  turn.act({type: 'send', host, msg});
}

/** Handles the answer of a replica's owner. */
export function handlePosition(turn: Turn, msg: PositionMessage): void {
  const {asks} = turn.pools();
  const ask = asks.get(msg.ask);
  if (ask === undefined) {
    return;
  }
  turn.setPools({asks: asks.delete(msg.ask)});
  const pool = getPool(turn, ask.endpoint);
  const job = pool?.jobs.active.get(ask.request);
  if (!pool || job?.phase !== 'acking' || !msg.reached) {
    return;
  }
  const fault = findAckFault(turn, pool, job.msg);
  const outcome: Outcome =
    fault === null ? job.pending! : {type: 'unknown', reason: fault};
  endAcking(turn, pool, job, outcome);
}

/** Ends a job that no replica confirmed in time. */
export function expireAck(turn: Turn, pool: Pool, job: Job): void {
  endAcking(turn, pool, job, REPLICA_NOT_REACHED);
}

function endAcking(turn: Turn, pool: Pool, job: Job, outcome: Outcome): void {
  const {request} = job.msg;
  const {asks} = turn.pools();
  turn.setPools({asks: asks.filter(ask => ask.request !== request)});
  endJob(turn, pool.endpoint, request, outcome);
}

function answerWait(
  turn: Turn,
  wait: Pick<PositionWait, 'ask' | 'host'>,
  reached: boolean,
): void {
  turn.act({
    type: 'send',
    host: wait.host,
    msg: {type: 'position', ask: wait.ask, reached},
  });
}

/** Serves another owner's question for a position of this endpoint. */
export function handleAwaitPosition(
  turn: Turn,
  host: HostId,
  msg: AwaitPositionMessage,
): void {
  const {ask, endpoint, position} = msg;
  const pool = getPool(turn, endpoint);
  if (pool === null || !isOwnerOf(turn.board(), endpoint)) {
    answerWait(turn, {ask, host}, false);
    return;
  }
  const deadline = turn.now + msg.timeoutLeftMs;
  const wait: PositionWait = {ask, host, position, deadline};
  setPool(turn, endpoint, {waits: [...pool.waits, wait]});
  turn.act({
    type: 'set_timer',
    at: deadline,
    timer: {name: 'await_position', endpoint},
  });
  serveWaits(turn, endpoint);
}

/** Answers the questions whose position is reached or whose time is over. */
export function serveWaits(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint);
  if (pool === null || pool.waits.length === 0) {
    return;
  }
  const isReached = (wait: PositionWait): boolean =>
    isPositionReached(turn, pool, wait.position);
  const isOver = (wait: PositionWait): boolean =>
    isReached(wait) || turn.now >= wait.deadline;
  const over = pool.waits.filter(isOver);
  const waits = pool.waits.filter(wait => !isOver(wait));
  setPool(turn, endpoint, {waits});
  over.forEach(wait => answerWait(turn, wait, isReached(wait)));
}

/** Asks for a probe soon while somebody waits for a position. */
export function probeSooner(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint);
  if (pool === null || !hasPositionWait(pool)) {
    return;
  }
  if (pool.lastProbeAt !== null) {
    if (turn.now < pool.lastProbeAt + FAST_PROBE_MS) {
      return;
    }
  }
  setPool(turn, endpoint, {lastProbeAt: turn.now});
  turn.act({type: 'emit', event: {type: 'probe_wanted', endpoint}});
}

/** Tells whether anything waits for the endpoint to reach a position. */
export function hasPositionWait(pool: Pool): boolean {
  return (
    pool.waits.length > 0 || pool.jobs.active.some(job => job.reachBy !== null)
  );
}
