/** Frames exchanged between entry hosts, and their codec. */

import {Packr} from 'msgpackr';
import type {HostId} from '@lacewingroad/core';
import {expandMessage, compactMessage} from './compact.js';
import type {TypedMessage} from './typed_message.js';

/** The first frame in each direction. */
export interface HelloFrame {
  readonly type: 'hello';
  readonly host: HostId;
  /** Unique to each start of the process. */
  readonly incarnation: string;
  /** The sender's hybrid logical clock. */
  readonly stamp: string;
}

/** The messages that a host sent within one turn of its event loop. */
export interface BatchFrame {
  readonly type: 'batch';
  readonly stamp: string;
  readonly msgs: readonly TypedMessage[];
}

/** Any frame. */
export type Frame = HelloFrame | BatchFrame;

/** Longest name of a host that is accepted. */
const MAX_NAME_LENGTH = 1_000;

/** Encodes objects as plain maps, so that each frame can be decoded on its own. */
const packr = new Packr({useRecords: false, useBigIntExtension: true});

/** Encodes a hello as a map, and a batch as an array of its stamp and messages. */
export function encodeFrame(frame: Frame): Buffer {
  return packr.pack(
    frame.type === 'batch'
      ? [frame.stamp, ...frame.msgs.map(compactMessage)]
      : frame,
  );
}

/** Reports whether a value is a map whose `type` is a string. */
function isTypedMap(
  value: unknown,
): value is Readonly<Record<string, unknown>> {
  return (
    typeof value === 'object' &&
    value !== null &&
    typeof (value as {type?: unknown}).type === 'string'
  );
}

/** Parses a hello; returns null if the value is not a valid one. */
function parseHello(
  value: Readonly<Record<string, unknown>>,
): HelloFrame | null {
  const {type, host, incarnation, stamp} = value;
  const isValid =
    type === 'hello' &&
    typeof host === 'string' &&
    host !== '' &&
    host.length <= MAX_NAME_LENGTH &&
    typeof incarnation === 'string' &&
    typeof stamp === 'string';
  return isValid ? {type, host, incarnation, stamp} : null;
}

/** Parses a full or compact message; returns null if it is malformed. */
function parseMessage(value: unknown): TypedMessage | null {
  if (Array.isArray(value)) {
    return expandMessage(value);
  }
  return isTypedMap(value) ? (value as unknown as TypedMessage) : null;
}

/** Parses a batch; returns null if any of its messages is malformed. */
function parseBatch(value: readonly unknown[]): BatchFrame | null {
  const [stamp, ...rest] = value;
  const msgs = rest.map(parseMessage).filter(msg => msg !== null);
  return typeof stamp === 'string' && msgs.length === rest.length
    ? {type: 'batch', stamp, msgs}
    : null;
}

/** Decodes a frame; returns null if it is malformed. */
export function decodeFrame(data: Buffer): Frame | null {
  try {
    const value: unknown = packr.unpack(data);
    if (Array.isArray(value)) {
      return parseBatch(value);
    }
    return isTypedMap(value) ? parseHello(value) : null;
  } catch {
    return null;
  }
}
