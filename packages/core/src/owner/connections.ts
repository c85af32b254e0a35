/** Opens and closes the connections of a pool. */

import type {ConnFault} from '../engine/event.js';
import type {ConnId, EndpointId} from '../model/ids.js';
import type {GroupEndpoint} from '../model/group.js';
import {
  BACKOFF_MAX_MS,
  BACKOFF_MIN_MS,
  IDLE_CHECK_MS,
  IDLE_CLOSE_MS,
  OPEN_TIMEOUT_MS,
  RESERVED_CONNECTIONS,
} from './limits.js';
import {getEndpoint, getPool, record, setPool} from './turn.js';
import type {Turn} from './turn.js';
import type {Conn, Pool} from './state.js';

/** Returns how many connections a pool may open to its endpoint. */
function computeConnLimit(endpoint: GroupEndpoint): number {
  return Math.max(1, endpoint.maxConnections - RESERVED_CONNECTIONS);
}

/** Returns whether a connection may take new work. */
export function isFree(conn: Conn): boolean {
  return conn.isOpen && conn.request === null && conn.tx === null;
}

/** Returns the most recently used free connection, or null. */
export function findFreeConn(pool: Pool): Conn | null {
  return pool.conns
    .valueSeq()
    .filter(isFree)
    .reduce<Conn | null>(
      (best, conn) =>
        best === null || conn.idleSince > best.idleSince ? conn : best,
      null,
    );
}

/** Returns whether a connection must be checked before it is used. */
export function needsCheck(conn: Conn, now: number): boolean {
  return (
    conn.isSuspect || conn.isUnclean || now - conn.idleSince >= IDLE_CHECK_MS
  );
}

/** Removes a connection from its pool and closes it. */
export function closeConn(
  turn: Turn,
  endpoint: EndpointId,
  conn: ConnId,
): void {
  const pool = getPool(turn, endpoint);
  if (!pool?.conns.has(conn)) {
    return;
  }
  setPool(turn, endpoint, {conns: pool.conns.delete(conn)});
  turn.act({type: 'close_conn', endpoint, conn});
}

/** Opens connections so that `wanted` are being opened, within the limit. */
export function openConns(
  turn: Turn,
  endpoint: EndpointId,
  wanted: number,
): void {
  const pool = getPool(turn, endpoint);
  if (pool === null || turn.now < pool.backoffUntil) {
    return;
  }
  const target = getEndpoint(turn, pool);
  if (target === null) {
    return;
  }
  const opening = pool.conns.count(conn => !conn.isOpen);
  const room = computeConnLimit(target) - pool.conns.size;
  const count = Math.min(wanted - opening, room);
  for (let opened = 0; opened < count; opened++) {
    openConn(turn, target);
  }
}

function openConn(turn: Turn, target: GroupEndpoint): void {
  const pool = getPool(turn, target.id)!;
  const id = turn.pools().nextConn;
  const deadline = turn.now + OPEN_TIMEOUT_MS;
  const conn: Conn = {
    id,
    isOpen: false,
    openDeadline: deadline,
    idleSince: turn.now,
    request: null,
    tx: null,
    step: null,
    sentAt: null,
    isOverdue: false,
    isSuspect: false,
    isUnclean: false,
  };
  turn.setPools({nextConn: id + 1});
  setPool(turn, target.id, {conns: pool.conns.set(id, conn)});
  turn.act({
    type: 'open_conn',
    endpoint: target.id,
    address: target.address,
    port: target.port,
    conn: id,
    deadline,
  });
}

/** Delays new connections after one could not be opened. */
export function backOff(turn: Turn, pool: Pool, fault: ConnFault): void {
  const longer = Math.max(BACKOFF_MIN_MS, pool.backoffMs * 2);
  const backoffMs = Math.min(BACKOFF_MAX_MS, longer);
  const jitter = 0.5 + turn.random() / 2;
  setPool(turn, pool.endpoint, {
    backoffMs,
    backoffUntil: turn.now + backoffMs * jitter,
    isDown: fault !== 'too_many',
  });
  const fields = {endpoint: pool.endpoint, fault, backoff_ms: backoffMs};
  record(turn, 'info', 'conn_refused', fields);
}

/** Closes idle connections beyond `keep`, the longest idle ones first. */
function closeSurplus(turn: Turn, pool: Pool, keep: number): void {
  const surplus = pool.conns.size - keep;
  if (surplus <= 0) {
    return;
  }
  const isOld = (conn: Conn): boolean =>
    isFree(conn) && (keep === 0 || turn.now - conn.idleSince >= IDLE_CLOSE_MS);
  const old = [...pool.conns.values()]
    .filter(isOld)
    .sort((a, b) => a.idleSince - b.idleSince);
  for (const conn of old.slice(0, surplus)) {
    closeConn(turn, pool.endpoint, conn.id);
  }
}

/** Keeps a minimum of connections open and closes surplus idle ones. */
export function maintainIdleConns(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint);
  const target = pool === null ? null : getEndpoint(turn, pool);
  if (pool === null || target === null) {
    return;
  }
  const minimum = Math.min(target.slots, computeConnLimit(target));
  const isInService = pool.closeAt === null && !target.leaving;
  const keep = isInService && !turn.pools().isDraining ? minimum : 0;
  closeSurplus(turn, pool, keep);
  const missing = keep - (getPool(turn, endpoint)?.conns.size ?? 0);
  if (missing > 0) {
    const opening = pool.conns.count(conn => !conn.isOpen);
    openConns(turn, endpoint, opening + missing);
  }
}
