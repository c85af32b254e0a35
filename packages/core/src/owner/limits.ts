/** Limits and timeouts of the pools. */

/** Connections of an endpoint that are reserved for probes and replication. */
export const RESERVED_CONNECTIONS = 6;
/** Idle time after which a connection beyond the minimum is closed. */
export const IDLE_CLOSE_MS = 30_000;
/** Idle time after which a connection is checked before use. */
export const IDLE_CHECK_MS = 2_000;
/** Timeout of the check of an idle connection. */
export const CHECK_TIMEOUT_MS = 250;
/** Timeout for opening a connection. */
export const OPEN_TIMEOUT_MS = 1_000;
/** First and longest delay before connecting again after a failure. */
export const BACKOFF_MIN_MS = 20;
export const BACKOFF_MAX_MS = 1_000;
/**
 * Time without an answer after which a statement's connection is closed,
 * provided that the endpoint answers a probe after that time.
 */
export const SILENT_CONN_MS = 5_000;
/**
 * Time by which a running write may exceed its deadline: half of the time that
 * the requesting host waits beyond it (DEADLINE_GRACE_MS + CANCEL_ANSWER_MS).
 */
export const WRITE_OVERRUN_MS = 375;
/** Interval of the probes requested for a statement without an answer. */
export const SILENT_PROBE_INTERVAL_MS = 250;
/**
 * A statement is overdue after this multiple of the average service time, and
 * not before the minimum.
 */
export const OVERDUE_FACTOR = 10;
export const OVERDUE_MIN_MS = 100;
/** Idle timeout of a transaction. */
export const TX_IDLE_MS = 30_000;
/**
 * Time that open transactions may continue after this host lost ownership.
 * While the host shuts down, its drain deadline applies instead.
 */
export const OWNERSHIP_GRACE_MS = 5_000;
/** Longest time that a read waits for its position. */
export const POSITION_WAIT_MS = 50;
/** Interval of probes while a request or another host waits for a position. */
export const FAST_PROBE_MS = 5;
/** Maximum queue length of an endpoint, per rank and in total. */
export const QUEUE_LIMIT_PER_RANK = 256;
export const QUEUE_LIMIT_TOTAL = 512;
/** Initial value of the average service time. */
export const INITIAL_SERVICE_MS = 2;
/** Weight of a new sample in the average service time. */
export const SERVICE_TIME_GAIN = 0.1;
