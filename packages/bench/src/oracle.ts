/** Upper bounds: what a scheduler with complete knowledge would reach. */

import {RANKS} from '@lacewingroad/core';
import type {Rank} from '@lacewingroad/core';

/** A request that competes for slots. */
export interface OfferedRequest {
  readonly rank: Rank;
  readonly worth: number;
  /** Whether only the primary can serve it. */
  readonly needsPrimary: boolean;
}

/** Requests that the slots can run in the measured window. */
export interface Capacity {
  readonly primary: number;
  readonly total: number;
  /** Share of the slots reserved for each rank, in percent. */
  readonly floors: Readonly<Record<Rank, number>>;
}

interface RemainingSlots {
  primary: number;
  total: number;
}

const PERCENT = 100;

/** Reserves a slot for a request; returns false if none is left for it. */
function reserveSlot(
  remaining: RemainingSlots,
  request: OfferedRequest,
): boolean {
  if (remaining.total < 1 || (request.needsPrimary && remaining.primary < 1)) {
    return false;
  }
  remaining.total -= 1;
  remaining.primary -= request.needsPrimary ? 1 : 0;
  return true;
}

/**
 * Returns the greatest worth that any order could serve: each rank's floor
 * first, then requests by descending worth. Requests that need the primary are
 * limited by its slots, and all requests by all slots. The two limits are
 * nested, so the greedy order is optimal. Arrival times are ignored, which can
 * only raise the result.
 */
export function computeBestValue(
  requests: readonly OfferedRequest[],
  capacity: Capacity,
): number {
  const remaining: RemainingSlots = {
    primary: capacity.primary,
    total: capacity.total,
  };
  const sorted = [...requests].sort((a, b) => b.worth - a.worth);
  const served = new Set<OfferedRequest>();
  for (const rank of RANKS) {
    let floorLeft = Math.floor(
      (capacity.total * capacity.floors[rank]) / PERCENT,
    );
    for (const request of sorted) {
      if (floorLeft === 0) {
        break;
      }
      if (request.rank === rank && reserveSlot(remaining, request)) {
        served.add(request);
        floorLeft -= 1;
      }
    }
  }
  for (const request of sorted) {
    if (!served.has(request) && reserveSlot(remaining, request)) {
      served.add(request);
    }
  }
  return [...served].reduce((sum, request) => sum + request.worth, 0);
}

/** State of an endpoint at one instant, as an oracle knows it. */
export interface EndpointSnapshot {
  readonly isPrimary: boolean;
  /** Whether the entry host reaches it, directly or through another host. */
  readonly isReachable: boolean;
  /** Whether its process is running. */
  readonly isAlive: boolean;
  /** Whether it has applied all acknowledged writes of the session. */
  readonly hasSessionWrites: boolean;
  readonly dataAgeMs: number;
}

/** Returns whether an endpoint could serve a read at this instant. */
function couldServeRead(
  {isReachable, isAlive, hasSessionWrites, dataAgeMs}: EndpointSnapshot,
  maxStalenessMs: number | null,
): boolean {
  const isFresh = maxStalenessMs === null || dataAgeMs <= maxStalenessMs;
  return isReachable && isAlive && hasSessionWrites && isFresh;
}

/** Returns whether some replica could serve a read at this instant. */
export function couldReplicaServe(
  endpoints: readonly EndpointSnapshot[],
  maxStalenessMs: number | null,
): boolean {
  return (
    maxStalenessMs !== 0 &&
    endpoints.some(
      endpoint =>
        !endpoint.isPrimary && couldServeRead(endpoint, maxStalenessMs),
    )
  );
}

/**
 * Returns whether a request that needs the primary could be served. An oracle
 * may promote an endpoint at any time while it reaches a majority, so the time
 * that the product needs for this counts against the product.
 */
export function couldPrimaryServe(
  endpoints: readonly EndpointSnapshot[],
): boolean {
  const reachable = endpoints.filter(endpoint => endpoint.isReachable);
  return (
    reachable.length * 2 > endpoints.length ||
    reachable.some(endpoint => endpoint.isPrimary)
  );
}
