/** Runs SELECT statements. */

import type {Expr, SelectItem, SelectStatement} from './sql_ast.js';
import {evaluate, isTrue} from './sql_expression.js';
import type {EvalScope} from './sql_expression.js';
import {
  columnPosition,
  lockRecord,
  visibleRow,
  writeRow,
} from './table_store.js';
import type {Row, RowRecord, Table, Transaction} from './table_store.js';
import {
  LEDGER_ERRORS,
  coerce,
  compareValues,
  indexKey,
  kindOf,
  toNumeric,
} from './values.js';
import type {ColumnDef, ColumnKind, SqlValue} from './values.js';

/** A result set. */
export interface RowSet {
  readonly type: 'rows';
  readonly columns: readonly ColumnDef[];
  readonly rows: readonly Row[];
}

/** Parameters, variables and functions that a statement can use. */
export interface StatementContext {
  readonly params: readonly SqlValue[];
  readonly variable: (name: string) => SqlValue;
  readonly call: (name: string, args: readonly SqlValue[]) => SqlValue;
}

/**
 * A record that matches the condition, with the row version visible to the
 * statement.
 */
export interface MatchedRow {
  /** Null for rows of a generated sequence table. */
  readonly record: RowRecord | null;
  readonly row: Row;
}

const SEQUENCE_TABLE = /^seq_(\d+)$/;

const SEQUENCE_COLUMNS: readonly ColumnDef[] = [
  {name: 'seq', kind: 'bigint', table: 'seq', isAutoIncrement: false},
  {name: 'label', kind: 'string', table: 'seq', isAutoIncrement: false},
];

/** Creates the scope in which expressions over one row are evaluated. */
export function createRowScope(
  ctx: StatementContext,
  positions: ReadonlyMap<string, number>,
  row: Row,
): EvalScope {
  return {
    ...ctx,
    column: name => {
      const position = positions.get(name);
      if (position === undefined) {
        throw LEDGER_ERRORS.noColumn(name);
      }
      return row[position] ?? null;
    },
  };
}

const NO_COLUMNS: ReadonlyMap<string, number> = new Map();

/** Collects the `column = constant` conditions that are joined by AND. */
function collectEqualityValues(
  where: Expr | null,
  ctx: StatementContext,
  found = new Map<string, SqlValue>(),
): Map<string, SqlValue> {
  if (where?.type !== 'binary') {
    return found;
  }
  if (where.op === 'AND') {
    collectEqualityValues(where.left, ctx, found);
    return collectEqualityValues(where.right, ctx, found);
  }
  const isConstant = ['value', 'param'].includes(where.right.type);
  if (where.op === '=' && where.left.type === 'column' && isConstant) {
    const scope = createRowScope(ctx, NO_COLUMNS, []);
    found.set(where.left.name, evaluate(where.right, scope));
  }
  return found;
}

/**
 * Returns the records found through a unique index, or all records if none
 * applies.
 */
function findCandidates(
  table: Table,
  where: Expr | null,
  ctx: StatementContext,
): Iterable<RowRecord> {
  const equalityValues = collectEqualityValues(where, ctx);
  const keyIndex = table.def.keys.findIndex(key =>
    key.columns.every(name => equalityValues.has(name)),
  );
  const key = table.def.keys[keyIndex];
  if (key === undefined) {
    return table.records.values();
  }
  const values = key.columns.map(name => {
    const column = table.def.columns[columnPosition(table, name)]!;
    return coerce(equalityValues.get(name)!, column.kind);
  });
  const text = indexKey(values);
  const ids = text === null ? undefined : table.indexes[keyIndex]!.get(text);
  return [...(ids ?? [])].map(id => table.records.get(id)!);
}

/** Returns the visible rows of a table that satisfy a condition. */
export function scanTable(
  table: Table,
  where: Expr | null,
  ctx: StatementContext,
  tx: Transaction | null,
): readonly MatchedRow[] {
  const matched: MatchedRow[] = [];
  for (const record of findCandidates(table, where, ctx)) {
    const row = visibleRow(record, tx);
    if (row !== null && matchesCondition(where, ctx, table.positions, row)) {
      matched.push({record, row});
    }
  }
  return matched;
}

function matchesCondition(
  where: Expr | null,
  ctx: StatementContext,
  positions: ReadonlyMap<string, number>,
  row: Row,
): boolean {
  return (
    where === null ||
    isTrue(evaluate(where, createRowScope(ctx, positions, row)))
  );
}

interface RowSource {
  readonly columns: readonly ColumnDef[];
  readonly positions: ReadonlyMap<string, number>;
  readonly rows: readonly MatchedRow[];
}

function positionsOf(
  columns: readonly ColumnDef[],
): ReadonlyMap<string, number> {
  return new Map(columns.map((column, position) => [column.name, position]));
}

function readSource(
  statement: SelectStatement,
  findTable: (name: string) => Table,
  ctx: StatementContext,
  tx: Transaction | null,
): RowSource {
  const {table: name, where} = statement;
  if (name === null) {
    return {
      columns: [],
      positions: NO_COLUMNS,
      rows: [{record: null, row: []}],
    };
  }
  const sequence = SEQUENCE_TABLE.exec(name);
  if (sequence === null) {
    const table = findTable(name);
    const rows = scanTable(table, where, ctx, tx);
    return {columns: table.def.columns, positions: table.positions, rows};
  }
  const positions = positionsOf(SEQUENCE_COLUMNS);
  const rows = Array.from({length: Number(sequence[1])}, (_, rowIndex) => ({
    record: null,
    row: [rowIndex + 1, `row ${rowIndex + 1}`],
  })).filter(({row}) => matchesCondition(where, ctx, positions, row));
  return {columns: SEQUENCE_COLUMNS, positions, rows};
}

