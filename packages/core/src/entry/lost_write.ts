/** Tells sessions of writes that were lost in a change of primary. */

import {
  createErrorReply,
  finishStatement,
  readCaller,
  updateCaller,
} from './callers.js';
import {createError} from './error.js';
import {storeThenReply} from './holders.js';
import {readTermStart} from './route.js';
import type {Caller} from './state.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Change} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';
import type {Instant} from '../model/ids.js';

/**
 * Tells a session of a write that was lost, once. From then on the session
 * holds the start of the current term, which covers its surviving writes.
 */
export function replyLostWrite(
  board: Blackboard,
  caller: Caller,
  group: GroupObject,
  now: Instant,
): Change {
  const next = updateCaller(board, caller.id, {
    positions: caller.positions.set(group.id, readTermStart(group)),
  });
  const current = readCaller(next, caller.id) ?? caller;
  const error = createError(
    'lost_write',
    'a write of this session was lost in a change of primary. This statement did not run. Check the last payments or approvals, and send again what is missing.',
  );
  const reply = createErrorReply(current, error);
  return caller.isNamedSession
    ? storeThenReply(
        next,
        current,
        {group: group.id, request: null},
        reply,
        now,
      )
    : finishStatement(next, caller.id, reply);
}
