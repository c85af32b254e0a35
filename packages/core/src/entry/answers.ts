/** Handles answers of pool owners, lost connections and deadlines. */

import {CANCEL_ANSWER_MS, DEADLINE_GRACE_MS} from './constants.js';
import {readCaller, updateCaller} from './callers.js';
import {scheduleRetry, sendRequest, retryWaitingRequests} from './dispatch.js';
import {endRequest, recordAttemptEnd} from './end_request.js';
import {
  putRequest,
  readRequest,
  removeRequest,
  setConnected,
  spendRetryToken,
} from './requests.js';
import type {Request} from './state.js';
import {readGroup} from '../control/control_status.js';
import {applyReport} from '../control/probes.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {chain, unchanged} from '../engine/engine.js';
import type {Change, Context, Feature, Handler} from '../engine/engine.js';
import type {HostId} from '../model/ids.js';
import type {RanMessage} from '../model/message.js';
import type {NotRunReason, Outcome} from '../model/outcome.js';
import {getPositionStatus} from '../model/position.js';

/** What happens to a request that a pool owner did not run. */
type NotRunHandling = 'reroute' | 'wait' | 'end';

/** Reads try another endpoint; writes wait for the primary. */
const NOT_RUN_HANDLING: Readonly<
  Record<
    NotRunReason,
    {readonly read: NotRunHandling; readonly write: NotRunHandling}
  >
> = {
  not_owner: {read: 'wait', write: 'wait'},
  not_primary: {read: 'wait', write: 'wait'},
  no_evidence: {read: 'wait', write: 'wait'},
  fenced: {read: 'wait', write: 'wait'},
  not_reached: {read: 'reroute', write: 'wait'},
  endpoint_down: {read: 'reroute', write: 'wait'},
  endpoint_leaving: {read: 'reroute', write: 'wait'},
  queue_full: {read: 'end', write: 'end'},
  too_late: {read: 'end', write: 'end'},
  draining: {read: 'wait', write: 'wait'},
  tx_gone: {read: 'end', write: 'end'},
  unreachable: {read: 'reroute', write: 'wait'},
  no_primary: {read: 'wait', write: 'wait'},
};

/** Returns whether a request that may have run may be sent again. */
function isRepeatable(request: Request): boolean {
  if (request.mode !== 'autocommit') {
    return request.mode === 'begin';
  }
  return !request.isWrite || request.key !== null || request.row.mayRepeat;
}

function isOutsideTx(request: Request): boolean {
  return request.mode === 'autocommit' || request.mode === 'begin';
}

/** Sends a read to another endpoint, and to the primary last. */
function rerouteRead(
  board: Blackboard,
  request: Request,
  reason: NotRunReason,
  ctx: Context,
): Change {
  const group = readGroup(board, request.group);
  const endpoint = request.sentTo?.endpoint ?? null;
  if (endpoint === null || endpoint === group?.primary) {
    return scheduleRetry(
      board,
      {...request, excludedEndpoints: []},
      reason,
      ctx,
    );
  }
  const excludedEndpoints = [...request.excludedEndpoints, endpoint];
  return sendRequest(board, {...request, sentTo: null, excludedEndpoints}, ctx);
}

function handleNotRun(
  board: Blackboard,
  request: Request,
  reason: NotRunReason,
  ctx: Context,
): Change {
  const {read, write} = NOT_RUN_HANDLING[reason];
  const handling = request.isWrite ? write : read;
  if (!isOutsideTx(request) || handling === 'end') {
    return endRequest(board, request, {type: 'not_run', reason}, ctx);
  }
  if (handling === 'reroute') {
    return rerouteRead(board, request, reason, ctx);
  }
  return chain(
    board,
    current => scheduleRetry(current, request, reason, ctx),
    current => unchanged(current, {type: 'emit', event: {type: 'sync_wanted'}}),
  );
}

