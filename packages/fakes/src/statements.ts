/** The statements that a simulated endpoint understands, and their answers. */

import type {
  Column,
  ConnAnswer,
  OkResult,
  RowsResult,
  SqlError,
} from '@lacewingroad/core';

/** The answer to a statement that changed nothing. */
export const OK_RESULT: OkResult = {
  type: 'ok',
  affectedRows: 0,
  insertId: '0',
  info: '',
};

function toError(error: SqlError): ConnAnswer {
  return {type: 'error', error};
}

/** Error answers of an endpoint. */
export const ENDPOINT_ERRORS = {
  readOnly: toError({
    errno: 1290,
    sqlState: 'HY000',
    message: 'The endpoint runs read-only; write to the primary.',
  }),
  duplicate: toError({
    errno: 1062,
    sqlState: '23000',
    message: 'Duplicate entry for key PRIMARY',
  }),
  lockWait: toError({
    errno: 1205,
    sqlState: 'HY000',
    message: 'Lock wait timeout exceeded; try restarting transaction',
  }),
} as const;

const TYPE_VAR_STRING = 0xfd;
const CHARSET_UTF8MB4 = 45;

function createColumn(name: string): Column {
  return {
    catalog: 'def',
    schema: '',
    table: '',
    orgTable: '',
    name,
    orgName: name,
    characterSet: CHARSET_UTF8MB4,
    columnLength: 255,
    columnType: TYPE_VAR_STRING,
    flags: 0,
    decimals: 0,
  };
}

/** Returns a result set of text cells. */
export function createRows(
  names: readonly string[],
  rows: readonly (readonly string[])[],
): RowsResult {
  return {
    type: 'rows',
    columns: names.map(createColumn),
    rows: rows.map(cells => cells.map(cell => Buffer.from(cell))),
  };
}

/** Returns the cells of a result set as text. */
export function readRows(result: RowsResult): readonly (readonly string[])[] {
  return result.rows.map(cells =>
    cells.map(cell => (cell === null ? '' : Buffer.from(cell).toString())),
  );
}

function listStringLiterals(sql: string): readonly string[] {
  const bareSql = sql.replace(/^\s*\/\*[\s\S]*?\*\/\s*/, '');
  return [...bareSql.matchAll(/'((?:[^'\\]|\\.)*)'/g)].map(match => match[1]!);
}

/** Returns the id of the row that a write inserts: its first string literal. */
export function parseRowId(sql: string): string {
  return listStringLiterals(sql)[0] ?? '';
}

/** Returns the request key of a statement: its first string literal. */
export function parseRequestKey(sql: string): string {
  return listStringLiterals(sql)[0] ?? '';
}

/** Parses the update that saves the result of a keyed statement. */
export function parseSavedResult(sql: string): {
  readonly key: string;
  readonly saved: OkResult;
} {
  const [insertId, key] = listStringLiterals(sql);
  const affectedRows = Number(/affected_rows = (\d+)/.exec(sql)?.[1] ?? 0);
  return {
    key: key ?? '',
    saved: {...OK_RESULT, affectedRows, insertId: insertId ?? '0'},
  };
}

/** Parses `SELECT 'TAG', ids FROM payments WHERE prefix = 'P'`. */
export function parseSelect(sql: string): {
  readonly tag: string;
  readonly prefix: string;
} {
  const [tag, prefix] = listStringLiterals(sql);
  return {tag: tag ?? '', prefix: prefix ?? ''};
}

/** Returns an INSERT of one row. */
export function formatInsert(id: string, hints = ''): string {
  return `${hints}INSERT INTO payments (id) VALUES ('${id}')`;
}

/** Returns a SELECT of all rows of a prefix. */
export function formatSelect(tag: string, prefix: string, hints = ''): string {
  return `${hints}SELECT '${tag}', ids FROM payments WHERE prefix = '${prefix}'`;
}
