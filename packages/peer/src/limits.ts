/** Limits of the connections between entry hosts. */

/** A connection that nothing arrived on for this long is closed, in ms. */
export const SILENCE_MS = 1_000;
/** A connection is pinged when nothing arrived for this long, in ms. */
export const HEARTBEAT_MS = 300;
/** A connection counts as quiet without messages for this long, in ms. */
export const ACTIVE_MS = 3_000;
/** A quiet connection is pinged this often only, in milliseconds. */
export const QUIET_HEARTBEAT_MS = 5_000;
/** How often connections are looked at for silence, in milliseconds. */
export const CHECK_INTERVAL_MS = 150;
/** Time for connecting and for both hello frames, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Least time between two attempts to connect, after a first failure, ms. */
export const MIN_BACKOFF_MS = 100;
/** Longest time between two attempts to connect, in milliseconds. */
export const MAX_BACKOFF_MS = 1_000;
/** Messages that wait for a connection to one host. */
export const MAX_WAITING_MESSAGES = 4_000;
/** Bytes that wait in one connection before it counts as stuck. */
export const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;
/** Messages that one frame carries at most. */
export const MAX_BATCH_MESSAGES = 64;
/** Largest frame that is accepted, in bytes. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;
/** Connections of strangers (no hello yet) and hosts together. */
export const MAX_ACCEPTED_CONNECTIONS = 4_096;
/** Time for sending what waits when closing, in milliseconds. */
export const CLOSE_TIMEOUT_MS = 500;
