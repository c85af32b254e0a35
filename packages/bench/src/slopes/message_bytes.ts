/** Counts the bytes of messages between entry hosts, as encoded. */

import type {PeerMessage} from '@lacewingroad/core';
import {encodeFrame} from '@lacewingroad/peer';

/** A stamp of the usual length; every frame carries one. */
const STAMP = '0001764830000000.000000';
/** Header of a WebSocket frame from the connecting side, with its mask. */
const WS_HEADER_BYTES = 8;
/** IPv4 and TCP headers with timestamps, of the segment and of its ACK. */
const SEGMENT_BYTES = 2 * 52;

/** Returns the bytes of a frame with the given messages. */
function countFrameBytes(msgs: readonly PeerMessage[]): number {
  return encodeFrame({type: 'batch', stamp: STAMP, msgs}).length;
}

/** Returns the bytes of a message within a frame. */
export function countMessageBytes(msg: PeerMessage): number {
  return countFrameBytes([msg]) - countFrameBytes([]);
}

/** Returns the bytes on the wire of a frame that carries one message. */
export function countWireBytes(msg: PeerMessage): number {
  return countFrameBytes([msg]) + WS_HEADER_BYTES + SEGMENT_BYTES;
}
