/** The capacity of a pool's endpoints, learned from completed statements. */

import type {EndpointId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import {updateDelay} from '../decisions/delays.js';
import {isWrite} from '../decisions/effects.js';
import {createServiceTimes, getWorkKind} from '../decisions/service_times.js';
import type {ServiceTimes, WorkKind} from '../decisions/service_times.js';
import type {EndpointEntry} from '../model/directory.js';
import type {RunMessage} from '../model/message.js';
import type {EndpointReply} from '../model/statement.js';
import {getSlotLimit} from './conn_limit.js';
import {SERVICE_SMOOTHING_FACTOR} from './limits.js';
import type {Conn, EndpointState, Job, Pool} from './state.js';

/** What was last logged of an endpoint. */
interface Report {
  readonly factor: number;
  readonly limit: number;
  readonly at: Instant;
}

/** Until when an endpoint is slow after its start, by its last report. */
interface ColdTime {
  readonly startedAt: number;
  readonly leftMs: number;
  readonly until: Instant;
}

/** Estimates of a pool; they start anew with each owner. */
export interface Capacity {
  readonly times: ServiceTimes;
  readonly delays: Map<EndpointId, number>;
  readonly reports: Map<EndpointId, Report>;
}

/** Share of its slots that a primary keeps: its writes can go nowhere else. */
const PRIMARY_MIN_SHARE = 0.5;
/** Minimum interval of the log lines of one endpoint, in ms. */
const REPORT_INTERVAL_MS = 1_000;
/** Logged factors are rounded to the nearest multiple of this. */
const REPORT_STEP = 0.5;
/** Distance from the logged factor from which another one is logged. */
const MIN_REPORT_CHANGE = 0.4;

/** Creates the estimates of a pool. */
export function createCapacity(
  readEntry: (endpoint: EndpointId) => EndpointEntry | undefined,
  now: () => Instant,
): Capacity {
  const coldTimes = new Map<EndpointId, ColdTime>();
  const readColdUntil = (endpoint: EndpointId): Instant | null => {
    const entry = readEntry(endpoint);
    if (entry === undefined) {
      coldTimes.delete(endpoint);
      return null;
    }
    const {startedAt, coldLeftMs = 0} = entry;
    const known = coldTimes.get(endpoint);
    // A list repeats the reports that are known.
    if (known?.startedAt === startedAt && known.leftMs === coldLeftMs) {
      return known.until;
    }
    const until = now() + coldLeftMs;
    coldTimes.set(endpoint, {startedAt, leftMs: coldLeftMs, until});
    return until;
  };
  return {
    times: createServiceTimes(readColdUntil),
    delays: new Map(),
    reports: new Map(),
  };
}

/** Returns the kind of the work that a statement does. */
export function getWorkKindOf(msg: RunMessage): WorkKind {
  if (msg.statement.type === 'commit') {
    return getWorkKind(msg.database, 'commit');
  }
  return getWorkKind(msg.database, isWrite(msg) ? 'write' : 'read');
}

/** Returns how many statements an endpoint may run at once for now. */
export function getRunLimit(pool: Pool, state: EndpointState): number {
  const {id, slots} = state.entry;
  const learned = pool.capacity.times.readLimit(id, slots, pool.now());
  const isPrimary = pool.read().primary?.endpoint === id;
  const minimum = isPrimary ? Math.ceil(slots * PRIMARY_MIN_SHARE) : 1;
  // The overbooked statement hides the network delay while all slots are used.
  return learned >= slots ? getSlotLimit(state) : Math.max(learned, minimum);
}

/** Updates the estimates and the applied position after a reply. */
export function recordReply(
  pool: Pool,
  conn: Conn,
  job: Job,
  reply: EndpointReply,
): void {
  const state = pool.endpoints.get(conn.endpoint);
  if (state === undefined || job.sentAt === null) {
    return;
  }
  pool.endpoints.update(conn.endpoint, {
    applied: reply.position ?? state.applied,
  });
  if (reply.type !== 'done') {
    // An endpoint that fails fast would look quick.
    return;
  }
  const now = pool.now();
  const {capacity, conns} = pool;
  const {serviceMs} = state;
  const tookMs = now - job.sentAt;
  pool.endpoints.update(conn.endpoint, {
    serviceMs: serviceMs + SERVICE_SMOOTHING_FACTOR * (tookMs - serviceMs),
  });
  const others = conns
    .list()
    .filter(
      ({id, endpoint, request}) =>
        endpoint === conn.endpoint && request !== null && id !== conn.id,
    );
  capacity.times.record({
    endpoint: conn.endpoint,
    kind: getWorkKindOf(job.msg),
    tookMs: tookMs - (capacity.delays.get(conn.endpoint) ?? 0),
    running: others.length,
    slots: state.entry.slots,
    showsSpeed: job.msg.statement.type !== 'commit' && !isWrite(job.msg),
    at: now,
  });
}

/** Logs an estimate that has changed, at most one a second per endpoint. */
function reportChange(pool: Pool, {entry}: EndpointState): void {
  const {id, slots} = entry;
  const {capacity, cfg} = pool;
  const now = pool.now();
  const factor = capacity.times.readFactor(id, now);
  const limit = capacity.times.readLimit(id, slots, now);
  const last = capacity.reports.get(id) ?? {
    factor: 1,
    limit: slots,
    at: -Infinity,
  };
  const isChanged =
    limit !== last.limit || Math.abs(factor - last.factor) > MIN_REPORT_CHANGE;
  if (!isChanged || now - last.at < REPORT_INTERVAL_MS) {
    return;
  }
  const rounded = Math.round(factor / REPORT_STEP) * REPORT_STEP;
  capacity.reports.set(id, {factor: rounded, limit, at: now});
  cfg.ports.record('info', 'endpoint_capacity', {
    group: cfg.group,
    endpoint: id,
    factor: rounded,
    limit,
    slots,
    delay_ms: Math.round(capacity.delays.get(id) ?? 0),
  });
}

/** Updates the delay to an endpoint after the reply to a status probe. */
export function recordProbe(
  pool: Pool,
  endpoint: EndpointId,
  tookMs: number,
): void {
  const {delays} = pool.capacity;
  const state = pool.endpoints.get(endpoint);
  if (state === undefined) {
    delays.delete(endpoint);
    return;
  }
  delays.set(endpoint, updateDelay(delays.get(endpoint) ?? null, tookMs));
  reportChange(pool, state);
}
