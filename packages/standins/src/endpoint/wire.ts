/**
 * Encodes responses and decodes parameters of the MySQL protocol that the
 * server side of mysql2 does not support: SQL states, NULLs, binary rows,
 * prepared statements and status flags. mysql2 does the framing and handshake.
 */

import type {Row} from './table_store.js';
import {COLUMN_TYPES, toBytes, toNumeric} from './values.js';
import type {ColumnDef, ColumnKind, LedgerError, SqlValue} from './values.js';

const CHARSET_UTF8MB4 = 45;
const CHARSET_BINARY = 63;
const FLAG_BINARY = 128;
const MAX_COLUMN_LENGTH = 65_535;
const NULL_VALUE = Buffer.from([0xfb]);
const EOF_MARKER = 0xfe;
const ERROR_MARKER = 0xff;

/** Status flags of OK and EOF packets. */
export const SERVER_STATUS = {inTransaction: 1, autocommit: 2} as const;

/** Encodes a length-encoded integer. */
function encodeLengthEncodedInt(value: number): Buffer {
  if (value < 0xfb) {
    return Buffer.from([value]);
  }
  const [marker, size] =
    value < 0x1_0000 ? [0xfc, 2] : value < 0x100_0000 ? [0xfd, 3] : [0xfe, 8];
  const buffer = Buffer.alloc(1 + size);
  buffer[0] = marker;
  if (size === 8) {
    buffer.writeBigUInt64LE(BigInt(value), 1);
  } else {
    buffer.writeUIntLE(value, 1, size);
  }
  return buffer;
}

function encodeLengthEncodedString(bytes: Buffer): Buffer {
  return Buffer.concat([encodeLengthEncodedInt(bytes.length), bytes]);
}

function uint16(value: number): Buffer {
  const buffer = Buffer.alloc(2);
  buffer.writeUInt16LE(value);
  return buffer;
}

function uint32(value: number): Buffer {
  const buffer = Buffer.alloc(4);
  buffer.writeUInt32LE(value);
  return buffer;
}

/** Encodes an OK packet. */
export function encodeOk(
  affectedRows: number,
  insertId: number,
  status: number,
  info: string,
): Buffer {
  return Buffer.concat([
    Buffer.from([0]),
    encodeLengthEncodedInt(affectedRows),
    encodeLengthEncodedInt(insertId),
    uint16(status),
    uint16(0),
    Buffer.from(info, 'utf8'),
  ]);
}

/** Encodes an EOF packet. */
export function encodeEof(status: number): Buffer {
  return Buffer.concat([Buffer.from([EOF_MARKER]), uint16(0), uint16(status)]);
}

/** Encodes an error packet. */
export function encodeError(
  err: Pick<LedgerError, 'errno' | 'sqlState' | 'message'>,
): Buffer {
  return Buffer.concat([
    Buffer.from([ERROR_MARKER]),
    uint16(err.errno),
    Buffer.from(`#${err.sqlState}${err.message}`, 'utf8'),
  ]);
}

/** Encodes a column definition. */
export function encodeColumn(column: ColumnDef): Buffer {
  const isText = column.kind === 'string';
  const text = (value: string): Buffer =>
    encodeLengthEncodedString(Buffer.from(value));
  const schema = column.table === '' ? '' : 'ledger';
  return Buffer.concat([
    ...[
      'def',
      schema,
      column.table,
      column.table,
      column.name,
      column.name,
    ].map(text),
    Buffer.from([0x0c]),
    uint16(isText ? CHARSET_UTF8MB4 : CHARSET_BINARY),
    uint32(MAX_COLUMN_LENGTH),
    Buffer.from([COLUMN_TYPES[column.kind]]),
    uint16(isText ? 0 : FLAG_BINARY),
    Buffer.from([0]),
    uint16(0),
  ]);
}

/** Encodes a row of the text protocol. */
export function encodeTextRow(row: Row): Buffer {
  return Buffer.concat(
    row.map(value =>
      value === null ? NULL_VALUE : encodeLengthEncodedString(toBytes(value)),
    ),
  );
}

const BINARY_ENCODERS: Readonly<
  Record<ColumnKind, (value: Exclude<SqlValue, null>) => Buffer>
> = {
  bigint: value => {
    const buffer = Buffer.alloc(8);
    buffer.writeBigUInt64LE(BigInt.asUintN(64, BigInt(toNumeric(value))));
    return buffer;
  },
  double: value => {
    const buffer = Buffer.alloc(8);
    buffer.writeDoubleLE(Number(value));
    return buffer;
  },
  string: value => encodeLengthEncodedString(toBytes(value)),
  blob: value => encodeLengthEncodedString(toBytes(value)),
};

const NULL_BITMAP_OFFSET = 2;

/** Encodes a row of the binary protocol. */
export function encodeBinaryRow(
  row: Row,
  columns: readonly ColumnDef[],
): Buffer {
  const bitmap = Buffer.alloc((row.length + 7 + NULL_BITMAP_OFFSET) >> 3);
  const cells = row.map((value, columnIndex) => {
    if (value === null) {
      const bit = columnIndex + NULL_BITMAP_OFFSET;
      bitmap[bit >> 3]! |= 1 << (bit & 7);
      return Buffer.alloc(0);
    }
    return BINARY_ENCODERS[columns[columnIndex]!.kind](value);
  });
  return Buffer.concat([Buffer.from([0]), bitmap, ...cells]);
}

