/**
 * Opens and closes the connections of a pool whose callers have workspaces, as
 * `decisions/connection_plan.ts` decides.
 */

import type {EndpointId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import {recordRefusal} from '../decisions/connection_limit.js';
import {planClosings, planOpenings} from '../decisions/connection_plan.js';
import type {
  ConnDemand,
  PlannedConn,
  PlannedEndpoint,
} from '../decisions/connection_plan.js';
import {isReadOnly} from '../decisions/effects.js';
import {isExpectedToSatisfy} from '../decisions/placement.js';
import type {WorkspaceId} from '../model/directory.js';
import type {EndpointFault} from '../model/statement.js';
import {findReadRequirements} from './acks.js';
import {createConnReport} from './conn_report.js';
import {createConnUses} from './conn_uses.js';
import {getConnLimit, getSlotLimit} from './conn_limit.js';
import {isFree, openConn} from './connections.js';
import type {OnConnLost} from './connections.js';
import {IDLE_CLOSE_MS, MAX_OPENING} from './limits.js';
import {canPinConn} from './scheduler.js';
import type {Conn, Job, Pool} from './state.js';
import {createEndpointViews} from './views.js';
import type {PoolView} from './views.js';

/**
 * Waiting statements for which connections are planned: several times the slots
 * of a group, since those behind them do not start within the 12 ms that a
 * connection takes.
 */
const MAX_DEMANDS = 64;
/**
 * Minimum time between two plans, in ms: a plan for a full queue costs about as
 * much as a statement, and a pool wakes with each statement that ends.
 */
const PLAN_INTERVAL_MS = 5;

/** Time after a refusal in which the endpoint may have no room to spare, in ms. */
const REFUSING_MS = 5_000;
/**
 * Time until such an endpoint no longer counts a closed connection, in ms: the
 * one that replaces it was refused if it was opened at once.
 */
const CLOSE_MS = 10;

/** The connections of workspaces. */
export interface WorkspaceConns {
  /** Opens connections for waiting statements. */
  readonly open: () => void;
  /** Closes connections that are not needed, and reports the others. */
  readonly maintain: () => void;
  /** Reports that there are no connections any more. */
  readonly close: () => void;
}

/** Returns whether the connections of a pool speak for workspaces. */
export function usesWorkspaces(pool: Pool): boolean {
  const table = pool.cfg.readTable();
  // An entry host may already have a newer table, with workspaces.
  return (
    (table !== null && table.workspaces !== null) ||
    pool.jobs.list().some(({msg}) => msg.workspace != null)
  );
}

function findUse(conn: Conn): PlannedConn['use'] {
  if (!conn.isOpen) {
    return 'opening';
  }
  if (conn.tx !== null) {
    return 'pinned';
  }
  return isFree(conn) ? 'free' : 'running';
}

/** Lists the endpoints that could run a waiting statement now. */
function findDemand(
  pool: Pool,
  job: Job,
  views: readonly PoolView[],
): ConnDemand {
  const now = pool.now();
  const isTx = job.msg.tx !== null;
  const open = views.filter(
    view =>
      view.isUsable &&
      now >= view.backoffUntil &&
      (!isTx || canPinConn(pool, view)),
  );
  const {workspace} = job.msg;
  if (!isReadOnly(job.msg)) {
    const primary = open.filter(({isPrimary}) => isPrimary);
    return {workspace, endpoints: primary.map(({id}) => id)};
  }
  const need = findReadRequirements(pool, job);
  const fit = open.filter(
    view =>
      isExpectedToSatisfy(view, need, now) && !need.avoided.includes(view.id),
  );
  return {workspace, endpoints: fit.map(({id}) => id)};
}

/**
 * Lists what the waiting statements need, earliest target first. More of one
 * workspace than an endpoint runs at once would only hide the others.
 */
function listDemands(
  pool: Pool,
  views: readonly PoolView[],
): readonly ConnDemand[] {
  const waiting = pool.jobs
    .list()
    .filter(({phase, isInTx}) => phase === 'waiting' && !isInTx)
    .sort((a, b) => a.targetAt - b.targetAt || a.order - b.order);
  const maxOfOne = views.reduce((sum, {limit}) => sum + limit, 0);
  const counts = new Map<WorkspaceId | null, number>();
  const demands: ConnDemand[] = [];
  for (const job of waiting) {
    const {workspace} = job.msg;
    const count = counts.get(workspace) ?? 0;
    if (count >= maxOfOne) {
      continue;
    }
    counts.set(workspace, count + 1);
    demands.push(findDemand(pool, job, views));
    if (demands.length === MAX_DEMANDS) {
      break;
    }
  }
  return demands;
}

/** Creates the connections of the workspaces of a pool. */
export function createWorkspaceConns(
  pool: Pool,
  onLost: OnConnLost,
): WorkspaceConns {
  const uses = createConnUses();
  const report = createConnReport(pool);

  const evict = (
    conn: Conn,
    reason: 'other_workspace' | 'over_limit' | 'unused',
    wantedBy: WorkspaceId | null,
  ): void => {
    pool.conns.remove(conn.id);
    conn.link.close();
    report.countEviction(conn.endpoint);
    pool.cfg.ports.record('debug', 'conn_evicted', {
      group: pool.cfg.group,
      endpoint: conn.endpoint,
      workspace: conn.workspace,
      wanted_by: wantedBy,
      reason,
      unused_ms: Math.round(pool.now() - uses.readUsedAt(conn)),
    });
  };

  const evictById = (
    id: number,
    reason: Parameters<typeof evict>[1],
    wantedBy: WorkspaceId | null,
  ): void => {
    const conn = pool.conns.get(id);
    if (conn !== undefined) {
      evict(conn, reason, wantedBy);
    }
  };

  const handleRefusal = (endpoint: EndpointId, fault: EndpointFault): void => {
    if (fault !== 'too_many_connections') {
      return;
    }
    const held = pool.conns
      .list()
      .filter(conn => conn.endpoint === endpoint && conn.isOpen).length;
    const refusal = recordRefusal(held, pool.now());
    pool.endpoints.update(endpoint, {refusal});
    report.countRefusal(endpoint);
    pool.cfg.ports.record('warn', 'conns_refused', {
      group: pool.cfg.group,
      endpoint,
      held,
      limit: refusal.limit,
    });
  };

  const listEndpoints = (
    now: Instant,
    views: readonly PoolView[],
  ): readonly PlannedEndpoint[] => {
    const conns = new Map<EndpointId, PlannedConn[]>();
    for (const conn of pool.conns.list()) {
      const {id, endpoint, workspace, idleSince} = conn;
      const listed = conns.get(endpoint) ?? [];
      conns.set(endpoint, listed);
      listed.push({id, workspace, use: findUse(conn), idleSince});
    }
    return views.flatMap(view => {
      const state = pool.endpoints.get(view.id);
      if (state === undefined) {
        return [];
      }
      const {entry, missingSince, reopenAt, serviceMs} = state;
      const mayOpen =
        !entry.isLeaving && missingSince === null && now >= reopenAt;
      return {
        id: view.id,
        isPrimary: view.isPrimary,
        limit: getConnLimit(pool, state),
        maxOpening: mayOpen ? MAX_OPENING : 0,
        slots: getSlotLimit(state),
        running: view.running,
        serviceMs,
        conns: conns.get(view.id) ?? [],
        readRate: workspace => uses.readRate(view.id, workspace, now),
      };
    });
  };

  /** When the next plan may be made. */
  let planAt: Instant = -Infinity;
  let isPlanScheduled = false;
  /** Plans again once the interval since the last plan has passed. */
  const schedulePlan = (): void => {
    if (isPlanScheduled) {
      return;
    }
    isPlanScheduled = true;
    pool.cfg.ports.runtime.at(planAt, () => {
      isPlanScheduled = false;
      pool.wake();
    });
  };

  const open = (): void => {
    const now = pool.now();
    if (now < planAt) {
      schedulePlan();
      return;
    }
    planAt = now + PLAN_INTERVAL_MS;
    uses.update(pool.conns.list(), now);
    const isAnyWaiting = pool.jobs
      .list()
      .some(({phase, isInTx}) => phase === 'waiting' && !isInTx);
    if (!isAnyWaiting) {
      return;
    }
    const views = createEndpointViews(pool);
    const endpoints = listEndpoints(now, views);
    const isAnyOpen = endpoints.some(
      ({conns, maxOpening}) =>
        conns.filter(({use}) => use === 'opening').length < maxOpening,
    );
    if (!isAnyOpen) {
      return;
    }
    const planned = planOpenings(endpoints, listDemands(pool, views));
    for (const {endpoint, workspace, evicted} of planned) {
      const state = pool.endpoints.get(endpoint);
      if (state === undefined) {
        continue;
      }
      if (evicted !== null) {
        evictById(evicted, 'other_workspace', workspace);
        if (state.refusal !== null && now < state.refusal.at + REFUSING_MS) {
          pool.endpoints.update(endpoint, {reopenAt: now + CLOSE_MS});
          continue;
        }
      }
      openConn(pool, state, workspace, onLost, fault =>
        handleRefusal(endpoint, fault),
      );
    }
  };

  /** Closes the idle connections that nobody has used for long. */
  const closeUnused = (now: Instant): void => {
    for (const conn of pool.conns.list()) {
      const unusedMs = now - uses.readUsedAt(conn);
      if (isFree(conn) && unusedMs >= IDLE_CLOSE_MS) {
        evict(conn, 'unused', null);
      }
    }
  };

  return {
    open,
    maintain: () => {
      const now = pool.now();
      uses.update(pool.conns.list(), now);
      for (const endpoint of listEndpoints(now, createEndpointViews(pool))) {
        planClosings(endpoint).forEach(id => evictById(id, 'over_limit', null));
      }
      closeUnused(now);
      report.tick();
    },
    close: report.close,
  };
}
