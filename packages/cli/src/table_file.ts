/**
 * Reads and writes the file in which operators edit a table: CSV whose first
 * line is a comment with service, group and version. The reader accepts the
 * changes that spreadsheets make when they save it: a byte order mark, CRLF,
 * quotes, semicolons or tabs as separators, empty columns.
 */

import {readRows, TABLE_COLUMNS, formatCell} from '@lacewingroad/core';
import type {
  GroupId,
  RawRow,
  ServiceId,
  TableFault,
  TableRow,
} from '@lacewingroad/core';
import Papa from 'papaparse';
import {Err, Ok} from './result.js';
import type {Result} from './result.js';

const COMMENT_PREFIX = '# lacewingroad table';
const BYTE_ORDER_MARK = '\uFEFF';
const SEPARATORS = [',', ';', '\t'] as const;
/** Matches the line with which some spreadsheets declare the separator. */
const SEPARATOR_LINE_PATTERN = /^"?sep=/i;
const BASE_PATTERN = /service=(\S+) group=(\S+) version=(\d+)/;
const COLUMN_NAMES: readonly string[] = TABLE_COLUMNS.map(
  column => column.column,
);

/** The table version that a file is based on, from its comment line. */
export interface TableFileBase {
  readonly service: ServiceId;
  readonly group: GroupId;
  readonly version: number;
}

/** The content of a table file. */
export interface TableFile {
  /** Null when the file has no comment line. */
  readonly base: TableFileBase | null;
  readonly rows: readonly TableRow[];
}

interface CsvRecord {
  /** Line number in the file, from 1. */
  readonly line: number;
  readonly cells: readonly string[];
}

/** Formats a table as the content of a table file. */
export function formatTableFile(
  base: TableFileBase,
  rows: readonly TableRow[],
): string {
  const service = encodeURIComponent(base.service);
  const group = encodeURIComponent(base.group);
  const comment = `${COMMENT_PREFIX}: service=${service} group=${group} version=${base.version}`;
  const cells = rows.map(row =>
    TABLE_COLUMNS.map(column => formatCell(row[column.field])),
  );
  const csv = Papa.unparse([[...COLUMN_NAMES], ...cells], {newline: '\n'});
  return `${comment}\n${csv}\n`;
}

/** Parses a table file; the error lists all faults of the file. */
export function readTableFile(
  text: string,
): Result<TableFile, readonly TableFault[]> {
  const records = readRecords(text);
  const base = readBase(records);
  const body = records.filter(record => !isComment(record));
  const header = body[0];
  if (header === undefined) {
    return Err([fileFault(null, 'an empty file', headerHint())]);
  }
  const headerFaults = checkHeader(header);
  if (headerFaults.length > 0) {
    return Err(headerFaults);
  }
  const data = body.slice(1);
  const strayCellFaults = data.flatMap(record =>
    checkStrayCells(header, record),
  );
  const rows = readRows(data.map(record => toRawRow(header, record)));
  if (rows.err || strayCellFaults.length > 0) {
    return Err([...strayCellFaults, ...(rows.err ? rows.val : [])]);
  }
  return Ok({base, rows: rows.val});
}

function readRecords(text: string): readonly CsvRecord[] {
  const content = text.startsWith(BYTE_ORDER_MARK) ? text.slice(1) : text;
  const unified = content.replace(/\r\n?/g, '\n');
  const parsed = Papa.parse<string[]>(unified, {
    delimiter: findSeparator(unified),
    newline: '\n',
  });
  return parsed.data
    .map((cells, index) => ({
      line: index + 1,
      cells: cells.map(cell => cell.trim()),
    }))
    .filter(record => record.cells.some(cell => cell !== ''))
    .filter(record => !SEPARATOR_LINE_PATTERN.test(record.cells[0] ?? ''));
}

/** Returns the separator that occurs most often in the header line. */
function findSeparator(text: string): string {
  const header =
    text
      .split('\n')
      .find(line => /kind/i.test(line) && !/^"?\s*#/.test(line)) ?? '';
  const counts = SEPARATORS.map(separator => header.split(separator).length);
  return SEPARATORS[counts.indexOf(Math.max(...counts))] ?? ',';
}

function isComment(record: CsvRecord): boolean {
  return (record.cells[0] ?? '').startsWith('#');
}

function readBase(records: readonly CsvRecord[]): TableFileBase | null {
  const comment = records.find(isComment)?.cells[0] ?? '';
  const match = BASE_PATTERN.exec(comment);
  if (match === null) {
    return null;
  }
  const [, service = '', group = '', version = ''] = match;
  return {
    service: decodeName(service),
    group: decodeName(group),
    version: Number(version),
  };
}

function decodeName(encoded: string): string {
  try {
    return decodeURIComponent(encoded);
  } catch {
    return encoded;
  }
}

function columnName(cell: string | undefined): string {
  return (cell ?? '').toLowerCase();
}

function checkHeader(header: CsvRecord): readonly TableFault[] {
  const names = header.cells.map(columnName).filter(name => name !== '');
  const unknown = names.filter(name => !COLUMN_NAMES.includes(name));
  const missing = COLUMN_NAMES.filter(name => !names.includes(name));
  const repeated = names.filter((name, i) => names.indexOf(name) !== i);
  return [
    ...unknown.map(name => `unknown column ${JSON.stringify(name)}`),
    ...missing.map(name => `no column ${name}`),
    ...repeated.map(name => `column ${name} twice`),
  ].map(found => fileFault(header.line, found, headerHint()));
}

function checkStrayCells(
  header: CsvRecord,
  record: CsvRecord,
): readonly TableFault[] {
  return record.cells
    .filter((cell, i) => cell !== '' && columnName(header.cells[i]) === '')
    .map(cell =>
      fileFault(
        record.line,
        `${JSON.stringify(cell)} in a column without a name`,
        'empty cells right of the last column',
      ),
    );
}

function toRawRow(header: CsvRecord, record: CsvRecord): RawRow {
  const entries = header.cells.map(
    (cell, i) => [columnName(cell), record.cells[i] ?? ''] as const,
  );
  return {line: record.line, cells: Object.fromEntries(entries)};
}

function fileFault(
  line: number | null,
  found: string,
  allowed: string,
): TableFault {
  return {line, kind: null, column: null, found, allowed};
}

function headerHint(): string {
  return `a header with the columns ${COLUMN_NAMES.join(',')}`;
}
