/** Reads the parameters of a COM_STMT_EXECUTE. */

import type {ParamValue} from '@lacewingroad/core';
import type {PacketReader} from './library.js';
import {ColumnType, INTEGER_WIDTHS} from './protocol.js';
import {decodeUtf8} from './utf8.js';

/** The wire type of one parameter. */
export interface ParamType {
  readonly type: number;
  readonly isUnsigned: boolean;
}

/** What an execution binds. */
export interface BoundParams {
  readonly types: readonly ParamType[];
  readonly values: readonly ParamValue[];
}

/** A packet that ends early or names an unknown type. */
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
 * Reads the values after the fixed part of the packet.
 *
 * @param known types of the execution before, when the packet has none.
 * @param longData values that were sent ahead, by parameter.
 * @throws MalformedPacketError when the packet cannot be read.
 */
export function readParams(
  packet: PacketReader,
  count: number,
  known: readonly ParamType[],
  longData: ReadonlyMap<number, Buffer>,
): BoundParams {
  if (count === 0) {
    return {types: [], values: []};
  }
  const bitmap = packet.readBuffer(Math.ceil(count / 8));
  const hasTypes = packet.readInt8() === 1;
  const types = hasTypes ? readTypes(packet, count) : known;
  if (types.length !== count) {
    throw new MalformedPacketError('an execution without parameter types');
  }
  const values = types.map((param, index) => {
    if (((bitmap[index >> 3] ?? 0) >> (index & 7)) & 1) {
      return null;
    }
    const ahead = longData.get(index);
    return ahead === undefined
      ? readValue(packet, param)
      : readLongData(ahead, param);
  });
  if (packet.offset > packet.end) {
    throw new MalformedPacketError('an execution that ends early');
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
    throw new MalformedPacketError(`a parameter of type ${param.type}`);
  }
  const value = read(packet, param);
  if (packet.offset > packet.end) {
    throw new MalformedPacketError('a parameter that ends early');
  }
  return value;
}

function readLongData(bytes: Buffer, param: ParamType): ParamValue {
  return TEXT_TYPES.includes(param.type) ? toText(bytes) : toBytes(bytes);
}

/** Integers become bigint, so that they stay apart from floating point. */
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

/** Copies, since the packet's memory belongs to the socket's chunk. */
function toBytes(bytes: Buffer): Uint8Array {
  return Uint8Array.from(bytes);
}

/** Text that is not UTF-8 stays bytes. */
function toText(bytes: Buffer): string | Uint8Array {
  return decodeUtf8(bytes) ?? toBytes(bytes);
}

function readDate(packet: PacketReader, param: ParamType): string {
  const text = packet.readDateTimeString(MAX_FRACTION_DIGITS, ' ', param.type);
  return text.replace(/\.0+$/, '');
}
