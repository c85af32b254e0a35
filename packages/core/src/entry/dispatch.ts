/** Sends requests to pool owners, and schedules retries. */

import {MAX_ATTEMPTS, RETRY_MAX_MS, RETRY_MIN_MS} from './constants.js';
import {readCaller} from './callers.js';
import {endRequest} from './end_request.js';
import {replyLostWrite} from './lost_write.js';
import {countOutstanding, putRequest, removeRequest} from './requests.js';
import {chooseRoute, isSessionWriteLost} from './route.js';
import type {Route} from './route.js';
import type {Caller, Request} from './state.js';
import {
  describeView,
  readEndpointView,
  readGroup,
} from '../control/control_status.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Context} from '../engine/engine.js';
import type {Action} from '../engine/action.js';
import type {Instant, TxId} from '../model/ids.js';
import type {RunMessage} from '../model/message.js';
import type {NotRunReason} from '../model/outcome.js';

/** Schedules a retry of a request with exponential backoff and jitter. */
export function scheduleRetry(
  board: Blackboard,
  request: Request,
  reason: NotRunReason,
  ctx: Context,
): Change {
  const backoff = Math.min(
    RETRY_MAX_MS,
    RETRY_MIN_MS * 2 ** request.backoffCount,
  );
  const retryAt = ctx.now + backoff * (0.5 + ctx.random() / 2);
  if (retryAt >= request.deadline || request.attempt >= MAX_ATTEMPTS) {
    return endRequest(board, request, {type: 'not_run', reason}, ctx);
  }
  const waiting: Request = {
    ...request,
    sentTo: null,
    retryAt,
    backoffCount: request.backoffCount + 1,
  };
  return unchanged(
    putRequest(board, waiting),
    {
      type: 'set_timer',
      at: retryAt,
      timer: {name: 'request_retry', request: request.id},
    },
    {
      type: 'record',
      level: 'debug',
      event: 'request_waits',
      fields: {
        request: request.id,
        attempt: request.attempt,
        group: request.group,
        reason,
        retry_in_ms: Math.round(retryAt - ctx.now),
        left_ms: Math.round(request.deadline - ctx.now),
        ...describeView(board, ctx.now),
      },
    },
  );
}

/** Returns the transaction that a request belongs to, or null. */
function readTx(caller: Caller, request: Request): TxId | null {
  if (request.mode === 'begin') {
    return request.id;
  }
  return caller.tx?.id ?? null;
}

function createRunMessage(
  caller: Caller,
  request: Request,
  route: Route,
  now: number,
): RunMessage {
  const {row} = request;
  return {
    type: 'run',
    request: request.id,
    attempt: request.attempt,
    group: request.group,
    endpoint: route.endpoint,
    term: route.term,
    mode: request.mode,
    tx: readTx(caller, request),
    statement: request.statement,
    isWrite: request.isWrite,
    service: request.service,
    kind: request.kind,
    rank: row.rank,
    worth: row.worth,
    connectionLimit: row.connectionLimit,
    floorPercent: row.floorPercent,
    callerKey: caller.session,
    targetLeftMs: request.targetAt - now,
    timeoutLeftMs: request.deadline - now,
    minPosition: route.minPosition,
    maxStalenessMs: route.maxStalenessMs,
    ack: row.ack,
    key: request.key,
  };
}

/** Returns the route of a request inside a transaction: to its connection. */
function createTxRoute(caller: Caller, request: Request): Route | null {
  if (caller.tx === null || request.mode === 'begin') {
    return null;
  }
  const {owner, endpoint, term} = caller.tx;
  return {
    host: owner,
    endpoint,
    term,
    minPosition: null,
    maxStalenessMs: null,
    isReplica: false,
    reason: 'transaction',
  };
}

