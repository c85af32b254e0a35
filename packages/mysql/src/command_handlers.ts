/** What each command of a caller does, by its command byte. */

import type {CallerId, Event, SqlError} from '@lacewingroad/core';
import {encodePrepared, type RowFormat} from './answer.js';
import type {PacketReader} from './library.js';
import {MAX_PLACEHOLDERS, PreparedStatements} from './prepared_statements.js';
import {Command, SqlErrors} from './protocol.js';
import {decodeUtf8} from './utf8.js';

/** Flags and iteration count of an execution, which are not used, in bytes. */
const EXECUTE_FIXED_BYTES = 5;

/** The connection as commands see it; each command must end exactly once. */
export interface CommandContext {
  readonly getCaller: () => CallerId;
  readonly emit: (event: Event) => void;
  /** Waits for the library's reply and returns the number to ask it with. */
  readonly ask: (format: RowFormat) => number;
  /** Ends the command with an answer written from `sequence` on. */
  readonly answer: (
    encode: (sequence: number, status: number) => Buffer,
  ) => void;
  readonly answerOk: () => void;
  readonly answerError: (error: SqlError) => void;
  /** Ends the command without an answer. */
  readonly finish: () => void;
  /** Ends the caller and opens another one on the connection. */
  readonly reopen: () => void;
  /** Does the same for another user, or ends a connection without proof. */
  readonly changeUser: (packet: PacketReader) => void;
  /** Ends the connection. */
  readonly quit: () => void;
}

/** Handles one command; the packet stands behind the command byte. */
export type CommandHandler = (packet: PacketReader) => void;

/** Creates the handlers of one connection. */
export function createCommandHandlers(
  ctx: CommandContext,
): ReadonlyMap<number, CommandHandler> {
  const statements = new PreparedStatements();

  /** Reads the rest of a packet as text, or answers with an error. */
  const withText =
    (use: (text: string) => void): CommandHandler =>
    packet => {
      const text = decodeUtf8(packet.readBuffer());
      if (text === null) {
        ctx.answerError(SqlErrors.notUtf8);
        return;
      }
      use(text);
    };

  const query = withText(sql => {
    const statement = {sql, params: null};
    const caller = ctx.getCaller();
    const seq = ctx.ask('text');
    ctx.emit({type: 'caller_statement', caller, seq, statement});
  });

  const initDb = withText(service => {
    const caller = ctx.getCaller();
    const seq = ctx.ask('text');
    ctx.emit({type: 'caller_use', caller, seq, service});
  });

  const prepare = withText(sql => {
    if (!statements.hasRoomFor(sql)) {
      ctx.answerError(SqlErrors.tooManyStatements);
      return;
    }
    const {id, placeholders} = statements.add(sql);
    if (placeholders > MAX_PLACEHOLDERS) {
      ctx.answerError(SqlErrors.tooManyPlaceholders);
      return;
    }
    ctx.answer((sequence, status) =>
      encodePrepared(sequence, id, placeholders, status),
    );
  });

  const execute: CommandHandler = packet => {
    const id = packet.readInt32();
    packet.skip(EXECUTE_FIXED_BYTES);
    const statement = statements.bind(id, packet);
    if (statement === null) {
      ctx.answerError(SqlErrors.unknownStatement);
      return;
    }
    const caller = ctx.getCaller();
    const seq = ctx.ask('binary');
    ctx.emit({type: 'caller_statement', caller, seq, statement});
  };

  const sendLongData: CommandHandler = packet => {
    const id = packet.readInt32();
    const param = packet.readInt16();
    statements.appendLongData(id, param, packet.readBuffer());
    ctx.finish();
  };

  const closeStatement: CommandHandler = packet => {
    statements.remove(packet.readInt32());
    ctx.finish();
  };

  const resetStatement: CommandHandler = packet => {
    if (statements.reset(packet.readInt32())) {
      ctx.answerOk();
      return;
    }
    ctx.answerError(SqlErrors.unknownStatement);
  };

  const resetConnection: CommandHandler = () => {
    statements.clear();
    ctx.reopen();
    ctx.answerOk();
  };

  const changeUser: CommandHandler = packet => {
    statements.clear();
    ctx.changeUser(packet);
  };

  return new Map<number, CommandHandler>([
    [Command.QUIT, ctx.quit],
    [Command.INIT_DB, initDb],
    [Command.QUERY, query],
    [Command.PING, ctx.answerOk],
    [Command.CHANGE_USER, changeUser],
    [Command.STMT_PREPARE, prepare],
    [Command.STMT_EXECUTE, execute],
    [Command.STMT_SEND_LONG_DATA, sendLongData],
    [Command.STMT_CLOSE, closeStatement],
    [Command.STMT_RESET, resetStatement],
    [Command.RESET_CONNECTION, resetConnection],
  ]);
}
