/** Periodic review of the groups in which this host owns an endpoint. */

import {FAILOVER_REVIEW_MS} from './constants.js';
import {readGroup} from './control_status.js';
import {reviewFailover} from './failover.js';
import {reviewPlanned} from './planned_steps.js';
import {listOwnGroups} from './probes.js';
import {reviewPromises} from './promises.js';
import {reviewSuccessors} from './succession.js';
import {updateWriterEvidence} from './writer.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {chain, unchanged} from '../engine/engine.js';
import type {Change, Context, Feature, Handler} from '../engine/engine.js';
import type {GroupId} from '../model/ids.js';

function reviewGroup(board: Blackboard, id: GroupId, ctx: Context): Change {
  const group = readGroup(board, id);
  if (group === null) {
    return unchanged(board);
  }
  return chain(
    board,
    current => reviewPromises(current, group, ctx.now),
    current => reviewPlanned(current, group, ctx),
    current =>
      current.failovers.planned.has(id)
        ? unchanged(current)
        : reviewFailover(current, group, ctx),
  );
}

/** Returns the groups of owned endpoints and of this host's planned changes. */
function listReviewed(board: Blackboard): readonly GroupId[] {
  const own = listOwnGroups(board).map(group => group.id);
  return [...new Set([...own, ...board.failovers.planned.keys()])];
}

function createTimer(ctx: Context): Action {
  return {
    type: 'set_timer',
    at: ctx.now + FAILOVER_REVIEW_MS,
    timer: {name: 'failovers'},
  };
}

const handleStarted: Handler<'started'> = (board, _event, ctx) =>
  unchanged(board, createTimer(ctx));

const handleTimer: Handler<'timer'> = (board, event, ctx) => {
  if (event.timer.name !== 'failovers' || board.self.isDrained) {
    return unchanged(board);
  }
  const steps = listReviewed(board).map(
    id => (current: Blackboard) => reviewGroup(current, id, ctx),
  );
  const change = chain(
    updateWriterEvidence(board),
    current => reviewSuccessors(current, ctx.now),
    ...steps,
  );
  return {
    board: change.board,
    actions: [...change.actions, createTimer(ctx)],
  };
};

/** Reviews a group at once when its object changed. */
const handleGroupChanged: Handler<'group_changed'> = (board, event, ctx) => {
  const isOwnGroup = listOwnGroups(board).some(
    group => group.id === event.group,
  );
  return isOwnGroup ? reviewGroup(board, event.group, ctx) : unchanged(board);
};

/** Drives promises and changes of primary. */
export const reviewFeature: Feature = {
  name: 'review',
  handlers: {
    started: handleStarted,
    timer: handleTimer,
    group_changed: handleGroupChanged,
  },
};
