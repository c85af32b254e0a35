/** Serves a statement according to its class. */

import {readTable, updateCaller} from './callers.js';
import {runSet, useService} from './assignments.js';
import {fetchPositions} from './holders.js';
import {createOkResult, createRowResult} from './local_result.js';
import {replyError, replyResult, replyRolledBack} from './replies.js';
import {classifyStatement} from './sql.js';
import type {ClassifiedStatement, StatementClass} from './sql.js';
import {readRow, startRequest} from './start_request.js';
import type {Caller, WaitingStatement} from './state.js';
import type {ActiveStatement} from './active_statement.js';
import {readSelectedVariables} from './variables.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Change, Context} from '../engine/engine.js';

/** Runs a statement inside or outside of a transaction. */
function runStatement(
  board: Blackboard,
  active: ActiveStatement,
  isWrite: boolean,
): Change {
  const {caller, current} = active;
  if (caller.tx !== null) {
    return startRequest(board, active, {
      mode: 'in_tx',
      isWrite,
      statementAfterBegin: null,
    });
  }
  if (!caller.autocommit) {
    const begin: ActiveStatement = {
      ...active,
      current: {...current, statement: {sql: 'BEGIN', params: null}},
    };
    return startRequest(board, begin, {
      mode: 'begin',
      isWrite: true,
      statementAfterBegin: current.statement,
    });
  }
  return startRequest(board, active, {
    mode: 'autocommit',
    isWrite,
    statementAfterBegin: null,
  });
}

/** Runs a read; for a named session, fetches the session's positions first. */
function runRead(board: Blackboard, active: ActiveStatement): Change {
  const {caller, current, ctx} = active;
  const isDeferred = caller.deferredStatement !== null;
  if (caller.isNamedSession && caller.tx === null && !isDeferred) {
    const deferred = updateCaller(board, caller.id, {
      deferredStatement: current,
    });
    const group = readTable(board, caller)?.group ?? null;
    const targetMs = readRow(board, active)?.targetMs ?? Infinity;
    return fetchPositions(deferred, caller, {group, targetMs}, ctx.now);
  }
  return runStatement(
    updateCaller(board, caller.id, {deferredStatement: null}),
    active,
    false,
  );
}

function endTx(
  board: Blackboard,
  active: ActiveStatement,
  mode: 'commit' | 'rollback',
): Change {
  const {caller} = active;
  if (caller.tx === null) {
    return replyResult(board, caller.id, createOkResult());
  }
  if (!caller.tx.isBroken) {
    return startRequest(board, active, {
      mode,
      isWrite: true,
      statementAfterBegin: null,
    });
  }
  const ended = updateCaller(board, caller.id, {tx: null});
  if (mode === 'rollback') {
    return replyResult(ended, caller.id, createOkResult());
  }
  return replyRolledBack(ended, caller.id);
}

type ClassHandler = (board: Blackboard, active: ActiveStatement) => Change;

const CLASS_HANDLERS: Readonly<Record<StatementClass, ClassHandler>> = {
  read: runRead,
  locking_read: (board, active) => runStatement(board, active, true),
  write: (board, active) => runStatement(board, active, true),
  ddl: (board, active) =>
    active.caller.tx === null
      ? runStatement(board, active, true)
      : replyError(
          board,
          active.caller.id,
          'not_supported',
          'a schema change would commit the open transaction. Commit or roll back first.',
        ),
  begin: (board, active) =>
    active.caller.tx === null
      ? startRequest(board, active, {
          mode: 'begin',
          isWrite: true,
          statementAfterBegin: null,
        })
      : replyError(
          board,
          active.caller.id,
          'not_supported',
          'a transaction is already open. Commit or roll back first.',
        ),
  commit: (board, active) => endTx(board, active, 'commit'),
  rollback: (board, active) => endTx(board, active, 'rollback'),
  savepoint: (board, active) =>
    active.caller.tx === null
      ? replyResult(board, active.caller.id, createOkResult())
      : runStatement(board, active, true),
  set: runSet,
  select_variables: (board, active) => {
    const {caller, classified} = active;
    const values = readSelectedVariables(caller, classified.plain);
    return values === null
      ? runRead(board, active)
      : replyResult(board, caller.id, createRowResult(values));
  },
  use: (board, active) => {
    const name = active.classified.plain
      .replace(/^USE\s+/i, '')
      .replace(/^`|`$/g, '')
      .trim();
    return useService(board, active.caller, name);
  },
  unsupported: (board, active) =>
    replyError(
      board,
      active.caller.id,
      'not_supported',
      active.classified.problem ?? 'this statement is not supported.',
    ),
};

/** Serves a caller's next statement. */
export function serveStatement(
  board: Blackboard,
  caller: Caller,
  current: WaitingStatement,
  ctx: Context,
): Change {
  const classified = classifyStatement(current.statement.sql);
  const active: ActiveStatement = {caller, current, classified, ctx};
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
      'LAST_INSERT_ID() inside another statement depends on the connection to the endpoint. Use it inside a transaction, or send the value of SELECT LAST_INSERT_ID().',
    );
  }
  return CLASS_HANDLERS[classified.type](board, active);
}

/** Returns whether a statement has to run in a transaction but none is open. */
function needsOpenTx(caller: Caller, classified: ClassifiedStatement): boolean {
  return (
    classified.usesInsertId &&
    classified.type !== 'select_variables' &&
    classified.type !== 'unsupported' &&
    caller.tx === null
  );
}
