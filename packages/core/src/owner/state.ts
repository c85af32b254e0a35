/** Slices of the blackboard that the pool controllers change. */

import {Map as ImmutableMap} from 'immutable';
import type {QueuePolicyName} from './queue_policy.js';
import {NO_JOBS} from './job_set.js';
import type {JobSet} from './job_set.js';
import {INITIAL_SERVICE_MS} from './limits.js';
import type {
  ConnId,
  EndpointId,
  GroupId,
  HostId,
  Instant,
  RequestId,
  TxId,
} from '../model/ids.js';
import type {RunMessage} from '../model/message.js';
import type {OkResult, Outcome} from '../model/outcome.js';
import type {LogPosition} from '../model/position.js';
import type {Rank} from '../model/table.js';

/** Names of the statements that a job may send. */
export type StepName =
  /** Checks a connection that was idle or follows an error. */
  | 'check'
  | 'statement'
  | 'key_begin'
  | 'key_insert'
  | 'key_statement'
  | 'key_update'
  | 'key_commit'
  | 'key_rollback'
  | 'key_lookup'
  | 'key_status'
  | 'tx_key_insert'
  | 'tx_rollback';

/** A connection to an endpoint. */
export interface Conn {
  readonly id: ConnId;
  readonly isOpen: boolean;
  /** Instant by which it must be open. */
  readonly openBy: Instant;
  readonly idleSince: Instant;
  /** The job that uses it, or null. */
  readonly request: RequestId | null;
  /** The transaction that it is pinned to, or null. */
  readonly tx: TxId | null;
  /** The step in flight, or null. */
  readonly step: number | null;
  readonly sentAt: Instant | null;
  /** Whether the step in flight is overdue; see overdue.ts. */
  readonly isOverdue: boolean;
  /** A neighbour went silent: check before use. */
  readonly isSuspect: boolean;
  /** The last answer was an error: roll back before use. */
  readonly isUnclean: boolean;
}

/** A request at its pool owner. */
export interface Job {
  readonly msg: RunMessage;
  /** Names of its kind and of its flow; see job_set.ts. */
  readonly kindKey: string;
  readonly flowKey: string;
  readonly host: HostId;
  readonly generation: number;
  readonly order: number;
  readonly receivedAt: Instant;
  readonly targetAt: Instant;
  readonly deadline: Instant;
  readonly phase: 'queued' | 'running' | 'acking';
  /** Until when a read waits for its position; null once reached. */
  readonly reachBy: Instant | null;
  readonly conn: ConnId | null;
  readonly step: StepName | null;
  readonly startedAt: Instant | null;
  /** The outcome to give once the current step is over, or null. */
  readonly pending: Outcome | null;
  /** The result of the caller's statement while its key is kept, or null. */
  readonly saved: OkResult | null;
  /** Returns to the head of the queue after a check that failed. */
  readonly isFront: boolean;
}

/** An open transaction. */
export interface Tx {
  readonly id: TxId;
  readonly host: HostId;
  readonly generation: number;
  readonly conn: ConnId;
  readonly term: number | null;
  /** Service and kind, for the connection limit. */
  readonly kindKey: string;
  readonly hasWritten: boolean;
  readonly idleAt: Instant;
}

/** Another host that waits for the endpoint to reach a position. */
export interface PositionWait {
  readonly ask: number;
  readonly host: HostId;
  readonly position: LogPosition;
  readonly deadline: Instant;
}

/** What a queue policy remembers between choices. */
export interface QueueMemory {
  /** Slots that a rank may claim by its floor. */
  readonly credits: ImmutableMap<Rank, number>;
  /** Virtual time up to which a flow was served. */
  readonly finishes: ImmutableMap<string, number>;
  /** Virtual clock of each group of flows. */
  readonly clocks: ImmutableMap<string, number>;
}

/** The pool of one endpoint. */
export interface Pool {
  readonly endpoint: EndpointId;
  readonly group: GroupId;
  /** Null while owned; afterwards the instant at which transactions end. */
  readonly closeAt: Instant | null;
  readonly conns: ImmutableMap<ConnId, Conn>;
  readonly jobs: JobSet;
  readonly txs: ImmutableMap<TxId, Tx>;
  readonly waits: readonly PositionWait[];
  readonly memory: QueueMemory;
  /** No connection is opened before this instant. */
  readonly backoffUntil: Instant;
  readonly backoffMs: number;
  /** The last attempt to connect failed other than by a full endpoint. */
  readonly isDown: boolean;
  /** Terms up to this one acknowledge nothing more here. */
  readonly stoppedTerm: number;
  /** Smoothed time that a statement takes, in milliseconds. */
  readonly serviceMs: number;
  /** When the newest of the statements that were answered had been sent. */
  readonly answeredSentAt: Instant;
  /** Instant of the earliest pool timer that is set, or null. */
  readonly wakeAt: Instant | null;
  readonly lastProbeAt: Instant | null;
}

/** A question to another owner whether its replica has a position. */
interface AckAsk {
  readonly endpoint: EndpointId;
  readonly request: RequestId;
}

/** Pools of the endpoints that this host owns. */
export interface PoolsSlice {
  readonly byEndpoint: ImmutableMap<EndpointId, Pool>;
  readonly asks: ImmutableMap<number, AckAsk>;
  /** Never reused, so that late answers match nothing else. */
  readonly nextConn: ConnId;
  readonly nextStep: number;
  readonly nextAsk: number;
  readonly nextOrder: number;
  /** Name of the queue policy; see queue_policy.ts. */
  readonly policy: QueuePolicyName;
  readonly isDraining: boolean;
}

/** Returns an empty pool. */
export function createPool(endpoint: EndpointId, group: GroupId): Pool {
  return {
    endpoint,
    group,
    closeAt: null,
    conns: ImmutableMap(),
    jobs: NO_JOBS,
    txs: ImmutableMap(),
    waits: [],
    memory: {
      credits: ImmutableMap(),
      finishes: ImmutableMap(),
      clocks: ImmutableMap(),
    },
    backoffUntil: 0,
    backoffMs: 0,
    isDown: false,
    stoppedTerm: 0,
    serviceMs: INITIAL_SERVICE_MS,
    answeredSentAt: -Infinity,
    wakeAt: null,
    lastProbeAt: null,
  };
}

/** Returns the slices of a host that owns nothing yet. */
export function createOwnerSlices(policy: QueuePolicyName = 'ranked'): {
  readonly pools: PoolsSlice;
} {
  return {
    pools: {
      byEndpoint: ImmutableMap(),
      asks: ImmutableMap(),
      nextConn: 1,
      nextStep: 1,
      nextAsk: 1,
      nextOrder: 1,
      policy,
      isDraining: false,
    },
  };
}
