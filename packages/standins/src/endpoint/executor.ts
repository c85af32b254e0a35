/** Runs parsed statements against a ledger, with lock waits. */

import type {LogPosition} from '@lacewingroad/core';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {Ledger} from './ledger.js';
import {rowScope, runSelect, scanTable} from './select.js';
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

/** A statement without rows was run. */
export interface OkReply {
  readonly type: 'ok';
  readonly affectedRows: number;
  readonly insertId: number;
  readonly info: string;
}

/** The answer to a statement. */
export type Reply = OkReply | RowSet;

/** A statement that reads or writes tables. */
export type DataStatement =
  | SelectStatement
  | CreateStatement
  | InsertStatement
  | UpdateStatement
  | DeleteStatement;

/** An answer without effect. */
export const PLAIN_OK: OkReply = {
  type: 'ok',
  affectedRows: 0,
  insertId: 0,
  info: '',
};

const DUPLICATE_ERRNO = 1062;

/** Formats the OK info text of a commit. */
export function positionInfo(position: LogPosition | null): string {
  return position === null
    ? ''
    : `ledger-position=${position.term}:${position.index}`;
}

function buildRow(
  table: Table,
  statement: InsertStatement,
  at: number,
  ctx: StatementContext,
): {readonly row: Row; readonly autoId: number} {
  const {columns} = table.def;
  const names = statement.columns ?? columns.map(column => column.name);
  const exprs = statement.rows[at]!;
  if (exprs.length !== names.length) {
    throw new LedgerError(
      1136,
      '21S01',
      "Column count doesn't match value count",
    );
  }
  const scope = rowScope(ctx, new Map(), []);
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
  const at = table.def.columns.findIndex(column => column.isAutoIncrement);
  if (at < 0) {
    return {row, autoId: 0};
  }
  const given = Number(row[at] ?? 0);
  const id = given === 0 ? table.nextAuto : given;
  table.nextAuto = Math.max(table.nextAuto, id + 1);
  return {row: row.with(at, id), autoId: given === 0 ? id : 0};
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
  statement.rows.forEach((_exprs, at) => {
    const {row, autoId} = buildRow(table, statement, at, ctx);
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
  const seen = scanTable(table, statement.where, ctx, tx);
  seen.forEach(({record, row}) => {
    const scope = rowScope(ctx, table.positions, row);
    const next = statement.set.reduce<Row>((built, {column, expr}) => {
      const at = columnPosition(table, column);
      const {kind} = table.def.columns[at]!;
      return built.with(at, coerce(evaluate(expr, scope), kind));
    }, row);
    writeRow(table, record, next, tx);
  });
  return {...PLAIN_OK, affectedRows: seen.length};
}

function runDelete(
  statement: DeleteStatement,
  ledger: Ledger,
  ctx: StatementContext,
  tx: Transaction,
): OkReply {
  const table = ledger.findTable(statement.table);
  const seen = scanTable(table, statement.where, ctx, tx);
  seen.forEach(({record}) => writeRow(table, record, null, tx));
  return {...PLAIN_OK, affectedRows: seen.length};
}

function runCreate(statement: CreateStatement, ledger: Ledger): OkReply {
  const {table: name, columns, keys, isIfNotExists} = statement;
  const def = {
    name,
    columns: columns.map(column => ({...column, table: name})),
    keys,
  };
  const position = ledger.createTable(def, isIfNotExists);
  return {...PLAIN_OK, info: positionInfo(position)};
}

type Runners = {
  readonly [T in DataStatement['type']]: (
    statement: Extract<DataStatement, {type: T}>,
    ledger: Ledger,
    ctx: StatementContext,
    tx: Transaction,
  ) => Reply;
};

const RUNNERS: Runners = {
  select: (statement, ledger, ctx, tx) =>
    runSelect(statement, ledger.findTable, ctx, tx),
  create: runCreate,
  insert: runInsert,
  update: runUpdate,
  delete: runDelete,
};

/** Runs once; takes back the statement's own writes when it fails. */
function attempt(
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
  const mark = tx.undo.length;
  const run = RUNNERS[statement.type] as (
    statement: DataStatement,
    ledger: Ledger,
    ctx: StatementContext,
    tx: Transaction,
  ) => Reply;
  try {
    return run(statement, ledger, ctx, tx);
  } catch (err) {
    undoWrites(tx, mark);
    throw err;
  }
}

/** Waits for a transaction's end or until `until`. */
async function waitForEnd(
  tx: Transaction,
  until: Instant,
  runtime: Runtime,
): Promise<void> {
  let wake: () => void = () => undefined;
  const ended = new Promise<void>(resolve => {
    wake = resolve;
  });
  tx.onEnd.add(wake);
  const cancel = runtime.at(until, wake);
  await ended;
  cancel();
  tx.onEnd.delete(wake);
}

/** Runs a statement in a transaction; waits for locks up to `lockUntil`. */
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
      return attempt(statement, ledger, ctx, tx);
    } catch (err) {
      if (!(err instanceof BlockedError)) {
        throw err;
      }
      if (runtime.now() >= lockUntil) {
        throw LEDGER_ERRORS.lockWait();
      }
      await waitForEnd(err.by, lockUntil, runtime);
    }
  }
}
