/** Ends requests and answers their callers. */

import {
  createErrorReply,
  createResultReply,
  finishStatement,
  readCaller,
  updateCaller,
} from './callers.js';
import {createOutcomeError, createRolledBackError} from './error.js';
import {storeThenReply} from './holders.js';
import {countOutstanding, removeRequest} from './requests.js';
import {writeSessionToken} from './session_token.js';
import type {Caller, CallerTx, Request} from './state.js';
import {describeView, readGroup} from '../control/control_status.js';
import type {Action, ActionOf, Reply} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Context} from '../engine/engine.js';
import type {Instant} from '../model/ids.js';
import type {DoneOutcome, Outcome, Result} from '../model/outcome.js';
import {latestPosition} from '../model/position.js';

/** Prefix of the session token in the info text of a write's OK packet. */
const SESSION_INFO_PREFIX = 'lacewingroad-session=';

/** Returns the outcome of a request over all its attempts. */
function includeEarlierAttempts(request: Request, outcome: Outcome): Outcome {
  return outcome.type === 'not_run' && request.mayHaveRun
    ? {type: 'unknown', reason: 'timed_out'}
    : outcome;
}

/** The log event for each outcome, and its level. */
const REQUEST_END_EVENTS: Readonly<
  Record<Outcome['type'], Readonly<Pick<ActionOf<'record'>, 'event' | 'level'>>>
> = {
  done: {event: 'request_done', level: 'debug'},
  failed: {event: 'request_failed', level: 'info'},
  not_run: {event: 'request_not_run', level: 'info'},
  unknown: {event: 'request_unknown', level: 'warn'},
};

function describeRequest(
  board: Blackboard,
  request: Request,
  outcome: Outcome,
  now: number,
): Action {
  const endpoint = request.sentTo?.endpoint ?? null;
  const isPrimary =
    endpoint !== null && readGroup(board, request.group)?.primary === endpoint;
  return {
    type: 'record',
    ...REQUEST_END_EVENTS[outcome.type],
    fields: {
      request: request.id,
      group: request.group,
      service: request.service,
      kind: request.kind,
      rank: request.row.rank,
      worth: request.row.worth,
      mode: request.mode,
      is_write: request.isWrite,
      outcome: outcome.type,
      reason: 'reason' in outcome ? outcome.reason : null,
      latency_ms: Math.round(10 * (now - request.receivedAt)) / 10,
      target_ms: request.row.targetMs,
      is_in_time: outcome.type === 'done' && now <= request.targetAt,
      attempts: request.attempt,
      endpoint,
      owner: request.sentTo?.host ?? null,
      term: request.sentTo?.term ?? null,
      endpoint_role:
        endpoint === null ? null : isPrimary ? 'primary' : 'replica',
      ...describeView(board, now),
    },
  };
}

/** Adds the session's new token to the result of a write. */
function addSessionInfo(caller: Caller, result: Result): Result {
  if (result.type !== 'ok' || caller.isNamedSession) {
    return result;
  }
  const token = writeSessionToken(caller);
  return {...result, info: `${SESSION_INFO_PREFIX}${token}`};
}

/** Returns the caller's transaction after a successful statement. */
function computeNextTx(
  board: Blackboard,
  caller: Caller,
  request: Request,
  outcome: DoneOutcome,
): Caller['tx'] {
  if (request.mode === 'commit' || request.mode === 'rollback') {
    return null;
  }
  if (request.mode !== 'begin' || request.sentTo === null) {
    return outcome.inTx ? caller.tx : null;
  }
  return {
    id: request.id,
    group: request.group,
    endpoint: request.sentTo.endpoint,
    owner: request.sentTo.host,
    term: request.sentTo.term ?? readGroup(board, request.group)?.term ?? 0,
    isBroken: false,
    kind: request.kind,
  };
}

function applyDone(
  board: Blackboard,
  caller: Caller,
  request: Request,
  outcome: DoneOutcome,
  now: Instant,
): Blackboard {
  const {position, result} = outcome;
  const known = caller.positions.get(request.group);
  const positions =
    position === null
      ? caller.positions
      : caller.positions.set(
          request.group,
          known === undefined ? position : latestPosition(known, position),
        );
  const hasInsertId = result.type === 'ok' && result.insertId !== '0';
  return updateCaller(board, caller.id, {
    positions,
    positionsAt: position === null ? caller.positionsAt : now,
    tx: computeNextTx(board, caller, request, outcome),
    hasUnknownWrite: position === null && caller.hasUnknownWrite,
    lastInsertId: hasInsertId ? result.insertId : caller.lastInsertId,
  });
}

