/** Limits the rate of calls with a fixed one-second window. */

import type {Runtime} from '@lacewingroad/runtime';

const WINDOW_MS = 1_000;

/**
 * Returns a function that counts one call, or returns false if the limit is
 * reached.
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
