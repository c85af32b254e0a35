/**
 * Runs the statements of one connection: transaction state, slots and
 * procedures.
 */

import {waitUntil} from '@lacewingroad/runtime';
import type {Runtime} from '@lacewingroad/runtime';
import {EMPTY_OK, formatPositionInfo, runInTransaction} from './executor.js';
import type {DataStatement, Reply} from './executor.js';
import type {Ledger} from './ledger.js';
import {PROCEDURES} from './procedures.js';
import {createRowScope, runSelect} from './select.js';
import type {StatementContext} from './select.js';
import type {Slots} from './slots.js';
import type {Expr, ParsedSql, SqlStatement} from './sql_ast.js';
import {evaluate} from './sql_expression.js';
import type {Table, Transaction} from './table_store.js';
import {LEDGER_ERRORS} from './values.js';
import type {SqlValue} from './values.js';

/** Dependencies that all sessions of an endpoint share. */
export interface SessionDeps {
  readonly ledger: Ledger;
  readonly slots: Slots;
  readonly runtime: Runtime;
  /** Time that each data statement occupies its slot, in milliseconds. */
  readonly serviceMs: () => number;
  /** Maximum time to wait for a row lock, in milliseconds. */
  readonly lockWaitMs: number;
  readonly variable: (name: string) => SqlValue;
  readonly onStatement: () => void;
  /** Called for each data statement before it waits for a slot. */
  readonly onDataStatement: () => void;
  /** Returns a system table, or null if `name` is none. */
  readonly systemTable: (name: string) => Table | null;
  /** Closes a connection; returns whether there is one with that id. */
  readonly kill: (id: number) => boolean;
}

/** The state of one connection. */
export interface Session {
  readonly run: (
    parsed: ParsedSql,
    params: readonly SqlValue[],
  ) => Promise<Reply>;
  readonly isInTransaction: () => boolean;
  /** Rolls back the open transaction, if any. */
  readonly close: () => void;
}

const MS_PER_SECOND = 1_000;

/**
 * Returns the total duration of the SLEEP calls in a select list, in
 * milliseconds.
 */
function computeSleepMs(
  statement: SqlStatement,
  ctx: StatementContext,
): number {
  if (statement.type !== 'select') {
    return 0;
  }
  const scope = createRowScope(ctx, new Map(), []);
  const evaluateSleepMs = (expr: Expr): number => {
    const isSleep = expr.type === 'call' && expr.name === 'SLEEP';
    if (!isSleep || expr.args === '*' || expr.args[0] === undefined) {
      return 0;
    }
    return Number(evaluate(expr.args[0], scope)) * MS_PER_SECOND;
  };
  return statement.items.reduce(
    (sum, item) => sum + (item === null ? 0 : evaluateSleepMs(item.expr)),
    0,
  );
}

/** Returns whether a statement only reads status variables of the endpoint. */
function isStatusQuery(statement: SqlStatement): boolean {
  return (
    statement.type === 'select' &&
    statement.table === null &&
    statement.items.every(item => item?.expr.type === 'variable')
  );
}

