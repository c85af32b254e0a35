/** Results that an entry host creates itself. */

import type {Column, OkResult, RowsResult} from '../model/outcome.js';

/** Type, character set and length of a text column of the MySQL protocol. */
const TYPE_VAR_STRING = 0xfd;
const CHARSET_UTF8MB4 = 45;
const TEXT_COLUMN_LENGTH = 4 * 255;

function createTextColumn(name: string): Column {
  return {
    catalog: 'def',
    schema: '',
    table: '',
    orgTable: '',
    name,
    orgName: name,
    characterSet: CHARSET_UTF8MB4,
    columnLength: TEXT_COLUMN_LENGTH,
    columnType: TYPE_VAR_STRING,
    flags: 0,
    decimals: 0,
  };
}

/** A column of a result with one row. */
export interface NamedValue {
  readonly name: string;
  readonly value: string;
}

/** Returns a result with one row of text values. */
export function createRowResult(values: readonly NamedValue[]): RowsResult {
  return {
    type: 'rows',
    columns: values.map(({name}) => createTextColumn(name)),
    rows: [values.map(({value}) => Buffer.from(value, 'utf8'))],
  };
}

/** Returns the result of a statement that changed no data. */
export function createOkResult(info = ''): OkResult {
  return {type: 'ok', affectedRows: 0, insertId: '0', info};
}
