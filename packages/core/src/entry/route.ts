/** Chooses the endpoint for a request, and the host that owns its pool. */

import {PRIMARY_PENALTY, REMOTE_PENALTY, REPORT_VALID_MS} from './constants.js';
import {ROUTING_POLICIES} from './routing_policy.js';
import type {RoutingPolicy} from './routing_policy.js';
import {readOutstanding} from './requests.js';
import type {Caller, Request} from './state.js';
import {readEndpointView} from '../control/control_status.js';
import type {EndpointView} from '../control/state.js';
import {findOwner, isReachable} from '../control/membership.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Context} from '../engine/engine.js';
import {findEndpoint} from '../model/group.js';
import type {GroupEndpoint, GroupObject} from '../model/group.js';
import type {EndpointId, HostId, Instant} from '../model/ids.js';
import {hasReached, getPositionStatus} from '../model/position.js';
import {POSITION_WAIT_MS} from '../owner/limits.js';
import type {LogPosition} from '../model/position.js';

/** Destination of a request, and the conditions on the endpoint. */
export interface Route {
  readonly host: HostId;
  readonly endpoint: EndpointId;
  /** The term whose primary must be proven current, or null. */
  readonly term: number | null;
  readonly minPosition: LogPosition | null;
  readonly maxStalenessMs: number | null;
  readonly isReplica: boolean;
  readonly reason: RouteReason;
}

/** Why a request goes to a replica, or to the primary instead of one. */
export type RouteReason =
  | 'replica'
  /** Writes and transactions run at the primary. */
  | 'write'
  | 'transaction'
  /** The session's positions may be incomplete. */
  | 'session_not_proven'
  /** The row of the table allows no staleness. */
  | 'no_staleness_allowed'
  /** The routing policy uses no replicas. */
  | 'replicas_not_used'
  /** No replica that may be recent enough is reachable. */
  | 'no_replica_fits'
  | 'replicas_busy';

function readRouting(board: Blackboard): RoutingPolicy {
  return ROUTING_POLICIES[board.requests.routing];
}

/** Returns the position that a replica must have reached, or null. */
function findMinPosition(
  board: Blackboard,
  group: GroupObject,
  caller: Caller,
): LogPosition | null {
  const wanted = caller.positions.get(group.id) ?? null;
  return readRouting(board).checksPositions ? wanted : null;
}

/** Returns whether a session's positions cover all its possible writes. */
function isProofComplete(caller: Caller): boolean {
  return caller.proof === 'complete' && !caller.hasUnknownWrite;
}

/** Returns why only the primary may serve a request, or null. */
function findPrimaryOnlyReason(
  board: Blackboard,
  caller: Caller,
  request: Request,
): RouteReason | null {
  const {usesReplicas, checksPositions} = readRouting(board);
  if (request.mode !== 'autocommit') {
    return 'transaction';
  }
  if (request.isWrite) {
    return 'write';
  }
  if (!usesReplicas) {
    return 'replicas_not_used';
  }
  if (checksPositions && !isProofComplete(caller)) {
    return 'session_not_proven';
  }
  return request.row.maxStalenessMs === 0 ? 'no_staleness_allowed' : null;
}

/**
 * Returns whether a replica is expected to lack a session's position even after
 * its owner has waited for it. A replica with data of age `lag` receives a
 * write about `lag` after it was made.
 */
function isExpectedBehind(
  board: Blackboard,
  view: EndpointView,
  lag: number,
  group: GroupObject,
  caller: Caller,
  now: Instant,
): boolean {
  const wanted = findMinPosition(board, group, caller);
  if (wanted === null || view.status === null) {
    return false;
  }
  if (hasReached(view.status.position, wanted, group.starts)) {
    return false;
  }
  return now + POSITION_WAIT_MS < caller.positionsAt + lag;
}

/** Returns whether the last report of a replica excludes it for now. */
function isReplicaExcluded(
  board: Blackboard,
  group: GroupObject,
  endpoint: EndpointId,
  caller: Caller,
  request: Request,
  now: Instant,
): boolean {
  const view = readEndpointView(board, endpoint);
  const {statusAt, dataAsOf} = view;
  if (statusAt === null || dataAsOf === null) {
    return false;
  }
  if (now - statusAt > REPORT_VALID_MS) {
    return false;
  }
  const lag = Math.max(0, statusAt - dataAsOf);
  const limit = request.row.maxStalenessMs;
  const isTooOld = limit !== null && lag > limit;
  return isTooOld || isExpectedBehind(board, view, lag, group, caller, now);
}

function listReplicas(
  board: Blackboard,
  group: GroupObject,
  caller: Caller,
  request: Request,
  now: Instant,
): readonly GroupEndpoint[] {
  return group.endpoints
    .filter(endpoint => endpoint.id !== group.primary && !endpoint.leaving)
    .filter(endpoint => !request.excludedEndpoints.includes(endpoint.id))
    .filter(
      endpoint =>
        !isReplicaExcluded(board, group, endpoint.id, caller, request, now),
    );
}

