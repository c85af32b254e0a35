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

/** Replaces parts of a caller; does nothing when it has gone. */
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

/** Returns the reply that gives a result to a caller. */
export function createResultReply(caller: Caller, result: Result): Reply {
  return {
    type: 'result',
    result,
    inTx: caller.tx !== null,
    autocommit: caller.autocommit,
  };
}

/** Returns the reply that gives an error to a caller. */
export function createErrorReply(caller: Caller, error: SqlError): Reply {
  return {type: 'error', error, inTx: caller.tx !== null};
}

/**
 * Answers the statement that a caller is waiting for, and lets the next one
 * begin.
 */
export function finishStatement(
  board: Blackboard,
  id: CallerId,
  reply: Reply,
): Change {
  const caller = readCaller(board, id);
  if (caller === null || caller.serving === null) {
    return unchanged(board);
  }
  return unchanged(
    updateCaller(board, id, {serving: null, request: null}),
    {type: 'reply', caller: id, seq: caller.serving, reply},
    {type: 'emit', event: {type: 'caller_ready', caller: id}},
  );
}
