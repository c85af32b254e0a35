/** Limits of the connections between entry hosts. */

/** An active connection that received nothing for this long is closed, in ms. */
export const RECEIVE_TIMEOUT_MS = 1_000;
/** An active connection is pinged after receiving nothing for this long, in ms. */
export const HEARTBEAT_MS = 300;
/** A connection without messages for this long counts as idle, in ms. */
export const IDLE_AFTER_MS = 3_000;
/** Interval between pings on an idle connection, in milliseconds. */
export const IDLE_HEARTBEAT_MS = 5_000;
/** Interval between checks of all connections, in milliseconds. */
export const CHECK_INTERVAL_MS = 150;
/** Timeout for connecting and exchanging hello frames, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Shortest delay before another connection attempt, in milliseconds. */
export const MIN_BACKOFF_MS = 100;
/** Longest delay before another connection attempt, in milliseconds. */
export const MAX_BACKOFF_MS = 1_000;
/** Maximum number of messages queued for a connection to one host. */
export const MAX_WAITING_MESSAGES = 4_000;
/** A connection with more unsent bytes than this is closed as stuck. */
export const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;
/** Maximum number of messages in one frame. */
export const MAX_BATCH_MESSAGES = 64;
/** Largest frame that is accepted, in bytes. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;
/** Maximum number of accepted connections, including those without a hello. */
export const MAX_ACCEPTED_CONNECTIONS = 4_096;
/** Time to send buffered messages on close, in milliseconds. */
export const CLOSE_TIMEOUT_MS = 500;
/**
 * Most bytes that are accepted before a hello, with the upgrade request: a hello
 * holds two names and a stamp.
 */
export const MAX_BYTES_BEFORE_HELLO = 64 * 1024;
/**
 * Maximum number of accepted connections without a hello; a host says hello
 * within one round trip. Beyond it, the oldest is closed.
 */
export const MAX_CONNECTIONS_BEFORE_HELLO = 64;
