/** Graceful shutdown: takes no new work and ends once all work is done. */

import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Feature, Handler} from '../engine/engine.js';
import type {Caller} from '../entry/state.js';
import type {Instant} from '../model/ids.js';
import {isPoolWorkDone} from '../owner/pool_status.js';

/** Interval of the checks whether all work is done. */
const DRAIN_CHECK_MS = 50;

/** Minimum drain time, for other hosts to learn that this one is draining. */
const DRAIN_NOTICE_MS = 1_000;

function isIdle(caller: Caller): boolean {
  return (
    caller.servingSeq === null &&
    caller.tx === null &&
    caller.waiting.length === 0
  );
}

/** Returns actions that close the connections of idle callers. */
function closeIdleCallers(board: Blackboard): readonly Action[] {
  return board.callers.byId
    .valueSeq()
    .filter(isIdle)
    .map((caller): Action => ({type: 'close_caller', caller: caller.id}))
    .toArray();
}

function createTimer(now: Instant): Action {
  return {
    type: 'set_timer',
    at: now + DRAIN_CHECK_MS,
    timer: {name: 'drain'},
  };
}

const handleDrain: Handler<'drain'> = (board, event, ctx) => {
  if (board.self.drainDeadline !== null) {
    return unchanged(board);
  }
  const next: Blackboard = {
    ...board,
    self: {
      ...board.self,
      drainDeadline: event.deadline,
      drainNoticeUntil: ctx.now + DRAIN_NOTICE_MS,
    },
  };
  return unchanged(
    next,
    {type: 'record', level: 'info', event: 'drain_started', fields: {}},
    createTimer(ctx.now),
  );
};

/** Returns whether nothing is in progress for callers or other hosts. */
function isWorkDone(board: Blackboard, now: Instant): boolean {
  const noticeUntil = board.self.drainNoticeUntil ?? now;
  return (
    now >= noticeUntil &&
    board.callers.byId.isEmpty() &&
    board.requests.byId.isEmpty() &&
    isPoolWorkDone(board)
  );
}

function endDrain(board: Blackboard, isComplete: boolean): Change {
  const next = {...board, self: {...board.self, isDrained: true}};
  return unchanged(
    next,
    {
      type: 'record',
      level: isComplete ? 'info' : 'warn',
      event: 'drain_ended',
      fields: {
        is_complete: isComplete,
        requests: board.requests.byId.size,
        callers: board.callers.byId.size,
      },
    },
    {type: 'drained'},
  );
}

const handleTimer: Handler<'timer'> = (board, event, ctx) => {
  const {drainDeadline, isDrained} = board.self;
  if (event.timer.name !== 'drain' || isDrained || drainDeadline === null) {
    return unchanged(board);
  }
  if (isWorkDone(board, ctx.now)) {
    return endDrain(board, true);
  }
  if (ctx.now >= drainDeadline) {
    return endDrain(board, false);
  }
  return unchanged(board, ...closeIdleCallers(board), createTimer(ctx.now));
};

/** Carries out a graceful shutdown. */
export const lifecycleFeature: Feature = {
  name: 'lifecycle',
  handlers: {drain: handleDrain, timer: handleTimer},
};
