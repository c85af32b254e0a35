/** The schema of table objects as the platform stores them. */

import tsResults from 'ts-results';
import type {Result} from 'ts-results';
import {z} from 'zod';
import type {TableObject} from '../model/table.js';
import {readRows} from './check_rows.js';
import type {TableFault} from './check_rows.js';
import {TABLE_COLUMNS} from './columns.js';

const {Err} = tsResults;

const editSchema = z.object({
  version: z.number().int().min(1),
  editId: z.string(),
  editedBy: z.string(),
  note: z.string(),
  at: z.number(),
  changes: z.array(z.string()),
});

const tableSchema = z.object({
  service: z.string().min(1),
  group: z.string().min(1),
  rows: z.array(z.record(z.string(), z.unknown())),
  editId: z.string(),
  editedBy: z.string(),
  note: z.string(),
  history: z.array(editSchema),
});

/**
 * Parses a table object of the platform. Its rows pass the same checks as those
 * of a file, with lines counted from 1.
 */
export function parseTableObject(
  value: unknown,
): Result<TableObject, readonly TableFault[]> {
  const shape = tableSchema.safeParse(value);
  if (!shape.success) {
    return Err(shape.error.issues.map(describeIssue));
  }
  const rows = readRows(
    shape.data.rows.map((row, index) => ({
      line: index + 1,
      cells: Object.fromEntries(
        TABLE_COLUMNS.map(column => [column.column, row[column.field]]),
      ),
    })),
  );
  return rows.map(checked => ({...shape.data, rows: checked}));
}

function describeIssue(issue: z.core.$ZodIssue): TableFault {
  return {
    line: null,
    kind: null,
    column: issue.path.join('.') || null,
    found: issue.message,
    allowed: 'a table object as docs/PROTOCOLS.md describes it',
  };
}
