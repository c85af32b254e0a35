/** Runs parsed statements against a ledger and waits for row locks. */

import type {LogPosition} from '@lacewingroad/core';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {Ledger} from './ledger.js';
import {createRowScope, runSelect, scanTable} from './select.js';
import type {RowSet, StatementContext} from './select.js';
import type {
  CreateStatement,
  DeleteStatement,
  InsertStatement,
  SelectStatement,
  UpdateStatement,
} from './sql_ast.js';
import {evaluate} from './sql_expression.js';
import {
  BlockedError,
  columnPosition,
  undoWrites,
  writeRow,
} from './table_store.js';
import type {Row, Table, Transaction} from './table_store.js';
import {LEDGER_ERRORS, LedgerError, coerce} from './values.js';

/** Reply to a statement without a result set. */
export interface OkReply {
  readonly type: 'ok';
  readonly affectedRows: number;
  readonly insertId: number;
  readonly info: string;
}

/** Reply to a statement. */
export type Reply = OkReply | RowSet;

/** A statement that reads or writes tables. */
export type DataStatement =
  | SelectStatement
  | CreateStatement
  | InsertStatement
  | UpdateStatement
  | DeleteStatement;

/** OK reply of a statement that changed no rows. */
export const EMPTY_OK: OkReply = {
  type: 'ok',
  affectedRows: 0,
  insertId: 0,
  info: '',
};

const DUPLICATE_ERRNO = 1062;

/**
 * Formats the info text of the OK packet for a commit; empty without a
 * position.
 */
export function formatPositionInfo(position: LogPosition | null): string {
  return position === null
    ? ''
    : `ledger-position=${position.term}:${position.index}`;
}

function buildRow(
  table: Table,
  statement: InsertStatement,
  rowIndex: number,
  ctx: StatementContext,
): {readonly row: Row; readonly autoId: number} {
  const {columns} = table.def;
  const names = statement.columns ?? columns.map(column => column.name);
  const exprs = statement.rows[rowIndex]!;
  if (exprs.length !== names.length) {
    throw new LedgerError(
      1136,
      '21S01',
      "Column count doesn't match value count",
    );
  }
  const scope = createRowScope(ctx, new Map(), []);
  const row = columns.map(column => {
    const expr = exprs[names.indexOf(column.name)];
    return expr === undefined
      ? null
      : coerce(evaluate(expr, scope), column.kind);
  });
  names.forEach(name => columnPosition(table, name));
  return fillAutoIncrement(table, row);
}

function fillAutoIncrement(
  table: Table,
  row: Row,
): {readonly row: Row; readonly autoId: number} {
  const columnIndex = table.def.columns.findIndex(
    column => column.isAutoIncrement,
  );
  if (columnIndex < 0) {
    return {row, autoId: 0};
  }
  const givenId = Number(row[columnIndex] ?? 0);
  const id = givenId === 0 ? table.nextAutoIncrement : givenId;
  table.nextAutoIncrement = Math.max(table.nextAutoIncrement, id + 1);
  return {row: row.with(columnIndex, id), autoId: givenId === 0 ? id : 0};
}

function runInsert(
  statement: InsertStatement,
  ledger: Ledger,
  ctx: StatementContext,
  tx: Transaction,
): OkReply {
  const table = ledger.findTable(statement.table);
  let affectedRows = 0;
  let insertId = 0;
  statement.rows.forEach((_exprs, rowIndex) => {
    const {row, autoId} = buildRow(table, statement, rowIndex, ctx);
    try {
      writeRow(table, null, row, tx);
    } catch (err) {
      const isDuplicate =
        err instanceof LedgerError && err.errno === DUPLICATE_ERRNO;
      if (statement.isIgnore && isDuplicate) {
        return;
      }
      throw err;
    }
    affectedRows += 1;
    insertId ||= autoId;
  });
  return {type: 'ok', affectedRows, insertId, info: ''};
}

