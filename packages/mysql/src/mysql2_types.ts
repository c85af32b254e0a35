/**
 * Types of mysql2's server side that its own type declarations omit. Only
 * `caller_connection.ts` uses the packet parser and replaces `handlePacket`.
 */

import type {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';

/** A received packet with a read position; mysql2 reuses the object. */
export interface PacketReader {
  readonly sequenceId: number;
  readonly numPackets: number;
  readonly buffer: Buffer;
  readonly offset: number;
  readonly end: number;
  readonly clone: () => PacketReader;
  readonly skip: (bytes: number) => void;
  readonly readInt8: () => number;
  readonly readInt16: () => number;
  readonly readInt32: () => number;
  readonly readFloat: () => number;
  readonly readDouble: () => number;
  readonly readBuffer: (bytes?: number) => Buffer;
  readonly readLengthCodedBuffer: () => Buffer | null;
  readonly readLengthCodedNumber: () => number;
  readonly readLengthCodedString: (encoding: string) => string | null;
  readonly readNullTerminatedString: (encoding: string) => string;
  readonly readDateTimeString: (
    decimals: number,
    separator: string,
    columnType: number,
  ) => string;
  readonly readTimeString: (asMs: boolean, decimals: number) => string;
}

/** A caller's handshake response packet. */
interface HandshakeResponse {
  readonly user: string;
  /** Capability flags of the caller. */
  readonly clientFlags: number;
  readonly database?: string;
  readonly connectAttributes?: Readonly<Record<string, string>>;
}

/** The random bytes in the greeting, input of the authentication response. */
export interface Challenge {
  readonly authPluginData1: Buffer;
  readonly authPluginData2: Buffer;
}

/** The argument of mysql2's authentication callback. */
export interface AuthParams extends Challenge {
  readonly user: string;
  readonly authToken: Buffer | string;
}

/** Arguments of `serverHandshake`. */
interface HandshakeArgs {
  readonly protocolVersion: number;
  readonly serverVersion: string;
  readonly connectionId: number;
  readonly statusFlags: number;
  readonly characterSet: number;
  readonly capabilityFlags: number;
  readonly authCallback: (params: AuthParams) => void;
}

/** A connection that mysql2's server accepted. */
export interface ServerConnection extends EventEmitter {
  readonly stream: Socket;
  readonly clientHelloReply: HandshakeResponse;
  readonly packetParser: {
    readonly bufferLength: number;
    readonly largePacketParts: readonly Buffer[];
  };
  readonly serverHandshake: (args: HandshakeArgs) => void;
  sequenceId: number;
  handlePacket: (packet?: PacketReader) => void;
}
