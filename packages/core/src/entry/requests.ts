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
  return `${host}.${incarnation}.${board.requests.next}`;
}

/** Takes an id for a statement that this host answers without sending it. */
export function takeRequestId(board: Blackboard): {
  readonly board: Blackboard;
  readonly id: RequestId;
} {
  const next = setRequests(board, {next: board.requests.next + 1});
  return {board: next, id: readNextRequestId(board)};
}

/** Adds a request, and what it adds to the retries that may be spent. */
export function addRequest(board: Blackboard, request: Request): Blackboard {
  const {next, byId, retryTokens} = board.requests;
  return setRequests(board, {
    next: next + 1,
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

/** Forgets a request. */
export function removeRequest(board: Blackboard, id: RequestId): Blackboard {
  return setRequests(board, {byId: board.requests.byId.delete(id)});
}

/** Counts the requests of a rank in progress at an endpoint up or down. */
export function countOutstanding(
  board: Blackboard,
  endpoint: EndpointId,
  rank: Rank,
  change: 1 | -1,
): Blackboard {
  const {outstanding} = board.requests;
  const key = readLoadKey(endpoint, rank);
  const count = (outstanding.get(key) ?? 0) + change;
  return setRequests(board, {
    outstanding:
      count > 0 ? outstanding.set(key, count) : outstanding.delete(key),
  });
}

function readLoadKey(endpoint: EndpointId, rank: Rank): string {
  return `${rank}@${endpoint}`;
}

/**
 * Counts the requests of this host in progress at an endpoint that are not
 * served after one of `rank`.
 */
export function readOutstanding(
  board: Blackboard,
  endpoint: EndpointId,
  rank: Rank,
): number {
  const {outstanding} = board.requests;
  return RANKS.slice(0, RANKS.indexOf(rank) + 1)
    .map(other => outstanding.get(readLoadKey(endpoint, other)) ?? 0)
    .reduce((sum, count) => sum + count, 0);
}

/** Takes one retry from those saved up, or returns null when none is left. */
export function spendRetry(board: Blackboard): Blackboard | null {
  const {retryTokens} = board.requests;
  return retryTokens < 1
    ? null
    : setRequests(board, {retryTokens: retryTokens - 1});
}

/** Notes whether a connection to a host stands. */
export function setLinked(
  board: Blackboard,
  host: string,
  isLinked: boolean,
): Blackboard {
  const {linkedHosts} = board.requests;
  if (linkedHosts.has(host) === isLinked) {
    return board;
  }
  return setRequests(board, {
    linkedHosts: isLinked
      ? linkedHosts.set(host, true)
      : linkedHosts.delete(host),
  });
}
