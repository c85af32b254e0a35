/** Questions that other controllers ask of the pools. */

import type {Blackboard} from '../engine/blackboard.js';
import type {EndpointId} from '../model/ids.js';

/** Tells whether writes or transactions are in progress at an endpoint. */
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

/** Tells whether nothing runs, waits or is open in any pool. */
export function isPoolWorkDone(board: Blackboard): boolean {
  return board.pools.byEndpoint.every(
    pool =>
      pool.jobs.active.size === 0 &&
      pool.jobs.queued.size === 0 &&
      pool.txs.size === 0,
  );
}
