/** The state of a group's pool. */

import type {
  EndpointId,
  GroupId,
  HostId,
  LogPosition,
} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import type {ConnRefusal} from '../decisions/connection_limit.js';
import {
  isFailing,
  NO_FAULTS,
  updateFaultRate,
} from '../decisions/fault_level.js';
import type {FaultRate} from '../decisions/fault_level.js';
import type {AckedCommit} from '../decisions/positions.js';
import {NO_UNANSWERED_WRITES} from '../decisions/stuck_writes.js';
import type {UnansweredWrites} from '../decisions/stuck_writes.js';
import type {QueuedJob} from '../decisions/admission.js';
import type {SkipCounts} from '../decisions/queue_order.js';
import type {
  EndpointEntry,
  EndpointList,
  RouteTable,
  WorkspaceId,
} from '../model/directory.js';
import type {RunMessage} from '../model/message.js';
import type {EndpointStatus} from '../model/statement.js';
import type {EndpointConn, HostPorts} from '../ports.js';
import {createRecords} from '../records.js';
import type {EndpointRun, GroupLineage} from '../model/ownership.js';
import type {Records} from '../records.js';
import type {AllowanceGate} from './allowance_gate.js';
import {createCapacity} from './capacity.js';
import type {Capacity} from './capacity.js';
import {INITIAL_SERVICE_MS} from './limits.js';
import {createOverloadState} from './overload_state.js';
import type {OverloadState} from './overload_state.js';

/** A statement that waits or runs in a pool. */
export interface Job extends QueuedJob {
  readonly msg: RunMessage;
  readonly host: HostId;
  readonly phase: 'waiting' | 'running';
  readonly conn: number | null;
  readonly endpoint: EndpointId | null;
  /** When the statement itself was sent; null if not sent yet. */
  readonly sentAt: Instant | null;
  /** Whether it was sent and takes effect once replicas have received it. */
  readonly awaitsReplicas: boolean;
  /** A position of the primary's log before the statement was sent, or null. */
  readonly sentAfter: LogPosition | null;
  readonly attempts: number;
  /** Endpoints that did not run it, to be avoided in the next attempt. */
  readonly avoided: readonly EndpointId[];
}

/** A connection to an endpoint. */
export interface Conn {
  readonly id: number;
  readonly endpoint: EndpointId;
  /** The workspace for which it speaks. */
  readonly workspace: WorkspaceId | null;
  readonly link: EndpointConn;
  readonly isOpen: boolean;
  readonly openDeadline: Instant;
  /** Session values that are set on the connection. */
  readonly values: ReadonlyMap<string, string>;
  /** Names of the statements that are prepared on it, by access and shape. */
  readonly prepared: ReadonlyMap<string, string>;
  readonly tx: string | null;
  /** The request that uses the connection, or null. */
  readonly request: string | null;
  readonly idleSince: Instant;
  /** Deadline of a reply that is awaited after the request ended, or null. */
  readonly replyDeadline: Instant | null;
}

/** An open transaction. */
export interface Tx {
  readonly id: string;
  readonly host: HostId;
  readonly conn: number;
  readonly endpoint: EndpointId;
  readonly readOnly: boolean;
  /** Whether a write of the transaction was sent. */
  readonly hasWritten: boolean;
  /** The transaction is closed if no statement arrives before this instant. */
  readonly idleDeadline: Instant;
}

/** What the pool knows about an endpoint. */
export interface EndpointState {
  readonly entry: EndpointEntry;
  readonly status: EndpointStatus | null;
  /** When the probe that returned the status was sent, or null. */
  readonly statusRequestedAt: Instant | null;
  /**
   * Whether it reported less than before in the same term. It has restarted
   * without its log, though the list does not say so yet.
   */
  readonly hasLostLog: boolean;
  /** The newest position that it has reported, and the term of that report. */
  readonly newest: {
    readonly term: number;
    readonly received: LogPosition;
  } | null;
  readonly applied: LogPosition | null;
  readonly lagMs: number;
  readonly serviceMs: number;
  readonly backoffUntil: Instant;
  /** Its latest refusal of a connection beyond its limit, or null. */
  readonly refusal: ConnRefusal | null;
  /** No connection is opened before this instant. */
  readonly reopenAt: Instant;
  /** Since when it has not replied, or null if it is up. */
  readonly downSince: Instant | null;
  /** Since when its entry has been missing from the list, or null. */
  readonly missingSince: Instant | null;
  /** Its promotion was rejected; it is no candidate before this instant. */
  readonly rejectedUntil: Instant;
  readonly faults: FaultRate;
  /** Since when its failure rate has been too high, or null. */
  readonly failingSince: Instant | null;
}

