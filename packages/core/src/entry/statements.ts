/** Serves each caller's statements one at a time, in order. */

import {Map as ImmutableMap} from 'immutable';
import {mayUseService, setSession} from './assignments.js';
import {readCaller, updateCaller} from './callers.js';
import {MAX_WAITING_STATEMENTS} from './constants.js';
import {serveStatement} from './serve.js';
import type {Caller, WaitingStatement} from './state.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Context, Feature, Handler} from '../engine/engine.js';
import type {EventOf} from '../engine/event.js';
import type {CallerId} from '../model/ids.js';
import {DEFAULT_KIND} from '../model/table.js';

/** Starts a caller's next statement if none is in progress. */
function serveNext(board: Blackboard, id: CallerId, ctx: Context): Change {
  const caller = readCaller(board, id);
  const next = caller?.waiting[0];
  if (caller === null || caller.servingSeq !== null || next === undefined) {
    return unchanged(board);
  }
  const begun = updateCaller(board, id, {
    servingSeq: next.seq,
    waiting: caller.waiting.slice(1),
    deferredStatement: null,
  });
  const current = readCaller(begun, id) ?? caller;
  return serveStatement(begun, current, next, ctx);
}

const handleOpened: Handler<'caller_opened'> = (board, event, ctx) => {
  const {caller: id, user, service, allowedServices, attributes} = event;
  const caller: Caller = {
    id,
    user,
    service,
    allowedServices,
    session: `${board.self.host}.${board.self.incarnation}.${id}`,
    isNamedSession: false,
    positions: ImmutableMap(),
    positionsAt: ctx.now,
    proof: 'complete',
    hasUnknownWrite: false,
    kind: attributes['lacewingroad_kind'] ?? DEFAULT_KIND,
    autocommit: true,
    tx: null,
    lastInsertId: '0',
    waiting: [],
    servingSeq: null,
    deferredStatement: null,
    request: null,
  };
  const opened: Blackboard = {
    ...board,
    callers: {byId: board.callers.byId.set(id, caller)},
  };
  if (service !== null && !mayUseService(caller, service)) {
    return unchanged(opened, {type: 'close_caller', caller: id});
  }
  if (board.self.drainDeadline !== null) {
    return unchanged(opened, {type: 'close_caller', caller: id});
  }
  const value = attributes['lacewingroad_session'];
  if (value === undefined) {
    return unchanged(opened);
  }
  const resumed = setSession(opened, caller, value, ctx.now);
  return typeof resumed === 'string'
    ? unchanged(opened, {
        type: 'record',
        level: 'warn',
        event: 'session_value_invalid',
        fields: {caller: id, at: ctx.now},
      })
    : unchanged(resumed);
};

const handleStatement: Handler<'caller_statement'> = (board, event, ctx) => {
  const caller = readCaller(board, event.caller);
  if (caller === null) {
    return unchanged(board);
  }
  if (caller.waiting.length >= MAX_WAITING_STATEMENTS) {
    return unchanged(board, {type: 'close_caller', caller: event.caller});
  }
  const waiting: WaitingStatement = {
    seq: event.seq,
    statement: event.statement,
    receivedAt: ctx.now,
  };
  const queued = updateCaller(board, event.caller, {
    waiting: [...caller.waiting, waiting],
  });
  return serveNext(queued, event.caller, ctx);
};

const handleUse: Handler<'caller_use'> = (board, event, ctx) =>
  handleStatement(board, createUseStatement(event), ctx);

/** Converts a COM_INIT_DB to a USE statement, queued like any other. */
function createUseStatement(
  event: EventOf<'caller_use'>,
): EventOf<'caller_statement'> {
  const name = event.service.replace(/`/g, '');
  return {
    type: 'caller_statement',
    caller: event.caller,
    seq: event.seq,
    statement: {sql: `USE \`${name}\``, params: null},
  };
}

const handleReady: Handler<'caller_ready'> = (board, event, ctx) =>
  serveNext(board, event.caller, ctx);

/** Serves the deferred statement of a caller. */
const handleSessionKnown: Handler<'session_known'> = (board, event, ctx) => {
  const caller = readCaller(board, event.caller);
  if (caller === null || caller.deferredStatement === null) {
    return unchanged(board);
  }
  const {deferredStatement} = caller;
  return serveStatement(board, caller, deferredStatement, ctx);
};

/** Handles connections and statements of callers. */
export const statementsFeature: Feature = {
  name: 'statements',
  handlers: {
    caller_opened: handleOpened,
    caller_statement: handleStatement,
    caller_use: handleUse,
    caller_ready: handleReady,
    session_known: handleSessionKnown,
  },
};
