/**
 * How many connections a pool may hold to an endpoint that has refused one. The
 * load it answers: endpoints count the connections of all hosts, and a previous
 * owner that is frozen or cut off keeps its connections for some seconds.
 */

import type {Instant} from '@lacewingroad/runtime';

/** The latest refusal by an endpoint that accepts no more connections. */
export interface ConnRefusal {
  readonly limit: number;
  readonly at: Instant;
}

/** Time after a refusal in which the limit stays, in ms. */
const HOLD_MS = 1_000;
/** Time in which the limit doubles after that, in ms. */
const DOUBLING_MS = 2_000;

/** Returns the number of connections that a pool may hold now. */
export function readConnLimit(
  configured: number,
  refusal: ConnRefusal | null,
  now: Instant,
): number {
  if (refusal === null) {
    return configured;
  }
  const growing = Math.max(0, now - refusal.at - HOLD_MS);
  const grown = Math.floor(refusal.limit * 2 ** (growing / DOUBLING_MS));
  return Math.min(configured, grown);
}

/**
 * Returns the limit after a refusal: one less than are held, so that whoever
 * else was refused can connect.
 */
export function recordRefusal(held: number, now: Instant): ConnRefusal {
  return {limit: Math.max(1, held - 1), at: now};
}