/** An endpoint run whose log may hold acknowledged commits. */
export interface Member extends EndpointRun {
  /** Since when it is not listed, or null while it is. */
  readonly leftAt: Instant | null;
  /** Since when a newer run of its endpoint is listed, or null. */
  readonly endedAt: Instant | null;
  /**
   * Covers the commits that were acknowledged before it left or, if it has
   * ended, every one that it confirmed; null while unknown.
   */
  readonly ackedBefore: LogPosition | null;
}

/** A primary and its term. */
export interface Primary {
  readonly endpoint: EndpointId;
  readonly term: number;
}

/** A requested promotion that may take effect, now or later. */
export interface PromotionCall {
  readonly id: number;
  readonly endpoint: EndpointId;
  /** When it is too late to take effect; Infinity until it is answered. */
  readonly settledAt: Instant;
  /** Withdraws the request, as far as it has not been delivered. */
  readonly cancel: () => void;
}

/** Why a promotion that has begun is not requested yet. */
export type WaitReason =
  | 'settling'
  /** No replica has reported its log since the promotion began. */
  | 'no_candidate'
  /** Another request may take effect, and its candidate has not reported. */
  | 'requested_candidate_missing'
  | 'reports_missing'
  /** No candidate is known to have every acknowledged commit. */
  | 'commits_missing';

/** A change of primary that is in progress. */
export interface Promotion {
  readonly reason:
    | 'down'
    | 'failing'
    | 'leaving'
    | 'stuck'
    | 'no_primary'
    /** An earlier owner requested one that has not taken effect yet. */
    | 'requested';
  readonly phase: 'draining' | 'choosing' | 'calling' | 'awaiting';
  readonly startedAt: Instant;
  readonly drainDeadline: Instant;
  readonly candidate: EndpointId | null;
  /** The last recorded reason for which no promotion is requested. */
  readonly waitReason: WaitReason | null;
  /** When the next step is due. */
  readonly nextAt: Instant;
}

/** The pool-wide part of a pool's state. */
export interface PoolState {
  readonly primary: Primary | null;
  readonly promotion: Promotion | null;
  /** Until these are settled, no other endpoint may acknowledge commits. */
  readonly calls: readonly PromotionCall[];
  /**
   * Endpoints whose promotion was requested, in this order, and that may lead
   * unseen; also after the request is settled.
   */
  readonly suspects: readonly EndpointId[];
  /** No promotion is requested: the group is about to be handed over. */
  readonly isSettling: boolean;
  /** Covers every commit acknowledged before the first of `commits`. */
  readonly base: LogPosition | null;
  readonly commits: readonly AckedCommit[];
  /** At or before the newest acknowledged commit; null if unknown. */
  readonly surelyAcked: LogPosition | null;
  readonly skipCounts: SkipCounts;
  /** Writes that the primary has not answered. */
  readonly unanswered: UnansweredWrites;
  /** New work is refused; open transactions may end. */
  readonly isHandingOver: boolean;
  readonly isClosed: boolean;
  readonly openedAt: Instant;
  /** When the primary was adopted. */
  readonly adoptedAt: Instant;
}

