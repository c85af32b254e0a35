/** Messages between hosts. Spans of time travel as milliseconds that remain. */

import type {GroupId, LogPosition} from '@lacewingroad/core';
import type {Consistency} from './directory.js';
import type {StoredOwnership} from './ownership.js';
import type {RunResult} from './result.js';
import type {DataStatement, SessionState} from './statement.js';

/** What a pool is asked to run. */
export type PoolStatement = DataStatement | {readonly type: 'commit'};

/** A transaction that a statement belongs to. */
export interface TxRef {
  /** Unique over all hosts and starts. */
  readonly id: string;
  readonly readOnly: boolean;
  /** The pool opens the transaction before it runs this statement. */
  readonly isFirst: boolean;
}

/** Asks the owner of a group's pool to run a statement. */
export interface RunMessage {
  readonly type: 'run';
  /** Unique over all hosts and starts. */
  readonly request: string;
  /** The caller's id of the statement; the endpoint sees it. */
  readonly callerRequest: string;
  readonly group: GroupId;
  readonly tx: TxRef | null;
  readonly statement: PoolStatement;
  readonly session: SessionState;
  readonly consistency: Consistency;
  readonly maxStalenessMs: number;
  /** The session's newest acknowledged commit, or null. */
  readonly position: LogPosition | null;
  readonly priority: number;
  readonly targetLeftMs: number;
  readonly timeoutLeftMs: number;
}

/** Answers a RunMessage. */
export interface RanMessage {
  readonly type: 'ran';
  readonly request: string;
  readonly result: RunResult;
}

/** Rolls a transaction back. */
export interface CloseTxMessage {
  readonly type: 'close_tx';
  readonly group: GroupId;
  readonly tx: string;
}

/** Asks a deputy not to take a group over for a while. */
export interface LeaseAskMessage {
  readonly type: 'lease_ask';
  readonly group: GroupId;
  readonly generation: number;
  /** The revision at which the owner knows its record to stand. */
  readonly revision: number;
  readonly ask: number;
}

/** Answers a LeaseAskMessage; the grant counts from the asking. */
export interface LeaseGrantMessage {
  readonly type: 'lease_grant';
  readonly group: GroupId;
  readonly generation: number;
  readonly ask: number;
  readonly isGranted: boolean;
}

/** Asks a deputy to consent to a takeover of a record as it stands. */
export interface ConsentAskMessage {
  readonly type: 'consent_ask';
  readonly group: GroupId;
  readonly revision: number;
}

/** Consents: the sender promises nothing to the owner at this revision. */
export interface ConsentMessage {
  readonly type: 'consent';
  readonly group: GroupId;
  readonly revision: number;
}

/** Tells how a record stands in the store: the sender wrote or read it there. */
export interface RecordMessage {
  readonly type: 'record';
  readonly stored: StoredOwnership;
}

/** Keeps a connection between two hosts, so that each sees the other's loss. */
export interface HelloMessage {
  readonly type: 'hello';
  /** The sender stops, and takes nothing over. */
  readonly isDraining: boolean;
}

/** Every message between hosts. */
export type PoolMessage =
  | RunMessage
  | RanMessage
  | CloseTxMessage
  | LeaseAskMessage
  | LeaseGrantMessage
  | ConsentAskMessage
  | ConsentMessage
  | RecordMessage
  | HelloMessage;
