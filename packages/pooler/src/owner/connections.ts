/** Opens, keeps and closes the connections of a pool. */

import type {EndpointId} from '@lacewingroad/core';
import type {SessionState} from '../model/statement.js';
import {
  CHECK_TIMEOUT_MS,
  IDLE_CHECK_MS,
  IDLE_CLOSE_MS,
  MAX_OPENING,
  OPEN_TIMEOUT_MS,
  REOPEN_MS,
  RESERVED_CONNECTIONS,
  SLOT_OVERBOOKING,
} from './limits.js';
import {noteAlive, noteDown, noteRun} from './state.js';
import type {Conn, EndpointState, Pool} from './state.js';

/** Connections assumed where the table does not state any. */
const DEFAULT_MAX_CONNECTIONS = 10;

/** How many connections of an endpoint are in which use. */
export interface ConnCounts {
  readonly total: number;
  readonly opening: number;
  readonly free: number;
  readonly pinned: number;
  /** Statements sent and not answered. */
  readonly running: number;
}

/** Called when a connection is lost; ends what ran on it. */
export type OnConnLost = (conn: Conn, detail: string) => void;

/** Returns how many statements an endpoint is sent at once. */
export function readSlotLimit({entry}: EndpointState): number {
  return Math.max(1, entry.slots) + SLOT_OVERBOOKING;
}

/** Returns how many connections the pool may hold to one endpoint. */
export function readConnLimit(pool: Pool): number {
  const {group, readTable} = pool.cfg;
  const stated = readTable()?.groups.get(group)?.maxConnections;
  const limit = stated ?? DEFAULT_MAX_CONNECTIONS;
  return Math.max(1, limit - RESERVED_CONNECTIONS);
}

const NO_CONNS: ConnCounts = {
  total: 0,
  opening: 0,
  free: 0,
  pinned: 0,
  running: 0,
};

/** Counts the connections of every endpoint that has any. */
export function countAllConns(pool: Pool): ReadonlyMap<EndpointId, ConnCounts> {
  const counts = new Map<EndpointId, ConnCounts>();
  for (const conn of pool.conns.list()) {
    const before = counts.get(conn.endpoint) ?? NO_CONNS;
    counts.set(conn.endpoint, {
      total: before.total + 1,
      opening: before.opening + (conn.isOpen ? 0 : 1),
      free: before.free + (isFree(conn) ? 1 : 0),
      pinned: before.pinned + (conn.tx === null ? 0 : 1),
      running: before.running + (conn.request === null ? 0 : 1),
    });
  }
  return counts;
}

/** Tells whether a connection can take a statement of any session. */
function isFree(conn: Conn): boolean {
  return (
    conn.isOpen &&
    conn.request === null &&
    conn.tx === null &&
    conn.answerBy === null
  );
}

function openConn(pool: Pool, state: EndpointState, onLost: OnConnLost): void {
  const {entry} = state;
  const id = pool.nextId();
  const backOff = (detail: string, reopenMs: number): void => {
    pool.conns.remove(id);
    pool.endpoints.update(entry.id, {reopenAt: pool.now() + reopenMs});
    pool.cfg.ports.record('info', 'conn_refused', {
      group: pool.cfg.group,
      endpoint: entry.id,
      detail,
    });
  };
  const link = pool.cfg.ports.openConn(entry, {
    onReady: () => {
      noteAlive(pool, entry.id);
      pool.conns.update(id, {isOpen: true, idleSince: pool.now()});
      pool.wake();
    },
    onRefused: fault => {
      noteAlive(pool, entry.id);
      backOff(fault, REOPEN_MS);
    },
    onClosed: detail => {
      const conn = pool.conns.get(id);
      if (conn === undefined) {
        return;
      }
      if (!conn.isOpen) {
        backOff(detail, REOPEN_MS);
        noteDown(pool, entry.id, detail);
        return;
      }
      const sentAt = pool.jobs.get(conn.request ?? '')?.sentAt ?? null;
      if (sentAt !== null) {
        noteRun(pool, entry.id, true);
      }
      dropConn(pool, conn, detail, onLost);
    },
  });
  const now = pool.now();
  pool.conns.put(id, {
    id,
    endpoint: entry.id,
    link,
    isOpen: false,
    openBy: now + OPEN_TIMEOUT_MS,
    values: new Map(),
    prepared: new Set(),
    tx: null,
    request: null,
    idleSince: now,
    answerBy: null,
  });
}

