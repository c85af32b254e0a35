/** Opens and closes the connections of a pool whose callers have workspaces. */

import type {WorkspaceId} from '../model/directory.js';
import {
  countAllConns,
  dropConn,
  getConnLimit,
  isFree,
  NO_CONNS,
  openConn,
} from './connections.js';
import type {OnConnLost} from './connections.js';
import {MAX_OPENING} from './limits.js';
import type {EndpointState, Pool} from './state.js';

/** Returns whether the connections of a pool speak for workspaces. */
export function usesWorkspaces(pool: Pool): boolean {
  const table = pool.cfg.readTable();
  // An entry host may already have a newer table, with workspaces.
  return (
    (table !== null && table.workspaces !== null) ||
    pool.jobs.list().some(({msg}) => msg.workspace !== null)
  );
}

/** Counts the waiting statements of each workspace that need a connection. */
function countWaiting(pool: Pool): ReadonlyMap<WorkspaceId | null, number> {
  const counts = new Map<WorkspaceId | null, number>();
  for (const {phase, msg} of pool.jobs.list()) {
    if (phase === 'waiting' && msg.tx?.isFirst !== false) {
      counts.set(msg.workspace, (counts.get(msg.workspace) ?? 0) + 1);
    }
  }
  return counts;
}

/** Closes the connection of another workspace that was idle the longest. */
function makeRoom(
  pool: Pool,
  endpoint: string,
  workspace: WorkspaceId | null,
  onLost: OnConnLost,
): boolean {
  const [oldest] = pool.conns
    .list()
    .filter(
      conn =>
        conn.endpoint === endpoint &&
        conn.workspace !== workspace &&
        isFree(conn),
    )
    .sort((a, b) => a.idleSince - b.idleSince);
  if (oldest === undefined) {
    return false;
  }
  dropConn(pool, oldest, 'another workspace needs the connection', onLost);
  return true;
}

/** Opens a connection for each workspace that waits and has none free. */
function ensureAt(
  pool: Pool,
  state: EndpointState,
  waiting: ReadonlyMap<WorkspaceId | null, number>,
  onLost: OnConnLost,
): void {
  const {id} = state.entry;
  for (const workspace of waiting.keys()) {
    const used = countAllConns(pool).get(id) ?? NO_CONNS;
    const isServed =
      used.freeWorkspaces.has(workspace) ||
      pool.conns
        .list()
        .some(
          conn =>
            conn.endpoint === id &&
            conn.workspace === workspace &&
            !conn.isOpen,
        );
    if (isServed) {
      continue;
    }
    if (used.opening >= MAX_OPENING) {
      return;
    }
    if (
      used.total < getConnLimit(pool) ||
      makeRoom(pool, id, workspace, onLost)
    ) {
      openConn(pool, state, workspace, onLost);
    }
  }
}

/** Opens connections for the workspaces that wait for one. */
export function ensureWorkspaceConns(pool: Pool, onLost: OnConnLost): void {
  const now = pool.now();
  const waiting = countWaiting(pool);
  for (const state of pool.endpoints.list()) {
    const isEligible =
      !state.entry.isLeaving &&
      state.missingSince === null &&
      now >= state.reopenAt;
    if (isEligible) {
      ensureAt(pool, state, waiting, onLost);
    }
  }
}
