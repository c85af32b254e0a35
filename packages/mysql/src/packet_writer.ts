/**
 * Encodes the packets that mysql2's server cannot write: its OK packets omit
 * the info text, its errors the SQLSTATE; it has no binary rows and no answer
 * to COM_STMT_PREPARE.
 */

import {WRITE_CHUNK_BYTES} from './limits.js';

/** Maximum payload of one frame, in bytes. */
const MAX_FRAME_BYTES = 0xff_ff_ff;
const HEADER_BYTES = 4;
const SEQUENCE_MODULUS = 256;
const NULL_CELL = Buffer.from([0xfb]);

/** Encodes a length-encoded integer; `value` is less than 2^64. */
export function encodeLengthEncodedInt(value: number | bigint): Buffer {
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

/** Encodes a length-encoded string of bytes or text. */
export function encodeLengthEncodedString(value: Uint8Array | string): Buffer {
  const bytes = typeof value === 'string' ? Buffer.from(value) : value;
  return Buffer.concat([encodeLengthEncodedInt(bytes.length), bytes]);
}

/** Encodes a cell of a text row. */
export function encodeTextCell(value: Uint8Array | null): Buffer {
  return value === null ? NULL_CELL : encodeLengthEncodedString(value);
}

/** Encodes a little-endian integer of 1 to 4 bytes. */
export function encodeInt(value: number, bytes: number): Buffer {
  const buffer = Buffer.alloc(bytes);
  buffer.writeUIntLE(value, 0, bytes);
  return buffer;
}

/** Splits payloads into frames, numbered from `sequence`, and collects them. */
export class FrameWriter {
  private frames: Buffer[] = [];
  private bytes = 0;

  constructor(private sequence: number) {}

  /** Whether the collected frames reach the size of a chunk. */
  get isFull(): boolean {
    return this.bytes >= WRITE_CHUNK_BYTES;
  }

  /** Adds one packet; a long one becomes several frames. */
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

  /** Returns the frames collected since the last call. */
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