function handleUnknown(
  board: Blackboard,
  request: Request,
  outcome: Extract<Outcome, {type: 'unknown'}>,
  ctx: Context,
): Change {
  const spent = isRepeatable(request) ? spendRetryToken(board) : null;
  if (spent === null) {
    return endRequest(board, request, outcome, ctx);
  }
  const mayHaveRun = request.mode !== 'begin' || request.mayHaveRun;
  const retried: Request = {...request, mayHaveRun};
  return scheduleRetry(spent, retried, 'unreachable', ctx);
}

/** Returns whether a change of primary has discarded an acknowledged write. */
function isDiscardedWrite(
  board: Blackboard,
  request: Request,
  outcome: Extract<Outcome, {type: 'done'}>,
): boolean {
  const group = readGroup(board, request.group);
  return (
    group !== null &&
    outcome.position !== null &&
    getPositionStatus(outcome.position, group.term, group.starts) === 'lost'
  );
}

/** Continues a request after an attempt has ended. */
function handleOutcome(
  board: Blackboard,
  request: Request,
  outcome: Outcome,
  ctx: Context,
): Change {
  const ended = recordAttemptEnd(board, request);
  if (outcome.type === 'not_run') {
    return handleNotRun(ended, request, outcome.reason, ctx);
  }
  if (outcome.type === 'unknown') {
    return handleUnknown(ended, request, outcome, ctx);
  }
  if (outcome.type === 'done' && isDiscardedWrite(ended, request, outcome)) {
    const replaced = {type: 'unknown', reason: 'replaced_primary'} as const;
    return handleUnknown(ended, request, replaced, ctx);
  }
  return endRequest(ended, request, outcome, ctx);
}

function receiveRan(
  board: Blackboard,
  host: HostId,
  msg: RanMessage,
  ctx: Context,
): Change {
  const updated =
    msg.report === null ? board : applyReport(board, msg.report, ctx.now);
  const request = readRequest(updated, msg.request);
  const isCurrent =
    request?.attempt === msg.attempt && request.sentTo?.host === host;
  if (request === null || !isCurrent) {
    return unchanged(updated);
  }
  return handleOutcome(updated, request, msg.outcome, ctx);
}

const handlePeerMessage: Handler<'peer_message'> = (board, event, ctx) =>
  event.msg.type === 'ran'
    ? receiveRan(board, event.host, event.msg, ctx)
    : unchanged(board);

const handlePeerUp: Handler<'peer_up'> = (board, event) =>
  unchanged(setConnected(board, event.host, true));

/** Marks the transactions at a lost host as broken. */
function markTxsBroken(board: Blackboard, host: HostId): Blackboard {
  let next = board;
  board.callers.byId.forEach(caller => {
    if (caller.tx?.owner === host) {
      next = updateCaller(next, caller.id, {
        tx: {...caller.tx, isBroken: true},
      });
    }
  });
  return next;
}

/** Ends the attempts that were sent to a host whose connection is lost. */
const handlePeerDown: Handler<'peer_down'> = (board, event, ctx) => {
  const wasConnected = board.requests.connectedHosts.has(event.host);
  const outcome: Outcome = wasConnected
    ? {type: 'unknown', reason: 'owner_lost'}
    : {type: 'not_run', reason: 'unreachable'};
  const lost = board.requests.byId
    .valueSeq()
    .filter(request => request.sentTo?.host === event.host)
    .toArray();
  const steps = lost.map(request => (current: Blackboard) => {
    const latest = readRequest(current, request.id);
    return latest === null
      ? unchanged(current)
      : handleOutcome(current, latest, outcome, ctx);
  });
  const disconnected = setConnected(board, event.host, false);
  return chain(
    wasConnected ? markTxsBroken(disconnected, event.host) : disconnected,
    ...steps,
  );
};

/** Returns messages that cancel a request, and close its transaction. */
function createCancelActions(
  request: Request,
  host: HostId,
): readonly Action[] {
  const {id, mode} = request;
  const cancel: Action = {
    type: 'send',
    host,
    msg: {type: 'cancel', request: id},
  };
  return mode === 'begin'
    ? [cancel, {type: 'send', host, msg: {type: 'close_tx', tx: id}}]
    : [cancel];
}

