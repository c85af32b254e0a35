/**
 * Tracks requests to promote an endpoint. One that was sent takes effect later,
 * also after its answer was lost, its sender is gone, or the old primary is
 * back. Whatever another endpoint acknowledges until then is lost.
 */

import type {EndpointId} from '@lacewingroad/core';
import {UNKNOWN_ENDPOINT} from '../model/ownership.js';
import {
  CONFIRM_PRIMARY_MS,
  PROMOTE_TIMEOUT_MS,
  STATUS_TIMEOUT_MS,
} from './limits.js';
import type {Pool, PromotionCall} from './state.js';

/** Returns whether a requested promotion may still take effect. */
export function hasOpenCalls(pool: Pool): boolean {
  return pool.read().calls.length > 0;
}

function putCall(pool: Pool, call: PromotionCall): void {
  pool.update({calls: [...pool.read().calls, call]});
}

/** Adds a request that is about to be sent; returns its id. */
export function openCall(
  pool: Pool,
  endpoint: EndpointId,
  cancel: () => void,
): number {
  const id = pool.nextId();
  putCall(pool, {id, endpoint, settledAt: Infinity, cancel});
  return id;
}

/**
 * Adds the requests of earlier owners that may not have taken effect. One that
 * may have been sent, without any trace, was answered before its owner ended.
 */
export function addInheritedCalls(pool: Pool): void {
  const {lineage, predecessorEndedAt} = pool.cfg;
  for (const endpoint of lineage?.promoting ?? []) {
    const settledAt =
      endpoint === UNKNOWN_ENDPOINT
        ? predecessorEndedAt + CONFIRM_PRIMARY_MS
        : pool.now() + PROMOTE_TIMEOUT_MS;
    const id = pool.nextId();
    putCall(pool, {id, endpoint, settledAt, cancel: () => undefined});
  }
}

/** Removes a request that had no effect; earlier ones may still have one. */
export function closeCall(pool: Pool, id: number): void {
  pool.update({calls: pool.read().calls.filter(call => call.id !== id)});
}

/** Removes the requests for an endpoint that has been promoted. */
export function closeCallsOf(pool: Pool, endpoint: EndpointId): void {
  const calls = pool.read().calls.filter(call => call.endpoint !== endpoint);
  pool.update({calls});
}

/** Notes that a request was sent; it takes effect soon or never. */
export function awaitEffect(
  pool: Pool,
  id: number,
  timeoutMs = PROMOTE_TIMEOUT_MS,
): void {
  const settledAt = pool.now() + timeoutMs;
  const calls = pool
    .read()
    .calls.map(call => (call.id === id ? {...call, settledAt} : call));
  pool.update({calls});
}

/**
 * Returns whether an endpoint has just reported that it is a replica, and knows
 * of no newer primary.
 */
function isSeenAsReplica(pool: Pool, endpoint: EndpointId): boolean {
  const state = pool.endpoints.get(endpoint);
  return (
    state !== undefined &&
    state.status?.role === 'replica' &&
    state.status.term <= (pool.read().primary?.term ?? Infinity) &&
    state.downSince === null &&
    pool.now() - (state.statusRequestedAt ?? -Infinity) < STATUS_TIMEOUT_MS
  );
}

/**
 * Returns whether another endpoint may have been promoted unseen. One that still
 * reports that it is a replica was not.
 */
export function mayHavePromoted(pool: Pool): boolean {
  const {primary, suspects} = pool.read();
  const endpoints = suspects.includes(UNKNOWN_ENDPOINT)
    ? pool.members.list().map(({endpoint}) => endpoint)
    : suspects;
  return endpoints.some(
    endpoint =>
      endpoint !== primary?.endpoint && !isSeenAsReplica(pool, endpoint),
  );
}

/**
 * Returns whether a requested promotion may take effect, or may have done so
 * unseen: the known primary may then not acknowledge commits.
 */
export function isPrimaryDoubtful(pool: Pool): boolean {
  return hasOpenCalls(pool) || pool.read().suspects.length > 0;
}

/** Forgets the suspects once all are seen not to have been promoted. */
export function clearSuspects(pool: Pool): void {
  const {primary, suspects} = pool.read();
  const isDecided =
    primary !== null && !hasOpenCalls(pool) && !mayHavePromoted(pool);
  if (suspects.length > 0 && isDecided) {
    pool.update({suspects: []});
    pool.wake();
  }
}

/**
 * Forgets an endpoint that leads a newer term, and those whose promotion was
 * requested before: theirs would have been of an earlier term.
 */
export function removeSuspectsUpTo(pool: Pool, endpoint: EndpointId): void {
  const {suspects} = pool.read();
  const index = suspects.indexOf(endpoint);
  pool.update({suspects: suspects.slice(index + 1)});
}

/** Removes requests that are too old to take effect. */
export function removeSettledCalls(pool: Pool): void {
  const {calls} = pool.read();
  const open = calls.filter(({settledAt}) => pool.now() < settledAt);
  if (open.length < calls.length) {
    pool.update({calls: open});
    pool.wake();
  }
}

/** Withdraws all requests that have not been answered. */
export function cancelCalls(pool: Pool): void {
  pool
    .read()
    .calls.filter(({settledAt}) => settledAt === Infinity)
    .forEach(({cancel}) => cancel());
}
