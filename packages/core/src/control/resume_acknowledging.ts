/**
 * Resumes writes after a change of primary was abandoned: the primary answers
 * again, or a planned change was given up. An update with unknown result is
 * cancelled first, since it could still be applied.
 */

import {isWriteOwner} from './control_status.js';
import {cancelUpdate, setFailovers} from './updates.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Context} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';

/** Allows this host to acknowledge writes in a group's term again. */
export function resumeAcknowledging(
  board: Blackboard,
  group: GroupObject,
): Change {
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

/** Reviews a group that has no fence and whose primary is not suspected. */
export function reviewHealthyGroup(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  if (board.failovers.pendingUpdates.has(group.id)) {
    return cancelUpdate(board, group, ctx);
  }
  return isWriteOwner(board, group)
    ? resumeAcknowledging(board, group)
    : unchanged(board);
}
