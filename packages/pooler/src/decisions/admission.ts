/**
 * Admission control for new statements. Under overload, a statement that would
 * only wait until its deadline is refused at once, so that its caller can retry
 * elsewhere and the queue stays short.
 */

/** The state of the queue when a statement arrives. */
export interface QueueLoad {
  /** Waiting statements that run before it. */
  readonly ahead: number;
  /** Statements that the usable endpoints run concurrently. */
  readonly slots: number;
  /** Average execution time of a statement, in ms. */
  readonly serviceMs: number;
}

/** Largest share of its remaining time for which a statement may wait. */
const MAX_WAIT_SHARE = 0.9;

/** Returns the time that a statement is expected to wait for a slot, in ms. */
export function estimateWaitMs({ahead, slots, serviceMs}: QueueLoad): number {
  return slots === 0 ? 0 : (ahead * serviceMs) / slots;
}

/** Returns whether a statement is expected to start before its deadline. */
export function canStartInTime(load: QueueLoad, timeLeftMs: number): boolean {
  return estimateWaitMs(load) <= timeLeftMs * MAX_WAIT_SHARE;
}
