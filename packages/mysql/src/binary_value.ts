/**
 * Converts values between the text format, which results have inside the
 * proxy, and the binary format of prepared statements, without loss.
 */

import type {CellValue, Column} from '@lacewingroad/core';
import {encodeLengthEncodedString, encodeInt} from './packet_writer.js';
import {
  ColumnType,
  INTEGER_WIDTHS,
  NOT_FIXED_DECIMALS,
  UNSIGNED_COLUMN_FLAG,
  ZEROFILL_COLUMN_FLAG,
} from './protocol.js';

const DATE_PATTERN =
  /^(\d{4})-(\d{2})-(\d{2})(?:[ T](\d{2}):(\d{2}):(\d{2})(?:\.(\d{1,6}))?)?$/;
const TIME_PATTERN = /^(-?)(\d{2,3}):(\d{2}):(\d{2})(?:\.(\d{1,6}))?$/;
const MICROS_DIGITS = 6;
const HOURS_PER_DAY = 24;
/** MySQL prints 6 digits of a FLOAT; 9 digits represent every FLOAT exactly. */
const MIN_FLOAT_DIGITS = 6;
const MAX_FLOAT_DIGITS = 9;

/** Encodes the text format of a cell in the binary format. */
type Encoder = (text: string, column: Column) => Buffer;
/** Decodes the binary format of a cell to the text format. */
type Decoder = (bytes: Buffer, column: Column) => string;

const ENCODERS: ReadonlyMap<number, Encoder> = new Map<number, Encoder>([
  ...[...INTEGER_WIDTHS.keys()].map(
    type => [type, encodeInteger] as [number, Encoder],
  ),
  [ColumnType.FLOAT, encodeFloat],
  [ColumnType.DOUBLE, encodeDouble],
  [ColumnType.DATE, encodeDate],
  [ColumnType.DATETIME, encodeDateTime],
  [ColumnType.TIMESTAMP, encodeDateTime],
  [ColumnType.TIME, encodeTime],
]);

const DECODERS: ReadonlyMap<number, Decoder> = new Map<number, Decoder>([
  ...[...INTEGER_WIDTHS.keys()].map(
    type => [type, decodeInteger] as [number, Decoder],
  ),
  [ColumnType.FLOAT, decodeFloat],
  [ColumnType.DOUBLE, decodeDouble],
  [ColumnType.DATE, decodeDate],
  [ColumnType.DATETIME, decodeDateTime],
  [ColumnType.TIMESTAMP, decodeDateTime],
  [ColumnType.TIME, decodeTime],
]);

/**
 * Encodes a non-NULL cell for a binary row.
 *
 * @throws RangeError when the text does not fit the column's type.
 */
export function encodeBinaryCell(value: Uint8Array, column: Column): Buffer {
  const encode = ENCODERS.get(column.columnType);
  if (encode === undefined) {
    return encodeLengthEncodedString(value);
  }
  return encode(Buffer.from(value).toString('latin1'), column);
}

/** Decodes a cell of a binary row to the text format. */
export function decodeBinaryCell(
  value: Buffer | null,
  column: Column,
): CellValue {
  if (value === null) {
    return null;
  }
  const decode = DECODERS.get(column.columnType);
  return decode === undefined ? value : Buffer.from(decode(value, column));
}

function encodeInteger(text: string, column: Column): Buffer {
  const width = INTEGER_WIDTHS.get(column.columnType)!;
  const bits = width * 8;
  const value = BigInt(text);
  const fits = value >= -(1n << BigInt(bits - 1)) && value < 1n << BigInt(bits);
  if (!fits) {
    throw new RangeError(`${text} does not fit into ${bits} bits`);
  }
  const wide = Buffer.alloc(8);
  wide.writeBigUInt64LE(BigInt.asUintN(64, value));
  return wide.subarray(0, width);
}

function decodeInteger(bytes: Buffer, column: Column): string {
  const bits = bytes.length * 8;
  const wide = Buffer.alloc(8);
  bytes.copy(wide);
  const raw = wide.readBigUInt64LE();
  const isUnsigned =
    (column.flags & UNSIGNED_COLUMN_FLAG) !== 0 ||
    column.columnType === ColumnType.YEAR;
  const text = (isUnsigned ? raw : BigInt.asIntN(bits, raw)).toString();
  const isZeroFilled = (column.flags & ZEROFILL_COLUMN_FLAG) !== 0;
  return isZeroFilled ? text.padStart(column.columnLength, '0') : text;
}

function parseNumber(text: string): number {
  const value = Number(text);
  if (text === '' || Number.isNaN(value)) {
    throw new RangeError(`${text} is not a number`);
  }
  return value;
}

function encodeFloat(text: string): Buffer {
  const buffer = Buffer.alloc(4);
  buffer.writeFloatLE(parseNumber(text));
  return buffer;
}

function encodeDouble(text: string): Buffer {
  const buffer = Buffer.alloc(8);
  buffer.writeDoubleLE(parseNumber(text));
  return buffer;
}

