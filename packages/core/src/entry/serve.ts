/** Serves one statement, by its class. */

import {readTable, updateCaller} from './callers.js';
import {runSet, useService} from './assignments.js';
import {fetchPositions} from './holders.js';
import {createOkResult, createRowResult} from './local_result.js';
import {replyError, replyResult, replyRolledBack} from './replies.js';
import {classifyStatement} from './sql.js';
import type {ClassifiedStatement, StatementClass} from './sql.js';
import {readRow, startRequest} from './start_request.js';
import type {Caller, WaitingStatement} from './state.js';
import type {Turn} from './turn.js';
import {readSelectedVariables} from './variables.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Change, Context} from '../engine/engine.js';

/** Runs a statement in or outside of a transaction. */
function runStatement(board: Blackboard, turn: Turn, isWrite: boolean): Change {
  const {caller, current} = turn;
  if (caller.tx !== null) {
    return startRequest(board, turn, {
      mode: 'in_tx',
      isWrite,
      thenRun: null,
    });
  }
  if (!caller.autocommit) {
    const opening: Turn = {
      ...turn,
      current: {...current, statement: {sql: 'BEGIN', params: null}},
    };
    return startRequest(board, opening, {
      mode: 'begin',
      isWrite: true,
      thenRun: current.statement,
    });
  }
  return startRequest(board, turn, {
    mode: 'autocommit',
    isWrite,
    thenRun: null,
  });
}

/** Reads of a named session first learn the session's positions. */
function runRead(board: Blackboard, turn: Turn): Change {
  const {caller, current, ctx} = turn;
  const isHeld = caller.held !== null;
  if (caller.isNamedSession && caller.tx === null && !isHeld) {
    const held = updateCaller(board, caller.id, {held: current});
    const group = readTable(board, caller)?.group ?? null;
    const targetMs = readRow(board, turn)?.targetMs ?? Infinity;
    return fetchPositions(held, caller, {group, targetMs}, ctx.now);
  }
  return runStatement(
    updateCaller(board, caller.id, {held: null}),
    turn,
    false,
  );
}

function endTx(
  board: Blackboard,
  turn: Turn,
  mode: 'commit' | 'rollback',
): Change {
  const {caller} = turn;
  if (caller.tx === null) {
    return replyResult(board, caller.id, createOkResult());
  }
  if (!caller.tx.isBroken) {
    return startRequest(board, turn, {mode, isWrite: true, thenRun: null});
  }
  const ended = updateCaller(board, caller.id, {tx: null});
  if (mode === 'rollback') {
    return replyResult(ended, caller.id, createOkResult());
  }
  return replyRolledBack(ended, caller.id);
}

type ClassHandler = (board: Blackboard, turn: Turn) => Change;

const CLASS_HANDLERS: Readonly<Record<StatementClass, ClassHandler>> = {
  read: runRead,
  locking_read: (board, turn) => runStatement(board, turn, true),
  write: (board, turn) => runStatement(board, turn, true),
  ddl: (board, turn) =>
    turn.caller.tx === null
      ? runStatement(board, turn, true)
      : replyError(
          board,
          turn.caller.id,
          'not_supported',
          'a change of the schema would commit the open transaction. Commit or roll back first.',
        ),
  begin: (board, turn) =>
    turn.caller.tx === null
      ? startRequest(board, turn, {
          mode: 'begin',
          isWrite: true,
          thenRun: null,
        })
      : replyError(
          board,
          turn.caller.id,
          'not_supported',
          'a transaction is open already. Commit or roll back first.',
        ),
  commit: (board, turn) => endTx(board, turn, 'commit'),
  rollback: (board, turn) => endTx(board, turn, 'rollback'),
  savepoint: (board, turn) =>
    turn.caller.tx === null
      ? replyResult(board, turn.caller.id, createOkResult())
      : runStatement(board, turn, true),
  set: runSet,
  select_variables: (board, turn) => {
    const {caller, classified} = turn;
    const values = readSelectedVariables(caller, classified.plain);
    return values === null
      ? runRead(board, turn)
      : replyResult(board, caller.id, createRowResult(values));
  },
  use: (board, turn) => {
    const name = turn.classified.plain
      .replace(/^USE\s+/i, '')
      .replace(/^`|`$/g, '')
      .trim();
    return useService(board, turn.caller, name);
  },
  unsupported: (board, turn) =>
    replyError(
      board,
      turn.caller.id,
      'not_supported',
      turn.classified.problem ?? 'this statement cannot be served.',
    ),
};

/** Serves a statement whose turn has come. */
export function serveStatement(
  board: Blackboard,
  caller: Caller,
  current: WaitingStatement,
  ctx: Context,
): Change {
  const classified = classifyStatement(current.statement.sql);
  const turn: Turn = {caller, current, classified, ctx};
  const endsTx = classified.type === 'commit' || classified.type === 'rollback';
  if (caller.tx?.isBroken === true && !endsTx) {
    const ended = updateCaller(board, caller.id, {tx: null});
    return replyRolledBack(ended, caller.id);
  }
  if (needsOpenTx(caller, classified)) {
    return replyError(
      board,
      caller.id,
      'not_supported',
      'LAST_INSERT_ID() inside another statement is that of one connection of the endpoint. Use it inside a transaction, or send the value of SELECT LAST_INSERT_ID().',
    );
  }
  return CLASS_HANDLERS[classified.type](board, turn);
}

/** Tells whether a statement needs the connection of a transaction. */
function needsOpenTx(caller: Caller, classified: ClassifiedStatement): boolean {
  return (
    classified.usesInsertId &&
    classified.type !== 'select_variables' &&
    classified.type !== 'unsupported' &&
    caller.tx === null
  );
}
