/** Replies that an entry host gives by itself. */

import {
  createErrorReply,
  createResultReply,
  finishStatement,
  readCaller,
} from './callers.js';
import {createError, createRolledBackError} from './error.js';
import type {ErrorKind} from './error.js';
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

/** Answers the statement being served with an error; nothing ran. */
export function replyError(
  board: Blackboard,
  id: CallerId,
  kind: ErrorKind,
  message: string,
): Change {
  const caller = readCaller(board, id);
  const error = createError(kind, message);
  return caller === null
    ? unchanged(board)
    : finishStatement(board, id, createErrorReply(caller, error));
}

/** Tells a caller that its transaction was lost with its entry host. */
export function replyRolledBack(board: Blackboard, id: CallerId): Change {
  const caller = readCaller(board, id);
  const error = createRolledBackError(
    'the entry host that held it was lost before COMMIT',
  );
  return caller === null
    ? unchanged(board)
    : finishStatement(board, id, createErrorReply(caller, error));
}
