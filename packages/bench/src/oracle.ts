/** What a scheduler that knows everything would reach: upper bounds. */

import {RANKS} from '@lacewingroad/core';
import type {Rank} from '@lacewingroad/core';

/** A request as the best order sees it. */
export interface Offer {
  readonly rank: Rank;
  readonly worth: number;
  /** Whether only the primary can serve it. */
  readonly needsPrimary: boolean;
}

/** Requests that the slots can run in the window. */
export interface Capacity {
  readonly primary: number;
  readonly total: number;
  /** Share of the slots kept for each rank, in percent. */
  readonly floors: Readonly<Record<Rank, number>>;
}

interface Room {
  primary: number;
  total: number;
}

const PERCENT = 100;

/** Takes an offer if there is room for it. */
function take(room: Room, offer: Offer): boolean {
  if (room.total < 1 || (offer.needsPrimary && room.primary < 1)) {
    return false;
  }
  room.total -= 1;
  room.primary -= offer.needsPrimary ? 1 : 0;
  return true;
}

/**
 * Returns the greatest worth that any order could serve: each rank's floor
 * first, then the worthiest. Requests for the primary alone are limited by its
 * slots, all together by all slots; the two limits are nested, so that taking
 * the worthiest first is optimal. Time is ignored, which can only raise it.
 */
export function readBestValue(
  offers: readonly Offer[],
  capacity: Capacity,
): number {
  const room: Room = {primary: capacity.primary, total: capacity.total};
  const sorted = [...offers].sort((a, b) => b.worth - a.worth);
  const taken = new Set<Offer>();
  for (const rank of RANKS) {
    let reserved = Math.floor(
      (capacity.total * capacity.floors[rank]) / PERCENT,
    );
    for (const offer of sorted) {
      if (reserved === 0) {
        break;
      }
      if (offer.rank === rank && take(room, offer)) {
        taken.add(offer);
        reserved -= 1;
      }
    }
  }
  for (const offer of sorted) {
    if (!taken.has(offer) && take(room, offer)) {
      taken.add(offer);
    }
  }
  return [...taken].reduce((sum, offer) => sum + offer.worth, 0);
}

/** What an oracle knows of an endpoint at one instant. */
export interface EndpointTruth {
  readonly isPrimary: boolean;
  /** Whether the entry host reaches it, itself or through another host. */
  readonly isReached: boolean;
  /** Whether it runs. */
  readonly isAlive: boolean;
  /** Whether it has all acknowledged writes of the session. */
  readonly hasSession: boolean;
  readonly dataAgeMs: number;
}

/** Tells whether an endpoint could serve a read at this instant. */
function couldRead(
  {isReached, isAlive, hasSession, dataAgeMs}: EndpointTruth,
  maxStalenessMs: number | null,
): boolean {
  const isFresh = maxStalenessMs === null || dataAgeMs <= maxStalenessMs;
  return isReached && isAlive && hasSession && isFresh;
}

/** Tells whether some replica could serve a read at this instant. */
export function couldReplicaServe(
  endpoints: readonly EndpointTruth[],
  maxStalenessMs: number | null,
): boolean {
  return (
    maxStalenessMs !== 0 &&
    endpoints.some(
      endpoint => !endpoint.isPrimary && couldRead(endpoint, maxStalenessMs),
    )
  );
}

/**
 * Tells whether what needs the primary could be served. An oracle may at any
 * time name another primary where most endpoints are, so that the time until
 * the product does so counts against the product.
 */
export function couldPrimaryServe(
  endpoints: readonly EndpointTruth[],
): boolean {
  const reached = endpoints.filter(endpoint => endpoint.isReached);
  return (
    reached.length * 2 > endpoints.length ||
    reached.some(endpoint => endpoint.isPrimary)
  );
}