type Aggregate = (values: readonly SqlValue[]) => SqlValue;

function createExtremum(sign: number): Aggregate {
  return values =>
    values.reduce<SqlValue>((best, value) => {
      const order = compareValues(value, best);
      return order === null ? (best ?? value) : order * sign > 0 ? value : best;
    }, null);
}

const AGGREGATES: Readonly<Record<string, Aggregate>> = {
  COUNT: values => values.filter(value => value !== null).length,
  SUM: values => {
    const present = values.filter(value => value !== null);
    return present.length === 0
      ? null
      : present.reduce<number>(
          (sum, value) => sum + Number(toNumeric(value)),
          0,
        );
  },
  MIN: createExtremum(-1),
  MAX: createExtremum(1),
};

function aggregateOf(expr: Expr): Aggregate | null {
  return expr.type === 'call' ? (AGGREGATES[expr.name] ?? null) : null;
}

function evaluateAggregate(
  expr: Expr,
  rows: readonly Row[],
  scopeOf: (row: Row) => EvalScope,
): SqlValue {
  const aggregate = aggregateOf(expr);
  if (aggregate === null || expr.type !== 'call') {
    return evaluate(expr, scopeOf(rows[0] ?? []));
  }
  const [arg] = expr.args === '*' ? [] : expr.args;
  return aggregate(
    rows.map(row => (arg === undefined ? 1 : evaluate(arg, scopeOf(row)))),
  );
}

function expandItems(
  items: SelectStatement['items'],
  columns: readonly ColumnDef[],
): readonly SelectItem[] {
  return items.flatMap(item =>
    item === null
      ? columns.map(({name}) => ({
          expr: {type: 'column' as const, name},
          name,
        }))
      : [item],
  );
}

/**
 * Describes the columns of a result; computed columns get the kind of their
 * first non-null value.
 */
function describeColumns(
  items: readonly SelectItem[],
  columns: readonly ColumnDef[],
  rows: readonly Row[],
): readonly ColumnDef[] {
  return items.map(({expr, name}, itemIndex) => {
    const column =
      expr.type === 'column'
        ? columns.find(candidate => candidate.name === expr.name)
        : undefined;
    const sample =
      rows.find(row => row[itemIndex] !== null)?.[itemIndex] ?? null;
    const kind: ColumnKind = column?.kind ?? kindOf(sample);
    return {name, kind, table: column?.table ?? '', isAutoIncrement: false};
  });
}

function sortRows(
  rows: readonly MatchedRow[],
  orderBy: SelectStatement['orderBy'],
  scopeOf: (row: Row) => EvalScope,
): readonly MatchedRow[] {
  if (orderBy.length === 0) {
    return rows;
  }
  const compareWithNulls = (a: SqlValue, b: SqlValue): number =>
    compareValues(a, b) ?? Number(a !== null) - Number(b !== null);
  return [...rows].sort((a, b) => {
    const first = orderBy
      .map(({expr, isDescending}) => {
        const x = evaluate(expr, scopeOf(a.row));
        const y = evaluate(expr, scopeOf(b.row));
        return compareWithNulls(x, y) * (isDescending ? -1 : 1);
      })
      .find(result => result !== 0);
    return first ?? 0;
  });
}

/** Runs a SELECT in transaction `tx`, or outside of one if null. */
export function runSelect(
  statement: SelectStatement,
  findTable: (name: string) => Table,
  ctx: StatementContext,
  tx: Transaction | null,
): RowSet {
  const source = readSource(statement, findTable, ctx, tx);
  const scopeOf = (row: Row): EvalScope =>
    createRowScope(ctx, source.positions, row);
  const evaluateNumber = (expr: Expr | null, fallback: number): number =>
    expr === null ? fallback : Number(evaluate(expr, scopeOf([])));
  const offset = evaluateNumber(statement.offset, 0);
  const limit = evaluateNumber(statement.limit, Number.MAX_SAFE_INTEGER);
  const sorted = sortRows(source.rows, statement.orderBy, scopeOf);
  const items = expandItems(statement.items, source.columns);
  const isAggregate = items.some(({expr}) => aggregateOf(expr) !== null);
  const selected = isAggregate ? sorted : sorted.slice(offset, offset + limit);
  if (statement.isForUpdate && tx !== null && statement.table !== null) {
    lockRows(findTable(statement.table), selected, tx);
  }
  const selectedRows = selected.map(({row}) => row);
  const rows = isAggregate
    ? [items.map(({expr}) => evaluateAggregate(expr, selectedRows, scopeOf))]
    : selectedRows.map(row =>
        items.map(({expr}) => evaluate(expr, scopeOf(row))),
      );
  return {
    type: 'rows',
    columns: describeColumns(items, source.columns, rows),
    rows,
  };
}

function lockRows(
  table: Table,
  rows: readonly MatchedRow[],
  tx: Transaction,
): void {
  rows.forEach(({record, row}) => {
    lockRecord(record!, tx);
    if (record!.pending === null) {
      writeRow(table, record, row, tx);
    }
  });
}