function decodeFloat(bytes: Buffer, column: Column): string {
  const value = bytes.readFloatLE(0);
  const fixed = formatFixed(value, column.decimals);
  const isExact = fixed !== null && Math.fround(Number(fixed)) === value;
  return isExact ? fixed : formatFloat(value);
}

function decodeDouble(bytes: Buffer, column: Column): string {
  const value = bytes.readDoubleLE(0);
  const fixed = formatFixed(value, column.decimals);
  const isExact = fixed !== null && Number(fixed) === value;
  return isExact ? fixed : formatNumber(value);
}

/** Formats a number with the column's scale; null if that is not fixed. */
function formatFixed(value: number, decimals: number): string | null {
  return decimals < NOT_FIXED_DECIMALS ? value.toFixed(decimals) : null;
}

/** Returns the shortest text that parses to the same 32-bit float. */
function formatFloat(value: number): string {
  for (let digits = MIN_FLOAT_DIGITS; digits < MAX_FLOAT_DIGITS; digits++) {
    const candidate = Number(value.toPrecision(digits));
    if (Math.fround(candidate) === value) {
      return formatNumber(candidate);
    }
  }
  return formatNumber(Number(value.toPrecision(MAX_FLOAT_DIGITS)));
}

function formatNumber(value: number): string {
  return Object.is(value, -0) ? '-0' : String(value).replace('e+', 'e');
}

function parseMicros(fraction: string | undefined): number {
  return Number((fraction ?? '').padEnd(MICROS_DIGITS, '0'));
}

function matchDate(text: string): readonly (string | undefined)[] {
  const match = DATE_PATTERN.exec(text);
  if (match === null) {
    throw new RangeError(`${text} is not a date`);
  }
  return match;
}

function encodeDatePart(match: readonly (string | undefined)[]): Buffer {
  return Buffer.concat([
    encodeInt(Number(match[1]), 2),
    Buffer.from([Number(match[2]), Number(match[3])]),
  ]);
}

function encodeDate(text: string): Buffer {
  return encodeLengthEncodedString(encodeDatePart(matchDate(text)));
}

function encodeDateTime(text: string): Buffer {
  const match = matchDate(text);
  const clock = [match[4], match[5], match[6]].map(part => Number(part ?? 0));
  const micros = parseMicros(match[7]);
  return encodeLengthEncodedString(
    Buffer.concat([
      encodeDatePart(match),
      Buffer.from(clock),
      micros === 0 ? Buffer.alloc(0) : encodeInt(micros, 4),
    ]),
  );
}

function encodeTime(text: string): Buffer {
  const match = TIME_PATTERN.exec(text);
  if (match === null) {
    throw new RangeError(`${text} is not a time`);
  }
  const hours = Number(match[2]);
  const micros = parseMicros(match[5]);
  return encodeLengthEncodedString(
    Buffer.concat([
      Buffer.from([match[1] === '-' ? 1 : 0]),
      encodeInt(Math.floor(hours / HOURS_PER_DAY), 4),
      Buffer.from([hours % HOURS_PER_DAY, Number(match[3]), Number(match[4])]),
      micros === 0 ? Buffer.alloc(0) : encodeInt(micros, 4),
    ]),
  );
}

function padTwoDigits(value: number): string {
  return String(value).padStart(2, '0');
}

/**
 * Formats a fraction of a second with the column's scale, or with as many
 * digits as needed when the scale is too small or not fixed.
 */
function formatFraction(micros: number, decimals: number): string {
  const digits = String(micros).padStart(MICROS_DIGITS, '0');
  const shortest = digits.replace(/0+$/, '');
  const isFixed = decimals <= MICROS_DIGITS && shortest.length <= decimals;
  const shown = isFixed ? digits.slice(0, decimals) : shortest;
  return shown === '' ? '' : `.${shown}`;
}

function decodeDate(bytes: Buffer): string {
  if (bytes.length === 0) {
    return '0000-00-00';
  }
  const year = String(bytes.readUInt16LE(0)).padStart(4, '0');
  return `${year}-${padTwoDigits(bytes[2]!)}-${padTwoDigits(bytes[3]!)}`;
}

function decodeDateTime(bytes: Buffer, column: Column): string {
  const clock = [4, 5, 6]
    .map(offset => padTwoDigits(bytes[offset] ?? 0))
    .join(':');
  const micros = bytes.length > 7 ? bytes.readUInt32LE(7) : 0;
  const fraction = formatFraction(micros, column.decimals);
  return `${decodeDate(bytes)} ${clock}${fraction}`;
}

function decodeTime(bytes: Buffer, column: Column): string {
  if (bytes.length === 0) {
    return `00:00:00${formatFraction(0, column.decimals)}`;
  }
  const sign = bytes[0] === 1 ? '-' : '';
  const hours = bytes.readUInt32LE(1) * HOURS_PER_DAY + bytes[5]!;
  const clock = [hours, bytes[6]!, bytes[7]!].map(padTwoDigits).join(':');
  const micros = bytes.length > 8 ? bytes.readUInt32LE(8) : 0;
  return `${sign}${clock}${formatFraction(micros, column.decimals)}`;
}