/**
 * Cancels a write, and waits briefly for its owner to confirm that it had not
 * started: "unknown" is far more costly for a caller than "not run".
 */
function cancelWrite(
  board: Blackboard,
  request: Request,
  host: HostId,
  ctx: Context,
): Change {
  const cancelAnswerDeadline = ctx.now + CANCEL_ANSWER_MS;
  return unchanged(
    putRequest(board, {...request, cancelAnswerDeadline}),
    ...createCancelActions(request, host),
    {
      type: 'set_timer',
      at: cancelAnswerDeadline,
      timer: {name: 'request_deadline', request: request.id},
    },
  );
}

/** Ends a request that has passed its deadline. */
function handleDeadline(
  board: Blackboard,
  request: Request,
  ctx: Context,
): Change {
  const {sentTo, cancelAnswerDeadline} = request;
  if (sentTo === null) {
    return endRequest(
      board,
      request,
      {type: 'not_run', reason: 'too_late'},
      ctx,
    );
  }
  const isCancelled = cancelAnswerDeadline !== null;
  if (isCancelled && ctx.now < cancelAnswerDeadline) {
    return unchanged(board);
  }
  if (!isCancelled && request.isWrite && request.mode === 'autocommit') {
    return cancelWrite(board, request, sentTo.host, ctx);
  }
  const ended = recordAttemptEnd(board, request);
  const outcome: Outcome = {type: 'unknown', reason: 'timed_out'};
  const change = endRequest(ended, request, outcome, ctx);
  const cancels = isCancelled ? [] : createCancelActions(request, sentTo.host);
  return {board: change.board, actions: [...cancels, ...change.actions]};
}

const handleTimer: Handler<'timer'> = (board, event, ctx) => {
  const {timer} = event;
  if (timer.name !== 'request_deadline' && timer.name !== 'request_retry') {
    return unchanged(board);
  }
  const request = readRequest(board, timer.request);
  if (request === null) {
    return unchanged(board);
  }
  if (timer.name === 'request_deadline') {
    return ctx.now >= request.deadline + DEADLINE_GRACE_MS
      ? handleDeadline(board, request, ctx)
      : unchanged(board);
  }
  const isDue = request.retryAt !== null && ctx.now >= request.retryAt;
  return isDue ? sendRequest(board, request, ctx) : unchanged(board);
};

const handleGroupChanged: Handler<'group_changed'> = (board, event, ctx) =>
  retryWaitingRequests(board, event.group, ctx);

/** Cancels the request and the transaction of a caller that disconnected. */
const handleCallerClosed: Handler<'caller_closed'> = (board, event) => {
  const caller = readCaller(board, event.caller);
  if (caller === null) {
    return unchanged(board);
  }
  const request =
    caller.request === null ? null : readRequest(board, caller.request);
  const actions: Action[] = [];
  let next = board;
  if (request !== null) {
    next = removeRequest(recordAttemptEnd(next, request), request.id);
  }
  if (request !== null && request.sentTo !== null) {
    actions.push(...createCancelActions(request, request.sentTo.host));
  }
  if (caller.tx !== null) {
    const msg = {type: 'close_tx', tx: caller.tx.id} as const;
    actions.push({type: 'send', host: caller.tx.owner, msg});
  }
  return {
    board: {
      ...next,
      callers: {byId: next.callers.byId.delete(event.caller)},
    },
    actions,
  };
};

/** Follows requests until their callers are answered. */
export const answersFeature: Feature = {
  name: 'answers',
  handlers: {
    peer_message: handlePeerMessage,
    peer_up: handlePeerUp,
    peer_down: handlePeerDown,
    timer: handleTimer,
    group_changed: handleGroupChanged,
    caller_closed: handleCallerClosed,
  },
};
