/** Parses COM_CHANGE_USER packets. */

import {MalformedPacketError} from './execute_params.js';
import type {PacketReader} from './mysql2_types.js';
import {ClientFlag} from './protocol.js';

/** The content of a COM_CHANGE_USER packet. */
export interface ChangeUserRequest {
  readonly user: string;
  /** Authentication response, computed from password and challenge. */
  readonly authToken: Buffer;
  /** The requested database, or an empty string. */
  readonly database: string;
  readonly connectAttributes: Readonly<Record<string, string>>;
}

const ENCODING = 'utf8';

/** Reads connection attributes, prefixed with their total length in bytes. */
function readAttributes(
  packet: PacketReader,
): Readonly<Record<string, string>> {
  const end = packet.readLengthCodedNumber() + packet.offset;
  const pairs: [string, string][] = [];
  while (packet.offset < Math.min(end, packet.end)) {
    const name = packet.readLengthCodedString(ENCODING) ?? '';
    pairs.push([name, packet.readLengthCodedString(ENCODING) ?? '']);
  }
  return Object.fromEntries(pairs);
}

/**
 * Parses the packet from after its command byte.
 *
 * @param clientFlags capabilities from the caller's handshake response.
 * @throws MalformedPacketError when the packet ends early.
 */
export function readChangeUser(
  packet: PacketReader,
  clientFlags: number,
): ChangeUserRequest {
  const user = packet.readNullTerminatedString(ENCODING);
  const authToken = packet.readBuffer(packet.readInt8());
  const database = packet.readNullTerminatedString(ENCODING);
  if (packet.offset > packet.end) {
    throw new MalformedPacketError('truncated COM_CHANGE_USER');
  }
  if (packet.offset < packet.end) {
    // Skips the character set; all text is UTF-8.
    packet.readInt16();
  }
  if ((clientFlags & ClientFlag.PLUGIN_AUTH) !== 0) {
    packet.readNullTerminatedString(ENCODING);
  }
  const hasAttributes =
    (clientFlags & ClientFlag.CONNECT_ATTRS) !== 0 &&
    packet.offset < packet.end;
  const connectAttributes = hasAttributes ? readAttributes(packet) : {};
  if (packet.offset > packet.end + 1) {
    throw new MalformedPacketError('truncated COM_CHANGE_USER');
  }
  return {user, authToken, database, connectAttributes};
}
