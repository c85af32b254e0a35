/** Chooses the endpoint for a request, and the host to ask for it. */

import {PRIMARY_PENALTY, REMOTE_PENALTY, REPORT_VALID_MS} from './constants.js';
import {ROUTING_POLICIES} from './routing_policy.js';
import type {RoutingPolicy} from './routing_policy.js';
import {readOutstanding} from './requests.js';
import type {Caller, Request} from './state.js';
import {readEndpointView} from '../control/facts.js';
import type {EndpointView} from '../control/state.js';
import {findOwner, isReachable} from '../control/membership.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Context} from '../engine/engine.js';
import {findEndpoint} from '../model/group.js';
import type {GroupEndpoint, GroupObject} from '../model/group.js';
import type {EndpointId, HostId, Instant} from '../model/ids.js';
import {hasReached, readPositionFate} from '../model/position.js';
import {POSITION_WAIT_MS} from '../owner/limits.js';
import type {LogPosition} from '../model/position.js';

/** Where a request goes, and what the endpoint must prove. */
export interface Route {
  readonly host: HostId;
  readonly endpoint: EndpointId;
  /** The term whose primary must provably be current, or null. */
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
  /** The session's newest position is not proven. */
  | 'session_not_proven'
  /** The row of the table allows no age. */
  | 'no_staleness_allowed'
  /** The routing of the experiment uses no replicas. */
  | 'replicas_not_used'
  /** No replica can be reached that is known to be recent enough. */
  | 'no_replica_fits'
  | 'replicas_busy';

function readRouting(board: Blackboard): RoutingPolicy {
  return ROUTING_POLICIES[board.requests.routing];
}

/** Returns the position that a replica must have reached, or null. */
function readWanted(
  board: Blackboard,
  group: GroupObject,
  caller: Caller,
): LogPosition | null {
  const wanted = caller.positions.get(group.id) ?? null;
  return readRouting(board).keepsSessions ? wanted : null;
}

/** Tells whether a session's positions cover all that it may have written. */
function isProofComplete(caller: Caller): boolean {
  return caller.proof === 'complete' && !caller.hasUnknownWrite;
}

/** Returns why no replica may serve a request, or null where one may. */
function findReplicaRefusal(
  board: Blackboard,
  caller: Caller,
  request: Request,
): RouteReason | null {
  const {usesReplicas, keepsSessions} = readRouting(board);
  if (request.mode !== 'autocommit') {
    return 'transaction';
  }
  if (request.isWrite) {
    return 'write';
  }
  if (!usesReplicas) {
    return 'replicas_not_used';
  }
  if (keepsSessions && !isProofComplete(caller)) {
    return 'session_not_proven';
  }
  return request.row.maxStalenessMs === 0 ? 'no_staleness_allowed' : null;
}

/**
 * Tells whether a replica is not expected to have a session's position even
 * after its owner has waited for it. A replica whose data are `lag` old has a
 * write about `lag` after it was made.
 */
function isBehind(
  board: Blackboard,
  view: EndpointView,
  lag: number,
  group: GroupObject,
  caller: Caller,
  now: Instant,
): boolean {
  const wanted = readWanted(board, group, caller);
  if (wanted === null || view.status === null) {
    return false;
  }
  if (hasReached(view.status.position, wanted, group.starts)) {
    return false;
  }
  return now + POSITION_WAIT_MS < caller.positionsAt + lag;
}

/** Tells whether what is known of a replica rules it out for now. */
function isRuledOut(
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
  return isTooOld || isBehind(board, view, lag, group, caller, now);
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
    .filter(endpoint => !request.avoided.includes(endpoint.id))
    .filter(
      endpoint => !isRuledOut(board, group, endpoint.id, caller, request, now),
    );
}

/**
 * Returns what it costs to use an endpoint, in requests in progress that go
 * before the request or compete with it.
 */
function readCost(
  board: Blackboard,
  endpoint: GroupEndpoint,
  request: Request,
  ctx: Context,
): number {
  const isNear = endpoint.dataCentre === board.self.dataCentre;
  const outstanding = readOutstanding(board, endpoint.id, request.row.rank);
  return outstanding + (isNear ? 0 : REMOTE_PENALTY) + ctx.random();
}

interface Offer {
  readonly route: Route;
  readonly cost: number;
}

function chooseReplica(
  board: Blackboard,
  group: GroupObject,
  caller: Caller,
  request: Request,
  ctx: Context,
): Offer | null {
  const offers = listReplicas(board, group, caller, request, ctx.now)
    .map(endpoint => ({
      endpoint,
      host: findOwner(board, group, endpoint, ctx.now),
      cost: readCost(board, endpoint, request, ctx),
    }))
    .sort((a, b) => a.cost - b.cost);
  for (const {endpoint, host, cost} of offers) {
    if (host !== null && isReachable(board, host, ctx.now)) {
      const route: Route = {
        host,
        endpoint: endpoint.id,
        term: null,
        minPosition: readWanted(board, group, caller),
        maxStalenessMs: request.row.maxStalenessMs,
        isReplica: true,
        reason: 'replica',
      };
      return {route, cost};
    }
  }
  return null;
}

/** Tells whether a replica is so busy that the primary serves a read sooner. */
function isPrimarySooner(
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
    !request.avoided.includes(primary.id) &&
    readCost(board, primary, request, ctx) + PRIMARY_PENALTY < replicaCost
  );
}

/**
 * Tells whether a read at the primary needs write evidence. Where the row
 * allows an age, the owner proves the age instead: an owner that is cut off
 * goes on serving such reads for as long as the age allows.
 */
function needsEvidence(caller: Caller, request: Request): boolean {
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
  const isProven = request.isWrite || needsEvidence(caller, request);
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

/** Chooses where a request goes now, or null when it has to wait. */
export function chooseRoute(
  board: Blackboard,
  group: GroupObject,
  caller: Caller,
  request: Request,
  ctx: Context,
): Route | null {
  const refusal = findReplicaRefusal(board, caller, request);
  const replica =
    refusal === null ? chooseReplica(board, group, caller, request, ctx) : null;
  if (
    replica !== null &&
    !isPrimarySooner(board, group, request, replica.cost, ctx)
  ) {
    return replica.route;
  }
  const reason =
    refusal ?? (replica === null ? 'no_replica_fits' : 'replicas_busy');
  const primary = choosePrimary(board, group, caller, request, reason, ctx.now);
  return primary ?? replica?.route ?? null;
}

/** Returns the position from which a group's current term goes on. */
export function readTermStart(group: GroupObject): LogPosition {
  const {term, starts} = group;
  const start = starts.find(candidate => candidate.term === term);
  return {term, index: start?.index ?? 0};
}

/** Tells whether a session's last write in a group was lost. */
export function isSessionWriteLost(
  group: GroupObject,
  caller: Caller,
): boolean {
  const position = caller.positions.get(group.id);
  return (
    position !== undefined &&
    readPositionFate(position, group.term, group.starts) === 'lost'
  );
}
