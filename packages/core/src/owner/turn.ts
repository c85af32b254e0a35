/** A turn: the handling of one event, with access to the pools' state. */

import type {Action, FieldValue} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Change, Context} from '../engine/engine.js';
import type {GroupEndpoint, GroupObject} from '../model/group.js';
import {findEndpoint} from '../model/group.js';
import type {ConnId, EndpointId, RequestId} from '../model/ids.js';
import {findJob, putJob} from './job_set.js';
import type {Conn, Job, Pool, PoolsSlice} from './state.js';

/**
 * Working copy of the state and list of actions while one event is handled.
 * Valid only until the handler returns.
 */
export interface Turn {
  readonly now: number;
  readonly random: () => number;
  readonly board: () => Blackboard;
  readonly pools: () => PoolsSlice;
  readonly setPools: (part: Partial<PoolsSlice>) => void;
  readonly act: (...actions: readonly Action[]) => void;
}

/** Runs `fn` as one turn; returns the new state and the collected actions. */
export function runTurn(
  initial: Blackboard,
  ctx: Context,
  fn: (turn: Turn) => void,
): Change {
  let board = initial;
  const actions: Action[] = [];
  fn({
    now: ctx.now,
    random: ctx.random,
    board: () => board,
    pools: () => board.pools,
    setPools: part => {
      board = {...board, pools: {...board.pools, ...part}};
    },
    act: (...added) => {
      actions.push(...added);
    },
  });
  return {board, actions};
}

/** Returns the pool of an endpoint, or null. */
export function getPool(turn: Turn, endpoint: EndpointId): Pool | null {
  return turn.pools().byEndpoint.get(endpoint) ?? null;
}

/** Changes fields of a pool; does nothing if the pool does not exist. */
export function setPool(
  turn: Turn,
  endpoint: EndpointId,
  part: Partial<Pool>,
): void {
  const pool = getPool(turn, endpoint);
  if (pool === null) {
    return;
  }
  const {byEndpoint} = turn.pools();
  turn.setPools({byEndpoint: byEndpoint.set(endpoint, {...pool, ...part})});
}

/** Changes fields of a job and returns it; null if it does not exist. */
export function setJob(
  turn: Turn,
  endpoint: EndpointId,
  request: RequestId,
  part: Partial<Job>,
): Job | null {
  const jobs = getPool(turn, endpoint)?.jobs;
  const job = jobs === undefined ? undefined : findJob(jobs, request);
  if (jobs === undefined || job === undefined) {
    return null;
  }
  const next = {...job, ...part};
  setPool(turn, endpoint, {jobs: putJob(jobs, next)});
  return next;
}

/** Changes fields of a connection; does nothing if it does not exist. */
export function setConn(
  turn: Turn,
  endpoint: EndpointId,
  id: ConnId,
  part: Partial<Conn>,
): void {
  const conns = getPool(turn, endpoint)?.conns;
  const conn = conns?.get(id);
  if (conns === undefined || conn === undefined) {
    return;
  }
  setPool(turn, endpoint, {conns: conns.set(id, {...conn, ...part})});
}

/** Returns the last known state of a pool's group, or null. */
export function getGroup(turn: Turn, pool: Pool): GroupObject | null {
  return turn.board().view.groups.get(pool.group)?.value ?? null;
}

/** Returns the endpoint's entry in its group, or null. */
export function getEndpoint(turn: Turn, pool: Pool): GroupEndpoint | null {
  const group = getGroup(turn, pool);
  return group === null ? null : findEndpoint(group, pool.endpoint);
}

/** Logs an event. */
export function record(
  turn: Turn,
  level: 'debug' | 'info' | 'warn',
  event: string,
  fields: Readonly<Record<string, FieldValue>>,
): void {
  turn.act({type: 'record', level, event, fields});
}
