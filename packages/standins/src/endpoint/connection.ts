/**
 * Serves one MySQL connection. mysql2 frames the packets and runs the
 * handshake. After the login this module handles the commands itself, because
 * the server side of mysql2 drops SET statements, NULLs and most parameter
 * types.
 */

import type {Socket} from 'node:net';
import type {Reply} from './executor.js';
import type {Session} from './session.js';
import type {ParsedSql} from './sql_ast.js';
import {parseSql} from './sql_parser.js';
import {LEDGER_ERRORS, LedgerError} from './values.js';
import type {ColumnDef, SqlValue} from './values.js';
import {
  SERVER_STATUS,
  encodeBinaryRow,
  encodeColumn,
  encodeEof,
  encodeError,
  encodeOk,
  encodePrepared,
  encodeTextRow,
  readParams,
} from './wire.js';
import type {ParamType} from './wire.js';

const COMMANDS = {
  quit: 0x01,
  initDb: 0x02,
  query: 0x03,
  ping: 0x0e,
  prepare: 0x16,
  execute: 0x17,
  sendLongData: 0x18,
  closeStatement: 0x19,
  resetStatement: 0x1a,
  resetConnection: 0x1f,
} as const;

const HEADER_BYTES = 4;
/** Buffered bytes above which they are written to the socket. */
const FLUSH_THRESHOLD_BYTES = 65_536;

interface PreparedStatement {
  readonly parsed: ParsedSql;
  types: readonly ParamType[];
  readonly longData: Map<number, Buffer>;
}

type CommandHandler = (payload: Buffer) => Promise<void> | void;

/** Writes the packets of one response. */
export interface ResponseWriter {
  readonly writePacket: (payload: Buffer) => void;
  /** Writes all buffered packets; resolves once the socket accepts more. */
  readonly flush: () => Promise<void>;
}

/**
 * Starts the response to a command; `firstSeq` is the sequence number of its
 * first packet.
 */
export function createResponseWriter(
  stream: Socket,
  firstSeq = 1,
): ResponseWriter {
  let seq = firstSeq;
  let buffers: Buffer[] = [];
  let bufferedBytes = 0;
  const writeBuffered = (): boolean => {
    const canTakeMore =
      stream.destroyed || stream.write(Buffer.concat(buffers));
    buffers = [];
    bufferedBytes = 0;
    return canTakeMore;
  };
  return {
    writePacket: payload => {
      const header = Buffer.alloc(HEADER_BYTES);
      header.writeUIntLE(payload.length, 0, 3);
      header[3] = seq;
      seq = (seq + 1) & 0xff;
      buffers.push(header, payload);
      bufferedBytes += payload.length + HEADER_BYTES;
      if (bufferedBytes > FLUSH_THRESHOLD_BYTES) {
        writeBuffered();
      }
    },
    flush: async () => {
      if (writeBuffered() || stream.destroyed) {
        return;
      }
      await new Promise<void>(resolve => {
        const finish = (): void => {
          stream.off('drain', finish);
          stream.off('close', finish);
          resolve();
        };
        stream.on('drain', finish);
        stream.on('close', finish);
      });
    },
  };
}

function isLedgerError(err: unknown): err is LedgerError {
  return err instanceof LedgerError;
}

function toLedgerError(err: unknown): LedgerError {
  return isLedgerError(err)
    ? err
    : new LedgerError(1105, 'HY000', `internal: ${String(err)}`);
}