/** Closes a connection and ends what ran on it. */
export function dropConn(
  pool: Pool,
  conn: Conn,
  detail: string,
  onLost: OnConnLost,
): void {
  if (!pool.conns.remove(conn.id)) {
    return;
  }
  conn.link.close();
  onLost(conn, detail);
  pool.wake();
}

/**
 * Opens connections where an endpoint has too few: one for each statement that
 * it runs at once, beside those that transactions hold.
 */
export function ensureConns(pool: Pool, onLost: OnConnLost): void {
  const now = pool.now();
  const counts = countAllConns(pool);
  for (const state of pool.endpoints.list()) {
    const {entry} = state;
    const isWanted = !entry.isLeaving && state.missingSince === null;
    if (!isWanted || now < state.reopenAt) {
      continue;
    }
    const {total, opening, pinned} = counts.get(entry.id) ?? NO_CONNS;
    const wanted = Math.min(readConnLimit(pool), pinned + readSlotLimit(state));
    const missing = Math.min(wanted - total, MAX_OPENING - opening);
    for (let count = 0; count < missing; count++) {
      openConn(pool, state, onLost);
    }
  }
}

/** Tells whether a session needs no change of a connection's values. */
function hasValues(conn: Conn, session: SessionState): boolean {
  return (
    conn.values.size === session.values.length &&
    session.values.every(([name, value]) => conn.values.get(name) === value)
  );
}

/** Returns a free connection, one with the session's values where there is. */
export function findFreeConn(
  pool: Pool,
  endpoint: EndpointId,
  session: SessionState,
): Conn | null {
  let best: Conn | null = null;
  for (const conn of pool.conns.list()) {
    if (conn.endpoint !== endpoint || !isFree(conn)) {
      continue;
    }
    if (hasValues(conn, session)) {
      return conn;
    }
    // Connections that served lately are the least likely to have gone silent.
    best = best === null || conn.idleSince > best.idleSince ? conn : best;
  }
  return best;
}

/** Checks that a connection that was idle for long still answers. */
function checkIdle(pool: Pool, conn: Conn): void {
  pool.conns.update(conn.id, {
    answerBy: pool.now() + CHECK_TIMEOUT_MS,
    values: new Map(),
    prepared: new Set(),
  });
  conn.link.send({type: 'reset'}, null, null, () => {
    noteAlive(pool, conn.endpoint);
    pool.conns.update(conn.id, {answerBy: null, idleSince: pool.now()});
    pool.wake();
  });
}

/** Gives up connections that are silent, and checks or closes idle ones. */
export function reviewConns(pool: Pool, onLost: OnConnLost): void {
  const now = pool.now();
  const limit = new Map<EndpointId, number>();
  for (const conn of pool.conns.list()) {
    const state = pool.endpoints.get(conn.endpoint);
    if (state === undefined) {
      dropConn(pool, conn, 'the endpoint is gone', onLost);
      continue;
    }
    if (!conn.isOpen && now >= conn.openBy) {
      pool.conns.remove(conn.id);
      conn.link.close();
      pool.endpoints.update(conn.endpoint, {reopenAt: now + REOPEN_MS});
      noteDown(pool, conn.endpoint, 'a connection was not opened in time');
      continue;
    }
    if (conn.answerBy !== null && now >= conn.answerBy) {
      if (conn.request !== null) {
        noteRun(pool, conn.endpoint, true);
      }
      dropConn(pool, conn, 'no answer where one was due', onLost);
      continue;
    }
    if (!isFree(conn)) {
      continue;
    }
    if (state.entry.isLeaving) {
      dropConn(pool, conn, 'the endpoint is leaving', onLost);
      continue;
    }
    const idleMs = now - conn.idleSince;
    const kept = limit.get(conn.endpoint) ?? 0;
    limit.set(conn.endpoint, kept + 1);
    if (idleMs >= IDLE_CLOSE_MS && kept >= readSlotLimit(state)) {
      dropConn(pool, conn, 'idle for long', onLost);
    } else if (idleMs >= IDLE_CHECK_MS) {
      checkIdle(pool, conn);
    }
  }
}
