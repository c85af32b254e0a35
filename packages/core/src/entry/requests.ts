/** Reads and updates of the requests slice. */

import {RETRY_TOKENS_MAX, RETRY_TOKENS_PER_REQUEST} from './constants.js';
import type {Request, RequestsSlice} from './state.js';
import {RANKS} from '../model/table.js';
import type {Rank} from '../model/table.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {EndpointId, RequestId} from '../model/ids.js';

function setRequests(
  board: Blackboard,
  parts: Partial<RequestsSlice>,
): Blackboard {
  return {...board, requests: {...board.requests, ...parts}};
}

/** Returns a request, or null when it has ended. */
export function readRequest(board: Blackboard, id: RequestId): Request | null {
  return board.requests.byId.get(id) ?? null;
}

/** Returns the id of the next request of this host. */
export function readNextRequestId(board: Blackboard): RequestId {
  const {host, incarnation} = board.self;
  return `${host}.${incarnation}.${board.requests.nextNumber}`;
}

/** Allocates an id for a statement that this host answers itself. */
export function allocateRequestId(board: Blackboard): {
  readonly board: Blackboard;
  readonly id: RequestId;
} {
  const next = setRequests(board, {nextNumber: board.requests.nextNumber + 1});
  return {board: next, id: readNextRequestId(board)};
}

/** Adds a request, and its share to the retry budget. */
export function addRequest(board: Blackboard, request: Request): Blackboard {
  const {nextNumber, byId, retryTokens} = board.requests;
  return setRequests(board, {
    nextNumber: nextNumber + 1,
    byId: byId.set(request.id, request),
    retryTokens: Math.min(
      RETRY_TOKENS_MAX,
      retryTokens + RETRY_TOKENS_PER_REQUEST,
    ),
  });
}

/** Replaces a request. */
export function putRequest(board: Blackboard, request: Request): Blackboard {
  return setRequests(board, {
    byId: board.requests.byId.set(request.id, request),
  });
}

/** Removes a request. */
export function removeRequest(board: Blackboard, id: RequestId): Blackboard {
  return setRequests(board, {byId: board.requests.byId.delete(id)});
}

/** Changes the count of requests of a rank in progress at an endpoint. */
export function countOutstanding(
  board: Blackboard,
  endpoint: EndpointId,
  rank: Rank,
  change: 1 | -1,
): Blackboard {
  const {outstanding} = board.requests;
  const key = createOutstandingKey(endpoint, rank);
  const count = (outstanding.get(key) ?? 0) + change;
  return setRequests(board, {
    outstanding:
      count > 0 ? outstanding.set(key, count) : outstanding.delete(key),
  });
}

function createOutstandingKey(endpoint: EndpointId, rank: Rank): string {
  return `${rank}@${endpoint}`;
}

/**
 * Returns how many requests of this host are in progress at an endpoint with
 * `rank` or a more urgent one.
 */
export function readOutstanding(
  board: Blackboard,
  endpoint: EndpointId,
  rank: Rank,
): number {
  const {outstanding} = board.requests;
  return RANKS.slice(0, RANKS.indexOf(rank) + 1)
    .map(other => outstanding.get(createOutstandingKey(endpoint, other)) ?? 0)
    .reduce((sum, count) => sum + count, 0);
}

/** Takes one retry from the budget, or returns null if none is left. */
export function spendRetryToken(board: Blackboard): Blackboard | null {
  const {retryTokens} = board.requests;
  return retryTokens < 1
    ? null
    : setRequests(board, {retryTokens: retryTokens - 1});
}

/** Records whether a connection to a host is open. */
export function setConnected(
  board: Blackboard,
  host: string,
  isConnected: boolean,
): Blackboard {
  const {connectedHosts} = board.requests;
  if (connectedHosts.has(host) === isConnected) {
    return board;
  }
  return setRequests(board, {
    connectedHosts: isConnected
      ? connectedHosts.set(host, true)
      : connectedHosts.delete(host),
  });
}
