/**
 * How long the reply to a read is awaited before the read is sent to another
 * endpoint. The load it answers: endpoints that lose replies, beside reads
 * whose work takes long at every endpoint.
 */

/** Shortest timeout, in ms: several times the usual service time. */
const MIN_TIMEOUT_MS = 300;
/** Multiple of the expected service time that a read may take. */
const SERVICE_FACTOR = 8;

/**
 * Attempts with the first timeout: a lost reply is the usual cause, and a second
 * one in a row must not use up the time of the statement.
 */
const SHORT_ATTEMPTS = 2;

/**
 * Returns the timeout of an attempt, counted from 1. It doubles with each after
 * the first ones, so that a read that takes long everywhere ends instead of
 * using a slot of each endpoint in turn.
 */
export function computeReplyTimeoutMs(
  expectedMs: number,
  attempt: number,
): number {
  const firstMs = Math.max(MIN_TIMEOUT_MS, expectedMs * SERVICE_FACTOR);
  return firstMs * 2 ** Math.max(0, attempt - SHORT_ATTEMPTS);
}
