/**
 * Writes the packets that mysql2 cannot write: its OK packets drop the info
 * text, its errors have no SQLSTATE, its rows no binary values, and the answer
 * to a PREPARE is missing.
 */

import {WRITE_CHUNK_BYTES} from './limits.js';

/** Payload of one frame at most, in bytes. */
const MAX_FRAME_BYTES = 0xff_ff_ff;
const HEADER_BYTES = 4;
const SEQUENCE_MODULUS = 256;
const NULL_CELL = Buffer.from([0xfb]);

/** Encodes a length-coded integer; `value` is less than 2^64. */
export function encodeLength(value: number | bigint): Buffer {
  if (value < 0xfb) {
    return Buffer.from([Number(value)]);
  }
  if (value <= 0xffff) {
    const buffer = Buffer.from([0xfc, 0, 0]);
    buffer.writeUInt16LE(Number(value), 1);
    return buffer;
  }
  if (value <= 0xff_ff_ff) {
    const buffer = Buffer.from([0xfd, 0, 0, 0]);
    buffer.writeUIntLE(Number(value), 1, 3);
    return buffer;
  }
  const buffer = Buffer.alloc(9, 0xfe);
  buffer.writeBigUInt64LE(BigInt(value), 1);
  return buffer;
}

/** Encodes bytes or text behind their length. */
export function encodeCounted(value: Uint8Array | string): Buffer {
  const bytes = typeof value === 'string' ? Buffer.from(value) : value;
  return Buffer.concat([encodeLength(bytes.length), bytes]);
}

/** Encodes a cell of a text row. */
export function encodeTextCell(value: Uint8Array | null): Buffer {
  return value === null ? NULL_CELL : encodeCounted(value);
}

/** Encodes a little-endian integer of 1 to 4 bytes. */
export function encodeInt(value: number, bytes: number): Buffer {
  const buffer = Buffer.alloc(bytes);
  buffer.writeUIntLE(value, 0, bytes);
  return buffer;
}

/** Collects payloads and frames them, numbered from `sequence`. */
export class FrameWriter {
  private frames: Buffer[] = [];
  private bytes = 0;

  constructor(private sequence: number) {}

  /** Whether enough has been collected to be written. */
  get isFull(): boolean {
    return this.bytes >= WRITE_CHUNK_BYTES;
  }

  /** Adds one packet, split into frames where it is too long for one. */
  add(...parts: readonly Uint8Array[]): void {
    const payload = Buffer.concat(parts);
    let start = 0;
    for (;;) {
      const frame = payload.subarray(start, start + MAX_FRAME_BYTES);
      this.addFrame(frame);
      start += MAX_FRAME_BYTES;
      if (frame.length < MAX_FRAME_BYTES) {
        return;
      }
    }
  }

  /** Returns what was collected since the last call. */
  take(): Buffer {
    const chunk = Buffer.concat(this.frames);
    this.frames = [];
    this.bytes = 0;
    return chunk;
  }

  private addFrame(frame: Buffer): void {
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeUIntLE(frame.length, 0, 3);
    header[3] = this.sequence;
    this.sequence = (this.sequence + 1) % SEQUENCE_MODULUS;
    this.frames.push(header, frame);
    this.bytes += HEADER_BYTES + frame.length;
  }
}
