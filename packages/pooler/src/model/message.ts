/** Messages between hosts. Deadlines are sent as the milliseconds left. */

import type {GroupId, HostId, LogPosition} from '@lacewingroad/core';
import type {Consistency, PackedTable, WorkspaceId} from './directory.js';
import type {PromotionLineage, StoredOwnership} from './ownership.js';
import type {RunResult} from './result.js';
import type {DataStatement, SessionState} from './statement.js';

/** A statement that a pool runs. */
export type PoolStatement = DataStatement | {readonly type: 'commit'};

/** A transaction that a statement belongs to. */
export interface TxRef {
  /** Unique across all hosts and their restarts. */
  readonly id: string;
  readonly readOnly: boolean;
  /** Whether the pool opens the transaction before it runs this statement. */
  readonly isFirst: boolean;
}

/** Asks the owner of a group's pool to run a statement. */
export interface RunMessage {
  readonly type: 'run';
  /** Unique across all hosts and their restarts. */
  readonly request: string;
  /** The caller's id of the statement; it is passed to the endpoint. */
  readonly callerRequest: string;
  readonly group: GroupId;
  /** The database that the caller connected to. */
  readonly database: string;
  /** The workspace that the statement runs for; null if callers need no keys. */
  readonly workspace: WorkspaceId | null;
  /** Digest of the caller's key, or null. */
  readonly keyDigest: string | null;
  /** Version of the table by which the entry host accepted the key. */
  readonly tableVersion: number;
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

/**
 * Asks a deputy to promise that it consents to no takeover of a group for a
 * limited time.
 */
export interface LeaseAskMessage {
  readonly type: 'lease_ask';
  readonly group: GroupId;
  readonly generation: number;
  /** The latest revision of its record that the owner knows. */
  readonly revision: number;
  /** Number of this request; the answer repeats it. */
  readonly ask: number;
  /**
   * What the next owner has to know of promotions. Missing in the messages of
   * hosts of earlier versions.
   */
  readonly promotions?: PromotionLineage | undefined;
}

/** Answers a LeaseAskMessage; the owner counts a grant from its request. */
export interface LeaseGrantMessage {
  readonly type: 'lease_grant';
  readonly group: GroupId;
  readonly generation: number;
  /** Number of the request that this answers. */
  readonly ask: number;
  readonly isGranted: boolean;
  /**
   * Whether the sender reports the promotions of the request to a next owner.
   * Missing in the messages of hosts of earlier versions.
   */
  readonly isNoted?: boolean | undefined;
}

/** Asks a deputy to consent to a takeover of the record at this revision. */
export interface ConsentAskMessage {
  readonly type: 'consent_ask';
  readonly group: GroupId;
  readonly revision: number;
}

/** Consents: the sender promises the owner nothing more at this revision. */
export interface ConsentMessage {
  readonly type: 'consent';
  readonly group: GroupId;
  readonly revision: number;
  /**
   * What the owner has told the sender of promotions; null if it has told it
   * nothing since the sender started. Missing from hosts of earlier versions.
   */
  readonly promotions?: PromotionLineage | null | undefined;
}

/** Asks a deputy what the owner of a generation has told it of promotions. */
export interface PromotionAskMessage {
  readonly type: 'promotion_ask';
  readonly group: GroupId;
  readonly generation: number;
}

/** Answers a PromotionAskMessage, without a promise. */
export interface PromotionReportMessage {
  readonly type: 'promotion_report';
  readonly group: GroupId;
  readonly generation: number;
  /** Null if the owner has told the sender nothing since it started. */
  readonly promotions: PromotionLineage | null;
}

/** Passes on a record that was read from or written to the store. */
export interface RecordMessage {
  readonly type: 'record';
  readonly stored: StoredOwnership;
}

/** Asks a relay for its version; `ask` is repeated in the answer. */
export interface TableAskMessage {
  readonly type: 'table_ask';
  readonly ask: number;
  /** Version of the sender's table, or null. */
  readonly version: number | null;
  /**
   * Whether the table is to be sent. Missing in the messages of hosts of earlier
   * versions, which cannot read it.
   */
  readonly isFetch?: boolean | undefined;
}

/** Answers a TableAskMessage, or announces a table that has just changed. */
export interface TableNewsMessage {
  readonly type: 'table_news';
  /** Number of the request; null if the table was not asked for. */
  readonly ask: number | null;
  /** Time since the relay's table was last current, in ms; null if unknown. */
  readonly ageMs: number | null;
  /** Version of the relay's table; missing from hosts of earlier versions. */
  readonly version?: number | null | undefined;
  /** The relay's table if it was fetched, compressed; see `table_codec.ts`. */
  readonly table: Uint8Array | PackedTable | null;
}

/** What an owner lacks of a workspace's limit, in tokens. */
export interface AllowanceNeed {
  readonly workspace: WorkspaceId;
  /** Tokens to admit operations. */
  readonly admission: number;
  /** Tokens to send admitted operations to endpoints. */
  readonly start: number;
}

/** Asks the owner of home groups of workspaces to lend tokens. */
export interface AllowanceAskMessage {
  readonly type: 'allowance_ask';
  /** Number of this request; the answer repeats it. */
  readonly ask: number;
  readonly needs: readonly AllowanceNeed[];
}

/** Tokens that were lent; the lender has deducted them. */
export interface AllowanceLoan extends AllowanceNeed {
  /** What the lender could have lent in addition, for admission. */
  readonly left: number;
}

/** Answers an AllowanceAskMessage; loans are valid from the ask on. */
export interface AllowanceGrantMessage {
  readonly type: 'allowance_grant';
  readonly ask: number;
  readonly loans: readonly AllowanceLoan[];
}

/** Tells that an owner has no valid lease, or has one again. */
export interface OwnerStateMessage {
  readonly type: 'owner_state';
  readonly group: GroupId;
  readonly generation: number;
  readonly isActive: boolean;
}

/** Keeps two hosts connected, so that each detects the loss of the other. */
export interface HelloMessage {
  readonly type: 'hello';
  /** Whether the sender is stopping and takes over no groups. */
  readonly isDraining: boolean;
}

/** Any message between hosts. */
export type PoolMessage =
  | RunMessage
  | RanMessage
  | CloseTxMessage
  | LeaseAskMessage
  | LeaseGrantMessage
  | ConsentAskMessage
  | ConsentMessage
  | PromotionAskMessage
  | PromotionReportMessage
  | RecordMessage
  | OwnerStateMessage
  | TableAskMessage
  | TableNewsMessage
  | AllowanceAskMessage
  | AllowanceGrantMessage
  | HelloMessage;

/** Handlers of messages, by their type. */
export type MessageHandlers = {
  readonly [T in PoolMessage['type']]: (
    host: HostId,
    msg: Extract<PoolMessage, {type: T}>,
  ) => void;
};
