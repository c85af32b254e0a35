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

/** What a statement may refer to besides its table. */
export interface StatementContext {
  readonly params: readonly SqlValue[];
  readonly variable: (name: string) => SqlValue;
  readonly call: (name: string, args: readonly SqlValue[]) => SqlValue;
}

/** A record with the row that the statement sees. */
export interface SeenRow {
  /** Null for rows of a generated table. */
  readonly record: RowRecord | null;
  readonly row: Row;
}

const SEQUENCE_TABLE = /^seq_(\d+)$/;

const SEQUENCE_COLUMNS: readonly ColumnDef[] = [
  {name: 'seq', kind: 'bigint', table: 'seq', isAutoIncrement: false},
  {name: 'label', kind: 'string', table: 'seq', isAutoIncrement: false},
];

/** Builds the scope of expressions over one row of a table. */
export function rowScope(
  ctx: StatementContext,
  positions: ReadonlyMap<string, number>,
  row: Row,
): EvalScope {
  return {
    ...ctx,
    column: name => {
      const at = positions.get(name);
      if (at === undefined) {
        throw LEDGER_ERRORS.noColumn(name);
      }
      return row[at] ?? null;
    },
  };
}

const NO_COLUMNS: ReadonlyMap<string, number> = new Map();

/** Collects `column = constant` conditions that all rows must meet. */
function fixedValues(
  where: Expr | null,
  ctx: StatementContext,
  found = new Map<string, SqlValue>(),
): Map<string, SqlValue> {
  if (where?.type !== 'binary') {
    return found;
  }
  if (where.op === 'AND') {
    fixedValues(where.left, ctx, found);
    return fixedValues(where.right, ctx, found);
  }
  const isConstant = ['value', 'param'].includes(where.right.type);
  if (where.op === '=' && where.left.type === 'column' && isConstant) {
    const scope = rowScope(ctx, NO_COLUMNS, []);
    found.set(where.left.name, evaluate(where.right, scope));
  }
  return found;
}

/** Returns the records that an index leaves over, or all of the table. */
function candidates(
  table: Table,
  where: Expr | null,
  ctx: StatementContext,
): Iterable<RowRecord> {
  const fixed = fixedValues(where, ctx);
  const at = table.def.keys.findIndex(key =>
    key.columns.every(name => fixed.has(name)),
  );
  const key = table.def.keys[at];
  if (key === undefined) {
    return table.records.values();
  }
  const values = key.columns.map(name => {
    const column = table.def.columns[columnPosition(table, name)]!;
    return coerce(fixed.get(name)!, column.kind);
  });
  const text = indexKey(values);
  const ids = text === null ? undefined : table.indexes[at]!.get(text);
  return [...(ids ?? [])].map(id => table.records.get(id)!);
}

/** Finds the rows of a table that meet a condition. */
export function scanTable(
  table: Table,
  where: Expr | null,
  ctx: StatementContext,
  tx: Transaction | null,
): readonly SeenRow[] {
  const seen: SeenRow[] = [];
  for (const record of candidates(table, where, ctx)) {
    const row = visibleRow(record, tx);
    if (row !== null && meets(where, ctx, table.positions, row)) {
      seen.push({record, row});
    }
  }
  return seen;
}

function meets(
  where: Expr | null,
  ctx: StatementContext,
  positions: ReadonlyMap<string, number>,
  row: Row,
): boolean {
  return (
    where === null || isTrue(evaluate(where, rowScope(ctx, positions, row)))
  );
}

interface Source {
  readonly columns: readonly ColumnDef[];
  readonly positions: ReadonlyMap<string, number>;
  readonly rows: readonly SeenRow[];
}

function positionsOf(
  columns: readonly ColumnDef[],
): ReadonlyMap<string, number> {
  return new Map(columns.map((column, at) => [column.name, at]));
}

