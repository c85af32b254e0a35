/** Named limits of a group's pool. */

/** Connections of an endpoint left to others: probes, and an owner before. */
export const RESERVED_CONNECTIONS = 2;
/** Statements sent beyond an endpoint's slots, which hides the way there. */
export const SLOT_OVERBOOKING = 1;
/** Connections that may be opening to one endpoint at once; each takes a slot. */
export const MAX_OPENING = 2;
/** Time for opening a connection, in ms: far beyond the usual 12 ms. */
export const OPEN_TIMEOUT_MS = 700;
/** Time between attempts to connect to an endpoint that refuses, in ms. */
export const REOPEN_MS = 200;
/** Idle time after which a connection beyond the usual ones is closed, in ms. */
export const IDLE_CLOSE_MS = 20_000;
/** Idle time after which a connection is checked for silence, in ms. */
export const IDLE_CHECK_MS = 2_500;
/** Time for the answer to that check, which needs no slot, in ms. */
export const CHECK_TIMEOUT_MS = 600;
/** Interval of status probes; each takes a slot for a moment, in ms. */
export const STATUS_INTERVAL_MS = 500;
/** The same while a primary is being replaced or roles are unknown, in ms. */
export const FAST_STATUS_INTERVAL_MS = 100;
/** Time for the answer to a status probe, in ms; a busy endpoint queues it. */
export const STATUS_TIMEOUT_MS = 700;
/** Time without any answer after a first failure before a primary is replaced. */
export const PRIMARY_DOWN_MS = 350;
/** Time for which all writes hang before their primary is replaced, in ms. */
export const WRITES_STUCK_MS = 1_400;
/** Time for which a primary fails much before it is replaced, in ms: a change
 * of primary costs about as much as this. */
export const FAILING_MS = 700;
/** Time after a change of primary in which failures bring no other, in ms. */
export const FAILING_PAUSE_MS = 5_000;
/** Time for open transactions to end before a planned change, in ms. */
export const PLANNED_DRAIN_MS = 900;
/** Time for the named endpoint to lead before it is asked again, in ms. */
export const PROMOTE_TIMEOUT_MS = 2_500;
/** Time between two calls for a new primary, in ms. */
export const PROMOTE_RETRY_MS = 300;
/** Time for which an endpoint that refused to lead is passed over, in ms. */
export const REJECTED_CANDIDATE_MS = 1_500;
/** Time without an answer after which a read is tried elsewhere, in ms. */
export const READ_SILENCE_MS = 300;
/** Times that a read is sent at most. */
export const MAX_READ_ATTEMPTS = 4;
/** Pause of an endpoint that reports itself busy, in ms. */
export const BUSY_BACKOFF_MS = 15;
/** Statements that wait in one pool at most. */
export const MAX_WAITING = 400;
/** Service time assumed before any was measured, in ms. */
export const INITIAL_SERVICE_MS = 15;
/** Weight of the newest measurement of the service time. */
export const SERVICE_GAIN = 0.05;
/** Interval at which deadlines are looked at while statements wait, in ms. */
export const BUSY_TICK_MS = 20;
/** The same while nothing waits, in ms. */
export const IDLE_TICK_MS = 100;
/** Commits older than this are kept as one position, in ms. */
export const COMMIT_HISTORY_MS = 10_000;
/** Time for which an entry that is missing from the list still counts, in ms:
 * entries that lapsed in an outage are back within two seconds. */
export const MISSING_ENTRY_MS = 2_500;
/** Time to hear a second endpoint before entries alone tell the primary, ms. */
export const ROLE_PROOF_MS = 1_500;
