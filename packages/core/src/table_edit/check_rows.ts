/** Checks a table's rows; reports every fault, not only the first. */

import tsResults from 'ts-results';
import type {Result} from 'ts-results';
import {RANKS} from '../model/table.js';
import type {Rank, TableRow} from '../model/table.js';
import {TABLE_COLUMNS} from './columns.js';
import type {TableColumn} from './columns.js';

const {Err, Ok} = tsResults;

/** Maximum rows of a table; keeps an object far below 1 MiB. */
export const TABLE_ROW_LIMIT = 1_000;
const MAX_FLOOR_SUM_PERCENT = 100;

/** A row as read from a file: its line and its cells by column name. */
export interface RawRow {
  /** Line in the file, counted from 1. */
  readonly line: number;
  /** Cells by column name; values that are not text are used as they are. */
  readonly cells: Readonly<Record<string, unknown>>;
}

/** One fault of a table. */
export interface TableFault {
  /** Line in the file, or null for a fault of the table as a whole. */
  readonly line: number | null;
  readonly kind: string | null;
  readonly column: string | null;
  readonly found: string;
  readonly allowed: string;
}

interface CheckedRow {
  readonly line: number;
  /** Values by field; a field with a fault is missing. */
  readonly values: Partial<TableRow>;
}

/** Formats a fault as one line for operators. */
export function formatFault(fault: TableFault): string {
  const parts = [
    fault.line === null ? 'table' : `line ${fault.line}`,
    fault.kind === null ? '' : `row ${fault.kind}`,
    fault.column === null ? '' : `column ${fault.column}`,
  ].filter(part => part !== '');
  return `${parts.join(', ')}: found ${fault.found}; allowed: ${fault.allowed}`;
}

/** Parses the cells of a file into rows, or returns all faults. */
export function readRows(
  rawRows: readonly RawRow[],
): Result<readonly TableRow[], readonly TableFault[]> {
  const results = rawRows.map(readRow);
  const checked = results.map(result => result.row);
  const faults = [
    ...results.flatMap(result => result.faults),
    ...checked.flatMap(checkTimes),
    ...checkRowCount(checked),
    ...checkUniqueKinds(checked),
    ...RANKS.flatMap(rank => checkFloors(rank, checked)),
  ];
  if (faults.length > 0) {
    return Err([...faults].sort(compareFaults));
  }
  return Ok(checked.map(row => row.values as TableRow));
}

function readRow(raw: RawRow): {
  readonly row: CheckedRow;
  readonly faults: readonly TableFault[];
} {
  const values: Record<string, unknown> = {};
  const faults: TableFault[] = [];
  for (const column of TABLE_COLUMNS) {
    const cell = raw.cells[column.column];
    const value = typeof cell === 'string' ? column.parse(cell.trim()) : cell;
    const parsed = column.schema.safeParse(value);
    if (parsed.success) {
      values[column.field] = parsed.data;
    } else {
      faults.push(cellFault(raw, column, cell));
    }
  }
  return {row: {line: raw.line, values: values as Partial<TableRow>}, faults};
}

function cellFault(
  raw: RawRow,
  column: TableColumn,
  cell: unknown,
): TableFault {
  const kind = raw.cells['kind'];
  return {
    line: raw.line,
    kind: typeof kind === 'string' && kind !== '' ? kind : null,
    column: column.column,
    found: describeCell(cell),
    allowed: column.allowed,
  };
}

function describeCell(cell: unknown): string {
  if (cell === undefined || cell === '') {
    return 'nothing';
  }
  return JSON.stringify(cell);
}

function checkTimes(row: CheckedRow): readonly TableFault[] {
  const {targetMs, timeoutMs} = row.values;
  if (targetMs === undefined || timeoutMs === undefined) {
    return [];
  }
  if (targetMs <= timeoutMs) {
    return [];
  }
  return [
    {
      line: row.line,
      kind: row.values.kind ?? null,
      column: 'target_ms',
      found: `target_ms ${targetMs} above timeout_ms ${timeoutMs}`,
      allowed: 'target_ms up to timeout_ms',
    },
  ];
}

function checkRowCount(rows: readonly CheckedRow[]): readonly TableFault[] {
  if (rows.length > 0 && rows.length <= TABLE_ROW_LIMIT) {
    return [];
  }
  return [
    {
      line: null,
      kind: null,
      column: null,
      found: `${rows.length} rows`,
      allowed: `1 to ${TABLE_ROW_LIMIT} rows`,
    },
  ];
}

function checkUniqueKinds(rows: readonly CheckedRow[]): readonly TableFault[] {
  const firstLines = new Map<string, number>();
  const faults: TableFault[] = [];
  for (const row of rows) {
    const kind = row.values.kind;
    if (kind === undefined) {
      continue;
    }
    const firstLine = firstLines.get(kind);
    if (firstLine === undefined) {
      firstLines.set(kind, row.line);
      continue;
    }
    faults.push({
      line: row.line,
      kind,
      column: 'kind',
      found: `${JSON.stringify(kind)} again, first on line ${firstLine}`,
      allowed: 'each kind once',
    });
  }
  return faults;
}

function checkFloors(
  rank: Rank,
  rows: readonly CheckedRow[],
): readonly TableFault[] {
  const rowsOfRank = rows.filter(row => row.values.rank === rank);
  const sum = rowsOfRank.reduce(
    (total, row) => total + (row.values.floorPercent ?? 0),
    0,
  );
  if (sum <= MAX_FLOOR_SUM_PERCENT) {
    return [];
  }
  return [
    {
      line: null,
      kind: null,
      column: 'floor_percent',
      found: `${sum} in all rows of rank ${rank}`,
      allowed: `at most ${MAX_FLOOR_SUM_PERCENT} in all rows of one rank`,
    },
  ];
}

function compareFaults(a: TableFault, b: TableFault): number {
  const lineA = a.line ?? Number.MAX_SAFE_INTEGER;
  const lineB = b.line ?? Number.MAX_SAFE_INTEGER;
  return lineA - lineB;
}
