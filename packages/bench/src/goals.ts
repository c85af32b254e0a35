/** Goals that a run has to meet, and their required bounds. */

/** A goal and its measured value. */
export interface Goal {
  readonly name: string;
  readonly measured: number;
  readonly bound: number;
  readonly unit: string;
  /** Whether `bound` is an upper bound; otherwise it is a lower one. */
  readonly isCeiling: boolean;
  readonly isMet: boolean;
}

/** Session reads served by replicas, relative to what an oracle would serve. */
export const MIN_REPLICA_SHARE_PERCENT = 95;
/** Longest time without an acknowledged write, by effect of the fault. */
export const MAX_GAP_MS = {
  kill_primary: 2_500,
  cut_primary: 6_000,
  change_primary: 500,
  other: 12_000,
} as const;
/** Urgent requests within their target in a flood of the lowest rank. */
export const MIN_URGENT_IN_TARGET_PERCENT = 99;
/** Slots in use during a flood. */
export const MIN_SLOTS_BUSY_PERCENT = 95;
/** Worth served, relative to what the best order would serve. */
export const MIN_VALUE_PERCENT = 95;
/** Statements beyond the first, relative to the requests that ran. */
export const MAX_EXTRA_STATEMENTS_PERCENT = 10;
/** Latency that one hop may add, by percentile. */
export const MAX_HOP_MEDIAN_MS = 1;
export const MAX_HOP_P99_MS = 3;

/** Creates a goal whose measured value must not exceed the bound. */
export function atMost(
  name: string,
  measured: number,
  bound: number,
  unit: string,
): Goal {
  const isMet = measured <= bound;
  return {name, measured, bound, unit, isCeiling: true, isMet};
}

/** Creates a goal whose measured value must reach the bound. */
export function atLeast(
  name: string,
  measured: number,
  bound: number,
  unit: string,
): Goal {
  const isMet = measured >= bound;
  return {name, measured, bound, unit, isCeiling: false, isMet};
}
