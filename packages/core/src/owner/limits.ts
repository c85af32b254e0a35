/** Named limits of the pools. */

/** Connections that a pool leaves to probes and replication. */
export const RESERVED_CONNECTIONS = 6;
/** Idle time after which a connection beyond the warm ones is closed. */
export const IDLE_CLOSE_MS = 30_000;
/** Idle time after which a connection is checked before it is used. */
export const IDLE_CHECK_MS = 2_000;
/** Time that a check of an idle connection may take. */
export const CHECK_TIMEOUT_MS = 250;
/** Time that opening a connection may take. */
export const OPEN_TIMEOUT_MS = 1_000;
/** First and longest delay before a refused connection is tried again. */
export const BACKOFF_MIN_MS = 20;
export const BACKOFF_MAX_MS = 1_000;
/** Silence of a statement after which a living endpoint closes its link. */
export const SILENT_CONN_MS = 5_000;
/**
 * Time by which a write that runs may overrun its deadline: half of what the
 * asking host waits beyond it (DEADLINE_GRACE_MS and CANCEL_ANSWER_MS).
 */
export const WRITE_OVERRUN_MS = 375;
/** Time between two probes asked for on behalf of a silent statement. */
export const SILENT_PROBE_INTERVAL_MS = 250;
/**
 * A statement is overdue after this multiple of the usual service time, and
 * no sooner than after the least time.
 */
export const OVERDUE_FACTOR = 10;
export const OVERDUE_MIN_MS = 100;
/** Time that a transaction may stay open without a statement. */
export const TX_IDLE_MS = 30_000;
/** Time that open transactions may go on after ownership was lost, unless the
 * host stops: then they may until its deadline. */
export const OWNERSHIP_GRACE_MS = 5_000;
/** Longest wait of a read for its position. */
export const POSITION_WAIT_MS = 50;
/** Interval of probes while somebody waits for a position. */
export const FAST_PROBE_MS = 5;
/** Requests that wait per rank, and in all, at one endpoint. */
export const QUEUE_LIMIT_PER_RANK = 256;
export const QUEUE_LIMIT_TOTAL = 512;
/** Service time assumed before any was measured. */
export const INITIAL_SERVICE_MS = 2;
/** Weight of the newest measurement of the service time. */
export const SERVICE_TIME_GAIN = 0.1;
