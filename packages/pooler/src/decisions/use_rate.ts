/**
 * How often something is used lately: a rate that decays. The load it answers:
 * workspaces whose requests come in waves and surges of some seconds.
 */

import type {Instant} from '@lacewingroad/runtime';

/** A rate at an instant. */
export interface UseRate {
  readonly perSecond: number;
  readonly at: Instant;
}

/**
 * Time in which the weight of a use falls to 37%, in s: longer than the gaps
 * between the requests of a small workspace, shorter than two surges.
 */
const DECAY_S = 10;

/** Returns the rate at an instant. */
export function readUseRate(rate: UseRate | undefined, now: Instant): number {
  return rate === undefined
    ? 0
    : rate.perSecond * Math.exp(-(now - rate.at) / (DECAY_S * 1_000));
}

/** Returns the rate after one more use. */
export function addUse(rate: UseRate | undefined, now: Instant): UseRate {
  return {perSecond: readUseRate(rate, now) + 1 / DECAY_S, at: now};
}
