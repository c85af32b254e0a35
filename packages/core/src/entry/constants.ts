/** Times and limits of the entry controllers. */

/** Time for a pool owner to answer after the deadline of a request. */
export const DEADLINE_GRACE_MS = 250;

/**
 * Time for an owner to confirm that it dropped a write before it ran: twice the
 * delay seen in answers of a busy host.
 */
export const CANCEL_ANSWER_MS = 500;

/** First backoff before a request that did not run is sent again. */
export const RETRY_MIN_MS = 25;

/** Longest backoff before a request that did not run is sent again. */
export const RETRY_MAX_MS = 400;

/** Maximum number of times that a request is sent. */
export const MAX_ATTEMPTS = 60;

/** Capacity of the retry budget of a host, in retries. */
export const RETRY_TOKENS_MAX = 100;

/** Retries that each new request adds to the retry budget. */
export const RETRY_TOKENS_PER_REQUEST = 0.1;

/** Maximum number of statements queued on a connection of a caller. */
export const MAX_WAITING_STATEMENTS = 1_000;

/** Maximum time to wait for the session holders before a read. */
export const SESSION_ANSWER_TIMEOUT_MS = 150;

/** Maximum time that a write waits until enough holders have its position. */
export const SESSION_STORE_TIMEOUT_MS = 1_000;

/** Time for which a holder keeps an unused session. */
export const SESSION_TTL_MS = 10 * 60_000;

/** Time between two removals of expired sessions. */
export const SESSION_EXPIRY_INTERVAL_MS = 30_000;

/** Time to wait for the remaining holders once enough have answered. */
export const SESSION_EXTRA_WAIT_MS = 30;

/** Hosts that hold a named session, if there are that many data centres. */
export const SESSION_HOLDERS = 3;

/** Minimum number of holders that prove a session's positions. */
export const SESSION_MIN_HOLDERS = 2;

/** Age of a report above which it no longer excludes an endpoint. */
export const REPORT_VALID_MS = 1_000;

/** Extra load of replicas, in requests, above which reads use the primary. */
export const PRIMARY_PENALTY = 6;

/** Cost of an endpoint in another data centre, in requests in progress. */
export const REMOTE_PENALTY = 4;
