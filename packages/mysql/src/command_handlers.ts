/** Handlers of the callers' commands, by command byte. */

import type {CallerId, Event, SqlError} from '@lacewingroad/core';
import {encodePrepared, type RowFormat} from './answer.js';
import type {PacketReader} from './mysql2_types.js';
import {MAX_PLACEHOLDERS, PreparedStatements} from './prepared_statements.js';
import {Command, SqlErrors} from './protocol.js';
import {decodeUtf8} from './utf8.js';

/** Length of the unused flags and iteration count of COM_STMT_EXECUTE. */
const EXECUTE_FIXED_BYTES = 5;

/**
 * Functions of the connection that the handlers call. Each handler must end its
 * command exactly once.
 */
export interface CommandContext {
  readonly getCaller: () => CallerId;
  readonly emit: (event: Event) => void;
  /** Waits for the core's reply; returns the `seq` of the event to emit. */
  readonly expectReply: (format: RowFormat) => number;
  /** Ends the command with the answer that `encode` returns. */
  readonly writeAnswer: (
    encode: (sequence: number, status: number) => Buffer,
  ) => void;
  readonly answerOk: () => void;
  readonly answerError: (error: SqlError) => void;
  /** Ends the command without an answer. */
  readonly finish: () => void;
  /** Closes the caller and opens a new one on the same connection. */
  readonly replaceCaller: () => void;
  /**
   * Replaces the caller with one of another user, or closes the connection when
   * the authentication fails.
   */
  readonly changeUser: (packet: PacketReader) => void;
  /** Closes the connection. */
  readonly quit: () => void;
}

/** Handles one command; the command byte of the packet is already read. */
export type CommandHandler = (packet: PacketReader) => void;

/** Creates the handlers of one connection. */
export function createCommandHandlers(
  ctx: CommandContext,
): ReadonlyMap<number, CommandHandler> {
  const statements = new PreparedStatements();

  /** Decodes the rest of a packet as UTF-8, or answers with an error. */
  const withText =
    (handleText: (text: string) => void): CommandHandler =>
    packet => {
      const text = decodeUtf8(packet.readBuffer());
      if (text === null) {
        ctx.answerError(SqlErrors.notUtf8);
        return;
      }
      handleText(text);
    };

  const query = withText(sql => {
    const statement = {sql, params: null};
    const caller = ctx.getCaller();
    const seq = ctx.expectReply('text');
    ctx.emit({type: 'caller_statement', caller, seq, statement});
  });

  const initDb = withText(service => {
    const caller = ctx.getCaller();
    const seq = ctx.expectReply('text');
    ctx.emit({type: 'caller_use', caller, seq, service});
  });

  const prepare = withText(sql => {
    if (!statements.canAdd(sql)) {
      ctx.answerError(SqlErrors.tooManyStatements);
      return;
    }
    const {id, placeholders} = statements.add(sql);
    if (placeholders > MAX_PLACEHOLDERS) {
      ctx.answerError(SqlErrors.tooManyPlaceholders);
      return;
    }
    ctx.writeAnswer((sequence, status) =>
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
    const seq = ctx.expectReply('binary');
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
    ctx.replaceCaller();
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
