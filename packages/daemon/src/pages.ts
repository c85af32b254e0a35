/** Small helpers of the pages that operators read. */

import type {Instant} from '@lacewingroad/core';

/** Returns the time since an instant in whole milliseconds, or null. */
export function readAgeMs(
  since: Instant | null | undefined,
  now: Instant,
): number | null {
  return since == null ? null : Math.max(0, Math.round(now - since));
}

/** Orders two texts, for pages whose entries stand in order of their ids. */
export function compareText(a: string, b: string): number {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
}
