/** Times and limits of the entry controllers. */

/** Time by which a pool owner may overrun a deadline before it is given up. */
export const DEADLINE_GRACE_MS = 250;

/**
 * Time for an owner to confirm that it dropped a write before it ran, in ms:
 * twice what a busy host was seen to be late.
 */
export const CANCEL_ANSWER_MS = 500;

/** First wait before a request that was handed back is sent again. */
export const RETRY_MIN_MS = 25;

/** Longest wait before a request that was handed back is sent again. */
export const RETRY_MAX_MS = 400;

/** Times that a request is sent at most. */
export const MAX_ATTEMPTS = 60;

/** Retries that a host may have saved up. */
export const RETRY_TOKENS_MAX = 100;

/** Retries that each new request adds to those saved up. */
export const RETRY_TOKENS_PER_REQUEST = 0.1;

/** Statements that a caller may have waiting on its connection. */
export const MAX_WAITING_STATEMENTS = 1_000;

/** Time within which session holders answer. */
export const SESSION_ANSWER_MS = 150;

/** Time for which an answer is kept back until one holder has the position. */
export const SESSION_STORE_MS = 1_000;

/** Time for which a holder keeps a session that is not used. */
export const SESSION_TTL_MS = 10 * 60_000;

/** Time between two removals of expired sessions. */
export const SESSION_EXPIRY_INTERVAL_MS = 30_000;

/** Time to wait for the other holders once enough of them have answered. */
export const SESSION_REST_MS = 30;

/** Hosts that hold a named session, where there are as many data centres. */
export const SESSION_HOLDERS = 3;

/** Holders without which a session's positions are never proven. */
export const SESSION_MIN_HOLDERS = 2;

/** A report older than this no longer rules an endpoint out. */
export const REPORT_VALID_MS = 1_000;

/** Requests in progress by which replicas are busier before the primary reads. */
export const PRIMARY_PENALTY = 6;

/** How many requests in progress outweigh an endpoint being far away. */
export const REMOTE_PENALTY = 4;
