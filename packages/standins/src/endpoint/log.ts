/** Entries of the replicated log and their JSON encoding. */

import type {Row, TableDef} from './table_store.js';
import type {SqlValue} from './values.js';

/** One change in a log entry. */
export type LogOp =
  | {readonly type: 'create'; readonly def: TableDef}
  | {
      readonly type: 'row';
      readonly table: string;
      readonly id: number;
      /** Row before the change on this endpoint, which truncation restores. */
      readonly before: Row | null;
      readonly after: Row | null;
    };

/** The log entry of one committed transaction. */
export interface LogEntry {
  readonly term: number;
  /** Starts at 1 and continues across terms. */
  readonly index: number;
  readonly ops: readonly LogOp[];
  /** Request keys that the transaction contains. */
  readonly keys: readonly string[];
}

interface TaggedValue {
  readonly bytes?: string;
  readonly bigint?: string;
}

function encodeValue(value: SqlValue): unknown {
  if (Buffer.isBuffer(value)) {
    return {bytes: value.toString('base64')};
  }
  return typeof value === 'bigint' ? {bigint: value.toString()} : value;
}

function decodeValue(value: unknown): SqlValue {
  if (typeof value !== 'object' || value === null) {
    return value as SqlValue;
  }
  const tagged = value as TaggedValue;
  return tagged.bytes === undefined
    ? BigInt(tagged.bigint!)
    : Buffer.from(tagged.bytes, 'base64');
}

/** Encodes entries as JSON text, without the rows before each change. */
export function encodeEntries(entries: readonly LogEntry[]): string {
  const encodeOp = (op: LogOp): unknown =>
    op.type === 'create'
      ? op
      : {...op, before: null, after: op.after?.map(encodeValue) ?? null};
  return JSON.stringify(
    entries.map(entry => ({...entry, ops: entry.ops.map(encodeOp)})),
  );
}

/** Decodes entries; the rows before each change are null. */
export function decodeEntries(text: string): readonly LogEntry[] {
  const decodeOp = (op: LogOp): LogOp =>
    op.type === 'create'
      ? op
      : {...op, after: op.after?.map(decodeValue) ?? null};
  return (JSON.parse(text) as readonly LogEntry[]).map(entry => ({
    ...entry,
    ops: entry.ops.map(decodeOp),
  }));
}
