/**
 * The form in which hosts send each other the routing table. A table of a few
 * thousand routes takes hundreds of kilobytes; compressed it takes a tenth, so
 * that a relay can send it to all hosts of its data centre within a second.
 */

import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {packTable, unpackTable} from '../model/directory.js';
import type {PackedTable, RouteTable} from '../model/directory.js';
import {isPackedTable} from '../model/message_check.js';

/** Largest table that is decoded, in bytes: the store holds 1 MiB. */
const MAX_TABLE_BYTES = 16 * 1024 * 1024;

/** Encodes a table for sending. */
export function encodeTable(table: RouteTable): Uint8Array {
  return deflateRawSync(JSON.stringify(packTable(table)));
}

/**
 * Decodes a received table, which hosts of earlier versions send uncompressed;
 * null if it is malformed.
 */
export function decodeTable(
  received: Uint8Array | PackedTable,
): RouteTable | null {
  if (!(received instanceof Uint8Array)) {
    return unpackTable(received);
  }
  try {
    const text = inflateRawSync(received, {maxOutputLength: MAX_TABLE_BYTES});
    const packed: unknown = JSON.parse(text.toString());
    return isPackedTable(packed) ? unpackTable(packed as PackedTable) : null;
  } catch {
    return null;
  }
}
