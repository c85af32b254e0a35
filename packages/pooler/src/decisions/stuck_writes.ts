/**
 * Detects a primary that runs writes but cannot confirm them, because it is cut
 * off from its replicas. Each write then holds a slot until its time is over,
 * so that reads, which need no confirmation, wait behind writes that are
 * hopeless. New writes are refused at once, except for one from time to time,
 * until a replica can be promoted or a write is confirmed.
 */

import type {Instant} from '@lacewingroad/runtime';

/** Writes that the primary has not answered since the last confirmed one. */
export interface UnansweredWrites {
  readonly count: number;
  /** When the first of them was sent; null if there is none. */
  readonly since: Instant | null;
  readonly lastSentAt: Instant;
}

export const NO_UNANSWERED_WRITES: UnansweredWrites = {
  count: 0,
  since: null,
  lastSentAt: -Infinity,
};

/** Time without a confirmed write after which writes count as stuck, in ms. */
export const WRITES_STUCK_MS = 1_400;
/** Writes without an answer from which they count as stuck: one answer may be
 * lost on its way. */
const MIN_UNANSWERED = 3;
/** Interval at which a write is tried while writes are stuck, in ms. */
const RETRY_MS = 2_000;

/** Returns the state after a write was sent. */
export function addWrite(
  {count, since}: UnansweredWrites,
  now: Instant,
): UnansweredWrites {
  return {count: count + 1, since: since ?? now, lastSentAt: now};
}

/** Returns the state after a write was answered. */
export function removeWrite(
  writes: UnansweredWrites,
  isConfirmed: boolean,
): UnansweredWrites {
  const count = Math.max(0, writes.count - 1);
  return isConfirmed || count === 0 ? NO_UNANSWERED_WRITES : {...writes, count};
}

/** Returns whether the primary does not confirm writes. */
export function areWritesStuck(
  {count, since}: UnansweredWrites,
  now: Instant,
): boolean {
  return (
    since !== null && count >= MIN_UNANSWERED && now - since >= WRITES_STUCK_MS
  );
}

/** Returns whether a write may be sent to the primary. */
export function mayTryWrite(writes: UnansweredWrites, now: Instant): boolean {
  return !areWritesStuck(writes, now) || now - writes.lastSentAt >= RETRY_MS;
}
