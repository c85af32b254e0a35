/**
 * Planned changes of primary. The write owner holds back new writes, lets
 * running ones finish, waits until the next primary has caught up, and promotes
 * it. No write is lost, and the primary stays if a step fails.
 */

import {FRESH_REPORT_MS, PLANNED_TIMEOUT_MS} from './constants.js';
import {chooseCandidate} from './candidate.js';
import {isWriteOwner, readGroup, readReport} from './control_status.js';
import {mayChangePrimary} from './confirmation.js';
import {answerRequester, setPlanned} from './planned_steps.js';
import type {Requester} from './planned_steps.js';
import type {PlannedChange} from './state.js';
import {setFailovers} from './updates.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Feature, Handler} from '../engine/engine.js';
import {findEndpoint, findWriteOwner} from '../model/group.js';
import type {GroupObject} from '../model/group.js';
import type {EndpointId, GroupId, Instant} from '../model/ids.js';
import type {EndpointReport} from '../model/message.js';

/** Returns why a planned change cannot start, or null when it can. */
function findRefusalReason(
  board: Blackboard,
  group: GroupObject,
  to: EndpointId | null,
  now: Instant,
): string | null {
  const target = to === null ? null : findEndpoint(group, to);
  if (group.fence !== null || board.failovers.planned.has(group.id)) {
    return `A change of primary of ${group.id} is in progress; wait until it is over, then look at 'lacewingroad groups'.`;
  }
  if (!mayChangePrimary(board, group, now)) {
    return `The owner of ${group.id}'s primary changed a few seconds ago; try again in 5 seconds.`;
  }
  if (to !== null && target === null) {
    return `Group ${group.id} has no endpoint ${to}; choose one of ${group.endpoints.map(e => e.id).join(', ')}.`;
  }
  if (to === group.primary) {
    return `Endpoint ${to} is the primary already; nothing to do.`;
  }
  if (target?.leaving === true) {
    return `Endpoint ${to ?? ''} is leaving; choose another.`;
  }
  return null;
}

/** Returns this host's recent reports of the group's endpoints. */
function listOwnReports(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): readonly EndpointReport[] {
  return group.endpoints
    .map(endpoint => readReport(board, endpoint.id, now))
    .filter(report => report !== null)
    .filter(report => report.ageMs <= FRESH_REPORT_MS);
}

function chooseTarget(
  board: Blackboard,
  group: GroupObject,
  to: EndpointId | null,
  now: Instant,
): EndpointId | null {
  if (to !== null) {
    return to;
  }
  const best = chooseCandidate(group, listOwnReports(board, group, now));
  const other = group.endpoints.find(
    endpoint => endpoint.id !== group.primary && !endpoint.leaving,
  );
  return best?.endpoint ?? other?.id ?? null;
}

function beginPlannedChange(
  board: Blackboard,
  group: GroupObject,
  to: EndpointId | null,
  requestedBy: Requester,
  now: Instant,
): Change {
  const refusalReason = findRefusalReason(board, group, to, now);
  const target = chooseTarget(board, group, to, now);
  if (refusalReason !== null || target === null) {
    const detail =
      refusalReason ?? `Group ${group.id} has no other endpoint to promote.`;
    return unchanged(board, answerRequester(requestedBy, false, detail));
  }
  const deadline = now + PLANNED_TIMEOUT_MS;
  const planned: PlannedChange = {
    to: target,
    term: group.term,
    startedAt: now,
    deadline,
    phase: 'draining',
    stoppedAt: null,
    endIndex: null,
    catchUpAsk: null,
    requestedBy,
  };
  const next = setFailovers(setPlanned(board, group.id, planned), {
    heldUntil: board.failovers.heldUntil.set(group.id, deadline),
  });
  return unchanged(next, {
    type: 'record',
    level: 'info',
    event: 'planned_change_started',
    fields: {group: group.id, term: group.term, to: target},
  });
}

/** Records that the next primary has caught up. */
function markCaughtUp(board: Blackboard, ask: number): Blackboard {
  const found = board.failovers.planned.findEntry(
    planned => planned.catchUpAsk === ask && planned.phase === 'catching_up',
  );
  if (found === undefined) {
    return board;
  }
  const [group, planned] = found;
  return setPlanned(board, group, {...planned, phase: 'updating'});
}

/** Starts a change for an operator, or forwards it to the write owner. */
function startOrForward(
  board: Blackboard,
  groupId: GroupId,
  to: EndpointId | null,
  ask: number,
  now: Instant,
): Change {
  const group = readGroup(board, groupId);
  const requestedBy: Requester = {type: 'operator', ask};
  if (group === null) {
    const known = [...board.view.groups.keys()].sort().join(', ');
    const detail = `There is no group ${groupId}; choose one of ${known}.`;
    return unchanged(board, answerRequester(requestedBy, false, detail));
  }
  const writer = findWriteOwner(group);
  if (writer === board.self.host) {
    return beginPlannedChange(board, group, to, requestedBy, now);
  }
  if (writer === null) {
    const detail = `Group ${groupId} has no owner of its primary yet; try again in 5 seconds.`;
    return unchanged(board, answerRequester(requestedBy, false, detail));
  }
  return unchanged(board, {
    type: 'send',
    host: writer,
    msg: {type: 'failover', ask, group: groupId, to},
  });
}

const handleOperator: Handler<'operator_failover'> = (board, event, ctx) =>
  startOrForward(board, event.group, event.to, event.ask, ctx.now);

const handlePeerMessage: Handler<'peer_message'> = (board, event, ctx) => {
  const {msg, host} = event;
  if (msg.type === 'failover') {
    const group = readGroup(board, msg.group);
    const requestedBy: Requester = {type: 'host', host, ask: msg.ask};
    return group === null || !isWriteOwner(board, group)
      ? unchanged(
          board,
          answerRequester(
            requestedBy,
            false,
            `The owner of ${msg.group}'s primary has just changed; try again in 5 seconds.`,
          ),
        )
      : beginPlannedChange(board, group, msg.to, requestedBy, ctx.now);
  }
  if (msg.type === 'position' && msg.reached) {
    return unchanged(markCaughtUp(board, msg.ask));
  }
  if (msg.type === 'failover_result') {
    const {ask, ok, detail} = msg;
    return unchanged(board, {type: 'answer_operator', ask, ok, detail});
  }
  return unchanged(board);
};

/** Carries out planned changes of primary. */
export const plannedFeature: Feature = {
  name: 'planned',
  handlers: {
    operator_failover: handleOperator,
    peer_message: handlePeerMessage,
  },
};
