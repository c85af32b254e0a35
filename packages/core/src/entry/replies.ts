/** Replies that an entry host creates itself. */

import {
  createErrorReply,
  createResultReply,
  finishStatement,
  readCaller,
} from './callers.js';
import {createError, createRolledBackError} from './error.js';
import type {ErrorKind} from './error.js';
import {allocateRequestId} from './requests.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change} from '../engine/engine.js';
import type {CallerId} from '../model/ids.js';
import type {Result} from '../model/outcome.js';

/** Answers the statement being served with a result. */
export function replyResult(
  board: Blackboard,
  id: CallerId,
  result: Result,
): Change {
  const caller = readCaller(board, id);
  return caller === null
    ? unchanged(board)
    : finishStatement(board, id, createResultReply(caller, result));
}

/** Answers the statement being served with an error; it did not run. */
export function replyError(
  board: Blackboard,
  id: CallerId,
  kind: ErrorKind,
  message: string,
): Change {
  const caller = readCaller(board, id);
  if (caller === null) {
    return unchanged(board);
  }
  const {board: next, id: request} = allocateRequestId(board);
  const error = createError(kind, message, request);
  const change = finishStatement(next, id, createErrorReply(caller, error));
  const refused: Action = {
    type: 'record',
    level: 'info',
    event: 'statement_refused',
    fields: {
      request,
      service: caller.service,
      error: kind,
      detail: message,
      view_revision: board.view.revision,
    },
  };
  return {board: change.board, actions: [refused, ...change.actions]};
}

/** Answers that the transaction was lost with the entry host that ran it. */
export function replyRolledBack(board: Blackboard, id: CallerId): Change {
  const caller = readCaller(board, id);
  const error = createRolledBackError(
    'the entry host that held it was lost before COMMIT',
  );
  return caller === null
    ? unchanged(board)
    : finishStatement(board, id, createErrorReply(caller, error));
}
