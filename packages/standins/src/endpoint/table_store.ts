/**
 * Tables with row locks. A record has a committed row and at most one pending
 * change by an open transaction. Other transactions read the committed row.
 */

import type {UniqueKey} from './sql_ast.js';
import {LEDGER_ERRORS, indexKey} from './values.js';
import type {ColumnDef, SqlValue} from './values.js';

/** Values in the order of the table's columns. */
export type Row = readonly SqlValue[];

/** The definition of a table. */
export interface TableDef {
  readonly name: string;
  readonly columns: readonly ColumnDef[];
  readonly keys: readonly UniqueKey[];
}

/** A row with its pending change. */
export interface RowRecord {
  readonly id: number;
  committed: Row | null;
  pending: {readonly tx: Transaction; readonly value: Row | null} | null;
}

interface UndoEntry {
  readonly table: Table;
  readonly record: RowRecord;
  readonly previous: RowRecord['pending'];
}

/** An open transaction. */
export interface Transaction {
  readonly id: number;
  /** Previous states of the changed records, oldest first. */
  readonly undo: UndoEntry[];
  /** Request keys of its statements. */
  readonly keys: Set<string>;
  /** Callbacks that run when the transaction ends. */
  readonly onEnd: Set<() => void>;
  state: 'open' | 'ended' | 'killed';
}

/** An in-memory table. */
export interface Table {
  readonly def: TableDef;
  readonly records: Map<number, RowRecord>;
  /** For each unique key, the ids of the records by key value. */
  readonly indexes: readonly Map<string, Set<number>>[];
  /** Positions of the columns by name. */
  readonly positions: ReadonlyMap<string, number>;
  /** Next value of AUTO_INCREMENT. */
  nextAutoIncrement: number;
  nextRecordId: number;
}

/** Thrown when a statement must wait until the transaction `by` has ended. */
export class BlockedError extends Error {
  constructor(readonly by: Transaction) {
    super('invariant: a blocked statement must be retried by the executor');
  }
}

/** Creates an empty table. */
export function createTable(def: TableDef): Table {
  return {
    def,
    records: new Map(),
    indexes: def.keys.map(() => new Map<string, Set<number>>()),
    positions: new Map(
      def.columns.map((column, position) => [column.name, position]),
    ),
    nextAutoIncrement: 1,
    nextRecordId: 1,
  };
}

/** Returns the position of a column. Throws error 1054 if it does not exist. */
export function columnPosition(table: Table, name: string): number {
  const position = table.positions.get(name);
  if (position === undefined) {
    throw LEDGER_ERRORS.noColumn(name);
  }
  return position;
}

/**
 * Returns the row version that is visible to a transaction, or outside of any
 * if null.
 */
export function visibleRow(
  record: RowRecord,
  tx: Transaction | null,
): Row | null {
  if (record.pending !== null && record.pending.tx === tx) {
    return record.pending.value;
  }
  return record.committed;
}

function indexKeyOf(table: Table, row: Row, key: UniqueKey): string | null {
  return indexKey(key.columns.map(name => row[columnPosition(table, name)]!));
}

/** Updates the indexes for a changed record that had `previousRows` before. */
function reindex(
  table: Table,
  record: RowRecord,
  previousRows: readonly (Row | null)[],
): void {
  const currentRows = [record.committed, record.pending?.value ?? null];
  table.def.keys.forEach((key, keyIndex) => {
    const index = table.indexes[keyIndex]!;
    const keysOf = (rows: readonly (Row | null)[]): ReadonlySet<string> =>
      new Set(
        rows
          .filter(row => row !== null)
          .map(row => indexKeyOf(table, row, key))
          .filter(text => text !== null),
      );
    const currentKeys = keysOf(currentRows);
    [...keysOf(previousRows)]
      .filter(text => !currentKeys.has(text))
      .forEach(text => {
        const ids = index.get(text);
        ids?.delete(record.id);
        if (ids?.size === 0) {
          index.delete(text);
        }
      });
    currentKeys.forEach(text => {
      const ids = index.get(text) ?? new Set<number>();
      ids.add(record.id);
      index.set(text, ids);
    });
  });
}