function replyDone(
  board: Blackboard,
  request: Request,
  outcome: DoneOutcome,
  now: Instant,
): Change {
  const caller = readCaller(board, request.caller);
  if (caller === null) {
    return unchanged(board);
  }
  const applied = applyDone(board, caller, request, outcome, now);
  const current = readCaller(applied, request.caller) ?? caller;
  if (request.statementAfterBegin !== null) {
    return unchanged(
      updateCaller(applied, caller.id, {
        request: null,
        deferredStatement: {
          seq: request.seq,
          statement: request.statementAfterBegin,
          receivedAt: request.receivedAt,
        },
      }),
      {type: 'emit', event: {type: 'session_known', caller: caller.id}},
    );
  }
  const hasWritten = outcome.position !== null;
  const result = hasWritten
    ? addSessionInfo(current, outcome.result)
    : hideEndpointInfo(outcome.result);
  const reply = createResultReply(current, result);
  return hasWritten && current.isNamedSession
    ? storeThenReply(
        applied,
        current,
        {group: request.group, request: request.id},
        reply,
        now,
      )
    : finishStatement(applied, caller.id, reply);
}

/** Removes the position that an endpoint adds to its info text. */
function hideEndpointInfo(result: Result): Result {
  return result.type === 'ok' && result.info.startsWith('ledger-position=')
    ? {...result, info: ''}
    : result;
}

/** Returns whether the outcome of a statement broke its transaction. */
function breaksTx(request: Request, outcome: Outcome): boolean {
  const isInTx = request.mode === 'in_tx';
  return isInTx && (outcome.type === 'not_run' || outcome.type === 'unknown');
}

function replyFailure(
  board: Blackboard,
  request: Request,
  outcome: Exclude<Outcome, DoneOutcome>,
): Change {
  const caller = readCaller(board, request.caller);
  if (caller === null) {
    return unchanged(board);
  }
  if (breaksTx(request, outcome)) {
    return replyBrokenTx(board, caller, request);
  }
  const endsTx = request.mode === 'commit' || request.mode === 'rollback';
  const isGone = request.mode === 'commit' && outcome.type === 'not_run';
  const updated = recordUnknownWrite(board, caller, request, outcome);
  const next = endsTx ? updateCaller(updated, caller.id, {tx: null}) : updated;
  const current = readCaller(next, caller.id) ?? caller;
  const reply: Reply =
    request.mode === 'rollback'
      ? createResultReply(current, {
          type: 'ok',
          affectedRows: 0,
          insertId: '0',
          info: '',
        })
      : createErrorReply(
          current,
          isGone
            ? createRolledBackError(
                'it had ended before its COMMIT arrived',
                request.id,
              )
            : createOutcomeError(outcome, request.id),
        );
  const change = finishStatement(next, caller.id, reply);
  const isLeftOpen = isGone || request.mode === 'rollback';
  if (caller.tx === null || !isLeftOpen) {
    return change;
  }
  return {
    board: change.board,
    actions: [createCloseTx(caller.tx), ...change.actions],
  };
}

/** Returns the message that closes a transaction at its owner. */
function createCloseTx(tx: CallerTx): Action {
  return {type: 'send', host: tx.owner, msg: {type: 'close_tx', tx: tx.id}};
}

/** Records on a caller that a write of its session may still take effect. */
function recordUnknownWrite(
  board: Blackboard,
  caller: Caller,
  request: Request,
  outcome: Outcome,
): Blackboard {
  const isCommitting =
    request.mode === 'commit' || request.mode === 'autocommit';
  return outcome.type === 'unknown' && request.isWrite && isCommitting
    ? updateCaller(board, caller.id, {hasUnknownWrite: true})
    : board;
}

/** Answers that the transaction was rolled back, and closes it. */
function replyBrokenTx(
  board: Blackboard,
  caller: Caller,
  request: Request,
): Change {
  const {tx} = caller;
  const next = updateCaller(board, caller.id, {tx: null});
  const current = readCaller(next, caller.id) ?? caller;
  const error = createRolledBackError(
    'its connection to the endpoint was lost or refused',
    request.id,
  );
  const change = finishStatement(
    next,
    caller.id,
    createErrorReply(current, error),
  );
  if (tx === null) {
    return change;
  }
  return {
    board: change.board,
    actions: [
      {
        type: 'record',
        level: 'info',
        event: 'tx_broken',
        fields: {request: request.id, tx: tx.id, group: tx.group},
      },
      createCloseTx(tx),
      ...change.actions,
    ],
  };
}

/** Ends a request and answers its caller. */
export function endRequest(
  board: Blackboard,
  request: Request,
  outcome: Outcome,
  ctx: Context,
): Change {
  const final = includeEarlierAttempts(request, outcome);
  const removed = removeRequest(board, request.id);
  const record = describeRequest(board, request, final, ctx.now);
  const change =
    final.type === 'done'
      ? replyDone(removed, request, final, ctx.now)
      : replyFailure(removed, request, final);
  return {board: change.board, actions: [record, ...change.actions]};
}

/** Removes the current attempt from the count of requests in progress. */
export function recordAttemptEnd(
  board: Blackboard,
  request: Request,
): Blackboard {
  return request.sentTo === null
    ? board
    : countOutstanding(board, request.sentTo.endpoint, request.row.rank, -1);
}
