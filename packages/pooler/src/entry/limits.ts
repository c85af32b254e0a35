/** Time limits and size limits for serving callers. */

/** Time past a deadline for which an owner's answer is still awaited, ms. */
export const DEADLINE_GRACE_MS = 120;
/** Statements that a caller may have queued on its connection. */
export const MAX_WAITING_STATEMENTS = 200;
/**
 * Time without a statement after which a session is between two operations of
 * its caller, in ms: several round trips. Closed any sooner, it would cut off
 * the next statement.
 */
export const SESSION_IDLE_MS = 100;
/** Interval at which idle sessions are closed while a host closes, in ms. */
export const CLOSE_INTERVAL_MS = 20;
/** Delay before resending a statement that its owner refused or lost, in ms. */
export const RESEND_DELAY_MS = 40;