/** Applies `change` to a record and updates the record map and the indexes. */
function changeRecord(
  table: Table,
  record: RowRecord,
  change: () => void,
): void {
  const previousRows = [record.committed, record.pending?.value ?? null];
  change();
  if (record.committed === null && record.pending === null) {
    table.records.delete(record.id);
  } else if (!table.records.has(record.id)) {
    table.records.set(record.id, record);
  }
  reindex(table, record, previousRows);
}

/**
 * Throws error 1062 or BlockedError if another record has the same unique key
 * as `row`.
 */
function checkUnique(
  table: Table,
  row: Row,
  self: RowRecord | null,
  tx: Transaction,
): void {
  table.def.keys.forEach((key, keyIndex) => {
    const text = indexKeyOf(table, row, key);
    const ids = text === null ? undefined : table.indexes[keyIndex]!.get(text);
    [...(ids ?? [])]
      .filter(id => id !== self?.id)
      .map(id => table.records.get(id)!)
      .forEach(other => checkKeyConflict(table, key, text!, other, tx));
  });
}

function checkKeyConflict(
  table: Table,
  key: UniqueKey,
  text: string,
  holder: RowRecord,
  tx: Transaction,
): void {
  if (holder.pending !== null && holder.pending.tx !== tx) {
    throw new BlockedError(holder.pending.tx);
  }
  const row = visibleRow(holder, tx);
  if (row !== null && indexKeyOf(table, row, key) === text) {
    const displayedKey = key.columns
      .map(name => String(row[columnPosition(table, name)]))
      .join('-');
    throw LEDGER_ERRORS.duplicate(
      displayedKey,
      `${table.def.name}.${key.name}`,
    );
  }
}

/** Throws BlockedError if another transaction has locked the record. */
export function lockRecord(record: RowRecord, tx: Transaction): void {
  if (record.pending !== null && record.pending.tx !== tx) {
    throw new BlockedError(record.pending.tx);
  }
}

/** Writes a row in a transaction; a null `value` deletes the row. */
export function writeRow(
  table: Table,
  record: RowRecord | null,
  value: Row | null,
  tx: Transaction,
): void {
  const target = record ?? {
    id: table.nextRecordId,
    committed: null,
    pending: null,
  };
  lockRecord(target, tx);
  if (value !== null) {
    checkUnique(table, value, record, tx);
  }
  table.nextRecordId = Math.max(table.nextRecordId, target.id + 1);
  tx.undo.push({table, record: target, previous: target.pending});
  changeRecord(table, target, () => {
    target.pending = {tx, value};
  });
}

/** Undoes the changes of a transaction after the first `keepCount`. */
export function undoWrites(tx: Transaction, keepCount: number): void {
  while (tx.undo.length > keepCount) {
    const {table, record, previous} = tx.undo.pop()!;
    changeRecord(table, record, () => {
      record.pending = previous;
    });
  }
}

/** One committed change of a record. */
export interface CommittedChange {
  readonly table: Table;
  readonly id: number;
  readonly before: Row | null;
  readonly after: Row | null;
}

/** Commits the pending rows of a transaction and returns the changes. */
export function commitWrites(tx: Transaction): readonly CommittedChange[] {
  const changes: CommittedChange[] = [];
  tx.undo.forEach(({table, record}) => {
    const pending = record.pending;
    if (pending === null) {
      return;
    }
    const before = record.committed;
    const after = pending.value;
    changeRecord(table, record, () => {
      record.committed = after;
      record.pending = null;
    });
    if (before !== null || after !== null) {
      changes.push({table, id: record.id, before, after});
    }
  });
  tx.undo.length = 0;
  return changes;
}

/** Sets the committed row of a record and returns the previous one. */
export function setCommitted(
  table: Table,
  id: number,
  row: Row | null,
): Row | null {
  const record = table.records.get(id) ?? {id, committed: null, pending: null};
  const before = record.committed;
  changeRecord(table, record, () => {
    record.committed = row;
  });
  table.nextRecordId = Math.max(table.nextRecordId, id + 1);
  return before;
}