function findRoute(
  board: Blackboard,
  caller: Caller,
  request: Request,
  ctx: Context,
): Route | null {
  if (request.mode !== 'autocommit' && request.mode !== 'begin') {
    return createTxRoute(caller, request);
  }
  const group = readGroup(board, request.group);
  if (group === null || (request.isWrite && group.fence !== null)) {
    return null;
  }
  return chooseRoute(board, group, caller, request, ctx);
}

/** Returns whether a lost write of the session has yet to be reported. */
function hasUnreportedLoss(
  board: Blackboard,
  caller: Caller,
  request: Request,
): boolean {
  const group = readGroup(board, request.group);
  const isOutsideTx = request.mode === 'autocommit' || request.mode === 'begin';
  return isOutsideTx && group !== null && isSessionWriteLost(group, caller);
}

/** Ends a request whose session lost a write in a change of primary. */
function endForLostWrite(
  board: Blackboard,
  caller: Caller,
  request: Request,
  ctx: Context,
): Change {
  if (request.isWrite && request.mayHaveRun) {
    const outcome = {type: 'unknown', reason: 'replaced_primary'} as const;
    return endRequest(board, request, outcome, ctx);
  }
  const group = readGroup(board, request.group)!;
  const removed = removeRequest(board, request.id);
  return replyLostWrite(removed, caller, group, request.id, ctx.now);
}

/** Returns the log event of a route, with the information that led to it. */
function describeRoute(
  board: Blackboard,
  request: Request,
  route: Route,
  now: Instant,
): Action {
  const {statusAt, dataAsOf} = readEndpointView(board, route.endpoint);
  const age = (since: Instant | null): number | null =>
    since === null ? null : Math.round(now - since);
  return {
    type: 'record',
    level: 'debug',
    event: 'request_sent',
    fields: {
      request: request.id,
      attempt: request.attempt,
      group: request.group,
      kind: request.kind,
      rank: request.row.rank,
      endpoint: route.endpoint,
      owner: route.host,
      endpoint_role: route.isReplica ? 'replica' : 'primary',
      reason: route.reason,
      term: route.term,
      min_term: route.minPosition?.term ?? null,
      min_index: route.minPosition?.index ?? null,
      max_staleness_ms: route.maxStalenessMs,
      data_age_ms: age(dataAsOf),
      report_age_ms: age(statusAt),
      left_ms: Math.round(request.deadline - now),
      ...describeView(board, now),
    },
  };
}

/** Sends a request to an endpoint that can run it now, or schedules a retry. */
export function sendRequest(
  board: Blackboard,
  request: Request,
  ctx: Context,
): Change {
  const caller = readCaller(board, request.caller);
  if (caller === null) {
    return unchanged(board);
  }
  if (hasUnreportedLoss(board, caller, request)) {
    return endForLostWrite(board, caller, request, ctx);
  }
  const route = findRoute(board, caller, request, ctx);
  if (route === null) {
    return scheduleRetry(board, request, 'no_primary', ctx);
  }
  const sent: Request = {
    ...request,
    attempt: request.attempt + 1,
    sentTo: {host: route.host, endpoint: route.endpoint, term: route.term},
    retryAt: null,
  };
  const next = countOutstanding(
    putRequest(board, sent),
    route.endpoint,
    sent.row.rank,
    1,
  );
  const msg = createRunMessage(caller, sent, route, ctx.now);
  const send: Action = {type: 'send', host: route.host, msg};
  return unchanged(next, describeRoute(board, sent, route, ctx.now), send);
}

/** Sends the waiting requests of a group immediately. */
export function retryWaitingRequests(
  board: Blackboard,
  group: string,
  ctx: Context,
): Change {
  const waiting = board.requests.byId
    .valueSeq()
    .filter(request => request.group === group && request.retryAt !== null)
    .toArray();
  let next = board;
  const actions: Action[] = [];
  for (const request of waiting) {
    const change = sendRequest(next, {...request, backoffCount: 0}, ctx);
    next = change.board;
    actions.push(...change.actions);
  }
  return {board: next, actions};
}
