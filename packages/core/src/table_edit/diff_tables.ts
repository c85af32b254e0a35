/** Differences between two versions of a table, as text. */

import type {GroupId} from '../model/ids.js';
import type {TableRow} from '../model/table.js';
import {formatCell, TABLE_COLUMNS} from './columns.js';

/** The part of a table that operators edit. */
export interface TableContent {
  readonly group: GroupId;
  readonly rows: readonly TableRow[];
}

/**
 * Lists the changes from one version to the next, one line per row. The order
 * of rows has no meaning and is not compared.
 */
export function diffTables(
  before: TableContent | null,
  after: TableContent,
): readonly string[] {
  const rowsBefore = before?.rows ?? [];
  const removed = rowsBefore.filter(
    row => findByKind(after.rows, row.kind) === undefined,
  );
  return [
    ...diffGroup(before, after),
    ...after.rows.flatMap(row =>
      diffRow(findByKind(rowsBefore, row.kind), row),
    ),
    ...removed.map(row => `row ${row.kind}: removed`),
  ];
}

function findByKind(
  rows: readonly TableRow[],
  kind: string,
): TableRow | undefined {
  return rows.find(row => row.kind === kind);
}

function diffGroup(
  before: TableContent | null,
  after: TableContent,
): readonly string[] {
  if (before === null) {
    return [`table: created on group ${after.group}`];
  }
  if (before.group === after.group) {
    return [];
  }
  return [`table: group ${before.group} -> ${after.group}`];
}

function diffRow(
  before: TableRow | undefined,
  after: TableRow,
): readonly string[] {
  if (before === undefined) {
    return [`row ${after.kind}: added (${describeRow(after)})`];
  }
  const changes = TABLE_COLUMNS.filter(
    column => before[column.field] !== after[column.field],
  ).map(({column, field}) => {
    const from = formatCell(before[field]);
    const to = formatCell(after[field]);
    return `${column} ${from} -> ${to}`;
  });
  if (changes.length === 0) {
    return [];
  }
  return [`row ${after.kind}: ${changes.join(', ')}`];
}

function describeRow(row: TableRow): string {
  return TABLE_COLUMNS.filter(({field}) => field !== 'kind')
    .map(({column, field}) => `${column} ${formatCell(row[field])}`)
    .join(', ');
}
