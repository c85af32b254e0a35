/** Stops this host's acknowledgements in a term. */

import {setFailovers} from './updates.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';

/** A group and the term in which acknowledgements stop. */
type StoppedTerm = Pick<GroupObject, 'id' | 'term'>;

/** Stops acknowledgements of this host in a group's term. */
export function stopAcknowledging(
  board: Blackboard,
  {id, term}: StoppedTerm,
): Change {
  const {stoppedTerm} = board.failovers;
  if ((stoppedTerm.get(id) ?? 0) >= term) {
    return unchanged(board);
  }
  return unchanged(
    setFailovers(board, {stoppedTerm: stoppedTerm.set(id, term)}),
    {type: 'emit', event: {type: 'writes_stopped', group: id, term}},
  );
}
