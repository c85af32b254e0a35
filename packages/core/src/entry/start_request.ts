/** Begins requests: what the tables say of a statement, and where it goes. */

import {readTable, updateCaller} from './callers.js';
import {DEADLINE_GRACE_MS} from './constants.js';
import {sendRequest} from './dispatch.js';
import {replyLostWrite} from './lost_write.js';
import {replyError} from './replies.js';
import {addRequest, readNextRequestId} from './requests.js';
import {isSessionWriteLost} from './route.js';
import type {Caller, Request} from './state.js';
import type {Turn} from './turn.js';
import {readGroup} from '../control/facts.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Change} from '../engine/engine.js';
import type {KindId} from '../model/ids.js';
import type {RunMode} from '../model/message.js';
import {findRow} from '../model/table.js';
import type {TableRow} from '../model/table.js';

/** Returns the kind of work that a statement is. */
function readKind(caller: Caller, hint: KindId | null): KindId {
  return caller.tx?.kind ?? hint ?? caller.kind;
}

/** Tells a caller why its service cannot be used. */
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
      'not run: this entry host has just started and knows no tables yet. Send it again in a second.',
    );
  }
  return replyError(
    board,
    caller.id,
    'not_valid',
    `there is no service ${caller.service}; operators create it with 'lacewingroad table create'.`,
  );
}

/** Returns the row of a statement's kind of work; null without a table. */
export function readRow(
  board: Blackboard,
  {caller, classified}: Turn,
): TableRow | null {
  const table = readTable(board, caller);
  return table === null
    ? null
    : findRow(table, readKind(caller, classified.hints.kind));
}

/** How a statement is to be run. */
export interface RequestPlan {
  readonly mode: RunMode;
  readonly isWrite: boolean;
  readonly thenRun: Request['thenRun'];
}

/** Begins a request for a statement. */
export function startRequest(
  board: Blackboard,
  turn: Turn,
  plan: RequestPlan,
): Change {
  const {caller, current, classified, ctx} = turn;
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
    cancelAnswerBy: null,
    attempt: 0,
    sentTo: null,
    waits: 0,
    retryAt: null,
    avoided: [],
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
