/** Encodes answers to callers as MySQL packets, in chunks. */

import type {
  CellValue,
  Column,
  OkResult,
  Reply,
  RowsResult,
  SqlError,
} from '@lacewingroad/core';
import {encodeBinaryCell} from './binary_value.js';
import {
  encodeLengthEncodedString,
  encodeInt,
  encodeLengthEncodedInt,
  encodeTextCell,
  FrameWriter,
} from './packet_writer.js';
import {
  BINARY_CHARSET,
  ColumnType,
  ServerStatus,
  SqlErrors,
} from './protocol.js';

const OK_MARKER = Buffer.from([0x00]);
const EOF_MARKER = Buffer.from([0xfe]);
const ERROR_MARKER = Buffer.from([0xff]);
const BINARY_ROW_MARKER = Buffer.from([0x00]);
const NO_WARNINGS = encodeInt(0, 2);
/** Encoded length of the fixed-size fields of a column definition. */
const FIXED_FIELDS_LENGTH = Buffer.from([0x0c]);
const COLUMN_FILLER = encodeInt(0, 2);
/** Reserved bits at the start of the NULL bitmap of a binary row. */
const NULL_BITMAP_OFFSET = 2;
const DEFAULT_SQL_STATE = 'HY000';
const SQL_STATE_PATTERN = /^[0-9A-Z]{5}$/;

/** The encoding of rows; prepared statements use `binary`. */
export type RowFormat = 'text' | 'binary';

/** The definition sent for each parameter in the answer to COM_STMT_PREPARE. */
const PARAMETER_COLUMN: Column = {
  catalog: 'def',
  schema: '',
  table: '',
  orgTable: '',
  name: '?',
  orgName: '',
  characterSet: BINARY_CHARSET,
  columnLength: 0,
  columnType: ColumnType.VAR_STRING,
  flags: 0,
  decimals: 0,
};

/** Returns the server status flags of a reply to a statement. */
export function toStatusFlags(inTx: boolean, autocommit: boolean): number {
  return (
    (inTx ? ServerStatus.IN_TRANS : 0) |
    (autocommit ? ServerStatus.AUTOCOMMIT : 0)
  );
}

/** Encodes a reply of the core; packets are numbered from `sequence`. */
export function* encodeReply(
  reply: Reply,
  sequence: number,
  format: RowFormat,
): Generator<Buffer> {
  const frames = new FrameWriter(sequence);
  if (reply.type === 'error') {
    addError(frames, reply.error);
    yield frames.take();
    return;
  }
  const status = toStatusFlags(reply.inTx, reply.autocommit);
  if (reply.result.type === 'ok') {
    addOk(frames, reply.result, status);
    yield frames.take();
    return;
  }
  yield* encodeRows(frames, reply.result, status, format);
}

/** Encodes an OK packet without affected rows, insert id or info text. */
export function encodeOk(sequence: number, status: number): Buffer {
  const frames = new FrameWriter(sequence);
  const result = {
    type: 'ok',
    affectedRows: 0,
    insertId: '0',
    info: '',
  } as const;
  addOk(frames, result, status);
  return frames.take();
}

/** Encodes an error packet. */
export function encodeError(sequence: number, error: SqlError): Buffer {
  const frames = new FrameWriter(sequence);
  addError(frames, error);
  return frames.take();
}

/** Encodes the answer to COM_STMT_PREPARE for `params` parameters. */
export function encodePrepared(
  sequence: number,
  statementId: number,
  params: number,
  status: number,
): Buffer {
  const frames = new FrameWriter(sequence);
  const columnCount = encodeInt(0, 2);
  frames.add(
    OK_MARKER,
    encodeInt(statementId, 4),
    columnCount,
    encodeInt(params, 2),
    encodeInt(0, 1),
    NO_WARNINGS,
  );
  if (params === 0) {
    return frames.take();
  }
  for (let index = 0; index < params; index++) {
    addColumn(frames, PARAMETER_COLUMN);
  }
  addEof(frames, status);
  return frames.take();
}

function* encodeRows(
  frames: FrameWriter,
  result: RowsResult,
  status: number,
  format: RowFormat,
): Generator<Buffer> {
  frames.add(encodeLengthEncodedInt(result.columns.length));
  result.columns.forEach(column => addColumn(frames, column));
  addEof(frames, status);
  for (const row of result.rows) {
    if (!addRow(frames, row, result.columns, format)) {
      addError(frames, SqlErrors.notEncodable);
      yield frames.take();
      return;
    }
    if (frames.isFull) {
      yield frames.take();
    }
  }
  addEof(frames, status);
  yield frames.take();
}

/** Adds a row; returns false when a value cannot be encoded. */
function addRow(
  frames: FrameWriter,
  row: readonly CellValue[],
  columns: readonly Column[],
  format: RowFormat,
): boolean {
  if (format === 'text') {
    frames.add(...row.map(encodeTextCell));
    return true;
  }
  try {
    frames.add(...encodeBinaryRow(row, columns));
    return true;
  } catch {
    return false;
  }
}

function encodeBinaryRow(
  row: readonly CellValue[],
  columns: readonly Column[],
): readonly Buffer[] {
  const bits = columns.length + NULL_BITMAP_OFFSET;
  const bitmap = Buffer.alloc(Math.ceil(bits / 8));
  const cells: Buffer[] = [];
  columns.forEach((column, index) => {
    const value = row[index] ?? null;
    if (value !== null) {
      cells.push(encodeBinaryCell(value, column));
      return;
    }
    const bit = index + NULL_BITMAP_OFFSET;
    bitmap[bit >> 3]! |= 1 << (bit & 7);
  });
  return [BINARY_ROW_MARKER, bitmap, ...cells];
}

function addOk(frames: FrameWriter, result: OkResult, status: number): void {
  frames.add(
    OK_MARKER,
    encodeLengthEncodedInt(result.affectedRows),
    encodeLengthEncodedInt(BigInt.asUintN(64, BigInt(result.insertId))),
    encodeInt(status, 2),
    NO_WARNINGS,
    Buffer.from(result.info),
  );
}

function addEof(frames: FrameWriter, status: number): void {
  frames.add(EOF_MARKER, NO_WARNINGS, encodeInt(status, 2));
}

function addError(frames: FrameWriter, error: SqlError): void {
  const sqlState = SQL_STATE_PATTERN.test(error.sqlState)
    ? error.sqlState
    : DEFAULT_SQL_STATE;
  frames.add(
    ERROR_MARKER,
    encodeInt(error.errno, 2),
    Buffer.from(`#${sqlState}${error.message}`),
  );
}

function addColumn(frames: FrameWriter, column: Column): void {
  frames.add(
    encodeLengthEncodedString(column.catalog),
    encodeLengthEncodedString(column.schema),
    encodeLengthEncodedString(column.table),
    encodeLengthEncodedString(column.orgTable),
    encodeLengthEncodedString(column.name),
    encodeLengthEncodedString(column.orgName),
    FIXED_FIELDS_LENGTH,
    encodeInt(column.characterSet, 2),
    encodeInt(column.columnLength, 4),
    encodeInt(column.columnType, 1),
    encodeInt(column.flags, 2),
    encodeInt(column.decimals, 1),
    COLUMN_FILLER,
  );
}
