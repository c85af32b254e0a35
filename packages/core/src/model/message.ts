/**
 * Messages between entry hosts. Times are sent as durations in milliseconds,
 * because the clocks of two hosts are not comparable; the receiver converts
 * them to deadlines of its own clock. `ask` is the id of a message that expects
 * an answer; the answer repeats it.
 */

import type {
  EndpointId,
  GroupId,
  HostId,
  KindId,
  RequestId,
  ServiceId,
  SessionId,
  TxId,
} from './ids.js';
import type {Outcome} from './outcome.js';
import type {LogPosition} from './position.js';
import type {Statement} from './statement.js';
import type {AckMode, Rank} from './table.js';

/** How a pool owner runs a statement. */
export type RunMode =
  /** Runs it outside of a transaction; writes commit at once. */
  | 'autocommit'
  /** Opens a transaction on a connection pinned to `tx`. */
  | 'begin'
  /** Runs it inside the transaction `tx`. */
  | 'in_tx'
  | 'commit'
  | 'rollback';

/** State of an endpoint as its pool owner reports it with each answer. */
export interface EndpointReport {
  readonly endpoint: EndpointId;
  readonly role: 'primary' | 'replica';
  readonly position: LogPosition;
  /** Age of the endpoint's data when the report was sent, in milliseconds. */
  readonly dataAgeMs: number;
  /** Time since the endpoint reported this state, in milliseconds. */
  readonly ageMs: number;
}

/** Asks a pool owner to run a statement. */
export interface RunMessage {
  readonly type: 'run';
  readonly request: RequestId;
  /** Number of this attempt to send the request, from 1. */
  readonly attempt: number;
  readonly group: GroupId;
  readonly endpoint: EndpointId;
  /**
   * The term in which a write must run. For a read, the term whose primary
   * must be proven current, or null where no proof is needed.
   */
  readonly term: number | null;
  readonly mode: RunMode;
  readonly tx: TxId | null;
  readonly statement: Statement;
  readonly isWrite: boolean;
  readonly service: ServiceId;
  readonly kind: KindId;
  readonly rank: Rank;
  /** Value of an answer within the target time; see TableRow. */
  readonly worth: number;
  readonly connectionLimit: number;
  readonly floorPercent: number;
  /** Identifies the caller for fair queueing within a rank. */
  readonly callerKey: string;
  /** Remaining time to the target and to the timeout, in milliseconds. */
  readonly targetLeftMs: number;
  readonly timeoutLeftMs: number;
  /** The position that the endpoint must have reached, or null. */
  readonly minPosition: LogPosition | null;
  /** Maximum age of the data for a read, or null for any age. */
  readonly maxStalenessMs: number | null;
  readonly ack: AckMode;
  /** The caller's request key, or null; the database runs a key only once. */
  readonly key: string | null;
}

/** Answers the RunMessage of the same request and attempt. */
export interface RanMessage {
  readonly type: 'ran';
  readonly request: RequestId;
  readonly attempt: number;
  readonly outcome: Outcome;
  readonly report: EndpointReport | null;
}

/** Cancels a request whose answer is no longer needed. */
export interface CancelMessage {
  readonly type: 'cancel';
  readonly request: RequestId;
}

/** Asks a pool owner to roll back and release a transaction. */
export interface CloseTxMessage {
  readonly type: 'close_tx';
  readonly tx: TxId;
}

/** Asks a relay for changed platform objects; also serves as a heartbeat. */
export interface SyncMessage {
  readonly type: 'sync';
  readonly ask: number;
  /** The sender's current revision. */
  readonly since: number;
  readonly isDraining: boolean;
}

/** One changed object of the platform; a null value means deleted. */
export interface ObjectChange {
  readonly key: string;
  readonly version: number;
  readonly revision: number;
  readonly value: unknown;
}

/** Answers a SyncMessage. */
export interface SyncedMessage {
  readonly type: 'synced';
  readonly ask: number;
  /** The revision after the changes. */
  readonly revision: number;
  /** Time since the relay's last successful platform read began, in ms. */
  readonly ageMs: number | null;
  readonly changes: readonly ObjectChange[];
  /** Hosts of the data centre from which the relay receives no messages. */
  readonly silentHosts: readonly HostId[];
  readonly drainingHosts: readonly HostId[];
}

