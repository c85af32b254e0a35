/**
 * Status probes: role, position and lag, over a separate connection per
 * endpoint.
 */

import type {EndpointId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import {isAtLeast, latestOf} from '../decisions/positions.js';
import {NO_UNANSWERED_WRITES} from '../decisions/stuck_writes.js';
import type {EndpointStatus} from '../model/statement.js';
import type {EndpointConn} from '../ports.js';
import {createRecords} from '../records.js';
import {learnBase} from './acks.js';
import {recordProbe} from './capacity.js';
import type {Records} from '../records.js';
import {createConnLostHandler, closeTx} from './jobs.js';
import {closeCallsOf, removeSuspectsUpTo} from './promotion_calls.js';
import {dropConn} from './connections.js';
import {
  BUSY_BACKOFF_MS,
  FAST_STATUS_INTERVAL_MS,
  REOPEN_MS,
  ROLE_CONFIRM_MS,
  STATUS_INTERVAL_MS,
  STATUS_TIMEOUT_MS,
} from './limits.js';
import {markUp, markDown} from './state.js';
import type {EndpointState, Pool, Primary} from './state.js';

interface Prober {
  readonly id: EndpointId;
  readonly link: EndpointConn | null;
  readonly isReady: boolean;
  /**
   * When the pending probe or connection attempt started; null if there is
   * none.
   */
  readonly requestedAt: Instant | null;
  /**
   * When the last probe was sent, or the last connection was opened or failed.
   */
  readonly lastAttemptAt: Instant;
}

/** Parses the single row of a status reply; returns null if it is malformed. */
export type ReadStatus = (row: string) => EndpointStatus | null;

/** Probes the endpoints of a pool for their status. */
export interface StatusProbes {
  readonly tick: () => void;
  readonly close: () => void;
}

/** Returns the highest known term of the group. */
function getHighestTerm(pool: Pool): number {
  return Math.max(
    0,
    ...pool.endpoints.list().map(({status}) => status?.term ?? 0),
  );
}

/**
 * Returns whether a primary is confirmed to have the highest term. A replaced
 * primary that is partitioned off still reports itself as primary. No earlier
 * owner may therefore have used a higher term. A second endpoint must report
 * none either or, if none has replied, all other entries in the list must be
 * replicas.
 */
function isConfirmedPrimary(pool: Pool, state: EndpointState): boolean {
  const {id} = state.entry;
  const term = state.status!.term;
  const others = pool.endpoints.list().filter(({entry}) => entry.id !== id);
  const responsive = others.filter(({status}) => status !== null);
  const usedTerm = pool.cfg.lineage?.term ?? 0;
  if (Math.max(getHighestTerm(pool), usedTerm) > term) {
    return false;
  }
  const isOnlyMember =
    pool.cfg.lineage !== null &&
    pool.members.list().every(({endpoint}) => endpoint === id);
  if (responsive.length > 0 || isOnlyMember) {
    return true;
  }
  const isWaitOver = pool.now() >= pool.read().openedAt + ROLE_CONFIRM_MS;
  return isWaitOver && others.every(({entry}) => entry.role === 'replica');
}

/** Makes an endpoint the known primary, with a newer term. */
function adoptPrimary(pool: Pool, primary: Primary): void {
  const before = pool.read().primary;
  const {received} = pool.endpoints.get(primary.endpoint)!.status!;
  const usedTerm = pool.cfg.lineage?.term ?? null;
  const isTermNew = primary.term > (usedTerm ?? 0);
  // A promoted endpoint has each acknowledged commit, but not all that was on
  // its way when the primary before it was lost.
  const isPromoted = before !== null || (usedTerm !== null && isTermNew);
  // A request of an earlier owner took effect only if the term is new.
  if (isTermNew) {
    closeCallsOf(pool, primary.endpoint);
    removeSuspectsUpTo(pool, primary.endpoint);
  }
  pool.update({
    primary,
    promotion: null,
    unanswered: NO_UNANSWERED_WRITES,
    adoptedAt: pool.now(),
    base: isPromoted ? received : latestOf(pool.read().base, received),
    commits: isPromoted ? [] : pool.read().commits,
  });
  pool.cfg.ports.record('info', 'primary_adopted', {
    group: pool.cfg.group,
    endpoint: primary.endpoint,
    term: primary.term,
    before: before?.endpoint ?? null,
    term_before: before?.term ?? null,
    index: received.index,
    generation: pool.cfg.readGeneration(),
  });
  if (before !== null && before.endpoint !== primary.endpoint) {
    abortWorkAt(pool, before.endpoint);
  }
  pool.wake();
}

/**
 * Ends statements and writing transactions at an endpoint that is no longer
 * primary.
 */
export function abortWorkAt(pool: Pool, endpoint: EndpointId): void {
  for (const tx of pool.txs.list()) {
    if (tx.endpoint === endpoint && !tx.readOnly) {
      closeTx(pool, tx, 'the primary was replaced');
    }
  }
  for (const conn of pool.conns.list()) {
    if (conn.endpoint === endpoint && conn.request !== null) {
      dropConn(
        pool,
        conn,
        'the primary was replaced',
        createConnLostHandler(pool),
      );
    }
  }
}

/** Compares a report with the newest one of the same endpoint. */
function findLogState(
  {newest}: EndpointState,
  {term, received}: EndpointStatus,
): Pick<EndpointState, 'hasLostLog' | 'newest'> {
  // A replica is rolled back only by a primary of a newer term.
  const hasLostLog =
    newest !== null &&
    term <= newest.term &&
    !isAtLeast(received, newest.received);
  return {hasLostLog, newest: hasLostLog ? newest : {term, received}};
}

/**
 * Applies a reported status, and adopts a newer primary if one is confirmed.
 */
function applyStatus(
  pool: Pool,
  endpoint: EndpointId,
  status: EndpointStatus,
  requestedAt: Instant,
): void {
  const known = pool.endpoints.get(endpoint);
  if (known === undefined) {
    return;
  }
  pool.endpoints.update(endpoint, {
    status,
    statusRequestedAt: requestedAt,
    lagMs: status.lagMs,
    ...findLogState(known, status),
  });
  learnBase(pool);
  const {primary} = pool.read();
  for (const other of pool.endpoints.list()) {
    const isNewer =
      other.status?.role === 'primary' &&
      other.status.term > (primary?.term ?? -1);
    if (isNewer && isConfirmedPrimary(pool, other)) {
      const {term} = other.status!;
      adoptPrimary(pool, {endpoint: other.entry.id, term});
    }
  }
}

/** Returns whether the pool cannot serve writes before it knows more. */
function isStatusUrgent(pool: Pool): boolean {
  const {primary, promotion} = pool.read();
  return primary === null || promotion !== null;
}

/**
 * Sends no statements to an endpoint without a free slot until its next probe:
 * reads that keep all slots taken would delay a change of primary.
 */
function reserveSlotForProbe(
  pool: Pool,
  id: EndpointId,
  probers: Records<EndpointId, Prober>,
): void {
  if (!isStatusUrgent(pool)) {
    return;
  }
  const now = pool.now();
  pool.endpoints.update(id, {backoffUntil: now + FAST_STATUS_INTERVAL_MS});
  probers.update(id, {
    lastAttemptAt: now - FAST_STATUS_INTERVAL_MS + BUSY_BACKOFF_MS,
  });
}

/** Creates the probes of a pool. */
export function createStatusProbes(
  pool: Pool,
  readStatus: ReadStatus,
): StatusProbes {
  const probers: Records<EndpointId, Prober> = createRecords();

  const failProbe = (id: EndpointId, detail: string): void => {
    probers.get(id)?.link?.close();
    probers.put(id, {
      id,
      link: null,
      isReady: false,
      requestedAt: null,
      lastAttemptAt: pool.now(),
    });
    markDown(pool, id, detail);
    // The endpoint may have restarted without its log.
    pool.endpoints.update(id, {statusRequestedAt: null});
  };

  const open = (state: EndpointState): void => {
    const {id} = state.entry;
    const link = pool.cfg.ports.openConn(state.entry, null, {
      onReady: () => {
        markUp(pool, id);
        probers.update(id, {
          isReady: true,
          requestedAt: null,
          lastAttemptAt: -Infinity,
        });
        tick();
      },
      onRefused: fault => failProbe(id, fault),
      onClosed: detail => failProbe(id, detail),
    });
    const now = pool.now();
    probers.put(id, {
      id,
      link,
      isReady: false,
      requestedAt: now,
      lastAttemptAt: now,
    });
  };

  const sendProbe = (id: EndpointId, prober: Prober): void => {
    const requestedAt = pool.now();
    const {primary} = pool.read();
    probers.update(id, {requestedAt, lastAttemptAt: requestedAt});
    const known = pool.endpoints.get(id)?.status ?? null;
    const isReplaced =
      known?.role === 'primary' &&
      primary !== null &&
      known.term < primary.term &&
      primary.endpoint !== id;
    const command = isReplaced
      ? ({type: 'step_down', term: primary.term} as const)
      : ({type: 'status'} as const);
    prober.link!.send(command, null, null, reply => {
      probers.update(id, {requestedAt: null});
      recordProbe(pool, id, pool.now() - requestedAt);
      markUp(pool, id);
      if (reply.type === 'error' && reply.fault === 'busy') {
        reserveSlotForProbe(pool, id, probers);
        return;
      }
      const row = reply.type === 'done' ? reply.rows[0] : undefined;
      const status = row === undefined ? null : readStatus(row);
      if (status !== null) {
        pool.endpoints.update(id, {applied: reply.position});
        applyStatus(pool, id, status, requestedAt);
        pool.wake();
      }
    });
  };

  const tickEndpoint = (state: EndpointState): void => {
    const {id} = state.entry;
    const now = pool.now();
    const prober = probers.get(id);
    if (prober === undefined || prober.link === null) {
      if (prober === undefined || now >= prober.lastAttemptAt + REOPEN_MS) {
        open(state);
      }
      return;
    }
    if (prober.requestedAt !== null) {
      if (now >= prober.requestedAt + STATUS_TIMEOUT_MS) {
        failProbe(id, 'no reply to a status probe');
      }
      return;
    }
    // The interval is computed at each tick, so that a change of primary that
    // starts between two probes makes the next one earlier.
    const intervalMs = isStatusUrgent(pool)
      ? FAST_STATUS_INTERVAL_MS
      : STATUS_INTERVAL_MS;
    if (prober.isReady && now >= prober.lastAttemptAt + intervalMs) {
      sendProbe(id, prober);
    }
  };

  const tick = (): void => {
    pool.endpoints.list().forEach(tickEndpoint);
    for (const {id, link} of probers.list()) {
      if (pool.endpoints.get(id) === undefined) {
        link?.close();
        probers.remove(id);
      }
    }
  };

  return {
    tick,
    close: () => probers.list().forEach(({link}) => link?.close()),
  };
}
