/** Builds the endpoint states that placement uses. */

import {computeFaultShare} from '../decisions/fault_level.js';
import {isReadOnly} from '../decisions/effects.js';
import type {EndpointView, Work} from '../decisions/placement.js';
import type {WorkspaceId} from '../model/directory.js';
import {getRunLimit, getWorkKindOf} from './capacity.js';
import {countAllConns, NO_CONNS} from './connections.js';
import {isPrimaryDoubtful} from './promotion_calls.js';
import type {Job, Pool} from './state.js';

/** The state of an endpoint for placement, with its pinned connections. */
export interface PoolView extends EndpointView {
  /** The workspaces that have a free connection; null for the pool itself. */
  readonly freeWorkspaces: ReadonlySet<WorkspaceId | null>;
  /** Connections held by transactions. */
  readonly pinned: number;
}

/** Lower bound of the time that makes sending a statement worthwhile, in ms. */
const MIN_USEFUL_MS = 3;

/**
 * Returns the remaining time that a statement needs to be worth a slot, in ms.
 * One with less would only block a statement that can still finish in time.
 */
export function estimateMinUsefulMs(pool: Pool): number {
  const times = pool.endpoints
    .list()
    .filter(({downSince}) => downSince === null)
    .map(({serviceMs}) => serviceMs);
  return Math.max(MIN_USEFUL_MS, times.length === 0 ? 0 : Math.min(...times));
}

/** Returns the current state of all endpoints. */
export function createEndpointViews(pool: Pool): readonly PoolView[] {
  const {primary, promotion} = pool.read();
  const isPrimaryServing = promotion === null && !isPrimaryDoubtful(pool);
  const counts = countAllConns(pool);
  return pool.endpoints.list().map(state => {
    const {entry, status} = state;
    const used = counts.get(entry.id) ?? NO_CONNS;
    const isKnownPrimary = primary?.endpoint === entry.id;
    const isServing = isKnownPrimary
      ? isPrimaryServing
      : status?.role === 'replica';
    return {
      id: entry.id,
      isPrimary: isKnownPrimary && isPrimaryServing,
      isUsable: !entry.isLeaving && state.downSince === null && isServing,
      running: used.running,
      limit: getRunLimit(pool, state),
      factor: pool.capacity.times.readFactor(entry.id, pool.now()),
      delayMs: pool.capacity.delays.get(entry.id) ?? null,
      isNear: entry.dataCentre === pool.cfg.dataCentre,
      hasConnection: used.free > 0,
      freeWorkspaces: used.freeWorkspaces,
      applied: state.applied,
      lagMs: state.lagMs,
      faultShare: computeFaultShare(state.faults, pool.now()),
      backoffUntil: state.backoffUntil,
      pinned: used.pinned,
    };
  });
}

/**
 * Returns the states as a statement of a workspace sees them: it runs only on
 * connections that speak for this workspace.
 */
export function viewForWorkspace(
  views: readonly PoolView[],
  workspace: WorkspaceId | null,
): readonly PoolView[] {
  return views.map(view => ({
    ...view,
    hasConnection: view.freeWorkspaces.has(workspace),
  }));
}

/** Returns what placement has to know about the work of a read. */
export function describeWork(pool: Pool, job: Job): Work {
  return {
    serviceMs: pool.capacity.times.expectMs(getWorkKindOf(job.msg)),
    countWaiting: () =>
      pool.jobs
        .list()
        .filter(({phase, msg}) => phase === 'waiting' && isReadOnly(msg))
        .length,
    waitedMs: pool.now() - job.receivedAt,
  };
}