function readSource(
  statement: SelectStatement,
  find: (name: string) => Table,
  ctx: StatementContext,
  tx: Transaction | null,
): Source {
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
    const table = find(name);
    const rows = scanTable(table, where, ctx, tx);
    return {columns: table.def.columns, positions: table.positions, rows};
  }
  const positions = positionsOf(SEQUENCE_COLUMNS);
  const rows = Array.from({length: Number(sequence[1])}, (_, at) => ({
    record: null,
    row: [at + 1, `row ${at + 1}`],
  })).filter(({row}) => meets(where, ctx, positions, row));
  return {columns: SEQUENCE_COLUMNS, positions, rows};
}

type Aggregate = (values: readonly SqlValue[]) => SqlValue;

function extreme(sign: number): Aggregate {
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
  MIN: extreme(-1),
  MAX: extreme(1),
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

/** Describes the columns of a result; `first` is its first row, if any. */
function describeColumns(
  items: readonly SelectItem[],
  columns: readonly ColumnDef[],
  rows: readonly Row[],
): readonly ColumnDef[] {
  return items.map(({expr, name}, at) => {
    const column =
      expr.type === 'column'
        ? columns.find(candidate => candidate.name === expr.name)
        : undefined;
    const sample = rows.find(row => row[at] !== null)?.[at] ?? null;
    const kind: ColumnKind = column?.kind ?? kindOf(sample);
    return {name, kind, table: column?.table ?? '', isAutoIncrement: false};
  });
}

function sortRows(
  rows: readonly SeenRow[],
  orderBy: SelectStatement['orderBy'],
  scopeOf: (row: Row) => EvalScope,
): readonly SeenRow[] {
  if (orderBy.length === 0) {
    return rows;
  }
  const order = (a: SqlValue, b: SqlValue): number =>
    compareValues(a, b) ?? Number(a !== null) - Number(b !== null);
  return [...rows].sort((a, b) => {
    const first = orderBy
      .map(({expr, isDescending}) => {
        const x = evaluate(expr, scopeOf(a.row));
        const y = evaluate(expr, scopeOf(b.row));
        return order(x, y) * (isDescending ? -1 : 1);
      })
      .find(result => result !== 0);
    return first ?? 0;
  });
}

/** Runs a SELECT. `tx` is the transaction it runs in, or null. */
export function runSelect(
  statement: SelectStatement,
  find: (name: string) => Table,
  ctx: StatementContext,
  tx: Transaction | null,
): RowSet {
  const source = readSource(statement, find, ctx, tx);
  const scopeOf = (row: Row): EvalScope => rowScope(ctx, source.positions, row);
  const number = (expr: Expr | null, fallback: number): number =>
    expr === null ? fallback : Number(evaluate(expr, scopeOf([])));
  const offset = number(statement.offset, 0);
  const limit = number(statement.limit, Number.MAX_SAFE_INTEGER);
  const sorted = sortRows(source.rows, statement.orderBy, scopeOf);
  const items = expandItems(statement.items, source.columns);
  const isAggregate = items.some(({expr}) => aggregateOf(expr) !== null);
  const chosen = isAggregate ? sorted : sorted.slice(offset, offset + limit);
  if (statement.isForUpdate && tx !== null && statement.table !== null) {
    lockRows(find(statement.table), chosen, tx);
  }
  const seen = chosen.map(({row}) => row);
  const rows = isAggregate
    ? [items.map(({expr}) => evaluateAggregate(expr, seen, scopeOf))]
    : seen.map(row => items.map(({expr}) => evaluate(expr, scopeOf(row))));
  return {
    type: 'rows',
    columns: describeColumns(items, source.columns, rows),
    rows,
  };
}

function lockRows(
  table: Table,
  rows: readonly SeenRow[],
  tx: Transaction,
): void {
  rows.forEach(({record, row}) => {
    lockRecord(record!, tx);
    if (record!.pending === null) {
      writeRow(table, record, row, tx);
    }
  });
}