/** Encodes the first packet of the response to COM_STMT_PREPARE. */
export function encodePrepared(
  id: number,
  columnCount: number,
  paramCount: number,
): Buffer {
  return Buffer.concat([
    Buffer.from([0]),
    uint32(id),
    uint16(columnCount),
    uint16(paramCount),
    Buffer.from([0]),
    uint16(0),
  ]);
}

/** Type and sign of a bound parameter. */
export interface ParamType {
  readonly type: number;
  readonly isUnsigned: boolean;
}

/** Reads fields of a command in order. */
interface FieldReader {
  readonly take: (size: number) => Buffer;
  readonly takeLengthEncoded: () => Buffer;
}

function createFieldReader(payload: Buffer, start: number): FieldReader {
  let offset = start;
  const take = (size: number): Buffer => {
    const field = payload.subarray(offset, offset + size);
    offset += size;
    return field;
  };
  const takeLengthEncodedInt = (): number => {
    const marker = take(1)[0]!;
    if (marker < 0xfb) {
      return marker;
    }
    const size = marker === 0xfc ? 2 : marker === 0xfd ? 3 : 8;
    const field = take(size);
    return size === 8
      ? Number(field.readBigUInt64LE())
      : field.readUIntLE(0, size);
  };
  return {take, takeLengthEncoded: () => take(takeLengthEncodedInt())};
}

function readInteger(
  reader: FieldReader,
  size: number,
  isUnsigned: boolean,
): SqlValue {
  const field = reader.take(size);
  if (size < 8) {
    return isUnsigned ? field.readUIntLE(0, size) : field.readIntLE(0, size);
  }
  const value = isUnsigned ? field.readBigUInt64LE() : field.readBigInt64LE();
  const number = Number(value);
  return Number.isSafeInteger(number) ? number : value;
}

function readDate(reader: FieldReader): SqlValue {
  const field = reader.takeLengthEncoded();
  const pad = (value: number, width = 2): string =>
    String(value).padStart(width, '0');
  const part = (offset: number): string => pad(field[offset] ?? 0);
  const year = field.length >= 2 ? field.readUInt16LE(0) : 0;
  const micros = field.length >= 11 ? field.readUInt32LE(7) : 0;
  const fraction = micros === 0 ? '' : `.${pad(micros, 6)}`;
  return `${pad(year, 4)}-${part(2)}-${part(3)} ${part(4)}:${part(5)}:${part(6)}${fraction}`;
}

type ParamDecoder = (reader: FieldReader, isUnsigned: boolean) => SqlValue;

const createIntegerDecoder =
  (size: number): ParamDecoder =>
  (reader, isUnsigned) =>
    readInteger(reader, size, isUnsigned);
const readText: ParamDecoder = reader =>
  reader.takeLengthEncoded().toString('utf8');
const readBlob: ParamDecoder = reader =>
  Buffer.from(reader.takeLengthEncoded());

const PARAM_DECODERS: Readonly<Record<number, ParamDecoder>> = {
  1: createIntegerDecoder(1),
  2: createIntegerDecoder(2),
  3: createIntegerDecoder(4),
  4: reader => reader.take(4).readFloatLE(),
  5: reader => reader.take(8).readDoubleLE(),
  6: () => null,
  7: readDate,
  8: createIntegerDecoder(8),
  9: createIntegerDecoder(4),
  10: readDate,
  12: readDate,
  13: createIntegerDecoder(2),
  249: readBlob,
  250: readBlob,
  251: readBlob,
  252: readBlob,
};

const EXECUTE_HEADER_BYTES = 10;

/** Parameter values of a COM_STMT_EXECUTE and their types. */
export interface BoundParams {
  readonly values: readonly SqlValue[];
  readonly types: readonly ParamType[];
}

/**
 * Reads the parameters of COM_STMT_EXECUTE. `previousTypes` are the types that
 * an earlier execution bound; `longData` are the values that were sent before
 * with COM_STMT_SEND_LONG_DATA.
 */
export function readParams(
  payload: Buffer,
  count: number,
  previousTypes: readonly ParamType[],
  longData: ReadonlyMap<number, Buffer>,
): BoundParams {
  if (count === 0) {
    return {values: [], types: []};
  }
  const reader = createFieldReader(payload, EXECUTE_HEADER_BYTES);
  const bitmap = reader.take((count + 7) >> 3);
  const isBound = reader.take(1)[0] === 1;
  const types = isBound
    ? Array.from({length: count}, () => {
        const [type, flags] = reader.take(2);
        return {type: type!, isUnsigned: (flags! & 0x80) !== 0};
      })
    : previousTypes;
  const values = types.map(({type, isUnsigned}, paramIndex): SqlValue => {
    if (((bitmap[paramIndex >> 3]! >> (paramIndex & 7)) & 1) === 1) {
      return null;
    }
    const longValue = longData.get(paramIndex);
    const decode = PARAM_DECODERS[type] ?? readText;
    return longValue ?? decode(reader, isUnsigned);
  });
  return {values, types};
}
