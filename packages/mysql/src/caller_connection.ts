/**
 * Handles one connection of a caller: the handshake, then commands one at a
 * time in the order of arrival. mysql2 does the framing and the handshake.
 * Commands are dispatched here by their command byte, because mysql2 treats a
 * text SET, PREPARE or EXECUTE as a binary command.
 */

import type {CallerId, Event, Reply, SqlError} from '@lacewingroad/core';
import type {Runtime, Unregister} from '@lacewingroad/runtime';
import {
  encodeError,
  encodeOk,
  encodeReply,
  toStatusFlags,
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
} from './mysql2_types.js';
import * as limits from './limits.js';
import {
  SERVER_CAPABILITIES,
  ServerStatus,
  SqlErrors,
  UTF8MB4_CHARSET,
} from './protocol.js';
import {writeChunks} from './socket_writer.js';

const PROTOCOL_VERSION = 10;
/** Sequence number of a caller's handshake response. */
const HANDSHAKE_RESPONSE_SEQUENCE = 1;
const HEADER_BYTES = 4;
const EMPTY_BUFFER = Buffer.alloc(0);

/** Dependencies of a caller's connection, provided by the adapter. */
export interface CallerConnectionConfig {
  readonly runtime: Runtime;
  readonly getUsers: () => ReadonlyMap<string, CallerUser>;
  readonly serverVersion: string;
  /** Returns a new caller id. */
  readonly nextId: () => CallerId;
  /** Whether another authenticated caller is allowed. */
  readonly canAcceptCaller: () => boolean;
  readonly emit: (event: Event) => void;
  /** Called when the connection gets its first or a new caller id. */
  readonly onOpened: (caller: CallerId) => void;
  /** Called once the connection has ended. */
  readonly onClosed: () => void;
}

/** A connection of a caller. */
export interface CallerConnection {
  /** Returns the current caller id, or null during the handshake. */
  readonly getCaller: () => CallerId | null;
  /** Answers the pending statement; ignored if `seq` is of another one. */
  readonly reply: (seq: number, reply: Reply) => void;
  /** Ends the connection after the answer that is being written. */
  readonly end: () => void;
  /** Ends the connection at once. */
  readonly destroy: () => void;
}

/** The authenticated user, and the database and attributes of its login. */
interface Login {
  readonly user: CallerUser;
  readonly database: string | undefined;
  readonly connectAttributes: Readonly<Record<string, string>> | undefined;
}

/** A statement that waits for the core's reply. */
interface PendingReply {
  readonly seq: number;
  readonly format: RowFormat;
}

/** Handles a connection that mysql2 accepted. */
export function createCallerConnection(
  connection: ServerConnection,
  cfg: CallerConnectionConfig,
): CallerConnection {
  const {stream} = connection;
  const queue = createCommandQueue(stream);
  const mysql2HandlePacket = connection.handlePacket.bind(connection);
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
  let pendingReply: PendingReply | null = null;
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

  /** Closes the connection after flushing the written data. */
  const endGracefully = (last: Buffer = EMPTY_BUFFER): void => {
    isBusy = true;
    queue.clear();
    stream.end(last);
    const deadline = cfg.runtime.now() + limits.LINGER_TIMEOUT_MS;
    cancelLinger();
    cancelLinger = cfg.runtime.at(deadline, () => stream.destroy());
  };

  const endWithError = (sequence: number, error: SqlError): void =>
    endGracefully(encodeError(sequence, error));

  const openCaller = (opened: Login): void => {
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
    const sequence = HANDSHAKE_RESPONSE_SEQUENCE + 1;
    const found = authenticate(cfg.getUsers(), params);
    if (found === null) {
      endWithError(sequence, SqlErrors.accessDenied);
      return;
    }
    if (!cfg.canAcceptCaller()) {
      endWithError(sequence, SqlErrors.tooManyCallers);
      return;
    }
    challenge = params;
    stream.write(encodeOk(sequence, status));
    const {database, connectAttributes} = connection.clientHelloReply;
    openCaller({user: found, database, connectAttributes});
  };

  const finish = (): void => {
    isBusy = false;
    runNext();
  };

  /** Writes an answer, then finishes the command. */
  const writeAnswer = (chunks: Iterable<Buffer>): void => {
    isWriting = true;
    const onWritten = (): void => {
      isWriting = false;
      if (isEnding) {
        endGracefully();
        return;
      }
      finish();
    };
    void writeChunks(stream, chunks, cfg.runtime).then(onWritten, close);
  };

  const answerOk = (): void => writeAnswer([encodeOk(answerSequence, status)]);

  const answerError = (error: SqlError): void =>
    writeAnswer([encodeError(answerSequence, error)]);

  const expectReply = (format: RowFormat): number => {
    seq += 1;
    pendingReply = {seq, format};
    return seq;
  };

  const replaceCaller = (opened: Login): void => {
    cfg.emit({type: 'caller_closed', caller: caller!});
    openCaller(opened);
  };

  const changeUser = (packet: PacketReader): void => {
    const {clientFlags} = connection.clientHelloReply;
    const req = readChangeUser(packet, clientFlags);
    const user = authenticate(cfg.getUsers(), {...challenge!, ...req});
    if (user === null) {
      endWithError(answerSequence, SqlErrors.accessDenied);
      return;
    }
    replaceCaller({...req, user});
    answerOk();
  };

  const handlers = createCommandHandlers({
    getCaller: () => caller!,
    emit: cfg.emit,
    expectReply,
    writeAnswer: encode => writeAnswer([encode(answerSequence, status)]),
    answerOk,
    answerError,
    finish,
    replaceCaller: () => replaceCaller(login!),
    changeUser,
    quit: () => endGracefully(),
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
      endWithError(answerSequence, SqlErrors.malformedPacket);
    }
  };

  const onCommand = (packet: PacketReader): void => {
    if (readPacketBytes(packet) === 0) {
      endWithError(packet.sequenceId + 1, SqlErrors.malformedPacket);
      return;
    }
    queue.push(packet);
    runNext();
  };

  const onHandshakeResponse = (packet: PacketReader): void => {
    const isValid =
      packet.sequenceId === HANDSHAKE_RESPONSE_SEQUENCE &&
      connection.sequenceId === HANDSHAKE_RESPONSE_SEQUENCE &&
      readPacketBytes(packet) <= limits.MAX_HANDSHAKE_BYTES;
    if (!isValid) {
      endWithError(packet.sequenceId + 1, SqlErrors.badHandshake);
      return;
    }
    mysql2HandlePacket(packet);
  };

  const onPacket = (packet?: PacketReader): void => {
    if (packet === undefined) {
      mysql2HandlePacket();
      return;
    }
    if (isClosed || stream.writableEnded) {
      return;
    }
    if (caller === null) {
      onHandshakeResponse(packet);
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
      endWithError(largePacketParts.length + 1, SqlErrors.packetTooLarge);
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
    reply: (replySeq, reply) => {
      if (isClosed || pendingReply?.seq !== replySeq) {
        return;
      }
      const {format} = pendingReply;
      pendingReply = null;
      if (reply.type === 'result') {
        status = toStatusFlags(reply.inTx, reply.autocommit);
      }
      writeAnswer(encodeReply(reply, answerSequence, format));
    },
    end: () => {
      isEnding = true;
      if (!isWriting) {
        endGracefully();
      }
    },
    destroy: close,
  };
}
