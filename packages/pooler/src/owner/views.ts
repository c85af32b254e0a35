/** What placement has to know of the endpoints. */

import {readFaultShare} from '../decisions/fault_level.js';
import type {EndpointView} from '../decisions/placement.js';
import {countAllConns, readSlotLimit} from './connections.js';
import type {Pool} from './state.js';

/** An endpoint as placement sees it, with its transactions. */
export interface PoolView extends EndpointView {
  /** Connections that transactions hold. */
  readonly pinned: number;
}

/** Shortest time that a statement is worth sending for, in ms. */
const LEAST_TIME_MS = 3;

/**
 * Returns the time that a statement needs to be worth a slot, in ms: what takes
 * longer than it has left would keep one that can still be served from running.
 */
export function readLeastTimeMs(pool: Pool): number {
  const times = pool.endpoints
    .list()
    .filter(({downSince}) => downSince === null)
    .map(({serviceMs}) => serviceMs);
  return Math.max(LEAST_TIME_MS, times.length === 0 ? 0 : Math.min(...times));
}

/** Returns the endpoints as they stand now. */
export function readViews(pool: Pool): readonly PoolView[] {
  const {primary, promotion} = pool.read();
  const counts = countAllConns(pool);
  return pool.endpoints.list().map(state => {
    const {entry, status} = state;
    const used = counts.get(entry.id);
    const isLeader = primary?.endpoint === entry.id;
    const isServing = isLeader
      ? promotion === null
      : status?.role === 'replica';
    return {
      id: entry.id,
      isPrimary: isLeader && promotion === null,
      isUsable: !entry.isLeaving && state.downSince === null && isServing,
      running: used?.running ?? 0,
      limit: readSlotLimit(state),
      hasConnection: (used?.free ?? 0) > 0,
      applied: state.applied,
      lagMs: state.lagMs,
      faultShare: readFaultShare(state.faults, pool.now()),
      backoffUntil: state.backoffUntil,
      pinned: used?.pinned ?? 0,
    };
  });
}
