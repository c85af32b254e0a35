/** Opens, checks and closes the connections of a pool. */

import type {EndpointId} from '@lacewingroad/core';
import type {WorkspaceId} from '../model/directory.js';
import type {EndpointFault, SessionState} from '../model/statement.js';
import {
  CHECK_TIMEOUT_MS,
  IDLE_CHECK_MS,
  IDLE_CLOSE_MS,
  MAX_OPENING,
  OPEN_TIMEOUT_MS,
  REOPEN_MS,
} from './limits.js';
import {getConnLimit, getSlotLimit} from './conn_limit.js';
import {markUp, markDown, recordOutcome} from './state.js';
import type {Conn, EndpointState, Pool} from './state.js';

/** Numbers of connections to an endpoint, by use. */
export interface ConnCounts {
  readonly total: number;
  readonly opening: number;
  readonly free: number;
  /** The workspaces that have a free connection; null for the pool itself. */
  readonly freeWorkspaces: ReadonlySet<WorkspaceId | null>;
  readonly pinned: number;
  /** Connections that are used by a request. */
  readonly running: number;
}

/** Counts that are being made; one set per endpoint, for up to 60 workspaces. */
type ConnTally = {-readonly [K in keyof ConnCounts]: ConnCounts[K]} & {
  readonly freeWorkspaces: Set<WorkspaceId | null>;
};

/** Called when a connection is lost; ends the request and transaction on it. */
export type OnConnLost = (conn: Conn, detail: string) => void;

export const NO_CONNS: ConnCounts = {
  total: 0,
  opening: 0,
  free: 0,
  freeWorkspaces: new Set(),
  pinned: 0,
  running: 0,
};

/** Counts the connections of each endpoint that has any. */
export function countAllConns(pool: Pool): ReadonlyMap<EndpointId, ConnCounts> {
  const counts = new Map<EndpointId, ConnTally>();
  for (const conn of pool.conns.list()) {
    let tally = counts.get(conn.endpoint);
    if (tally === undefined) {
      tally = {...NO_CONNS, freeWorkspaces: new Set()};
      counts.set(conn.endpoint, tally);
    }
    tally.total++;
    tally.opening += conn.isOpen ? 0 : 1;
    tally.pinned += conn.tx === null ? 0 : 1;
    tally.running += conn.request === null ? 0 : 1;
    if (isFree(conn)) {
      tally.free++;
      tally.freeWorkspaces.add(conn.workspace);
    }
  }
  return counts;
}

/**
 * Returns whether a connection can take a statement of any session of its
 * workspace.
 */
export function isFree(conn: Conn): boolean {
  return (
    conn.isOpen &&
    conn.request === null &&
    conn.tx === null &&
    conn.replyDeadline === null
  );
}

/** Opens a connection that speaks for a workspace, or null for the pool. */
export function openConn(
  pool: Pool,
  state: EndpointState,
  workspace: WorkspaceId | null,
  onLost: OnConnLost,
  onRefused: (fault: EndpointFault) => void = () => undefined,
): void {
  const {entry} = state;
  const id = pool.nextId();
  const failOpening = (detail: string, reopenMs: number): void => {
    pool.conns.remove(id);
    pool.endpoints.update(entry.id, {reopenAt: pool.now() + reopenMs});
    pool.cfg.ports.record('info', 'conn_refused', {
      group: pool.cfg.group,
      endpoint: entry.id,
      detail,
    });
  };
  const link = pool.cfg.ports.openConn(entry, workspace, {
    onReady: () => {
      markUp(pool, entry.id);
      pool.conns.update(id, {isOpen: true, idleSince: pool.now()});
      pool.wake();
    },
    onRefused: fault => {
      markUp(pool, entry.id);
      failOpening(fault, REOPEN_MS);
      onRefused(fault);
    },
    onClosed: detail => {
      const conn = pool.conns.get(id);
      if (conn === undefined) {
        return;
      }
      if (!conn.isOpen) {
        failOpening(detail, REOPEN_MS);
        markDown(pool, entry.id, detail);
        return;
      }
      const sentAt = pool.jobs.get(conn.request ?? '')?.sentAt ?? null;
      if (sentAt !== null) {
        recordOutcome(pool, entry.id, true);
      }
      dropConn(pool, conn, detail, onLost);
    },
  });
  const now = pool.now();
  pool.conns.put(id, {
    id,
    endpoint: entry.id,
    workspace,
    link,
    isOpen: false,
    openDeadline: now + OPEN_TIMEOUT_MS,
    values: new Map(),
    prepared: new Map(),
    tx: null,
    request: null,
    idleSince: now,
    replyDeadline: null,
  });
}

/** Closes a connection and ends the request and transaction on it. */
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
 * Opens connections to endpoints that have too few. Each endpoint needs one per
 * concurrent statement, in addition to those pinned by transactions.
 */
export function ensureConns(pool: Pool, onLost: OnConnLost): void {
  const now = pool.now();
  const counts = countAllConns(pool);
  for (const state of pool.endpoints.list()) {
    const {entry} = state;
    const isEligible = !entry.isLeaving && state.missingSince === null;
    if (!isEligible || now < state.reopenAt) {
      continue;
    }
    const {total, opening, pinned} = counts.get(entry.id) ?? NO_CONNS;
    const wanted = Math.min(
      getConnLimit(pool, state),
      pinned + getSlotLimit(state),
    );
    const missing = Math.min(wanted - total, MAX_OPENING - opening);
    for (let count = 0; count < missing; count++) {
      openConn(pool, state, null, onLost);
    }
  }
}

