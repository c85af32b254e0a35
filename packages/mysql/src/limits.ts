/** Limits of the adapters; each names its unit. */

/** Largest packet that a caller may send once authenticated, in bytes. */
export const MAX_PACKET_BYTES = 16 * 1024 * 1024;
/** Largest packet of a handshake, in bytes. */
export const MAX_HANDSHAKE_BYTES = 64 * 1024;
/** Time within which a handshake must finish, in milliseconds. */
export const HANDSHAKE_TIMEOUT_MS = 10_000;
/**
 * Authenticated callers at once: 9,375 on an ordinary day, and half as many
 * again when one of the three data centres of a region is lost.
 */
export const MAX_CALLERS = 14_500;
/** Connections at once that have not authenticated yet. */
export const MAX_HANDSHAKES = 1_000;
/** Commands of one caller that may wait; beyond, its socket is paused. */
export const MAX_QUEUED_COMMANDS = 500;
/** Bytes of waiting commands of one caller; beyond, its socket is paused. */
export const MAX_QUEUED_BYTES = 16 * 1024 * 1024;
/** Prepared statements that one caller may hold. */
export const MAX_PREPARED_STATEMENTS = 4_096;
/** Bytes of the prepared statements that one caller may hold. */
export const MAX_PREPARED_BYTES = 16 * 1024 * 1024;
/** Time that a closing connection gets to take what was written, in ms. */
export const LINGER_TIMEOUT_MS = 10_000;
/** Time a caller may leave an answer unread, in milliseconds. */
export const WRITE_TIMEOUT_MS = 60_000;
/** Idle time before TCP keepalive probes start, in milliseconds. */
export const KEEPALIVE_DELAY_MS = 15_000;
/** Size at which encoded packets are handed to the socket, in bytes. */
export const WRITE_CHUNK_BYTES = 64 * 1024;
/** Largest result that is taken from an endpoint, in bytes of cells. */
export const MAX_RESULT_BYTES = 8 * 1024 * 1024;
/** Bytes that one cell or row costs besides its content. */
export const CELL_OVERHEAD_BYTES = 8;
/** Prepared statements kept per connection to an endpoint. */
export const MAX_ENDPOINT_STATEMENTS = 64;
/** Time after which an unused probe connection is closed, in milliseconds. */
export const PROBE_IDLE_MS = 30_000;
