/** Status probes: roles, positions and lag, over a connection of their own. */

import type {EndpointId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import {latestOf} from '../decisions/positions.js';
import type {EndpointStatus} from '../model/statement.js';
import type {EndpointConn} from '../ports.js';
import {createRecords} from '../records.js';
import type {Records} from '../records.js';
import {endOnLostConn, closeTx} from './jobs.js';
import {dropConn} from './connections.js';
import {
  FAST_STATUS_INTERVAL_MS,
  REOPEN_MS,
  ROLE_PROOF_MS,
  STATUS_INTERVAL_MS,
  STATUS_TIMEOUT_MS,
} from './limits.js';
import {noteAlive, noteDown} from './state.js';
import type {EndpointState, Pool, Primary} from './state.js';

interface Prober {
  readonly id: EndpointId;
  readonly link: EndpointConn | null;
  readonly isReady: boolean;
  /** When the unanswered probe, or the opening, began; null for none. */
  readonly askedAt: Instant | null;
  /** When the last probe was sent, or the last attempt to open one given up. */
  readonly lastAt: Instant;
}

/** Reads a status out of the one row of its answer; null when malformed. */
export type ReadStatus = (row: string) => EndpointStatus | null;

/** Asks the endpoints of a pool for their status. */
export interface StatusProbes {
  readonly tick: () => void;
  readonly close: () => void;
}

/** Returns the newest known term of the group. */
function readTopTerm(pool: Pool): number {
  return Math.max(
    0,
    ...pool.endpoints.list().map(({status}) => status?.term ?? 0),
  );
}

/**
 * Tells whether a primary is known to lead the newest term. A replaced primary
 * that is cut off still says that it leads: a second endpoint has to agree, or,
 * where none can be heard, the entries of all of them.
 */
function isProvenPrimary(pool: Pool, state: EndpointState): boolean {
  const {id} = state.entry;
  const term = state.status!.term;
  const others = pool.endpoints.list().filter(({entry}) => entry.id !== id);
  const heard = others.filter(({status}) => status !== null);
  if (readTopTerm(pool) > term) {
    return false;
  }
  if (heard.length > 0 || others.length === 0) {
    return true;
  }
  const isOld = pool.now() >= pool.read().openedAt + ROLE_PROOF_MS;
  return isOld && others.every(({entry}) => entry.role === 'replica');
}

/** Takes an endpoint as the primary of a newer term. */
function adoptPrimary(pool: Pool, primary: Primary): void {
  const before = pool.read().primary;
  const state = pool.endpoints.get(primary.endpoint)!;
  pool.update({
    primary,
    promotion: null,
    adoptedAt: pool.now(),
    base: latestOf(pool.read().base, state.status!.received),
  });
  pool.cfg.ports.record('info', 'primary_adopted', {
    group: pool.cfg.group,
    endpoint: primary.endpoint,
    term: primary.term,
    before: before?.endpoint ?? null,
    term_before: before?.term ?? null,
    index: state.status!.received.index,
    generation: pool.cfg.readGeneration(),
  });
  if (before !== null && before.endpoint !== primary.endpoint) {
    endWorkAt(pool, before.endpoint);
  }
  pool.wake();
}

/** Ends what runs at an endpoint that no longer leads. */
export function endWorkAt(pool: Pool, endpoint: EndpointId): void {
  for (const tx of pool.txs.list()) {
    if (tx.endpoint === endpoint && !tx.readOnly) {
      closeTx(pool, tx, 'the primary was replaced');
    }
  }
  for (const conn of pool.conns.list()) {
    if (conn.endpoint === endpoint && conn.request !== null) {
      dropConn(pool, conn, 'the primary was replaced', endOnLostConn(pool));
    }
  }
}

/** Takes a status into account. */
function noteStatus(
  pool: Pool,
  endpoint: EndpointId,
  status: EndpointStatus,
  askedAt: Instant,
): void {
  const state = pool.endpoints.update(endpoint, {
    status,
    statusAskedAt: askedAt,
    lagMs: status.lagMs,
  });
  if (state === null) {
    return;
  }
  const {primary} = pool.read();
  for (const other of pool.endpoints.list()) {
    const isNewer =
      other.status?.role === 'primary' &&
      other.status.term > (primary?.term ?? -1);
    if (isNewer && isProvenPrimary(pool, other)) {
      const {term} = other.status!;
      adoptPrimary(pool, {endpoint: other.entry.id, term});
    }
  }
}

/** Creates the probes of a pool. */
export function createStatusProbes(
  pool: Pool,
  readStatus: ReadStatus,
): StatusProbes {
  const probers: Records<EndpointId, Prober> = createRecords();

  const giveUp = (id: EndpointId, detail: string): void => {
    probers.get(id)?.link?.close();
    probers.put(id, {
      id,
      link: null,
      isReady: false,
      askedAt: null,
      lastAt: pool.now(),
    });
    noteDown(pool, id, detail);
  };

  const open = (state: EndpointState): void => {
    const {id} = state.entry;
    const link = pool.cfg.ports.openConn(state.entry, {
      onReady: () => {
        noteAlive(pool, id);
        probers.update(id, {isReady: true, askedAt: null, lastAt: -Infinity});
        tick();
      },
      onRefused: fault => giveUp(id, fault),
      onClosed: detail => giveUp(id, detail),
    });
    const now = pool.now();
    probers.put(id, {id, link, isReady: false, askedAt: now, lastAt: now});
  };

  const ask = (id: EndpointId, prober: Prober): void => {
    const askedAt = pool.now();
    const {primary} = pool.read();
    probers.update(id, {askedAt, lastAt: askedAt});
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
      probers.update(id, {askedAt: null});
      noteAlive(pool, id);
      const row = reply.type === 'done' ? reply.rows[0] : undefined;
      const status = row === undefined ? null : readStatus(row);
      if (status !== null) {
        pool.endpoints.update(id, {applied: reply.position});
        noteStatus(pool, id, status, askedAt);
        pool.wake();
      }
    });
  };

  const tickOne = (state: EndpointState): void => {
    const {id} = state.entry;
    const now = pool.now();
    const prober = probers.get(id);
    if (prober === undefined || prober.link === null) {
      if (prober === undefined || now >= prober.lastAt + REOPEN_MS) {
        open(state);
      }
      return;
    }
    if (prober.askedAt !== null) {
      if (now >= prober.askedAt + STATUS_TIMEOUT_MS) {
        giveUp(id, 'no answer to a status probe');
      }
      return;
    }
    // The interval is chosen here alone, from what is known now: a change of
    // primary that begins between two probes hastens the next one.
    const {primary, promotion} = pool.read();
    const isUrgent = primary === null || promotion !== null;
    const intervalMs = isUrgent ? FAST_STATUS_INTERVAL_MS : STATUS_INTERVAL_MS;
    if (prober.isReady && now >= prober.lastAt + intervalMs) {
      ask(id, prober);
    }
  };

  const tick = (): void => {
    pool.endpoints.list().forEach(tickOne);
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
