/** Limits and timeouts of the adapters. */

/** Maximum size of a packet from an authenticated caller, in bytes. */
export const MAX_PACKET_BYTES = 16 * 1024 * 1024;
/** Maximum size of a handshake packet, in bytes. */
export const MAX_HANDSHAKE_BYTES = 64 * 1024;
/** Maximum duration of a handshake, in milliseconds. */
export const HANDSHAKE_TIMEOUT_MS = 10_000;
/**
 * Maximum number of authenticated callers: 9,375 in normal operation, plus half
 * as many again when one of the three data centres of a region is lost.
 */
export const MAX_CALLERS = 14_500;
/** Maximum number of connections that have not authenticated yet. */
export const MAX_HANDSHAKES = 1_000;
/** Queued commands of one caller above which its socket is paused. */
export const MAX_QUEUED_COMMANDS = 500;
/** Bytes of queued commands of one caller above which its socket is paused. */
export const MAX_QUEUED_BYTES = 16 * 1024 * 1024;
/** Maximum number of prepared statements per caller. */
export const MAX_PREPARED_STATEMENTS = 4_096;
/** Maximum length of all prepared SQL per caller, in UTF-16 code units. */
export const MAX_PREPARED_SQL_LENGTH = 16 * 1024 * 1024;
/** Time to flush written data before a connection is destroyed, in ms. */
export const LINGER_TIMEOUT_MS = 10_000;
/** Time after which a caller that does not read is dropped, in milliseconds. */
export const WRITE_TIMEOUT_MS = 60_000;
/** Idle time before TCP keepalive probes start, in milliseconds. */
export const KEEPALIVE_DELAY_MS = 15_000;
/** Size at which encoded packets are written to the socket, in bytes. */
export const WRITE_CHUNK_BYTES = 64 * 1024;
/** Maximum size of an endpoint's result, in bytes of cells. */
export const MAX_RESULT_BYTES = 8 * 1024 * 1024;
/** Memory overhead counted per cell, in bytes. */
export const CELL_OVERHEAD_BYTES = 8;
/** Maximum number of prepared statements per connection to an endpoint. */
export const MAX_ENDPOINT_STATEMENTS = 64;
/** Time after which an unused probe connection is closed, in milliseconds. */
export const PROBE_IDLE_MS = 30_000;
/** Maximum number of lost sessions per endpoint that are ended later. */
export const MAX_LOST_SESSIONS = 64;
