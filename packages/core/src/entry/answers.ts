/** What pool owners answer, and what becomes of requests without an answer. */

import {CANCEL_ANSWER_MS, DEADLINE_GRACE_MS} from './constants.js';
import {readCaller, updateCaller} from './callers.js';
import {parkRequest, sendRequest, wakeGroup} from './dispatch.js';
import {endRequest, noteAttemptOver} from './ending.js';
import {
  putRequest,
  readRequest,
  removeRequest,
  setLinked,
  spendRetry,
} from './requests.js';
import type {Request} from './state.js';
import {readGroup} from '../control/facts.js';
import {applyReport} from '../control/probes.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {chain, unchanged} from '../engine/engine.js';
import type {Change, Context, Feature, Handler} from '../engine/engine.js';
import type {HostId} from '../model/ids.js';
import type {RanMessage} from '../model/message.js';
import type {NotRunReason, Outcome} from '../model/outcome.js';
import {readPositionFate} from '../model/position.js';

/** What to do with a request that was handed back. */
type HandBack = 'elsewhere' | 'wait' | 'end';

/** Reads go to another endpoint; writes wait for the primary. */
const HAND_BACKS: Readonly<
  Record<NotRunReason, {readonly read: HandBack; readonly write: HandBack}>
> = {
  not_owner: {read: 'wait', write: 'wait'},
  not_primary: {read: 'wait', write: 'wait'},
  no_evidence: {read: 'wait', write: 'wait'},
  fenced: {read: 'wait', write: 'wait'},
  not_reached: {read: 'elsewhere', write: 'wait'},
  endpoint_down: {read: 'elsewhere', write: 'wait'},
  endpoint_leaving: {read: 'elsewhere', write: 'wait'},
  queue_full: {read: 'end', write: 'end'},
  too_late: {read: 'end', write: 'end'},
  draining: {read: 'wait', write: 'wait'},
  tx_gone: {read: 'end', write: 'end'},
  unreachable: {read: 'elsewhere', write: 'wait'},
  no_primary: {read: 'wait', write: 'wait'},
};

/** Tells whether a request that may have run may be sent again. */
function isRepeatable(request: Request): boolean {
  if (request.mode !== 'autocommit') {
    return request.mode === 'begin';
  }
  return !request.isWrite || request.key !== null || request.row.mayRepeat;
}

function isOutside(request: Request): boolean {
  return request.mode === 'autocommit' || request.mode === 'begin';
}

/** Sends a read to another endpoint; the last resort is the primary. */
function tryElsewhere(
  board: Blackboard,
  request: Request,
  reason: NotRunReason,
  ctx: Context,
): Change {
  const group = readGroup(board, request.group);
  const endpoint = request.sentTo?.endpoint ?? null;
  if (endpoint === null || endpoint === group?.primary) {
    return parkRequest(board, {...request, avoided: []}, reason, ctx);
  }
  const avoided = [...request.avoided, endpoint];
  return sendRequest(board, {...request, sentTo: null, avoided}, ctx);
}

function handleNotRun(
  board: Blackboard,
  request: Request,
  reason: NotRunReason,
  ctx: Context,
): Change {
  const {read, write} = HAND_BACKS[reason];
  const handBack = request.isWrite ? write : read;
  if (!isOutside(request) || handBack === 'end') {
    return endRequest(board, request, {type: 'not_run', reason}, ctx);
  }
  if (handBack === 'elsewhere') {
    return tryElsewhere(board, request, reason, ctx);
  }
  return chain(
    board,
    current => parkRequest(current, request, reason, ctx),
    current => unchanged(current, {type: 'emit', event: {type: 'sync_wanted'}}),
  );
}

function handleUnknown(
  board: Blackboard,
  request: Request,
  outcome: Extract<Outcome, {type: 'unknown'}>,
  ctx: Context,
): Change {
  const spent = isRepeatable(request) ? spendRetry(board) : null;
  if (spent === null) {
    return endRequest(board, request, outcome, ctx);
  }
  const mayHaveRun = request.mode !== 'begin' || request.mayHaveRun;
  const retried: Request = {...request, mayHaveRun};
  return parkRequest(spent, retried, 'unreachable', ctx);
}

/** Tells whether an acknowledged write is not part of the history any more. */
function isReplacedWrite(
  board: Blackboard,
  request: Request,
  outcome: Extract<Outcome, {type: 'done'}>,
): boolean {
  const group = readGroup(board, request.group);
  return (
    group !== null &&
    outcome.position !== null &&
    readPositionFate(outcome.position, group.term, group.starts) === 'lost'
  );
}