/** Pushes changed objects ahead of the next answer of a relay. */
export interface ChangedMessage {
  readonly type: 'changed';
  readonly changes: readonly ObjectChange[];
  /** Whether a relay forwards it to the hosts that sync from it. */
  readonly forward: boolean;
}

/** Asks the write owner to register the sender as owner of an endpoint. */
export interface RegisterMessage {
  readonly type: 'register';
  readonly group: GroupId;
  readonly endpoint: EndpointId;
}

/** Asks an owner of a group's endpoint whether it reaches the primary. */
export interface SuspectMessage {
  readonly type: 'suspect';
  readonly ask: number;
  readonly group: GroupId;
  readonly term: number;
}

/** Answers a SuspectMessage. */
export interface SuspectedMessage {
  readonly type: 'suspected';
  readonly ask: number;
  readonly group: GroupId;
  readonly term: number;
  readonly reachesPrimary: boolean;
  /** The endpoint that the answering host owns, or null. */
  readonly report: EndpointReport | null;
  /** Whether the endpoint was probed after the SuspectMessage arrived. */
  readonly isReportNew: boolean;
}

/** Asks an owner that may promote not to do so for a limited time. */
export interface PromiseMessage {
  readonly type: 'promise';
  readonly ask: number;
  readonly group: GroupId;
  readonly term: number;
  /**
   * Set if the sender is an earlier write owner of the term that is finishing
   * its transactions and asks the write owner that replaced it.
   */
  readonly isHandedOver?: true;
}

/** Answers a PromiseMessage; the promise starts when that message was sent. */
export interface PromisedMessage {
  readonly type: 'promised';
  readonly ask: number;
  readonly group: GroupId;
  readonly term: number;
  readonly granted: boolean;
}

/** Stores a session's positions at a holder. */
export interface PutSessionMessage {
  readonly type: 'put_session';
  readonly ask: number;
  readonly session: SessionId;
  readonly positions: Readonly<Record<GroupId, LogPosition>>;
}

/** Confirms a PutSessionMessage. */
export interface SessionStoredMessage {
  readonly type: 'session_stored';
  readonly ask: number;
}

/** Asks a holder for a session's positions. */
export interface GetSessionMessage {
  readonly type: 'get_session';
  readonly ask: number;
  readonly session: SessionId;
}

/** Answers a GetSessionMessage; null when the holder does not know it. */
export interface SessionMessage {
  readonly type: 'session';
  readonly ask: number;
  readonly positions: Readonly<Record<GroupId, LogPosition>> | null;
  /** Time since the latest of them was stored, in milliseconds. */
  readonly ageMs: number;
}

/** Asks a replica's owner to answer once the replica has a position. */
export interface AwaitPositionMessage {
  readonly type: 'await_position';
  readonly ask: number;
  readonly endpoint: EndpointId;
  readonly position: LogPosition;
  readonly timeoutLeftMs: number;
}

/** Answers an AwaitPositionMessage. */
export interface PositionMessage {
  readonly type: 'position';
  readonly ask: number;
  readonly reached: boolean;
}

/** Asks the write owner for a planned change of primary. */
export interface FailoverMessage {
  readonly type: 'failover';
  readonly ask: number;
  readonly group: GroupId;
  readonly to: EndpointId | null;
}

/** Answers a FailoverMessage. */
export interface FailoverResultMessage {
  readonly type: 'failover_result';
  readonly ask: number;
  readonly ok: boolean;
  readonly detail: string;
}

/** Every message between entry hosts. */
export type PeerMessage =
  | RunMessage
  | RanMessage
  | CancelMessage
  | CloseTxMessage
  | SyncMessage
  | SyncedMessage
  | ChangedMessage
  | RegisterMessage
  | SuspectMessage
  | SuspectedMessage
  | PromiseMessage
  | PromisedMessage
  | PutSessionMessage
  | SessionStoredMessage
  | GetSessionMessage
  | SessionMessage
  | AwaitPositionMessage
  | PositionMessage
  | FailoverMessage
  | FailoverResultMessage;