/** Returns a function that queues commands and runs them one at a time. */
export function serveCommands(
  stream: Socket,
  session: Session,
  beforeResponse: () => Promise<void>,
): (payload: Buffer) => void {
  const statements = new Map<number, PreparedStatement>();
  let nextStatementId = 1;
  let lastCommand: Promise<void> = Promise.resolve();

  const status = (): number =>
    session.isInTransaction()
      ? SERVER_STATUS.autocommit | SERVER_STATUS.inTransaction
      : SERVER_STATUS.autocommit;

  const writeColumns = (
    writer: ResponseWriter,
    columns: readonly ColumnDef[],
  ): void => {
    columns.forEach(column => writer.writePacket(encodeColumn(column)));
    writer.writePacket(encodeEof(status()));
  };

  const sendReply = async (reply: Reply, isBinary: boolean): Promise<void> => {
    await beforeResponse();
    const writer = createResponseWriter(stream);
    if (reply.type === 'ok') {
      const {affectedRows, insertId, info} = reply;
      writer.writePacket(encodeOk(affectedRows, insertId, status(), info));
      await writer.flush();
      return;
    }
    writer.writePacket(Buffer.from([reply.columns.length]));
    writeColumns(writer, reply.columns);
    reply.rows.forEach(row =>
      writer.writePacket(
        isBinary ? encodeBinaryRow(row, reply.columns) : encodeTextRow(row),
      ),
    );
    writer.writePacket(encodeEof(status()));
    await writer.flush();
  };

  const sendOk = (): Promise<void> =>
    sendReply({type: 'ok', affectedRows: 0, insertId: 0, info: ''}, false);

  const sendError = async (err: unknown): Promise<void> => {
    await beforeResponse();
    const writer = createResponseWriter(stream);
    writer.writePacket(encodeError(toLedgerError(err)));
    await writer.flush();
  };

  const findStatement = (payload: Buffer): PreparedStatement => {
    const statement = statements.get(payload.readUInt32LE(1));
    if (statement === undefined) {
      throw LEDGER_ERRORS.unknownStatement();
    }
    return statement;
  };

  const prepare = async (payload: Buffer): Promise<void> => {
    const parsed = parseSql(payload.toString('utf8', 1));
    const id = nextStatementId++;
    statements.set(id, {parsed, types: [], longData: new Map()});
    await beforeResponse();
    const writer = createResponseWriter(stream);
    // Columns are sent only on execution, when the types of the values are
    // known.
    writer.writePacket(encodePrepared(id, 0, parsed.paramCount));
    if (parsed.paramCount > 0) {
      const param: ColumnDef = {
        name: '?',
        kind: 'string',
        table: '',
        isAutoIncrement: false,
      };
      writeColumns(writer, new Array<ColumnDef>(parsed.paramCount).fill(param));
    }
    await writer.flush();
  };

  const execute = async (payload: Buffer): Promise<void> => {
    const statement = findStatement(payload);
    const {parsed, types, longData} = statement;
    const bound = readParams(payload, parsed.paramCount, types, longData);
    statement.types = bound.types;
    longData.clear();
    await sendReply(await session.run(parsed, bound.values), true);
  };

  const sendLongData = (payload: Buffer): void => {
    const {longData} = findStatement(payload);
    const param = payload.readUInt16LE(5);
    const previous = longData.get(param) ?? Buffer.alloc(0);
    longData.set(param, Buffer.concat([previous, payload.subarray(7)]));
  };

  const NO_PARAMS: readonly SqlValue[] = [];

  const handlers: Readonly<Record<number, CommandHandler>> = {
    [COMMANDS.quit]: () => {
      stream.end();
    },
    [COMMANDS.initDb]: sendOk,
    [COMMANDS.ping]: sendOk,
    [COMMANDS.query]: async payload => {
      const parsed = parseSql(payload.toString('utf8', 1));
      await sendReply(await session.run(parsed, NO_PARAMS), false);
    },
    [COMMANDS.prepare]: prepare,
    [COMMANDS.execute]: execute,
    [COMMANDS.sendLongData]: sendLongData,
    [COMMANDS.closeStatement]: payload => {
      statements.delete(payload.readUInt32LE(1));
    },
    [COMMANDS.resetStatement]: async payload => {
      findStatement(payload).longData.clear();
      await sendOk();
    },
    [COMMANDS.resetConnection]: async () => {
      session.close();
      statements.clear();
      await sendOk();
    },
  };

  const handle = async (payload: Buffer): Promise<void> => {
    const handler = handlers[payload[0]!];
    try {
      if (handler === undefined) {
        throw new LedgerError(1047, '08S01', 'Unknown command');
      }
      await handler(payload);
    } catch (err) {
      await sendError(err);
    }
  };

  return payload => {
    lastCommand = lastCommand.then(() => handle(payload));
  };
}
