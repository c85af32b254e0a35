/** Time limits and size limits for serving callers. */

/** Time past a deadline for which an owner's answer is still awaited, ms. */
export const DEADLINE_GRACE_MS = 120;
/** Statements that a caller may have queued on its connection. */
export const MAX_WAITING_STATEMENTS = 200;
/** Delay before resending a statement that its owner refused or lost, in ms. */
export const RESEND_DELAY_MS = 40;
