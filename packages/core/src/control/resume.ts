/**
 * Ends changes of primary that came to nothing: the primary answers again, or
 * a planned change was given up. An update whose answer was lost is cancelled
 * first, since it could still take effect; then the term goes on.
 */

import {isWriteOwner} from './facts.js';
import {cancelUpdate, setFailovers} from './updates.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Context} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';

/** Lets this host acknowledge again in a group's term. */
export function resumeWriting(board: Blackboard, group: GroupObject): Change {
  const {id, term} = group;
  const {stoppedTerm} = board.failovers;
  if ((stoppedTerm.get(id) ?? 0) < term) {
    return unchanged(board);
  }
  return unchanged(
    setFailovers(board, {stoppedTerm: stoppedTerm.delete(id)}),
    {type: 'emit', event: {type: 'writes_resumed', group: id, term}},
    {
      type: 'record',
      level: 'info',
      event: 'writes_resumed',
      fields: {group: id, term},
    },
  );
}

/** Reviews a group without a fence whose primary answers. */
export function reviewCalm(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  if (board.failovers.pending.has(group.id)) {
    return cancelUpdate(board, group, ctx);
  }
  return isWriteOwner(board, group)
    ? resumeWriting(board, group)
    : unchanged(board);
}
