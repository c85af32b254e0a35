/**
 * How often an endpoint fails what it runs. It answers endpoints that fail a
 * part of their statements while they say that they are well: failures come
 * back sooner than results, so that such an endpoint looks idle and would draw
 * statements in.
 */

import type {Instant} from '@lacewingroad/runtime';

/** A moving share of failures, and when it was last measured. */
export interface FaultLevel {
  readonly share: number;
  readonly at: Instant;
}

/** The level of an endpoint that has answered nothing yet. */
export const NO_FAULTS: FaultLevel = {share: 0, at: 0};

/** Weight of the newest answer: about the last dozen count. */
const GAIN = 0.15;
/**
 * Time in which a share halves without answers, in ms: an endpoint that gets
 * nothing any more is tried again after a second or two.
 */
const HALF_LIFE_MS = 1_000;
/**
 * Share from which an endpoint counts as failing. The calm days have none; one
 * connection lost with a statement on it makes 0.15.
 */
const FAILING_SHARE = 0.35;

/** Returns the share of failures that is to be expected now, 0 to 1. */
export function readFaultShare({share, at}: FaultLevel, now: Instant): number {
  return share * 0.5 ** (Math.max(0, now - at) / HALF_LIFE_MS);
}

/** Takes an answer, or the lack of one, into account. */
export function noteOutcome(
  level: FaultLevel,
  isFault: boolean,
  now: Instant,
): FaultLevel {
  const before = readFaultShare(level, now);
  return {share: before + GAIN * (Number(isFault) - before), at: now};
}

/** Tells whether an endpoint fails too much of what it runs. */
export function isFailing(level: FaultLevel, now: Instant): boolean {
  return readFaultShare(level, now) >= FAILING_SHARE;
}