/** Returns whether a connection already has exactly the values of a session. */
function matchesSession(conn: Conn, session: SessionState): boolean {
  return (
    conn.values.size === session.values.length &&
    session.values.every(([name, value]) => conn.values.get(name) === value)
  );
}

/**
 * Returns a free connection of a workspace, preferably one that has the
 * session's values.
 */
export function findFreeConn(
  pool: Pool,
  endpoint: EndpointId,
  workspace: WorkspaceId | null,
  session: SessionState,
): Conn | null {
  let best: Conn | null = null;
  for (const conn of pool.conns.list()) {
    const isUsable = conn.endpoint === endpoint && conn.workspace === workspace;
    if (!isUsable || !isFree(conn)) {
      continue;
    }
    if (matchesSession(conn, session)) {
      return conn;
    }
    // Recently used connections are the least likely to be broken.
    best = best === null || conn.idleSince > best.idleSince ? conn : best;
  }
  return best;
}

/** Faults of a reset that leave the session state as it was. */
const UNCHANGED_FAULTS: ReadonlySet<EndpointFault> = new Set([
  'busy',
  'not_prepared',
  'lagging',
  'read_only',
]);

/**
 * Checks that an idle connection still replies; also resets its session state.
 * That is known to be clear only once the endpoint has confirmed the reset. A
 * reset that was not run is repeated with the next check.
 */
function checkIdle(pool: Pool, conn: Conn, onLost: OnConnLost): void {
  pool.conns.update(conn.id, {replyDeadline: pool.now() + CHECK_TIMEOUT_MS});
  conn.link.send({type: 'reset'}, null, null, reply => {
    markUp(pool, conn.endpoint);
    if (reply.type === 'error') {
      pool.cfg.ports.record('info', 'conn_not_reset', {
        group: pool.cfg.group,
        endpoint: conn.endpoint,
        conn: conn.id,
        detail: reply.fault,
        values: conn.values.size,
        prepared: conn.prepared.size,
      });
      if (!UNCHANGED_FAULTS.has(reply.fault)) {
        const detail = `a reset failed: ${reply.fault}`;
        dropConn(pool, pool.conns.get(conn.id) ?? conn, detail, onLost);
        return;
      }
    }
    pool.conns.update(conn.id, {
      replyDeadline: null,
      idleSince: pool.now(),
      ...(reply.type === 'done' && {values: new Map(), prepared: new Map()}),
    });
    pool.wake();
  });
}

/**
 * Returns the idle time after which a connection is checked, in ms. Workspaces
 * have many idle connections: as a whole, they are checked no more often than
 * those of a pool without workspaces. While the endpoint does not reply, each is
 * checked early, since it may have dropped any of them.
 */
function getIdleCheckMs(state: EndpointState, free: number): number {
  const isDown = state.downSince !== null;
  const factor = isDown ? 1 : Math.max(1, free / getSlotLimit(state));
  return IDLE_CHECK_MS * factor;
}

/** Closes connections that do not reply, and checks or closes idle ones. */
export function maintainConns(
  pool: Pool,
  hasWorkspaces: boolean,
  onLost: OnConnLost,
): void {
  const now = pool.now();
  const counts = hasWorkspaces ? countAllConns(pool) : null;
  const freeCounts = new Map<EndpointId, number>();
  for (const conn of pool.conns.list()) {
    const state = pool.endpoints.get(conn.endpoint);
    if (state === undefined) {
      dropConn(pool, conn, 'the endpoint was removed', onLost);
      continue;
    }
    if (!conn.isOpen && now >= conn.openDeadline) {
      pool.conns.remove(conn.id);
      conn.link.close();
      pool.endpoints.update(conn.endpoint, {reopenAt: now + REOPEN_MS});
      markDown(pool, conn.endpoint, 'a connection was not opened in time');
      continue;
    }
    if (conn.replyDeadline !== null && now >= conn.replyDeadline) {
      if (conn.request !== null) {
        recordOutcome(pool, conn.endpoint, true);
      }
      dropConn(pool, conn, 'no reply before the deadline', onLost);
      continue;
    }
    if (!isFree(conn)) {
      continue;
    }
    if (state.entry.isLeaving) {
      dropConn(pool, conn, 'the endpoint is leaving', onLost);
      continue;
    }
    if (!hasWorkspaces && conn.workspace !== null) {
      dropConn(pool, conn, 'there are no workspaces any more', onLost);
      continue;
    }
    const free = counts?.get(conn.endpoint)?.free ?? 0;
    const idleMs = now - conn.idleSince;
    const freeCount = freeCounts.get(conn.endpoint) ?? 0;
    freeCounts.set(conn.endpoint, freeCount + 1);
    if (idleMs >= IDLE_CLOSE_MS && freeCount >= getSlotLimit(state)) {
      dropConn(pool, conn, 'idle for too long', onLost);
    } else if (idleMs >= getIdleCheckMs(state, free)) {
      checkIdle(pool, conn, onLost);
    }
  }
}
