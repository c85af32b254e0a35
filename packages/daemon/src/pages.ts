/** Helpers for the JSON responses to operators. */

import type {Instant} from '@lacewingroad/core';

/** Returns the time since an instant in whole milliseconds; null if unknown. */
export function computeAgeMs(
  since: Instant | null | undefined,
  now: Instant,
): number | null {
  return since == null ? null : Math.max(0, Math.round(now - since));
}

/** Compares two strings by code units, to sort entries by id. */
export function compareText(a: string, b: string): number {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
}
