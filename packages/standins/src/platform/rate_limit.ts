/** Limits the rate of calls with a fixed one-second window. */

import type {Runtime} from '@lacewingroad/runtime';

const WINDOW_MS = 1_000;

/**
 * Returns a function that reports whether one more call is allowed, and counts
 * the call if so.
 */
export function createRateLimit(
  perSecond: number,
  runtime: Runtime,
): () => boolean {
  let windowEnd = runtime.now() + WINDOW_MS;
  let callCount = 0;
  return () => {
    const now = runtime.now();
    if (now >= windowEnd) {
      windowEnd = now + WINDOW_MS;
      callCount = 0;
    }
    if (callCount >= perSecond) {
      return false;
    }
    callCount += 1;
    return true;
  };
}
