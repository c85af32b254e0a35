/** Queries about the pools, for other controllers. */

import type {Blackboard} from '../engine/blackboard.js';
import type {EndpointId} from '../model/ids.js';

/** Returns whether writes or transactions are in progress at an endpoint. */
export function hasRunningWrites(
  board: Blackboard,
  endpoint: EndpointId,
): boolean {
  const pool = board.pools.byEndpoint.get(endpoint);
  if (pool === undefined) {
    return false;
  }
  const isWriting = pool.jobs.active.some(
    job => job.phase !== 'queued' && job.msg.isWrite,
  );
  return isWriting || pool.txs.size > 0;
}

/** Returns whether no pool has a job or an open transaction. */
export function isPoolWorkDone(board: Blackboard): boolean {
  return board.pools.byEndpoint.every(
    pool =>
      pool.jobs.active.size === 0 &&
      pool.jobs.queued.size === 0 &&
      pool.txs.size === 0,
  );
}