/** The dependencies that a host passes to a pool. */
export interface PoolConfig {
  readonly group: GroupId;
  readonly host: HostId;
  readonly dataCentre: string;
  readonly ports: Pick<
    HostPorts,
    'runtime' | 'record' | 'openConn' | 'promote' | 'send'
  >;
  /** Returns whether this host may act as the owner now. */
  readonly isLeaseValid: () => boolean;
  readonly readGeneration: () => number;
  /**
   * Has a promotion kept for the next owner, in the record or by deputies.
   * Resolves to null if that has not succeeded by the deadline.
   */
  readonly keepPromotion: (
    group: GroupId,
    endpoint: EndpointId,
    deadline: Instant,
  ) => Promise<'record' | 'deputies' | null>;
  readonly readTable: () => RouteTable | null;
  readonly readEndpoints: () => EndpointList | null;
  /** Limits the operations of workspaces; null if they have no limits. */
  readonly allowances?: AllowanceGate | null;
  /** What earlier owners knew of the endpoints; null if nothing is recorded. */
  readonly lineage: GroupLineage | null;
  /** When the owner before was known to have ended. */
  readonly predecessorEndedAt: Instant;
}

/** A pool's state and its dependencies. */
export interface Pool {
  readonly cfg: PoolConfig;
  readonly endpoints: Records<EndpointId, EndpointState>;
  /** By the key of their run, see `members.ts`. */
  readonly members: Records<string, Member>;
  readonly conns: Records<number, Conn>;
  readonly jobs: Records<string, Job>;
  readonly txs: Records<string, Tx>;
  readonly capacity: Capacity;
  readonly overload: OverloadState;
  readonly read: () => PoolState;
  readonly update: (part: Partial<PoolState>) => void;
  readonly now: () => Instant;
  /** Returns a number that the pool has not used before. */
  readonly nextId: () => number;
  /** Schedules waiting statements once the current event is handled. */
  readonly wake: () => void;
}

/** Creates the empty state of a pool. */
export function createPool(cfg: PoolConfig, wake: () => void): Pool {
  const {runtime} = cfg.ports;
  const endpoints = createRecords<EndpointId, EndpointState>();
  let lastId = 0;
  let state: PoolState = {
    primary: null,
    promotion: null,
    calls: [],
    suspects: cfg.lineage?.promoting ?? [],
    isSettling: false,
    base: null,
    commits: [],
    surelyAcked: null,
    skipCounts: new Map(),
    unanswered: NO_UNANSWERED_WRITES,
    isHandingOver: false,
    isClosed: false,
    openedAt: runtime.now(),
    adoptedAt: runtime.now(),
  };
  return {
    cfg,
    endpoints,
    members: createRecords(),
    conns: createRecords(),
    jobs: createRecords(request => cfg.allowances?.end(request)),
    txs: createRecords(),
    capacity: createCapacity(id => endpoints.get(id)?.entry, runtime.now),
    overload: createOverloadState(runtime.now()),
    read: () => state,
    update: part => {
      state = {...state, ...part};
    },
    now: runtime.now,
    nextId: () => ++lastId,
    wake,
  };
}

/** Creates the state of an endpoint of which only the entry is known. */
export function createEndpointState(entry: EndpointEntry): EndpointState {
  return {
    entry,
    status: null,
    statusRequestedAt: null,
    hasLostLog: false,
    newest: null,
    applied: null,
    lagMs: 0,
    serviceMs: INITIAL_SERVICE_MS,
    backoffUntil: 0,
    refusal: null,
    reopenAt: 0,
    downSince: null,
    missingSince: null,
    rejectedUntil: 0,
    faults: NO_FAULTS,
    failingSince: null,
  };
}

/** Records whether a statement failed at the endpoint that ran it. */
export function recordOutcome(
  pool: Pool,
  endpoint: EndpointId,
  isFault: boolean,
): void {
  const state = pool.endpoints.get(endpoint);
  if (state === undefined) {
    return;
  }
  const now = pool.now();
  const faults = updateFaultRate(state.faults, isFault, now);
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

/** Marks an endpoint as up after a reply. */
export function markUp(pool: Pool, endpoint: EndpointId): void {
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

/** Marks an endpoint as down after a missing reply or a lost connection. */
export function markDown(
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

/** Updates the change of primary that is in progress, if there is one. */
export function updatePromotion(pool: Pool, part: Partial<Promotion>): void {
  const {promotion} = pool.read();
  if (promotion !== null) {
    pool.update({promotion: {...promotion, ...part}});
  }
}
