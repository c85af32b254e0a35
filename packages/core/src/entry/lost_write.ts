/** Reports writes that were lost in a change of primary to their sessions. */

import {
  createErrorReply,
  finishStatement,
  readCaller,
  updateCaller,
} from './callers.js';
import {createError} from './error.js';
import {storeThenReply} from './holders.js';
import {allocateRequestId} from './requests.js';
import {readTermStart} from './route.js';
import type {Caller} from './state.js';
import {describeView} from '../control/control_status.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Change} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';
import type {Instant, RequestId} from '../model/ids.js';

/**
 * Reports a lost write to its session, once: the session's position becomes the
 * start of the current term, which covers its surviving writes. `sent` is the
 * request that found the loss, or null where none was started yet.
 */
export function replyLostWrite(
  board: Blackboard,
  caller: Caller,
  group: GroupObject,
  sent: RequestId | null,
  now: Instant,
): Change {
  const allocated =
    sent === null ? allocateRequestId(board) : {board, id: sent};
  const request = allocated.id;
  const next = updateCaller(allocated.board, caller.id, {
    positions: caller.positions.set(group.id, readTermStart(group)),
  });
  const current = readCaller(next, caller.id) ?? caller;
  const error = createError(
    'lost_write',
    'a write of this session was lost in a change of primary. This statement did not run. Check the last payments or approvals, and send again what is missing.',
    request,
  );
  const reply = createErrorReply(current, error);
  const change = caller.isNamedSession
    ? storeThenReply(next, current, {group: group.id, request}, reply, now)
    : finishStatement(next, caller.id, reply);
  const lost = caller.positions.get(group.id);
  const start = readTermStart(group);
  const lossRecord: Action = {
    type: 'record',
    level: 'warn',
    event: 'session_write_lost',
    fields: {
      request,
      group: group.id,
      session: caller.session,
      lost_term: lost?.term ?? null,
      lost_index: lost?.index ?? null,
      term: start.term,
      start_index: start.index,
      primary: group.primary,
      ...describeView(board, now),
    },
  };
  return {board: change.board, actions: [lossRecord, ...change.actions]};
}
