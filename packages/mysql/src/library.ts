/**
 * The parts of mysql2's server side that its type declarations leave out.
 * Everything that relies on them is in this module and `caller_connection.ts`.
 */

import type {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';

/** A received packet, which reads itself; the library uses it again. */
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

/** What a caller sent in its handshake. */
interface HelloReply {
  readonly user: string;
  /** Capabilities that the caller stated. */
  readonly clientFlags: number;
  readonly database?: string;
  readonly connectAttributes?: Readonly<Record<string, string>>;
}

/** The random bytes of the greeting, which proofs of passwords answer. */
export interface Challenge {
  readonly authPluginData1: Buffer;
  readonly authPluginData2: Buffer;
}

/** What the library passes to the authentication callback. */
export interface AuthParams extends Challenge {
  readonly user: string;
  readonly authToken: Buffer | string;
}

/** Arguments of the server's handshake. */
interface HandshakeArgs {
  readonly protocolVersion: number;
  readonly serverVersion: string;
  readonly connectionId: number;
  readonly statusFlags: number;
  readonly characterSet: number;
  readonly capabilityFlags: number;
  readonly authCallback: (params: AuthParams) => void;
}

/** A connection that the library accepted. */
export interface ServerConnection extends EventEmitter {
  readonly stream: Socket;
  readonly clientHelloReply: HelloReply;
  readonly packetParser: {
    readonly bufferLength: number;
    readonly largePacketParts: readonly Buffer[];
  };
  readonly serverHandshake: (args: HandshakeArgs) => void;
  sequenceId: number;
  handlePacket: (packet?: PacketReader) => void;
}
