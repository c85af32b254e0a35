/** Outcomes of requests: results, errors and reasons. */

import type {LogPosition} from './position.js';

/** A column definition as the MySQL protocol carries it. */
export interface Column {
  readonly catalog: string;
  readonly schema: string;
  readonly table: string;
  readonly orgTable: string;
  readonly name: string;
  readonly orgName: string;
  readonly characterSet: number;
  readonly columnLength: number;
  readonly columnType: number;
  readonly flags: number;
  readonly decimals: number;
}

/** One value in the text form of the protocol; null is SQL NULL. */
export type CellValue = Uint8Array | null;

/** The answer of an endpoint to a statement that it ran. */
export type Result = RowsResult | OkResult;

/** A result set. */
export interface RowsResult {
  readonly type: 'rows';
  readonly columns: readonly Column[];
  readonly rows: readonly (readonly CellValue[])[];
}

/** A statement that returns no rows. */
export interface OkResult {
  readonly type: 'ok';
  readonly affectedRows: number;
  /** As a decimal string, because the value may exceed 2^53. */
  readonly insertId: string;
  readonly info: string;
}

/** An error packet of the MySQL protocol. */
export interface SqlError {
  readonly errno: number;
  readonly sqlState: string;
  readonly message: string;
}

/** Why a request did not run; each reason proves that nothing took effect. */
export type NotRunReason =
  | 'not_owner'
  | 'not_primary'
  | 'no_evidence'
  | 'fenced'
  | 'not_reached'
  | 'endpoint_down'
  | 'endpoint_leaving'
  | 'queue_full'
  | 'too_late'
  | 'draining'
  | 'tx_gone'
  | 'unreachable'
  | 'no_primary';

/** Why it is unknown whether a request ran. */
export type UnknownReason =
  | 'connection_lost'
  | 'timed_out'
  | 'evidence_expired'
  | 'replica_not_reached'
  | 'owner_lost'
  | 'replaced_primary'
  | 'session_not_kept';

/** The outcome of a request. */
export type Outcome =
  | DoneOutcome
  | {readonly type: 'failed'; readonly error: SqlError}
  | {readonly type: 'not_run'; readonly reason: NotRunReason}
  | {readonly type: 'unknown'; readonly reason: UnknownReason};

/** The request ran and its effects are acknowledged. */
export interface DoneOutcome {
  readonly type: 'done';
  readonly result: Result;
  /** Position of the write, or null for a read or where none was given. */
  readonly position: LogPosition | null;
  /** Whether a transaction is open after the statement. */
  readonly inTx: boolean;
}
