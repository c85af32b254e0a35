/**
 * Tables with row locks. A record has a committed row and at most one pending
 * change of an open transaction; readers outside of that transaction see the
 * committed row.
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

interface UndoItem {
  readonly table: Table;
  readonly record: RowRecord;
  readonly previous: RowRecord['pending'];
}

/** An open transaction. */
export interface Transaction {
  readonly id: number;
  /** What a rollback restores, oldest first. */
  readonly undo: UndoItem[];
  /** Request keys named by its statements. */
  readonly keys: Set<string>;
  /** Called once the transaction has ended. */
  readonly onEnd: Set<() => void>;
  state: 'open' | 'ended' | 'killed';
}

/** A table in memory. */
export interface Table {
  readonly def: TableDef;
  readonly records: Map<number, RowRecord>;
  /** For each unique key, the records that have a value. */
  readonly indexes: readonly Map<string, Set<number>>[];
  readonly positions: ReadonlyMap<string, number>;
  /** Next value of AUTO_INCREMENT. */
  nextAuto: number;
  nextId: number;
}

/** Thrown when a statement must wait for another transaction's end. */
export class BlockedError extends Error {
  constructor(readonly by: Transaction) {
    super('invariant: a blocked statement is retried, never answered');
  }
}

/** Creates an empty table. */
export function createTable(def: TableDef): Table {
  return {
    def,
    records: new Map(),
    indexes: def.keys.map(() => new Map<string, Set<number>>()),
    positions: new Map(def.columns.map((column, at) => [column.name, at])),
    nextAuto: 1,
    nextId: 1,
  };
}

/** Returns the position of a column. Throws 1054 when there is none. */
export function columnPosition(table: Table, name: string): number {
  const at = table.positions.get(name);
  if (at === undefined) {
    throw LEDGER_ERRORS.noColumn(name);
  }
  return at;
}

/** Returns the row that a transaction (or none) sees. */
export function visibleRow(
  record: RowRecord,
  tx: Transaction | null,
): Row | null {
  if (record.pending !== null && record.pending.tx === tx) {
    return record.pending.value;
  }
  return record.committed;
}

function keyOf(table: Table, row: Row, key: UniqueKey): string | null {
  return indexKey(key.columns.map(name => row[columnPosition(table, name)]!));
}

/** Brings the indexes in line with a record that held the rows `former`. */
function reindex(
  table: Table,
  record: RowRecord,
  former: readonly (Row | null)[],
): void {
  const current = [record.committed, record.pending?.value ?? null];
  table.def.keys.forEach((key, at) => {
    const index = table.indexes[at]!;
    const keysOf = (rows: readonly (Row | null)[]): ReadonlySet<string> =>
      new Set(
        rows
          .filter(row => row !== null)
          .map(row => keyOf(table, row, key))
          .filter(text => text !== null),
      );
    const wanted = keysOf(current);
    [...keysOf(former)]
      .filter(text => !wanted.has(text))
      .forEach(text => {
        const ids = index.get(text);
        ids?.delete(record.id);
        if (ids?.size === 0) {
          index.delete(text);
        }
      });
    wanted.forEach(text => {
      const ids = index.get(text) ?? new Set<number>();
      ids.add(record.id);
      index.set(text, ids);
    });
  });
}

/** Sets a record's committed or pending row and keeps the table consistent. */
function changeRecord(
  table: Table,
  record: RowRecord,
  change: () => void,
): void {
  const former = [record.committed, record.pending?.value ?? null];
  change();
  if (record.committed === null && record.pending === null) {
    table.records.delete(record.id);
  } else if (!table.records.has(record.id)) {
    table.records.set(record.id, record);
  }
  reindex(table, record, former);
}

/** Throws 1062 or BlockedError when another record has a key of `row`. */
function checkUnique(
  table: Table,
  row: Row,
  self: RowRecord | null,
  tx: Transaction,
): void {
  table.def.keys.forEach((key, at) => {
    const text = keyOf(table, row, key);
    const ids = text === null ? undefined : table.indexes[at]!.get(text);
    [...(ids ?? [])]
      .filter(id => id !== self?.id)
      .map(id => table.records.get(id)!)
      .forEach(other => checkHolder(table, key, text!, other, tx));
  });
}

function checkHolder(
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
  if (row !== null && keyOf(table, row, key) === text) {
    const shown = key.columns
      .map(name => String(row[columnPosition(table, name)]))
      .join('-');
    throw LEDGER_ERRORS.duplicate(shown, `${table.def.name}.${key.name}`);
  }
}

/** Locks a record for a transaction. Throws BlockedError while another has it. */
export function lockRecord(record: RowRecord, tx: Transaction): void {
  if (record.pending !== null && record.pending.tx !== tx) {
    throw new BlockedError(record.pending.tx);
  }
}

/** Writes a row within a transaction; `value` null deletes it. */
export function writeRow(
  table: Table,
  record: RowRecord | null,
  value: Row | null,
  tx: Transaction,
): void {
  const target = record ?? {id: table.nextId, committed: null, pending: null};
  lockRecord(target, tx);
  if (value !== null) {
    checkUnique(table, value, record, tx);
  }
  table.nextId = Math.max(table.nextId, target.id + 1);
  tx.undo.push({table, record: target, previous: target.pending});
  changeRecord(table, target, () => {
    target.pending = {tx, value};
  });
}

/** Takes back what a transaction wrote after its first `keep` changes. */
export function undoWrites(tx: Transaction, keep: number): void {
  while (tx.undo.length > keep) {
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

/** Makes a transaction's rows the committed ones and returns the changes. */
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

/** Sets the committed row of a record and returns the row before it. */
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
  table.nextId = Math.max(table.nextId, id + 1);
  return before;
}
