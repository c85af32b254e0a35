/**
 * One connection of a caller: handshake, then commands, one at a time in the
 * order of their arrival. The library frames packets and shakes hands; commands
 * are told apart here by their command byte, because the library takes a text
 * SET, PREPARE or EXECUTE for a binary command.
 */

import type {CallerId, Event, Reply, SqlError} from '@lacewingroad/core';
import type {Runtime, Unregister} from '@lacewingroad/runtime';
import {
  encodeError,
  encodeOk,
  encodeReply,
  readStatus,
  type RowFormat,
} from './answer.js';
import {authenticate, type CallerUser} from './auth.js';
import {readChangeUser} from './change_user.js';
import {createCommandHandlers} from './command_handlers.js';
import {createCommandQueue, readPacketBytes} from './command_queue.js';
import type {
  AuthParams,
  Challenge,
  PacketReader,
  ServerConnection,
} from './library.js';
import * as limits from './limits.js';
import {
  SERVER_CAPABILITIES,
  ServerStatus,
  SqlErrors,
  UTF8MB4_CHARSET,
} from './protocol.js';
import {writeChunks} from './socket_writer.js';

const PROTOCOL_VERSION = 10;
/** Sequence number of a caller's answer to the greeting. */
const HELLO_REPLY_SEQUENCE = 1;
const HEADER_BYTES = 4;
const NOTHING = Buffer.alloc(0);

/** What a connection needs from its adapter. */
export interface CallerConnectionConfig {
  readonly runtime: Runtime;
  readonly readUsers: () => ReadonlyMap<string, CallerUser>;
  readonly serverVersion: string;
  /** Returns the next caller id. */
  readonly nextId: () => CallerId;
  /** Whether another authenticated caller is allowed. */
  readonly hasRoom: () => boolean;
  readonly emit: (event: Event) => void;
  /** Called when the caller gets an id, or a new one. */
  readonly onOpened: (caller: CallerId) => void;
  /** Called once the connection has ended. */
  readonly onClosed: () => void;
}

/** A caller's connection as the adapter uses it. */
export interface CallerConnection {
  /** The current id, or null while the handshake runs. */
  readonly getCaller: () => CallerId | null;
  /** Answers a statement; an answer to another one is ignored. */
  readonly reply: (seq: number, reply: Reply) => void;
  /** Ends the connection after what is being written. */
  readonly end: () => void;
  /** Ends the connection at once. */
  readonly destroy: () => void;
}

/** Who a caller is and what it named when it proved so. */
interface Login {
  readonly user: CallerUser;
  readonly database: string | undefined;
  readonly connectAttributes: Readonly<Record<string, string>> | undefined;
}

interface Waiting {
  readonly seq: number;
  readonly format: RowFormat;
}