/** Goes on with a request after an attempt has ended. */
function handleOutcome(
  board: Blackboard,
  request: Request,
  outcome: Outcome,
  ctx: Context,
): Change {
  const over = noteAttemptOver(board, request);
  if (outcome.type === 'not_run') {
    return handleNotRun(over, request, outcome.reason, ctx);
  }
  if (outcome.type === 'unknown') {
    return handleUnknown(over, request, outcome, ctx);
  }
  if (outcome.type === 'done' && isReplacedWrite(over, request, outcome)) {
    const replaced = {type: 'unknown', reason: 'replaced_primary'} as const;
    return handleUnknown(over, request, replaced, ctx);
  }
  return endRequest(over, request, outcome, ctx);
}

function receiveRan(
  board: Blackboard,
  host: HostId,
  msg: RanMessage,
  ctx: Context,
): Change {
  const noted =
    msg.report === null ? board : applyReport(board, msg.report, ctx.now);
  const request = readRequest(noted, msg.request);
  const isCurrent =
    request?.attempt === msg.attempt && request.sentTo?.host === host;
  if (request === null || !isCurrent) {
    return unchanged(noted);
  }
  return handleOutcome(noted, request, msg.outcome, ctx);
}

const handlePeerMessage: Handler<'peer_message'> = (board, event, ctx) =>
  event.msg.type === 'ran'
    ? receiveRan(board, event.host, event.msg, ctx)
    : unchanged(board);

const handlePeerUp: Handler<'peer_up'> = (board, event) =>
  unchanged(setLinked(board, event.host, true));

/** Marks transactions at a lost host as broken. */
function breakTransactions(board: Blackboard, host: HostId): Blackboard {
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
  const wasLinked = board.requests.linkedHosts.has(event.host);
  const outcome: Outcome = wasLinked
    ? {type: 'unknown', reason: 'owner_lost'}
    : {type: 'not_run', reason: 'unreachable'};
  const lost = board.requests.byId
    .valueSeq()
    .filter(request => request.sentTo?.host === event.host)
    .toArray();
  const steps = lost.map(request => (current: Blackboard) => {
    const standing = readRequest(current, request.id);
    return standing === null
      ? unchanged(current)
      : handleOutcome(current, standing, outcome, ctx);
  });
  const unlinked = setLinked(board, event.host, false);
  return chain(
    wasLinked ? breakTransactions(unlinked, event.host) : unlinked,
    ...steps,
  );
};

/** Has the owner of a request's endpoint drop it, or its transaction. */
function createCancels(request: Request, host: HostId): readonly Action[] {
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
 * Cancels a write, and waits a little for its owner to confirm that it had not
 * begun to run: "unknown" costs a caller far more than "not run".
 */
function cancelWrite(
  board: Blackboard,
  request: Request,
  host: HostId,
  ctx: Context,
): Change {
  const cancelAnswerBy = ctx.now + CANCEL_ANSWER_MS;
  return unchanged(
    putRequest(board, {...request, cancelAnswerBy}),
    ...createCancels(request, host),
    {
      type: 'set_timer',
      at: cancelAnswerBy,
      timer: {name: 'request_deadline', request: request.id},
    },
  );
}

/** Ends a request whose time is over. */
function handleDeadline(
  board: Blackboard,
  request: Request,
  ctx: Context,
): Change {
  const {sentTo, cancelAnswerBy} = request;
  if (sentTo === null) {
    return endRequest(
      board,
      request,
      {type: 'not_run', reason: 'too_late'},
      ctx,
    );
  }
  const isCancelled = cancelAnswerBy !== null;
  if (isCancelled && ctx.now < cancelAnswerBy) {
    return unchanged(board);
  }
  if (!isCancelled && request.isWrite && request.mode === 'autocommit') {
    return cancelWrite(board, request, sentTo.host, ctx);
  }
  const over = noteAttemptOver(board, request);
  const outcome: Outcome = {type: 'unknown', reason: 'timed_out'};
  const change = endRequest(over, request, outcome, ctx);
  const cancels = isCancelled ? [] : createCancels(request, sentTo.host);
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
  wakeGroup(board, event.group, ctx);

/** Cancels what a caller that has gone was waiting for. */
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
    next = removeRequest(noteAttemptOver(next, request), request.id);
  }
  if (request !== null && request.sentTo !== null) {
    actions.push(...createCancels(request, request.sentTo.host));
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
