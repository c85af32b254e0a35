/** Queues the commands that a caller sends ahead of its running command. */

import type {Socket} from 'node:net';
import type {PacketReader} from './mysql2_types.js';
import {MAX_QUEUED_BYTES, MAX_QUEUED_COMMANDS} from './limits.js';

/** A queue of commands; pauses the caller's socket when it is too long. */
export interface CommandQueue {
  readonly push: (packet: PacketReader) => void;
  /** Removes and returns the oldest command. */
  readonly shift: () => PacketReader | undefined;
  readonly clear: () => void;
}

/** Returns the length of a packet without its header, in bytes. */
export function readPacketBytes(packet: PacketReader): number {
  return packet.end - packet.offset;
}

/** Creates the queue of one connection. */
export function createCommandQueue(stream: Socket): CommandQueue {
  const packets: PacketReader[] = [];
  let bytes = 0;

  const resumeIfShort = (): void => {
    const isShort =
      packets.length <= MAX_QUEUED_COMMANDS / 2 &&
      bytes <= MAX_QUEUED_BYTES / 2;
    if (isShort && stream.isPaused()) {
      stream.resume();
    }
  };

  return {
    push: packet => {
      packets.push(packet.clone());
      bytes += readPacketBytes(packet);
      const isLong =
        packets.length > MAX_QUEUED_COMMANDS || bytes > MAX_QUEUED_BYTES;
      if (isLong) {
        stream.pause();
      }
    },
    shift: () => {
      const packet = packets.shift();
      if (packet !== undefined) {
        bytes -= readPacketBytes(packet);
        resumeIfShort();
      }
      return packet;
    },
    clear: () => {
      packets.length = 0;
    },
  };
}
