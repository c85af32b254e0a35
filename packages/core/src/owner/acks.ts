/** Position queries between pool owners, for writes that replicas confirm. */

import {isOwnerOf} from '../control/control_status.js';
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

/**
 * Asks the owners of the group's other endpoints to report when these have
 * reached the position of a write. The job ends at the first confirmation.
 */
export function queryReplicas(
  turn: Turn,
  endpoint: EndpointId,
  job: Job,
  outcome: DoneOutcome,
): void {
  const pool = getPool(turn, endpoint)!;
  const {request} = job.msg;
  const {position} = outcome;
  const group = getGroup(turn, pool);
  const replicas = (group?.endpoints ?? []).filter(
    replica =>
      replica.id !== endpoint && group?.owners[replica.id] !== undefined,
  );
  if (replicas.length === 0 || position === null) {
    endJob(turn, endpoint, request, REPLICA_NOT_REACHED);
    return;
  }
  setJob(turn, endpoint, request, {
    phase: 'acking',
    conn: null,
    step: null,
    pending: outcome,
  });
  for (const replica of replicas) {
    queryReplica(turn, job, endpoint, group!.owners[replica.id]!, {
      type: 'await_position',
      ask: turn.pools().nextPositionQuery,
      endpoint: replica.id,
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

function queryReplica(
  turn: Turn,
  job: Job,
  endpoint: EndpointId,
  host: HostId,
  msg: AwaitPositionMessage,
): void {
  const {positionQueries, nextPositionQuery} = turn.pools();
  const {request} = job.msg;
  turn.setPools({
    nextPositionQuery: nextPositionQuery + 1,
    positionQueries: positionQueries.set(nextPositionQuery, {
      endpoint,
      request,
    }),
  });
  turn.act({type: 'send', host, msg});
}

/** Handles the answer of another pool owner. */
export function handlePosition(turn: Turn, msg: PositionMessage): void {
  const {positionQueries} = turn.pools();
  const query = positionQueries.get(msg.ask);
  if (query === undefined) {
    return;
  }
  turn.setPools({positionQueries: positionQueries.delete(msg.ask)});
  const pool = getPool(turn, query.endpoint);
  const job = pool?.jobs.active.get(query.request);
  if (!pool || job?.phase !== 'acking' || !msg.reached) {
    return;
  }
  const fault = findAckFault(turn, pool, job.msg);
  const outcome: Outcome =
    fault === null ? job.pending! : {type: 'unknown', reason: fault};
  endAcking(turn, pool, job, outcome);
}

/** Ends a job that no replica has confirmed in time. */
export function expireAck(turn: Turn, pool: Pool, job: Job): void {
  endAcking(turn, pool, job, REPLICA_NOT_REACHED);
}

function endAcking(turn: Turn, pool: Pool, job: Job, outcome: Outcome): void {
  const {request} = job.msg;
  const {positionQueries} = turn.pools();
  turn.setPools({
    positionQueries: positionQueries.filter(query => query.request !== request),
  });
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

/** Handles the query of another host whether an endpoint reached a position. */
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
  answerDueWaits(turn, endpoint);
}

/** Answers the queries whose position is reached or whose deadline passed. */
export function answerDueWaits(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint);
  if (pool === null || pool.waits.length === 0) {
    return;
  }
  const isReached = (wait: PositionWait): boolean =>
    isPositionReached(turn, pool, wait.position);
  const isDue = (wait: PositionWait): boolean =>
    isReached(wait) || turn.now >= wait.deadline;
  const due = pool.waits.filter(isDue);
  const waits = pool.waits.filter(wait => !isDue(wait));
  setPool(turn, endpoint, {waits});
  due.forEach(wait => answerWait(turn, wait, isReached(wait)));
}

/**
 * Requests a probe, at most every FAST_PROBE_MS, while a query or a read waits
 * for the endpoint's data.
 */
export function requestFastProbe(turn: Turn, endpoint: EndpointId): void {
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

/** Returns whether a query or a read waits for the endpoint's data. */
export function hasPositionWait(pool: Pool): boolean {
  return (
    pool.waits.length > 0 ||
    pool.jobs.active.some(job => job.dataDeadline !== null)
  );
}
