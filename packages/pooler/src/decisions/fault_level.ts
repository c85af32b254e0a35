/**
 * Tracks the failure rate of an endpoint. An endpoint may fail some statements
 * while its status probes succeed. Failures return sooner than results, so such
 * an endpoint looks idle and would attract even more statements.
 */

import type {Instant} from '@lacewingroad/runtime';

/** The moving average of the share of failures, as of the instant `at`. */
export interface FaultRate {
  readonly share: number;
  readonly at: Instant;
}

/** The rate of an endpoint that has not replied to a statement yet. */
export const NO_FAULTS: FaultRate = {share: 0, at: 0};

/** Weight of the newest outcome: the average covers about the last dozen. */
const SMOOTHING_FACTOR = 0.15;
/**
 * Half-life of the share while no statement runs, in ms. An endpoint that gets
 * no statements is tried again after a second or two.
 */
const HALF_LIFE_MS = 1_000;
/**
 * Share from which an endpoint counts as failing. It is 0 in normal operation;
 * one connection lost with a statement on it raises it to 0.15.
 */
const FAILING_SHARE = 0.35;

/** Returns the share of failures after decay up to `now`, from 0 to 1. */
export function computeFaultShare(
  {share, at}: FaultRate,
  now: Instant,
): number {
  return share * 0.5 ** (Math.max(0, now - at) / HALF_LIFE_MS);
}

/** Returns the rate after another statement has succeeded or failed. */
export function updateFaultRate(
  rate: FaultRate,
  isFault: boolean,
  now: Instant,
): FaultRate {
  const before = computeFaultShare(rate, now);
  return {
    share: before + SMOOTHING_FACTOR * (Number(isFault) - before),
    at: now,
  };
}

/** Returns whether the failure rate of an endpoint is too high. */
export function isFailing(rate: FaultRate, now: Instant): boolean {
  return computeFaultShare(rate, now) >= FAILING_SHARE;
}
