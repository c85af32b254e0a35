/** Records of a group's pool. */

import type {
  EndpointId,
  GroupId,
  HostId,
  LogPosition,
} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import {isFailing, NO_FAULTS, noteOutcome} from '../decisions/fault_level.js';
import type {FaultLevel} from '../decisions/fault_level.js';
import type {AckedCommit} from '../decisions/positions.js';
import type {PassedOver, WaitingJob} from '../decisions/queue_order.js';
import type {
  EndpointEntry,
  EndpointList,
  RouteTable,
} from '../model/directory.js';
import type {RunMessage} from '../model/message.js';
import type {EndpointStatus} from '../model/statement.js';
import type {EndpointConn, HostPorts} from '../ports.js';
import {createRecords} from '../records.js';
import type {Records} from '../records.js';
import {INITIAL_SERVICE_MS} from './limits.js';

/** A statement at its pool. */
export interface Job extends WaitingJob {
  readonly msg: RunMessage;
  readonly host: HostId;
  readonly receivedAt: Instant;
  readonly deadline: Instant;
  readonly phase: 'waiting' | 'running';
  readonly conn: number | null;
  readonly endpoint: EndpointId | null;
  /** When the statement itself was sent, or null before. */
  readonly sentAt: Instant | null;
  readonly attempts: number;
  /** Endpoints that handed it back. */
  readonly avoided: readonly EndpointId[];
}

/** A connection to an endpoint. */
export interface Conn {
  readonly id: number;
  readonly endpoint: EndpointId;
  readonly link: EndpointConn;
  readonly isOpen: boolean;
  readonly openBy: Instant;
  /** Session values that are set on it. */
  readonly values: ReadonlyMap<string, string>;
  /** Names that are prepared on it. */
  readonly prepared: ReadonlySet<string>;
  readonly tx: string | null;
  /** The request that uses it, or null. */
  readonly request: string | null;
  readonly idleSince: Instant;
  /** Until when a check or a rollback has to be answered, or null. */
  readonly answerBy: Instant | null;
}

/** An open transaction. */
export interface Tx {
  readonly id: string;
  readonly host: HostId;
  readonly conn: number;
  readonly endpoint: EndpointId;
  readonly readOnly: boolean;
  /** Ends if no statement comes until then. */
  readonly idleAt: Instant;
}

/** What the pool knows of an endpoint. */
export interface EndpointState {
  readonly entry: EndpointEntry;
  readonly status: EndpointStatus | null;
  /** When the probe was sent that brought the status. */
  readonly statusAskedAt: Instant | null;
  readonly applied: LogPosition | null;
  readonly lagMs: number;
  readonly serviceMs: number;
  readonly backoffUntil: Instant;
  /** No connection is opened before this instant. */
  readonly reopenAt: Instant;
  /** Since when it answers nothing, or null. */
  readonly downSince: Instant | null;
  /** Since when the list lacks its entry, or null. */
  readonly missingSince: Instant | null;
  /** It refused to lead; passed over until this instant. */
  readonly rejectedUntil: Instant;
  readonly faults: FaultLevel;
  /** Since when it fails too much of what it runs, or null. */
  readonly failingSince: Instant | null;
  /** When it last answered a write, or null. */
  readonly wroteAt: Instant | null;
}

/** A primary and its term. */
export interface Primary {
  readonly endpoint: EndpointId;
  readonly term: number;
}

/** A change of primary that is in progress. */
export interface Promotion {
  readonly reason: 'down' | 'failing' | 'leaving' | 'stuck' | 'no_primary';
  readonly phase: 'draining' | 'choosing' | 'calling' | 'awaiting';
  readonly startedAt: Instant;
  readonly drainBy: Instant;
  readonly candidate: EndpointId | null;
  /** When the next step is due. */
  readonly nextAt: Instant;
}

/** The parts of a pool that change as a whole. */
export interface PoolState {
  readonly primary: Primary | null;
  readonly promotion: Promotion | null;
  /** Covers every commit acknowledged before `commits` begins. */
  readonly base: LogPosition | null;
  readonly commits: readonly AckedCommit[];
  readonly passedOver: PassedOver;
  /** New work is handed back; transactions may end. */
  readonly isHandingOver: boolean;
  readonly isClosed: boolean;
  readonly openedAt: Instant;
  /** When the primary was adopted. */
  readonly adoptedAt: Instant;
}