/**
 * Estimates the cost of using an endpoint, in requests in progress of the same
 * or a more urgent rank. A random fraction breaks ties.
 */
function estimateCost(
  board: Blackboard,
  endpoint: GroupEndpoint,
  request: Request,
  ctx: Context,
): number {
  const isLocal = endpoint.dataCentre === board.self.dataCentre;
  const outstanding = readOutstanding(board, endpoint.id, request.row.rank);
  return outstanding + (isLocal ? 0 : REMOTE_PENALTY) + ctx.random();
}

interface Candidate {
  readonly route: Route;
  readonly cost: number;
}

function chooseReplica(
  board: Blackboard,
  group: GroupObject,
  caller: Caller,
  request: Request,
  ctx: Context,
): Candidate | null {
  const candidates = listReplicas(board, group, caller, request, ctx.now)
    .map(endpoint => ({
      endpoint,
      host: findOwner(board, group, endpoint, ctx.now),
      cost: estimateCost(board, endpoint, request, ctx),
    }))
    .sort((a, b) => a.cost - b.cost);
  for (const {endpoint, host, cost} of candidates) {
    if (host !== null && isReachable(board, host, ctx.now)) {
      const route: Route = {
        host,
        endpoint: endpoint.id,
        term: null,
        minPosition: findMinPosition(board, group, caller),
        maxStalenessMs: request.row.maxStalenessMs,
        isReplica: true,
        reason: 'replica',
      };
      return {route, cost};
    }
  }
  return null;
}

/** Returns whether the primary can serve a read at a clearly lower cost. */
function isPrimaryCheaper(
  board: Blackboard,
  group: GroupObject,
  request: Request,
  replicaCost: number,
  ctx: Context,
): boolean {
  const primary = findEndpoint(group, group.primary);
  return (
    primary !== null &&
    !primary.leaving &&
    group.fence === null &&
    !request.excludedEndpoints.includes(primary.id) &&
    estimateCost(board, primary, request, ctx) + PRIMARY_PENALTY < replicaCost
  );
}

/**
 * Returns whether a read at the primary needs proof that the primary is current
 * (write evidence). Where the row allows staleness, the owner proves the age of
 * the data instead, so that an isolated owner can still serve such reads until
 * that age.
 */
function needsWriteEvidence(caller: Caller, request: Request): boolean {
  return !isProofComplete(caller) || request.row.maxStalenessMs === 0;
}

function choosePrimary(
  board: Blackboard,
  group: GroupObject,
  caller: Caller,
  request: Request,
  reason: RouteReason,
  now: Instant,
): Route | null {
  const endpoint = findEndpoint(group, group.primary);
  const host =
    endpoint === null ? null : findOwner(board, group, endpoint, now);
  if (endpoint === null || host === null) {
    return null;
  }
  const wanted = caller.positions.get(group.id) ?? null;
  const isProven = request.isWrite || needsWriteEvidence(caller, request);
  return {
    host,
    endpoint: endpoint.id,
    term: isProven ? group.term : null,
    minPosition: request.isWrite ? null : wanted,
    maxStalenessMs: isProven ? null : request.row.maxStalenessMs,
    isReplica: false,
    reason,
  };
}

/** Chooses the route of a request, or returns null if it has to wait. */
export function chooseRoute(
  board: Blackboard,
  group: GroupObject,
  caller: Caller,
  request: Request,
  ctx: Context,
): Route | null {
  const primaryOnlyReason = findPrimaryOnlyReason(board, caller, request);
  const replica =
    primaryOnlyReason === null
      ? chooseReplica(board, group, caller, request, ctx)
      : null;
  if (
    replica !== null &&
    !isPrimaryCheaper(board, group, request, replica.cost, ctx)
  ) {
    return replica.route;
  }
  const reason =
    primaryOnlyReason ??
    (replica === null ? 'no_replica_fits' : 'replicas_busy');
  const primary = choosePrimary(board, group, caller, request, reason, ctx.now);
  return primary ?? replica?.route ?? null;
}

/** Returns the position at which a group's current term starts. */
export function readTermStart(group: GroupObject): LogPosition {
  const {term, starts} = group;
  const start = starts.find(candidate => candidate.term === term);
  return {term, index: start?.index ?? 0};
}

/** Returns whether a session's last write in a group was lost. */
export function isSessionWriteLost(
  group: GroupObject,
  caller: Caller,
): boolean {
  const position = caller.positions.get(group.id);
  return (
    position !== undefined &&
    getPositionStatus(position, group.term, group.starts) === 'lost'
  );
}
