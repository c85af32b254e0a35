/**
 * Estimates the delay of the network to an endpoint. The load that it addresses:
 * reads of a group whose endpoints are in different data centres. The fastest
 * replies to status probes carry no wait, and show the delay.
 */

/** Weight of a slower reply; a delay that has grown is seen in ten seconds. */
const RISE_WEIGHT = 0.1;
/** Largest delay that is assumed, in ms: slower replies waited for a slot. */
const MAX_DELAY_MS = 20;

/** Returns the delay after another reply, in ms; null is an unknown delay. */
export function updateDelay(delayMs: number | null, tookMs: number): number {
  const took = Math.min(MAX_DELAY_MS, tookMs);
  return delayMs === null || took < delayMs
    ? took
    : delayMs + RISE_WEIGHT * (took - delayMs);
}