/** Creates the state of a connection. */
export function createSession(deps: SessionDeps, database: string): Session {
  const {ledger, slots, runtime} = deps;
  let tx: Transaction | null = null;
  let isAutocommit = true;
  let lastInsertId = 0;

  const functions: Readonly<
    Record<string, (args: readonly SqlValue[]) => SqlValue>
  > = {
    SLEEP: () => 0,
    LAST_INSERT_ID: () => lastInsertId,
    DATABASE: () => (database === '' ? null : database),
    VERSION: () => deps.variable('@@version'),
    CONCAT: args => (args.includes(null) ? null : args.map(String).join('')),
    REPEAT: ([text, times]) => String(text).repeat(Number(times)),
  };

  const createContext = (params: readonly SqlValue[]): StatementContext => ({
    params,
    variable: deps.variable,
    call: (name, args) => {
      const fn = functions[name];
      if (fn === undefined) {
        throw LEDGER_ERRORS.syntax(`unknown function ${name}`);
      }
      return fn(args);
    },
  });

  const holdSlot = async (
    statement: SqlStatement,
    ctx: StatementContext,
  ): Promise<void> => {
    const release = await slots.acquire();
    const holdMs = deps.serviceMs() + computeSleepMs(statement, ctx);
    if (holdMs > 0) {
      await waitUntil(runtime, runtime.now() + holdMs);
    }
    release();
  };

  const runDataStatement = async (
    statement: DataStatement,
    parsed: ParsedSql,
    ctx: StatementContext,
  ): Promise<Reply> => {
    if (!isAutocommit) {
      tx ??= ledger.begin();
    }
    // Determined before waiting for a slot, since the connection can close
    // meanwhile.
    const isImplicit = tx === null;
    const activeTx = tx ?? ledger.begin();
    if (!isStatusQuery(statement)) {
      deps.onDataStatement();
      await holdSlot(statement, ctx);
    }
    const lockUntil = runtime.now() + deps.lockWaitMs;
    try {
      const reply = await runInTransaction(
        statement,
        ledger,
        ctx,
        activeTx,
        lockUntil,
        runtime,
      );
      if (parsed.requestKey !== null && activeTx.undo.length > 0) {
        activeTx.keys.add(parsed.requestKey);
      }
      return isImplicit ? commitImplicit(activeTx, reply) : reply;
    } catch (err) {
      if (isImplicit) {
        ledger.rollback(activeTx);
      }
      throw err;
    }
  };

  const commitImplicit = (endedTx: Transaction, reply: Reply): Reply => {
    const position = ledger.commit(endedTx);
    if (reply.type === 'rows') {
      return reply;
    }
    lastInsertId = reply.insertId || lastInsertId;
    return {...reply, info: formatPositionInfo(position) || reply.info};
  };

  const commit = (): Reply => {
    const endedTx = tx;
    tx = null;
    if (endedTx === null) {
      return EMPTY_OK;
    }
    return {...EMPTY_OK, info: formatPositionInfo(ledger.commit(endedTx))};
  };

  const rollback = (): Reply => {
    if (tx !== null) {
      ledger.rollback(tx);
      tx = null;
    }
    return EMPTY_OK;
  };

  type Handlers = {
    readonly [T in SqlStatement['type']]: (
      statement: Extract<SqlStatement, {type: T}>,
      parsed: ParsedSql,
      ctx: StatementContext,
    ) => Promise<Reply> | Reply;
  };

  const handlers: Handlers = {
    select: (statement, parsed, ctx) => {
      const table = deps.systemTable(statement.table ?? '');
      return table === null
        ? runDataStatement(statement, parsed, ctx)
        : runSelect(statement, () => table, ctx, null);
    },
    create: (statement, parsed, ctx) => {
      commit();
      return runDataStatement(statement, parsed, ctx);
    },
    insert: runDataStatement,
    update: runDataStatement,
    delete: runDataStatement,
    call: (statement, _parsed, ctx) => {
      const procedure = PROCEDURES[statement.name];
      if (procedure === undefined) {
        throw LEDGER_ERRORS.syntax(`unknown procedure ${statement.name}`);
      }
      const scope = createRowScope(ctx, new Map(), []);
      const args = statement.args.map(arg => evaluate(arg, scope));
      return procedure(args, ledger, runtime);
    },
    kill: ({id}, _parsed, ctx) => {
      const value = Number(evaluate(id, createRowScope(ctx, new Map(), [])));
      if (!deps.kill(value)) {
        throw LEDGER_ERRORS.unknownThread(value);
      }
      return EMPTY_OK;
    },
    set_autocommit: ({isOn}) => {
      isAutocommit = isOn;
      return isOn ? commit() : EMPTY_OK;
    },
    begin: () => {
      const reply = commit();
      tx = ledger.begin();
      return reply;
    },
    commit,
    rollback,
    accepted: () => EMPTY_OK,
  };

  return {
    run: async (parsed, params) => {
      deps.onStatement();
      const handler = handlers[parsed.statement.type] as (
        statement: SqlStatement,
        parsed: ParsedSql,
        ctx: StatementContext,
      ) => Promise<Reply> | Reply;
      return handler(parsed.statement, parsed, createContext(params));
    },
    isInTransaction: () => tx !== null,
    close: () => {
      rollback();
    },
  };
}
