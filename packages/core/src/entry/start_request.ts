/** Starts requests for statements, with the row of the table that applies. */

import {readTable, updateCaller} from './callers.js';
import {DEADLINE_GRACE_MS} from './constants.js';
import {sendRequest} from './dispatch.js';
import {replyLostWrite} from './lost_write.js';
import {replyError} from './replies.js';
import {addRequest, readNextRequestId} from './requests.js';
import {isSessionWriteLost} from './route.js';
import type {Caller, Request} from './state.js';
import type {ActiveStatement} from './active_statement.js';
import {readGroup} from '../control/control_status.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Change} from '../engine/engine.js';
import type {KindId} from '../model/ids.js';
import type {RunMode} from '../model/message.js';
import {findRow} from '../model/table.js';
import type {TableRow} from '../model/table.js';

/** Returns the kind of work of a statement. */
function readKind(caller: Caller, hint: KindId | null): KindId {
  return caller.tx?.kind ?? hint ?? caller.kind;
}

/** Answers why the service of a caller cannot be used. */
function replyNoService(board: Blackboard, caller: Caller): Change {
  if (caller.service === null) {
    return replyError(
      board,
      caller.id,
      'not_valid',
      'no service was chosen; name one as the database when connecting, or send USE.',
    );
  }
  if (board.view.freshAt === null) {
    return replyError(
      board,
      caller.id,
      'not_run',
      'not run: this entry host has just started and has not read the tables yet. Send it again in a second.',
    );
  }
  return replyError(
    board,
    caller.id,
    'not_valid',
    `there is no service ${caller.service}; operators create it with 'lacewingroad table create'.`,
  );
}

/** Returns the table row for a statement, or null if there is no table. */
export function readRow(
  board: Blackboard,
  {caller, classified}: ActiveStatement,
): TableRow | null {
  const table = readTable(board, caller);
  return table === null
    ? null
    : findRow(table, readKind(caller, classified.hints.kind));
}

/** How to run a statement. */
export interface RequestPlan {
  readonly mode: RunMode;
  readonly isWrite: boolean;
  readonly statementAfterBegin: Request['statementAfterBegin'];
}

/** Starts a request for a statement. */
export function startRequest(
  board: Blackboard,
  active: ActiveStatement,
  plan: RequestPlan,
): Change {
  const {caller, current, classified, ctx} = active;
  const table = readTable(board, caller);
  if (table === null) {
    return replyNoService(board, caller);
  }
  const group = readGroup(board, table.group);
  if (group !== null && isSessionWriteLost(group, caller)) {
    return replyLostWrite(board, caller, group, null, ctx.now);
  }
  const kind = readKind(caller, classified.hints.kind);
  const row = findRow(table, kind);
  const {key} = classified.hints;
  const isKeyed =
    plan.isWrite && (plan.mode === 'autocommit' || plan.mode === 'in_tx');
  const id = readNextRequestId(board);
  const request: Request = {
    id,
    caller: caller.id,
    seq: current.seq,
    statement: current.statement,
    group: table.group,
    service: table.service,
    row,
    kind,
    key: key !== null && isKeyed ? `${table.service}/${key}` : null,
    ...plan,
    receivedAt: current.receivedAt,
    targetAt: current.receivedAt + row.targetMs,
    deadline: current.receivedAt + row.timeoutMs,
    cancelAnswerDeadline: null,
    attempt: 0,
    sentTo: null,
    backoffCount: 0,
    retryAt: null,
    excludedEndpoints: [],
    mayHaveRun: false,
  };
  const added = updateCaller(addRequest(board, request), caller.id, {
    request: id,
  });
  const change = sendRequest(added, request, ctx);
  return {
    board: change.board,
    actions: [
      {
        type: 'set_timer',
        at: request.deadline + DEADLINE_GRACE_MS,
        timer: {name: 'request_deadline', request: id},
      },
      ...change.actions,
    ],
  };
}