/** Takes over a connection that the library accepted. */
export function createCallerConnection(
  connection: ServerConnection,
  cfg: CallerConnectionConfig,
): CallerConnection {
  const {stream} = connection;
  const queue = createCommandQueue(stream);
  const libraryHandlePacket = connection.handlePacket.bind(connection);
  let login: Login | null = null;
  let challenge: Challenge | null = null;
  let caller: CallerId | null = null;
  let isBusy = false;
  let isClosed = false;
  let isOversized = false;
  let isWriting = false;
  let isEnding = false;
  let cancelLinger: Unregister = () => undefined;
  let seq = 0;
  let waiting: Waiting | null = null;
  let answerSequence = 1;
  let status: number = ServerStatus.AUTOCOMMIT;

  const cancelHandshakeTimer = cfg.runtime.at(
    cfg.runtime.now() + limits.HANDSHAKE_TIMEOUT_MS,
    () => stream.destroy(),
  );

  const close = (): void => {
    if (isClosed) {
      return;
    }
    isClosed = true;
    cancelHandshakeTimer();
    cancelLinger();
    queue.clear();
    stream.destroy();
    if (caller !== null) {
      cfg.emit({type: 'caller_closed', caller});
    }
    cfg.onClosed();
  };

  /** Ends the connection once what was written has left. */
  const endSoon = (last: Buffer = NOTHING): void => {
    isBusy = true;
    queue.clear();
    stream.end(last);
    const deadline = cfg.runtime.now() + limits.LINGER_TIMEOUT_MS;
    cancelLinger();
    cancelLinger = cfg.runtime.at(deadline, () => stream.destroy());
  };

  const refuse = (sequence: number, error: SqlError): void =>
    endSoon(encodeError(sequence, error));

  const open = (opened: Login): void => {
    const {user, database, connectAttributes} = opened;
    const id = cfg.nextId();
    login = opened;
    caller = id;
    seq = 0;
    status = ServerStatus.AUTOCOMMIT;
    cfg.onOpened(id);
    cfg.emit({
      type: 'caller_opened',
      caller: id,
      user: user.name,
      service: database === undefined || database === '' ? null : database,
      allowedServices: user.services,
      attributes: Object.fromEntries(Object.entries(connectAttributes ?? {})),
    });
  };

  const onAuth = (params: AuthParams): void => {
    cancelHandshakeTimer();
    const sequence = HELLO_REPLY_SEQUENCE + 1;
    const found = authenticate(cfg.readUsers(), params);
    if (found === null) {
      refuse(sequence, SqlErrors.accessDenied);
      return;
    }
    if (!cfg.hasRoom()) {
      refuse(sequence, SqlErrors.tooManyCallers);
      return;
    }
    challenge = params;
    stream.write(encodeOk(sequence, status));
    const {database, connectAttributes} = connection.clientHelloReply;
    open({user: found, database, connectAttributes});
  };

  const finish = (): void => {
    isBusy = false;
    runNext();
  };

  /** Writes an answer, which ends the command. */
  const write = (chunks: Iterable<Buffer>): void => {
    isWriting = true;
    const onWritten = (): void => {
      isWriting = false;
      if (isEnding) {
        endSoon();
        return;
      }
      finish();
    };
    void writeChunks(stream, chunks, cfg.runtime).then(onWritten, close);
  };

  const answerOk = (): void => write([encodeOk(answerSequence, status)]);

  const answerError = (error: SqlError): void =>
    write([encodeError(answerSequence, error)]);

  const ask = (format: RowFormat): number => {
    seq += 1;
    waiting = {seq, format};
    return seq;
  };

  const reopen = (opened: Login): void => {
    cfg.emit({type: 'caller_closed', caller: caller!});
    open(opened);
  };

  const changeUser = (packet: PacketReader): void => {
    const {clientFlags} = connection.clientHelloReply;
    const req = readChangeUser(packet, clientFlags);
    const user = authenticate(cfg.readUsers(), {...challenge!, ...req});
    if (user === null) {
      refuse(answerSequence, SqlErrors.accessDenied);
      return;
    }
    reopen({...req, user});
    answerOk();
  };

  const handlers = createCommandHandlers({
    getCaller: () => caller!,
    emit: cfg.emit,
    ask,
    answer: encode => write([encode(answerSequence, status)]),
    answerOk,
    answerError,
    finish,
    reopen: () => reopen(login!),
    changeUser,
    quit: () => endSoon(),
  });

  const runNext = (): void => {
    const packet = isBusy || isClosed ? undefined : queue.shift();
    if (packet === undefined) {
      return;
    }
    isBusy = true;
    answerSequence = (packet.sequenceId + packet.numPackets) & 0xff;
    const handle = handlers.get(packet.readInt8());
    if (handle === undefined) {
      answerError(SqlErrors.unknownCommand);
      return;
    }
    try {
      handle(packet);
    } catch {
      refuse(answerSequence, SqlErrors.malformedPacket);
    }
  };

  const onCommand = (packet: PacketReader): void => {
    if (readPacketBytes(packet) === 0) {
      refuse(packet.sequenceId + 1, SqlErrors.malformedPacket);
      return;
    }
    queue.push(packet);
    runNext();
  };

  const onHelloReply = (packet: PacketReader): void => {
    const isSane =
      packet.sequenceId === HELLO_REPLY_SEQUENCE &&
      connection.sequenceId === HELLO_REPLY_SEQUENCE &&
      readPacketBytes(packet) <= limits.MAX_HANDSHAKE_BYTES;
    if (!isSane) {
      refuse(packet.sequenceId + 1, SqlErrors.badHandshake);
      return;
    }
    libraryHandlePacket(packet);
  };

  const onPacket = (packet?: PacketReader): void => {
    if (packet === undefined) {
      libraryHandlePacket();
      return;
    }
    if (isClosed || stream.writableEnded) {
      return;
    }
    if (caller === null) {
      onHelloReply(packet);
      return;
    }
    onCommand(packet);
  };

  const checkSize = (): void => {
    const {bufferLength, largePacketParts} = connection.packetParser;
    const largest =
      caller === null ? limits.MAX_HANDSHAKE_BYTES : limits.MAX_PACKET_BYTES;
    const pending = largePacketParts.reduce(
      (sum, part) => sum + part.length,
      bufferLength,
    );
    if (isOversized || pending <= largest + HEADER_BYTES) {
      return;
    }
    isOversized = true;
    if (!stream.writableEnded) {
      refuse(largePacketParts.length + 1, SqlErrors.packetTooLarge);
    }
    stream.destroySoon();
  };

  connection.handlePacket = onPacket;
  connection.on('error', close);
  stream.on('error', close);
  stream.on('close', close);
  stream.on('end', close);
  stream.on('data', checkSize);
  stream.setNoDelay(true);
  stream.setKeepAlive(true, limits.KEEPALIVE_DELAY_MS);
  connection.serverHandshake({
    protocolVersion: PROTOCOL_VERSION,
    serverVersion: cfg.serverVersion,
    connectionId: 1,
    statusFlags: ServerStatus.AUTOCOMMIT,
    characterSet: UTF8MB4_CHARSET,
    capabilityFlags: SERVER_CAPABILITIES,
    authCallback: onAuth,
  });

  return {
    getCaller: () => caller,
    reply: (answered, reply) => {
      if (isClosed || waiting?.seq !== answered) {
        return;
      }
      const {format} = waiting;
      waiting = null;
      if (reply.type === 'result') {
        status = readStatus(reply.inTx, reply.autocommit);
      }
      write(encodeReply(reply, answerSequence, format));
    },
    end: () => {
      isEnding = true;
      if (!isWriting) {
        endSoon();
      }
    },
    destroy: close,
  };
}
