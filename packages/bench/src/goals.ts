/** The goals that a run is held to. The bounds are stated, never measured. */

/** A goal and what was measured of it. */
export interface Goal {
  readonly name: string;
  readonly measured: number;
  readonly bound: number;
  readonly unit: string;
  /** Whether the measured value must not exceed the bound, or not fall below. */
  readonly isCeiling: boolean;
  readonly isMet: boolean;
}

/** Session reads served by replicas, of what an oracle would serve. */
export const REPLICA_SHARE_PERCENT = 95;
/** Longest time without an acknowledged write, by what happened. */
export const GAP_BOUNDS_MS = {
  kill_primary: 2_500,
  cut_primary: 6_000,
  change_primary: 500,
  other: 12_000,
} as const;
/** Urgent requests within their target in a flood of the lowest rank. */
export const URGENT_IN_TARGET_PERCENT = 99;
/** Slots in use during a flood. */
export const SLOTS_BUSY_PERCENT = 95;
/** Worth served, of what the best order would serve. */
export const VALUE_PERCENT = 95;
/** Statements beyond one for each request that ran. */
export const EXTRA_STATEMENTS_PERCENT = 10;
/** What one hop may add, by percentile. */
export const HOP_MEDIAN_MS = 1;
export const HOP_P99_MS = 3;

/** States a goal that must not be exceeded. */
export function atMost(
  name: string,
  measured: number,
  bound: number,
  unit: string,
): Goal {
  const isMet = measured <= bound;
  return {name, measured, bound, unit, isCeiling: true, isMet};
}

/** States a goal that must be reached. */
export function atLeast(
  name: string,
  measured: number,
  bound: number,
  unit: string,
): Goal {
  const isMet = measured >= bound;
  return {name, measured, bound, unit, isCeiling: false, isMet};
}
