/** Reads a COM_CHANGE_USER. */

import {MalformedPacketError} from './execute_params.js';
import type {PacketReader} from './library.js';
import {ClientFlag} from './protocol.js';

/** What a caller asks for, and how it proves that it may. */
export interface ChangeUserRequest {
  readonly user: string;
  /** Proof of the password, made with the challenge of the greeting. */
  readonly authToken: Buffer;
  /** The database named, or an empty text. */
  readonly database: string;
  readonly connectAttributes: Readonly<Record<string, string>>;
}

const ENCODING = 'utf8';

/** Reads pairs of names and values behind their length in bytes. */
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
 * Reads the packet behind its command byte.
 *
 * @param clientFlags capabilities that the caller stated at login.
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
    throw new MalformedPacketError('a change of user that ends early');
  }
  if (packet.offset < packet.end) {
    // The character set; all text is UTF-8.
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
    throw new MalformedPacketError('a change of user that ends early');
  }
  return {user, authToken, database, connectAttributes};
}
