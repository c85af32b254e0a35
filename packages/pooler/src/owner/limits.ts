/** Limits and intervals of a group's pool. */

/** Connections per endpoint left for status probes and the previous owner. */
export const RESERVED_CONNECTIONS = 2;
/**
 * Statements sent beyond an endpoint's slots, to hide the network round trip.
 */
export const SLOT_OVERBOOKING = 1;
/** Connections opened concurrently to one endpoint; each occupies a slot. */
export const MAX_OPENING = 2;
/** Timeout for opening a connection, in ms; it usually takes 12 ms. */
export const OPEN_TIMEOUT_MS = 700;
/** Delay before reconnecting to an endpoint after a failed attempt, in ms. */
export const REOPEN_MS = 200;
/** Idle time after which a surplus connection is closed, in ms. */
export const IDLE_CLOSE_MS = 20_000;
/** Idle time after which a connection is checked for being half-open, in ms. */
export const IDLE_CHECK_MS = 2_500;
/** Timeout for that check, which needs no slot, in ms. */
export const CHECK_TIMEOUT_MS = 600;
/** Interval of status probes, in ms; each occupies a slot briefly. */
export const STATUS_INTERVAL_MS = 500;
/**
 * Interval of status probes while the primary is being replaced or unknown, in
 * ms.
 */
export const FAST_STATUS_INTERVAL_MS = 100;
/** Timeout for a status probe, in ms; a busy endpoint queues it. */
export const STATUS_TIMEOUT_MS = 700;
/**
 * Time without any reply after a first failure before a primary is replaced.
 */
export const PRIMARY_DOWN_MS = 350;
/** Time for which a primary is failing before it is replaced, in ms: a change
 * of primary interrupts writes for about as long. */
export const FAILING_MS = 700;
/**
 * Time after a change of primary in which failures cause no other one, in ms.
 */
export const FAILING_COOLDOWN_MS = 5_000;
/**
 * Time for open transactions to end before a planned change of primary, in ms.
 */
export const DRAIN_TIMEOUT_MS = 900;
/** Time for an accepted promotion to take effect before a retry, in ms. */
export const PROMOTE_TIMEOUT_MS = 2_500;
/**
 * Time for the platform to promote the old primary again, in ms, if another one
 * had replaced it; it usually takes 600 ms.
 */
export const CONFIRM_PRIMARY_MS = 1_000;
/** Delay before the next promotion call after one that failed, in ms. */
export const PROMOTE_RETRY_MS = 300;
/**
 * Time for which an endpoint whose promotion was rejected is skipped, in ms.
 */
export const REJECTED_CANDIDATE_MS = 1_500;
/** Maximum number of times that a read is sent. */
export const MAX_READ_ATTEMPTS = 4;
/** Pause before more statements go to an endpoint that reported busy, in ms. */
export const BUSY_BACKOFF_MS = 15;
/** Maximum number of statements in one pool, waiting or running. */
export const MAX_JOBS = 400;
/** Service time assumed for an endpoint before the first measurement, in ms. */
export const INITIAL_SERVICE_MS = 15;
/** Weight of the newest measurement in the average service time. */
export const SERVICE_SMOOTHING_FACTOR = 0.05;
/** Interval of deadline checks while there is work or a promotion, in ms. */
export const BUSY_TICK_MS = 20;
/** Interval of deadline checks otherwise, in ms. */
export const IDLE_TICK_MS = 100;
/** Age from which acknowledged commits are merged into one position, in ms. */
export const COMMIT_HISTORY_MS = 10_000;
/** Time for which an entry missing from the list is still used, in ms: entries
 * that expire during an outage are back within two seconds. */
export const MISSING_ENTRY_GRACE_MS = 2_500;
/** Time from which endpoints that left and cannot return are given up, in ms:
 * one that crashed is usually back within ten seconds, with its log. */
export const GIVE_UP_LEFT_MS = 15_000;
/** Time to wait for the status of a second endpoint, in ms, before the roles in
 * the endpoint list are enough to confirm a primary. */
export const ROLE_CONFIRM_MS = 1_500;
