/** Counts calls against a limit for each second. */

import type {Runtime} from '@lacewingroad/runtime';

const WINDOW_MS = 1_000;

/** Returns a function that takes one call, or tells that the limit is reached. */
export function createRateLimit(
  perSecond: number,
  runtime: Runtime,
): () => boolean {
  let windowEnd = runtime.now() + WINDOW_MS;
  let taken = 0;
  return () => {
    const now = runtime.now();
    if (now >= windowEnd) {
      windowEnd = now + WINDOW_MS;
      taken = 0;
    }
    if (taken >= perSecond) {
      return false;
    }
    taken += 1;
    return true;
  };
}
