/** Slices of the blackboard that the entry controllers change. */

import {Map as ImmutableMap} from 'immutable';
import type {RoutingName} from './routing_policy.js';
import type {Reply} from '../engine/action.js';
import type {
  CallerId,
  EndpointId,
  GroupId,
  HostId,
  Instant,
  KindId,
  RequestId,
  ServiceId,
  SessionId,
  TxId,
} from '../model/ids.js';
import type {RunMode} from '../model/message.js';
import type {LogPosition} from '../model/position.js';
import type {Statement} from '../model/statement.js';
import type {TableRow} from '../model/table.js';

/** Positions of a session by group. */
export type Positions = ImmutableMap<GroupId, LogPosition>;

/** Whether a session's positions are known to be complete. */
type SessionProof =
  /** Known: a replica that has reached the positions may serve reads. */
  | 'complete'
  /** Not known: reads go to the primary. */
  | 'missing';

/** A connected caller. */
export interface Caller {
  readonly id: CallerId;
  readonly user: string;
  readonly service: ServiceId | null;
  readonly allowedServices: readonly ServiceId[];
  readonly session: SessionId;
  /** Whether session holders store the positions instead of a token. */
  readonly isNamedSession: boolean;
  readonly positions: Positions;
  /** When this host last learned of a new position; the write came earlier. */
  readonly positionsAt: Instant;
  readonly proof: SessionProof;
  /**
   * Whether the outcome of the session's last write is unknown. Its reads go to
   * the primary until a later write is acknowledged.
   */
  readonly hasUnknownWrite: boolean;
  readonly kind: KindId;
  readonly autocommit: boolean;
  readonly tx: CallerTx | null;
  /** Value of LAST_INSERT_ID(), a decimal string. */
  readonly lastInsertId: string;
  /** Statements queued behind the one being served. */
  readonly waiting: readonly WaitingStatement[];
  /** Number of the statement that is being served, or null. */
  readonly servingSeq: number | null;
  /**
   * The statement that waits for the session's positions or for an implicit
   * transaction to open, or null.
   */
  readonly deferredStatement: WaitingStatement | null;
  /** The request of the statement that is being served, or null. */
  readonly request: RequestId | null;
}

/** A caller's open transaction. */
export interface CallerTx {
  readonly id: TxId;
  readonly group: GroupId;
  readonly endpoint: EndpointId;
  readonly owner: HostId;
  readonly term: number;
  /** Set when the transaction was lost; only COMMIT or ROLLBACK follow. */
  readonly isBroken: boolean;
  readonly kind: KindId;
}

/** A statement queued on its connection. */
export interface WaitingStatement {
  readonly seq: number;
  readonly statement: Statement;
  readonly receivedAt: Instant;
}

/** Connected callers. */
export interface CallersSlice {
  readonly byId: ImmutableMap<CallerId, Caller>;
}

/** Where an attempt was sent. */
interface SentTo {
  readonly host: HostId;
  readonly endpoint: EndpointId;
  /** The term of a write; null for a read. */
  readonly term: number | null;
}

/** A caller's statement on its way to a pool owner. */
export interface Request {
  readonly id: RequestId;
  readonly caller: CallerId;
  readonly seq: number;
  readonly statement: Statement;
  readonly group: GroupId;
  readonly service: ServiceId;
  readonly row: TableRow;
  readonly kind: KindId;
  readonly key: string | null;
  readonly isWrite: boolean;
  readonly mode: RunMode;
  /** A statement to run once an implicit transaction is open, or null. */
  readonly statementAfterBegin: Statement | null;
  readonly receivedAt: Instant;
  readonly targetAt: Instant;
  readonly deadline: Instant;
  /** Deadline of the answer to a cancellation, or null if not cancelled. */
  readonly cancelAnswerDeadline: Instant | null;
  readonly attempt: number;
  /** Where the current attempt was sent; null while it waits. */
  readonly sentTo: SentTo | null;
  /** Retries since the group last changed; the backoff grows with them. */
  readonly backoffCount: number;
  /** When a waiting request is sent again, or null. */
  readonly retryAt: Instant | null;
  /** Endpoints that did not run the request and are not tried again. */
  readonly excludedEndpoints: readonly EndpointId[];
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
}

/** Requests in progress. */
export interface RequestsSlice {
  readonly nextNumber: number;
  readonly byId: ImmutableMap<RequestId, Request>;
  /** Requests in progress by rank and endpoint, of this host alone. */
  readonly outstanding: ImmutableMap<string, number>;
  /** Hosts with an open connection. */
  readonly connectedHosts: ImmutableMap<HostId, true>;
  /** Remaining retry budget. */
  readonly retryTokens: number;
  /** Name of the routing policy; see routing_policy.ts. */
  readonly routing: RoutingName;
}

/** A session whose positions this host stores for other hosts. */
interface HeldSession {
  readonly positions: Positions;
  readonly expiresAt: Instant;
}

/** A reply that waits until enough holders have stored the positions. */
export interface PendingStore {
  readonly type: 'store';
  readonly caller: CallerId;
  /** The request that wrote, or that reports a lost write. */
  readonly request: RequestId;
  readonly seq: number;
  readonly reply: Reply;
  readonly waitingFor: readonly HostId[];
  /** Holders that have stored the positions, and the quorum. */
  readonly stored: number;
  readonly needed: number;
  readonly deadline: Instant;
}

/** A statement that waits for the session's positions from the holders. */
export interface PendingFetch {
  readonly type: 'fetch';
  readonly caller: CallerId;
  /** The group to read from; null where the service is unknown. */
  readonly group: GroupId | null;
  readonly waitingFor: readonly HostId[];
  readonly positions: Positions;
  /** When the latest of the positions was stored. */
  readonly positionsAt: Instant;
  /** Holders that returned a position in the group, and the quorum. */
  readonly answered: number;
  readonly needed: number;
  readonly deadline: Instant;
}

/** An operation that waits for answers of session holders. */
export type PendingSessionOp = PendingStore | PendingFetch;

/** Sessions that this host holds, and operations on other holders. */
export interface SessionsSlice {
  readonly held: ImmutableMap<SessionId, HeldSession>;
  readonly pendingOps: ImmutableMap<number, PendingSessionOp>;
}

/** The slices that the entry controllers change. */
export interface EntrySlices {
  readonly callers: CallersSlice;
  readonly requests: RequestsSlice;
  readonly sessions: SessionsSlice;
}

/** Returns the slices of a host without callers. */
export function createEntrySlices(
  retryTokens: number,
  routing: RoutingName = 'session',
): EntrySlices {
  return {
    callers: {byId: ImmutableMap()},
    requests: {
      nextNumber: 1,
      byId: ImmutableMap(),
      outstanding: ImmutableMap(),
      connectedHosts: ImmutableMap(),
      retryTokens,
      routing,
    },
    sessions: {held: ImmutableMap(), pendingOps: ImmutableMap()},
  };
}