function runUpdate(
  statement: UpdateStatement,
  ledger: Ledger,
  ctx: StatementContext,
  tx: Transaction,
): OkReply {
  const table = ledger.findTable(statement.table);
  const matched = scanTable(table, statement.where, ctx, tx);
  matched.forEach(({record, row}) => {
    const scope = createRowScope(ctx, table.positions, row);
    const next = statement.set.reduce<Row>((built, {column, expr}) => {
      const columnIndex = columnPosition(table, column);
      const {kind} = table.def.columns[columnIndex]!;
      return built.with(columnIndex, coerce(evaluate(expr, scope), kind));
    }, row);
    writeRow(table, record, next, tx);
  });
  return {...EMPTY_OK, affectedRows: matched.length};
}

function runDelete(
  statement: DeleteStatement,
  ledger: Ledger,
  ctx: StatementContext,
  tx: Transaction,
): OkReply {
  const table = ledger.findTable(statement.table);
  const matched = scanTable(table, statement.where, ctx, tx);
  matched.forEach(({record}) => writeRow(table, record, null, tx));
  return {...EMPTY_OK, affectedRows: matched.length};
}

function runCreate(statement: CreateStatement, ledger: Ledger): OkReply {
  const {table: name, columns, keys, isIfNotExists} = statement;
  const def = {
    name,
    columns: columns.map(column => ({...column, table: name})),
    keys,
  };
  const position = ledger.createTable(def, isIfNotExists);
  return {...EMPTY_OK, info: formatPositionInfo(position)};
}

type StatementRunners = {
  readonly [T in DataStatement['type']]: (
    statement: Extract<DataStatement, {type: T}>,
    ledger: Ledger,
    ctx: StatementContext,
    tx: Transaction,
  ) => Reply;
};

const STATEMENT_RUNNERS: StatementRunners = {
  select: (statement, ledger, ctx, tx) =>
    runSelect(statement, ledger.findTable, ctx, tx),
  create: runCreate,
  insert: runInsert,
  update: runUpdate,
  delete: runDelete,
};

/** Runs a statement once and undoes its own writes if it fails. */
function runOnce(
  statement: DataStatement,
  ledger: Ledger,
  ctx: StatementContext,
  tx: Transaction,
): Reply {
  const takesLocks = statement.type !== 'select' || statement.isForUpdate;
  if (takesLocks && ledger.role() === 'replica') {
    throw LEDGER_ERRORS.readOnly();
  }
  if (tx.state !== 'open') {
    throw LEDGER_ERRORS.readOnly();
  }
  const savepoint = tx.undo.length;
  const run = STATEMENT_RUNNERS[statement.type] as (
    statement: DataStatement,
    ledger: Ledger,
    ctx: StatementContext,
    tx: Transaction,
  ) => Reply;
  try {
    return run(statement, ledger, ctx, tx);
  } catch (err) {
    undoWrites(tx, savepoint);
    throw err;
  }
}

/** Waits until a transaction has ended, at most until `until`. */
async function waitForTransactionEnd(
  tx: Transaction,
  until: Instant,
  runtime: Runtime,
): Promise<void> {
  let resolveEnded: () => void = () => undefined;
  const ended = new Promise<void>(resolve => {
    resolveEnded = resolve;
  });
  tx.onEnd.add(resolveEnded);
  const cancel = runtime.at(until, resolveEnded);
  await ended;
  cancel();
  tx.onEnd.delete(resolveEnded);
}

/** Runs a statement in a transaction; waits for row locks until `lockUntil`. */
export async function runInTransaction(
  statement: DataStatement,
  ledger: Ledger,
  ctx: StatementContext,
  tx: Transaction,
  lockUntil: Instant,
  runtime: Runtime,
): Promise<Reply> {
  for (;;) {
    try {
      return runOnce(statement, ledger, ctx, tx);
    } catch (err) {
      if (!(err instanceof BlockedError)) {
        throw err;
      }
      if (runtime.now() >= lockUntil) {
        throw LEDGER_ERRORS.lockWait();
      }
      await waitForTransactionEnd(err.by, lockUntil, runtime);
    }
  }
}
