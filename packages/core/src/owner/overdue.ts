/**
 * Overdue statements: a statement is overdue if it has no answer for much
 * longer than the endpoint usually takes, and the endpoint answered a probe
 * after that time. Either the statement is slow or its connection is silent. It
 * continues, but stops counting as using a slot once a statement that was sent
 * later has been answered. Until then, while all running statements are
 * overdue, one more statement at a time may be tried; the endpoint queues it if
 * its slots are in use after all.
 */

import type {EndpointId, Instant} from '../model/ids.js';
import {
  OVERDUE_FACTOR,
  OVERDUE_MIN_MS,
  SILENT_CONN_MS,
  SILENT_PROBE_INTERVAL_MS,
} from './limits.js';
import {getPool, setPool} from './turn.js';
import type {Turn} from './turn.js';
import type {Conn, Pool} from './state.js';

/** Returns the time after which a statement is overdue. */
function computeOverdueMs(pool: Pool): number {
  return Math.max(OVERDUE_MIN_MS, OVERDUE_FACTOR * pool.serviceMs);
}

/**
 * Marks statements that became overdue as of the endpoint's last status;
 * returns whether there are any.
 */
export function markOverdue(turn: Turn, endpoint: EndpointId): boolean {
  const pool = getPool(turn, endpoint);
  const view = turn.board().endpoints.views.get(endpoint);
  const statusAt = view?.statusAt ?? null;
  if (pool === null || statusAt === null) {
    return false;
  }
  const overdueMs = computeOverdueMs(pool);
  const isNew = ({sentAt, isOverdue}: Conn): boolean =>
    !isOverdue && sentAt !== null && statusAt >= sentAt + overdueMs;
  if (!pool.conns.some(isNew)) {
    return false;
  }
  const conns = pool.conns.map(conn =>
    isNew(conn) ? {...conn, isOverdue: true} : conn,
  );
  setPool(turn, endpoint, {conns});
  return true;
}

/** Returns when a statement in flight becomes overdue, or null. */
function computeOverdueAt(pool: Pool, conn: Conn): Instant | null {
  const isPending = conn.sentAt !== null && !conn.isOverdue;
  return isPending ? conn.sentAt + computeOverdueMs(pool) : null;
}

/**
 * Returns when to request a probe that can show that a statement's connection
 * is silent, or null. The pool requests it because a host that lost ownership
 * while the statement ran no longer probes the endpoint regularly.
 */
function computeSilentProbeAt(
  turn: Turn,
  pool: Pool,
  conn: Conn,
): Instant | null {
  if (conn.sentAt === null) {
    return null;
  }
  const silentAt = conn.sentAt + SILENT_CONN_MS;
  const probedAt = turn.board().endpoints.views.get(pool.endpoint)?.probedAt;
  return probedAt == null
    ? silentAt
    : Math.max(silentAt, probedAt + SILENT_PROBE_INTERVAL_MS);
}

/** Returns the next instant at which to request a probe, or Infinity. */
export function computeNextProbeTime(turn: Turn, pool: Pool): Instant {
  const instants = [...pool.conns.values()]
    .flatMap(conn => [
      computeOverdueAt(pool, conn),
      computeSilentProbeAt(turn, pool, conn),
    ])
    .filter(at => at !== null)
    .filter(at => at > turn.now);
  return Math.min(Infinity, ...instants);
}

/**
 * Requests a probe if its answer could show that a statement is overdue or that
 * its connection is silent.
 */
export function probeOverdue(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint);
  if (pool === null) {
    return;
  }
  const isDue = (at: Instant | null): boolean => at !== null && at <= turn.now;
  const isProbeDue = pool.conns.some(
    conn =>
      isDue(computeOverdueAt(pool, conn)) ||
      isDue(computeSilentProbeAt(turn, pool, conn)),
  );
  if (isProbeDue) {
    turn.act({type: 'emit', event: {type: 'probe_wanted', endpoint}});
  }
}

/** Returns how many of the endpoint's `slots` count as used by running jobs. */
export function countBusySlots(pool: Pool, slots: number): number {
  const running = pool.jobs.active.count(job => job.phase === 'running');
  const overdue = [...pool.conns.values()].filter(conn => conn.isOverdue);
  if (overdue.length === 0) {
    return running;
  }
  const hasLaterAnswer = ({sentAt}: Conn): boolean =>
    sentAt !== null && sentAt < pool.answeredSentAt;
  const withoutLaterAnswer = overdue.filter(
    conn => !hasLaterAnswer(conn),
  ).length;
  const onTime = running - overdue.length;
  return onTime > 0
    ? onTime + withoutLaterAnswer
    : Math.min(withoutLaterAnswer, slots - 1);
}
