/** Parses the parameters of COM_STMT_EXECUTE packets. */

import type {ParamValue} from '@lacewingroad/core';
import type {PacketReader} from './mysql2_types.js';
import {ColumnType, INTEGER_WIDTHS} from './protocol.js';
import {decodeUtf8} from './utf8.js';

/** The wire type of one parameter. */
export interface ParamType {
  readonly type: number;
  readonly isUnsigned: boolean;
}

/** The parameter types and values of an execution. */
export interface BoundParams {
  readonly types: readonly ParamType[];
  readonly values: readonly ParamValue[];
}

/** A packet that is truncated, too large or has an unknown parameter type. */
export class MalformedPacketError extends Error {}

const UNSIGNED_FLAG = 0x80;
const MAX_FRACTION_DIGITS = 6;

type Reader = (packet: PacketReader, param: ParamType) => ParamValue;

const BYTE_TYPES: readonly number[] = [
  ColumnType.TINY_BLOB,
  ColumnType.MEDIUM_BLOB,
  ColumnType.LONG_BLOB,
  ColumnType.BLOB,
  ColumnType.BIT,
  ColumnType.GEOMETRY,
];
const TEXT_TYPES: readonly number[] = [
  ColumnType.DECIMAL,
  ColumnType.NEWDECIMAL,
  ColumnType.VARCHAR,
  ColumnType.VAR_STRING,
  ColumnType.STRING,
  ColumnType.JSON,
];
const DATE_TYPES: readonly number[] = [
  ColumnType.DATE,
  ColumnType.DATETIME,
  ColumnType.TIMESTAMP,
];

const READERS: ReadonlyMap<number, Reader> = new Map<number, Reader>([
  ...[...INTEGER_WIDTHS.keys()].map(
    type => [type, readInteger] as [number, Reader],
  ),
  ...BYTE_TYPES.map(type => [type, readBytes] as [number, Reader]),
  ...TEXT_TYPES.map(type => [type, readText] as [number, Reader]),
  ...DATE_TYPES.map(type => [type, readDate] as [number, Reader]),
  [ColumnType.TIME, packet => packet.readTimeString(false, 0)],
  [ColumnType.FLOAT, packet => packet.readFloat()],
  [ColumnType.DOUBLE, packet => packet.readDouble()],
  [ColumnType.NULL, () => null],
]);

/**
 * Parses the parameters, which follow the fixed part of the packet.
 *
 * @param previousTypes types of the previous execution, used when the packet
 *     has none.
 * @param longData values that came in COM_STMT_SEND_LONG_DATA, by parameter.
 * @throws MalformedPacketError when the packet is malformed.
 */
export function readParams(
  packet: PacketReader,
  count: number,
  previousTypes: readonly ParamType[],
  longData: ReadonlyMap<number, Buffer>,
): BoundParams {
  if (count === 0) {
    return {types: [], values: []};
  }
  const bitmap = packet.readBuffer(Math.ceil(count / 8));
  const hasTypes = packet.readInt8() === 1;
  const types = hasTypes ? readTypes(packet, count) : previousTypes;
  if (types.length !== count) {
    throw new MalformedPacketError('COM_STMT_EXECUTE without parameter types');
  }
  const values = types.map((param, index) => {
    if (((bitmap[index >> 3] ?? 0) >> (index & 7)) & 1) {
      return null;
    }
    const longValue = longData.get(index);
    return longValue === undefined
      ? readValue(packet, param)
      : readLongData(longValue, param);
  });
  if (packet.offset > packet.end) {
    throw new MalformedPacketError('truncated COM_STMT_EXECUTE');
  }
  return {types, values};
}

function readTypes(packet: PacketReader, count: number): readonly ParamType[] {
  return Array.from({length: count}, () => {
    const type = packet.readInt8();
    const flags = packet.readInt8();
    return {type, isUnsigned: (flags & UNSIGNED_FLAG) !== 0};
  });
}

function readValue(packet: PacketReader, param: ParamType): ParamValue {
  const read = READERS.get(param.type);
  if (read === undefined) {
    throw new MalformedPacketError(`unknown parameter type ${param.type}`);
  }
  const value = read(packet, param);
  if (packet.offset > packet.end) {
    throw new MalformedPacketError('truncated parameter');
  }
  return value;
}

function readLongData(bytes: Buffer, param: ParamType): ParamValue {
  return TEXT_TYPES.includes(param.type) ? toText(bytes) : toBytes(bytes);
}

/** Returns a bigint, to distinguish integers from floating-point numbers. */
function readInteger(packet: PacketReader, param: ParamType): bigint {
  const bytes = packet.readBuffer(INTEGER_WIDTHS.get(param.type)!);
  const wide = Buffer.alloc(8);
  bytes.copy(wide);
  const raw = wide.readBigUInt64LE();
  return param.isUnsigned ? raw : BigInt.asIntN(bytes.length * 8, raw);
}

function readBytes(packet: PacketReader): Uint8Array {
  return toBytes(packet.readLengthCodedBuffer() ?? Buffer.alloc(0));
}

function readText(packet: PacketReader): string | Uint8Array {
  return toText(packet.readLengthCodedBuffer() ?? Buffer.alloc(0));
}

/** Copies the bytes, since the packet shares the buffer of the socket read. */
function toBytes(bytes: Buffer): Uint8Array {
  return Uint8Array.from(bytes);
}

/** Decodes UTF-8; returns the bytes if they are not valid UTF-8. */
function toText(bytes: Buffer): string | Uint8Array {
  return decodeUtf8(bytes) ?? toBytes(bytes);
}

function readDate(packet: PacketReader, param: ParamType): string {
  const text = packet.readDateTimeString(MAX_FRACTION_DIGITS, ' ', param.type);
  return text.replace(/\.0+$/, '');
}
