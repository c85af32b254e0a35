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
  /** Whether the entry hosts keep the session's positions for the caller. */
  readonly isNamedSession: boolean;
  readonly positions: Positions;
  /** When the positions last changed as this host knows; written before. */
  readonly positionsAt: Instant;
  readonly proof: SessionProof;
  /**
   * Whether nobody knows what became of the session's last write. Its reads go
   * to the primary until a later write is acknowledged.
   */
  readonly hasUnknownWrite: boolean;
  readonly kind: KindId;
  readonly autocommit: boolean;
  readonly tx: CallerTx | null;
  /** As LAST_INSERT_ID() gives it, a decimal string. */
  readonly lastInsertId: string;
  /** Statements that wait for the one before them. */
  readonly waiting: readonly WaitingStatement[];
  /** The statement that is being served, or null. */
  readonly serving: number | null;
  /** The statement that waits for the session's positions, or null. */
  readonly held: WaitingStatement | null;
  /** The request that serves it, or null. */
  readonly request: RequestId | null;
}

/** A caller's open transaction. */
export interface CallerTx {
  readonly id: TxId;
  readonly group: GroupId;
  readonly endpoint: EndpointId;
  readonly owner: HostId;
  readonly term: number;
  /** Set when the transaction was lost; only its end is accepted. */
  readonly isBroken: boolean;
  readonly kind: KindId;
}

/** A statement that waits for its turn on its connection. */
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
  readonly thenRun: Statement | null;
  readonly receivedAt: Instant;
  readonly targetAt: Instant;
  readonly deadline: Instant;
  /** Until when its owner may answer that it was cancelled, or null. */
  readonly cancelAnswerBy: Instant | null;
  readonly attempt: number;
  /** Where the current attempt was sent; null while it waits. */
  readonly sentTo: SentTo | null;
  /** Waits since the group last changed; they grow longer. */
  readonly waits: number;
  /** When a waiting request is sent again, or null. */
  readonly retryAt: Instant | null;
  /** Endpoints that handed the request back; not asked again for it. */
  readonly avoided: readonly EndpointId[];
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
}

/** Requests in progress. */
export interface RequestsSlice {
  readonly next: number;
  readonly byId: ImmutableMap<RequestId, Request>;
  /** Requests in progress by rank and endpoint, of this host alone. */
  readonly outstanding: ImmutableMap<string, number>;
  /** Hosts to which a connection stands. */
  readonly linkedHosts: ImmutableMap<HostId, true>;
  /** Retries that may still be spent. */
  readonly retryTokens: number;
  /** Name of the routing policy; see routing_policy.ts. */
  readonly routing: RoutingName;
}

/** A session whose positions this host holds for others. */
interface HeldSession {
  readonly positions: Positions;
  readonly expiresAt: Instant;
}

/** A caller's reply that waits until enough holders have the session's positions. */
export interface StoreAsk {
  readonly type: 'store';
  readonly caller: CallerId;
  /** The request that wrote, or that was told of an earlier loss. */
  readonly request: RequestId;
  readonly seq: number;
  readonly reply: Reply;
  readonly waitingFor: readonly HostId[];
  /** Holders that have the positions, and how many must have them. */
  readonly stored: number;
  readonly needed: number;
  readonly deadline: Instant;
}

/** A statement that waits until the holders told the session's positions. */
export interface FetchAsk {
  readonly type: 'fetch';
  readonly caller: CallerId;
  /** The group that is read from; null where the service is not known. */
  readonly group: GroupId | null;
  readonly waitingFor: readonly HostId[];
  readonly positions: Positions;
  /** When the latest of the positions was stored. */
  readonly positionsAt: Instant;
  /** Holders that told a position in the group, and how many must. */
  readonly told: number;
  readonly needed: number;
  readonly deadline: Instant;
}

/** A question to session holders that is not yet answered by all. */
export type SessionAsk = StoreAsk | FetchAsk;

/** Positions held for sessions. */
export interface SessionsSlice {
  readonly held: ImmutableMap<SessionId, HeldSession>;
  readonly asks: ImmutableMap<number, SessionAsk>;
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
      next: 1,
      byId: ImmutableMap(),
      outstanding: ImmutableMap(),
      linkedHosts: ImmutableMap(),
      retryTokens,
      routing,
    },
    sessions: {held: ImmutableMap(), asks: ImmutableMap()},
  };
}
