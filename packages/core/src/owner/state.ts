/** State of the connection pools that this host owns. */

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

/** Names of the steps, each one statement, that a job may send. */
export type StepName =
  /** Checks a connection that is idle, suspect or unclean; see Conn. */
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
  readonly openDeadline: Instant;
  readonly idleSince: Instant;
  /** The job that uses it, or null. */
  readonly request: RequestId | null;
  /** The transaction that it is pinned to, or null. */
  readonly tx: TxId | null;
  /** Number of the step in flight, or null. */
  readonly step: number | null;
  readonly sentAt: Instant | null;
  /** Whether the step in flight is overdue; see overdue.ts. */
  readonly isOverdue: boolean;
  /** Another connection to the endpoint gave no answer: check before use. */
  readonly isSuspect: boolean;
  /** The last answer was an error: send ROLLBACK before use. */
  readonly isUnclean: boolean;
}

/** A request at the host that owns the endpoint's pool. */
export interface Job {
  readonly msg: RunMessage;
  /** Keys of its request kind and of its flow; see job_set.ts. */
  readonly kindKey: string;
  readonly flowKey: string;
  readonly host: HostId;
  readonly generation: number;
  readonly order: number;
  readonly receivedAt: Instant;
  readonly targetAt: Instant;
  readonly deadline: Instant;
  readonly phase: 'queued' | 'running' | 'acking';
  /**
   * Until when a read waits for the endpoint's data to reach its position or
   * freshness; null if it need not wait or no longer waits.
   */
  readonly dataDeadline: Instant | null;
  readonly conn: ConnId | null;
  readonly step: StepName | null;
  readonly startedAt: Instant | null;
  /** The outcome to report once the current step has ended, or null. */
  readonly pending: Outcome | null;
  /** The result of the caller's statement while its key is stored, or null. */
  readonly saved: OkResult | null;
  /** Was requeued after a failed check; goes to the head of the queue. */
  readonly isRequeued: boolean;
}

/** An open transaction. */
export interface Tx {
  readonly id: TxId;
  readonly host: HostId;
  readonly generation: number;
  readonly conn: ConnId;
  readonly term: number | null;
  /** Key of the kind whose connection limit it counts against. */
  readonly kindKey: string;
  readonly hasWritten: boolean;
  readonly idleAt: Instant;
}

/** A query of another host that waits for the endpoint to reach a position. */
export interface PositionWait {
  readonly ask: number;
  readonly host: HostId;
  readonly position: LogPosition;
  readonly deadline: Instant;
}

/** State that a queue policy keeps between choices. */
export interface QueuePolicyState {
  /** Credit towards the slots that each rank's floor guarantees. */
  readonly credits: ImmutableMap<Rank, number>;
  /** Virtual time at which the last served job of each flow finishes. */
  readonly finishTags: ImmutableMap<string, number>;
  /** Virtual time of each group of flows. */
  readonly virtualTimes: ImmutableMap<string, number>;
}

/** The pool of one endpoint. */
export interface Pool {
  readonly endpoint: EndpointId;
  readonly group: GroupId;
  /**
   * Null while this host owns the endpoint; afterwards the instant at which
   * transactions that are still open are closed.
   */
  readonly closeAt: Instant | null;
  readonly conns: ImmutableMap<ConnId, Conn>;
  readonly jobs: JobSet;
  readonly txs: ImmutableMap<TxId, Tx>;
  readonly waits: readonly PositionWait[];
  readonly policyState: QueuePolicyState;
  /** No connection is opened before this instant. */
  readonly backoffUntil: Instant;
  readonly backoffMs: number;
  /** The last connection attempt failed, not because the endpoint was full. */
  readonly isDown: boolean;
  /** Writes of this term and of earlier ones are not acknowledged. */
  readonly stoppedTerm: number;
  /** Exponential moving average of the service time, in milliseconds. */
  readonly serviceMs: number;
  /** Latest send time among the statements that were answered. */
  readonly answeredSentAt: Instant;
  /** Instant of the pool timer that is set, or null. */
  readonly wakeAt: Instant | null;
  readonly lastProbeAt: Instant | null;
}

/** A query to another pool owner whether its replica has reached a position. */
interface PositionQuery {
  readonly endpoint: EndpointId;
  readonly request: RequestId;
}

/** Pools of the endpoints that this host owns, and their counters. */
export interface PoolsSlice {
  readonly byEndpoint: ImmutableMap<EndpointId, Pool>;
  readonly positionQueries: ImmutableMap<number, PositionQuery>;
  /** Numbers are never reused, so late answers cannot match another request. */
  readonly nextConn: ConnId;
  readonly nextStep: number;
  readonly nextPositionQuery: number;
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
    policyState: {
      credits: ImmutableMap(),
      finishTags: ImmutableMap(),
      virtualTimes: ImmutableMap(),
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

/** Returns the initial slices of a host that owns no endpoint. */
export function createOwnerSlices(policy: QueuePolicyName = 'ranked'): {
  readonly pools: PoolsSlice;
} {
  return {
    pools: {
      byEndpoint: ImmutableMap(),
      positionQueries: ImmutableMap(),
      nextConn: 1,
      nextStep: 1,
      nextPositionQuery: 1,
      nextOrder: 1,
      policy,
      isDraining: false,
    },
  };
}
