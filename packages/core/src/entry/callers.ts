/** Reads and updates of the callers slice. */

import type {Caller} from './state.js';
import type {Reply} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change} from '../engine/engine.js';
import type {CallerId} from '../model/ids.js';
import type {Result, SqlError} from '../model/outcome.js';
import type {TableObject} from '../model/table.js';

/** Returns a caller, or null when its connection has ended. */
export function readCaller(board: Blackboard, id: CallerId): Caller | null {
  return board.callers.byId.get(id) ?? null;
}

/** Returns the table of a caller's service, or null when there is none. */
export function readTable(
  board: Blackboard,
  caller: Caller,
): TableObject | null {
  return caller.service === null
    ? null
    : (board.view.tables.get(caller.service)?.value ?? null);
}

/** Replaces parts of a caller; does nothing if its connection has ended. */
export function updateCaller(
  board: Blackboard,
  id: CallerId,
  parts: Partial<Caller>,
): Blackboard {
  const caller = board.callers.byId.get(id);
  if (caller === undefined) {
    return board;
  }
  return {
    ...board,
    callers: {byId: board.callers.byId.set(id, {...caller, ...parts})},
  };
}

/** Returns the reply with a result. */
export function createResultReply(caller: Caller, result: Result): Reply {
  return {
    type: 'result',
    result,
    inTx: caller.tx !== null,
    autocommit: caller.autocommit,
  };
}

/** Returns the reply with an error. */
export function createErrorReply(caller: Caller, error: SqlError): Reply {
  return {type: 'error', error, inTx: caller.tx !== null};
}

/**
 * Answers the statement that is being served for a caller, and allows its next
 * one to start.
 */
export function finishStatement(
  board: Blackboard,
  id: CallerId,
  reply: Reply,
): Change {
  const caller = readCaller(board, id);
  if (caller === null || caller.servingSeq === null) {
    return unchanged(board);
  }
  return unchanged(
    updateCaller(board, id, {servingSeq: null, request: null}),
    {type: 'reply', caller: id, seq: caller.servingSeq, reply},
    {type: 'emit', event: {type: 'caller_ready', caller: id}},
  );
}
