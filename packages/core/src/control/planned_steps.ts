/**
 * Steps of a planned change of primary at its write owner: writes drain, the
 * next primary catches up, and the group object is updated to name it.
 */

import {PLANNED_DRAIN_MS} from './constants.js';
import {createNextTerm} from './candidate.js';
import {isWriteOwner, readEndpointView} from './control_status.js';
import {stopAcknowledging} from './stop_acknowledging.js';
import {hasRunningWrites} from '../owner/pool_status.js';
import {resumeAcknowledging} from './resume_acknowledging.js';
import type {PlannedChange} from './state.js';
import {
  canUpdateGroup,
  cancelUpdate,
  createAttemptId,
  setFailovers,
  updateGroup,
} from './updates.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {chain, unchanged} from '../engine/engine.js';
import type {Change, Context} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';
import type {GroupId} from '../model/ids.js';

/** The operator or host that requested a planned change. */
export type Requester = PlannedChange['requestedBy'];

/** Stores a planned change of a group, or removes it for null. */
export function setPlanned(
  board: Blackboard,
  group: GroupId,
  planned: PlannedChange | null,
): Blackboard {
  const current = board.failovers.planned;
  return setFailovers(board, {
    planned:
      planned === null ? current.delete(group) : current.set(group, planned),
  });
}

/** Returns the action that sends the result of a change to its requester. */
export function answerRequester(
  requestedBy: Requester,
  ok: boolean,
  detail: string,
): Action {
  if (requestedBy.type === 'operator') {
    return {type: 'answer_operator', ask: requestedBy.ask, ok, detail};
  }
  return {
    type: 'send',
    host: requestedBy.host,
    msg: {type: 'failover_result', ask: requestedBy.ask, ok, detail},
  };
}

/** Abandons a planned change before the update and resumes writes. */
function giveUp(
  board: Blackboard,
  group: GroupObject,
  planned: PlannedChange,
  detail: string,
): Change {
  const {heldUntil} = board.failovers;
  const next = setFailovers(setPlanned(board, group.id, null), {
    heldUntil: heldUntil.delete(group.id),
  });
  return chain(
    next,
    current => resumeAcknowledging(current, group),
    current =>
      unchanged(current, answerRequester(planned.requestedBy, false, detail), {
        type: 'record',
        level: 'warn',
        event: 'planned_change_given_up',
        fields: {group: group.id, detail},
      }),
  );
}

type PhaseHandler = (
  board: Blackboard,
  group: GroupObject,
  planned: PlannedChange,
  ctx: Context,
) => Change;

const PHASE_HANDLERS: Readonly<Record<PlannedChange['phase'], PhaseHandler>> = {
  draining: (board, group, planned, ctx) => {
    const drainedAt = planned.startedAt + PLANNED_DRAIN_MS;
    if (ctx.now < drainedAt && hasRunningWrites(board, group.primary)) {
      return unchanged(board);
    }
    const next = setPlanned(board, group.id, {
      ...planned,
      phase: 'catching_up',
      stoppedAt: ctx.now,
    });
    return chain(
      next,
      current => stopAcknowledging(current, group),
      current =>
        unchanged(current, {
          type: 'emit',
          event: {type: 'probe_wanted', endpoint: group.primary},
        }),
    );
  },
  catching_up: (board, group, planned, ctx) => {
    const {status, statusAt} = readEndpointView(board, group.primary);
    const {stoppedAt, endIndex} = planned;
    if (endIndex !== null || status === null || stoppedAt === null) {
      return unchanged(board);
    }
    if (statusAt === null || statusAt < stoppedAt) {
      return unchanged(board, {
        type: 'emit',
        event: {type: 'probe_wanted', endpoint: group.primary},
      });
    }
    const owner = group.owners[planned.to];
    if (owner === undefined) {
      return giveUp(
        board,
        group,
        planned,
        `Endpoint ${planned.to} has no owner yet; try again in 5 seconds.`,
      );
    }
    const ask = board.pools.nextPositionQuery;
    const next = setPlanned(
      {...board, pools: {...board.pools, nextPositionQuery: ask + 1}},
      group.id,
      {...planned, endIndex: status.position.index, catchUpAsk: ask},
    );
    return unchanged(next, {
      type: 'send',
      host: owner,
      msg: {
        type: 'await_position',
        ask,
        endpoint: planned.to,
        position: status.position,
        timeoutLeftMs: planned.deadline - ctx.now,
      },
    });
  },
  updating: (board, group, planned, ctx) => {
    if (planned.endIndex === null) {
      return unchanged(board);
    }
    if (!canUpdateGroup(board, group.id, ctx.now)) {
      return unchanged(board);
    }
    const candidate = {endpoint: planned.to, index: planned.endIndex};
    return updateGroup(
      board,
      createNextTerm(group, candidate),
      'promote',
      createAttemptId(board, ctx),
      ctx,
    );
  },
};

/** Continues a planned change. */
export function reviewPlanned(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  const planned = board.failovers.planned.get(group.id);
  if (planned === undefined) {
    return unchanged(board);
  }
  if (group.term > planned.term) {
    const hasSucceeded = group.primary === planned.to;
    const detail = `Primary of ${group.id} is ${group.primary} in term ${group.term}.`;
    const next = setFailovers(setPlanned(board, group.id, null), {
      heldUntil: board.failovers.heldUntil.delete(group.id),
    });
    return unchanged(
      next,
      answerRequester(planned.requestedBy, hasSucceeded, detail),
    );
  }
  if (!isWriteOwner(board, group)) {
    return giveUp(
      board,
      group,
      planned,
      `Another host took over ${group.id}'s primary; try again in 5 seconds.`,
    );
  }
  if (ctx.now >= planned.deadline) {
    // An update with unknown result could still be applied, so cancel it first.
    return board.failovers.pendingUpdates.has(group.id)
      ? cancelUpdate(board, group, ctx)
      : giveUp(
          board,
          group,
          planned,
          `Endpoint ${planned.to} did not catch up in time; see its data age in 'lacewingroad groups' and try again.`,
        );
  }
  return PHASE_HANDLERS[planned.phase](board, group, planned, ctx);
}
