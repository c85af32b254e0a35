/** How many connections a pool may hold to an endpoint. */

import {readConnLimit} from '../decisions/connection_limit.js';
import {RESERVED_CONNECTIONS, SLOT_OVERBOOKING} from './limits.js';
import type {EndpointState, Pool} from './state.js';

/** Connection limit for a group whose table entry sets none. */
const DEFAULT_MAX_CONNECTIONS = 10;
/**
 * Connections for each slot that a pool with workspaces leaves to the next
 * owner: a frozen owner keeps its own, and the endpoint counts those of all
 * hosts. Without workspaces, a pool holds few anyway.
 */
const SUCCESSOR_CONNS_PER_SLOT = 2;
/** The largest share of the connections that is left for that. */
const MAX_SUCCESSOR_SHARE = 0.25;

/** Returns how many statements may be sent to an endpoint concurrently. */
export function getSlotLimit({entry}: EndpointState): number {
  return Math.max(1, entry.slots) + SLOT_OVERBOOKING;
}

/** Returns how many connections are left to the next owner. */
function getSuccessorReserve(limit: number, state: EndpointState): number {
  const wanted = getSlotLimit(state) * SUCCESSOR_CONNS_PER_SLOT;
  return Math.ceil(Math.min(wanted, limit * MAX_SUCCESSOR_SHARE));
}

/** Returns how many connections the pool may hold to an endpoint. */
export function getConnLimit(pool: Pool, state: EndpointState): number {
  const {group, readTable} = pool.cfg;
  const table = readTable();
  const configured =
    table?.groups.get(group)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  const limit = Math.max(1, configured - RESERVED_CONNECTIONS);
  if (table === null || table.workspaces === null) {
    return limit;
  }
  const usual = Math.max(1, limit - getSuccessorReserve(limit, state));
  return readConnLimit(usual, state.refusal, pool.now());
}