/** What a pool needs of its host. */
export interface PoolConfig {
  readonly group: GroupId;
  readonly host: HostId;
  readonly dataCentre: string;
  readonly ports: Pick<
    HostPorts,
    'runtime' | 'record' | 'openConn' | 'promote' | 'send'
  >;
  /** Tells whether this host may act as the owner now. */
  readonly isLeaseValid: () => boolean;
  readonly readGeneration: () => number;
  readonly readTable: () => RouteTable | null;
  readonly readEndpoints: () => EndpointList | null;
}

/** A pool: its records, and what it needs. */
export interface Pool {
  readonly cfg: PoolConfig;
  readonly endpoints: Records<EndpointId, EndpointState>;
  readonly conns: Records<number, Conn>;
  readonly jobs: Records<string, Job>;
  readonly txs: Records<string, Tx>;
  readonly read: () => PoolState;
  readonly update: (part: Partial<PoolState>) => void;
  readonly now: () => Instant;
  /** Returns a number that the pool has not used before. */
  readonly nextId: () => number;
  /** Gives waiting statements a turn once the current event is handled. */
  readonly wake: () => void;
}

/** Creates the records of a pool that knows nothing yet. */
export function createPool(cfg: PoolConfig, wake: () => void): Pool {
  let ids = 0;
  let state: PoolState = {
    primary: null,
    promotion: null,
    base: null,
    commits: [],
    passedOver: new Map(),
    isHandingOver: false,
    isClosed: false,
    openedAt: cfg.ports.runtime.now(),
    adoptedAt: cfg.ports.runtime.now(),
  };
  return {
    cfg,
    endpoints: createRecords(),
    conns: createRecords(),
    jobs: createRecords(),
    txs: createRecords(),
    read: () => state,
    update: part => {
      state = {...state, ...part};
    },
    now: cfg.ports.runtime.now,
    nextId: () => ++ids,
    wake,
  };
}

/** Returns an endpoint about which only its entry is known. */
export function createEndpointState(entry: EndpointEntry): EndpointState {
  return {
    entry,
    status: null,
    statusAskedAt: null,
    applied: null,
    lagMs: 0,
    serviceMs: INITIAL_SERVICE_MS,
    backoffUntil: 0,
    reopenAt: 0,
    downSince: null,
    missingSince: null,
    rejectedUntil: 0,
    faults: NO_FAULTS,
    failingSince: null,
    wroteAt: null,
  };
}

/** Notes how a statement ended at an endpoint that ran it. */
export function noteRun(
  pool: Pool,
  endpoint: EndpointId,
  isFault: boolean,
): void {
  const state = pool.endpoints.get(endpoint);
  if (state === undefined) {
    return;
  }
  const now = pool.now();
  const faults = noteOutcome(state.faults, isFault, now);
  const since = isFailing(faults, now) ? (state.failingSince ?? now) : null;
  pool.endpoints.update(endpoint, {faults, failingSince: since});
  const wasFailing = state.failingSince !== null;
  if (wasFailing === (since !== null)) {
    return;
  }
  const {group, ports} = pool.cfg;
  const fields = {
    group,
    endpoint,
    fault_share: Math.round(faults.share * 100) / 100,
    is_primary: pool.read().primary?.endpoint === endpoint,
  };
  if (wasFailing) {
    ports.record('info', 'endpoint_well', fields);
  } else {
    ports.record('warn', 'endpoint_failing', fields);
  }
}

/** Notes that an endpoint answered. */
export function noteAlive(pool: Pool, endpoint: EndpointId): void {
  const state = pool.endpoints.get(endpoint);
  if (state !== undefined && state.downSince !== null) {
    pool.endpoints.update(endpoint, {downSince: null});
    pool.cfg.ports.record('info', 'endpoint_regained', {
      group: pool.cfg.group,
      endpoint,
      down_ms: Math.round(pool.now() - state.downSince),
    });
  }
}

/** Notes that an endpoint gave no answer where one was due. */
export function noteDown(
  pool: Pool,
  endpoint: EndpointId,
  detail: string,
): void {
  const state = pool.endpoints.get(endpoint);
  if (state === undefined || state.downSince !== null) {
    return;
  }
  pool.endpoints.update(endpoint, {downSince: pool.now()});
  pool.cfg.ports.record('warn', 'endpoint_lost', {
    group: pool.cfg.group,
    endpoint,
    detail,
  });
}
