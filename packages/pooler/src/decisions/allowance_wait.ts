/**
 * Whether an operation without a token waits or is refused, and when refused
 * callers are to return. The load it answers: a workspace at several times its
 * limit, whose operations would otherwise wait in vain and return all at once.
 */

import type {Instant} from '@lacewingroad/runtime';

/**
 * Part of its remaining target time that an operation may wait for a token: a
 * refusal must reach the caller within a quarter of it, over the network and
 * after the review of the queue.
 */
const MAX_WAIT_SHARE = 0.2;
/** Longest time that a refused caller is told to wait, in ms. */
const MAX_RETRY_MS = 5_000;

/** Returns when an operation without a token is refused. */
export function computeGiveUpAt(targetAt: Instant, now: Instant): Instant {
  return now + Math.max(0, targetAt - now) * MAX_WAIT_SHARE;
}

/** Returns the time until `missing` tokens have arrived, in ms. */
export function expectTokensMs(missing: number, perMs: number): number {
  if (missing <= 0) {
    return 0;
  }
  return perMs <= 0 ? Infinity : missing / perMs;
}

/**
 * Returns when the next refused caller is to return, given the instant that the
 * previous one was told. Each gets a token's time of its own; beyond the
 * maximum they are spread at random over its second half.
 */
export function spreadReturn(
  previous: Instant,
  perMs: number,
  now: Instant,
  random: number,
): Instant {
  const gapMs = expectTokensMs(1, perMs);
  const next = Math.max(previous, now) + gapMs;
  const latest = now + MAX_RETRY_MS;
  return next <= latest ? next : latest - (random * MAX_RETRY_MS) / 2;
}
