/** One connection's statements: transaction state, slots and procedures. */

import {waitUntil} from '@lacewingroad/runtime';
import type {Runtime} from '@lacewingroad/runtime';
import {PLAIN_OK, positionInfo, runInTransaction} from './executor.js';
import type {DataStatement, Reply} from './executor.js';
import type {Ledger} from './ledger.js';
import {PROCEDURES} from './procedures.js';
import {rowScope} from './select.js';
import type {StatementContext} from './select.js';
import type {Slots} from './slots.js';
import type {Expr, ParsedSql, SqlStatement} from './sql_ast.js';
import {evaluate} from './sql_expression.js';
import type {Transaction} from './table_store.js';
import {LEDGER_ERRORS} from './values.js';
import type {SqlValue} from './values.js';

/** What the sessions of an endpoint share. */
export interface SessionDeps {
  readonly ledger: Ledger;
  readonly slots: Slots;
  readonly runtime: Runtime;
  /** Time that each data statement holds its slot, in milliseconds. */
  readonly serviceMs: () => number;
  /** Limit of a lock wait in milliseconds. */
  readonly lockWaitMs: number;
  readonly variable: (name: string) => SqlValue;
  readonly onStatement: () => void;
  /** Called for each statement on data, before it waits for a slot. */
  readonly onData: () => void;
}

/** The state of one connection. */
export interface Session {
  readonly run: (
    parsed: ParsedSql,
    params: readonly SqlValue[],
  ) => Promise<Reply>;
  readonly isInTransaction: () => boolean;
  /** Rolls back what is open. */
  readonly close: () => void;
}

const MS_PER_SECOND = 1_000;

/** Sums the seconds of the SLEEP calls in a select list. */
function sleepMs(statement: SqlStatement, ctx: StatementContext): number {
  if (statement.type !== 'select') {
    return 0;
  }
  const scope = rowScope(ctx, new Map(), []);
  const sleepOf = (expr: Expr): number => {
    const isSleep = expr.type === 'call' && expr.name === 'SLEEP';
    if (!isSleep || expr.args === '*' || expr.args[0] === undefined) {
      return 0;
    }
    return Number(evaluate(expr.args[0], scope)) * MS_PER_SECOND;
  };
  return statement.items.reduce(
    (sum, item) => sum + (item === null ? 0 : sleepOf(item.expr)),
    0,
  );
}

/** Tells whether a statement only asks for the endpoint's status. */
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

  const contextOf = (params: readonly SqlValue[]): StatementContext => ({
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
    const holdMs = deps.serviceMs() + sleepMs(statement, ctx);
    if (holdMs > 0) {
      await waitUntil(runtime, runtime.now() + holdMs);
    }
    release();
  };

  const runData = async (
    statement: DataStatement,
    parsed: ParsedSql,
    ctx: StatementContext,
  ): Promise<Reply> => {
    if (!isAutocommit) {
      tx ??= ledger.begin();
    }
    // Chosen before the wait for a slot, during which the connection may end.
    const isImplicit = tx === null;
    const used = tx ?? ledger.begin();
    if (!isStatusQuery(statement)) {
      deps.onData();
      await holdSlot(statement, ctx);
    }
    const lockUntil = runtime.now() + deps.lockWaitMs;
    try {
      const reply = await runInTransaction(
        statement,
        ledger,
        ctx,
        used,
        lockUntil,
        runtime,
      );
      if (parsed.requestKey !== null && used.undo.length > 0) {
        used.keys.add(parsed.requestKey);
      }
      return isImplicit ? finish(used, reply) : reply;
    } catch (err) {
      if (isImplicit) {
        ledger.rollback(used);
      }
      throw err;
    }
  };

  const finish = (used: Transaction, reply: Reply): Reply => {
    const position = ledger.commit(used);
    if (reply.type === 'rows') {
      return reply;
    }
    lastInsertId = reply.insertId || lastInsertId;
    return {...reply, info: positionInfo(position) || reply.info};
  };

  const commit = (): Reply => {
    const ended = tx;
    tx = null;
    if (ended === null) {
      return PLAIN_OK;
    }
    return {...PLAIN_OK, info: positionInfo(ledger.commit(ended))};
  };

  const rollback = (): Reply => {
    if (tx !== null) {
      ledger.rollback(tx);
      tx = null;
    }
    return PLAIN_OK;
  };

  type Handlers = {
    readonly [T in SqlStatement['type']]: (
      statement: Extract<SqlStatement, {type: T}>,
      parsed: ParsedSql,
      ctx: StatementContext,
    ) => Promise<Reply> | Reply;
  };

  const handlers: Handlers = {
    select: runData,
    create: (statement, parsed, ctx) => {
      commit();
      return runData(statement, parsed, ctx);
    },
    insert: runData,
    update: runData,
    delete: runData,
    call: (statement, _parsed, ctx) => {
      const procedure = PROCEDURES[statement.name];
      if (procedure === undefined) {
        throw LEDGER_ERRORS.syntax(`unknown procedure ${statement.name}`);
      }
      const scope = rowScope(ctx, new Map(), []);
      const args = statement.args.map(arg => evaluate(arg, scope));
      return procedure(args, ledger, runtime);
    },
    set_autocommit: ({isOn}) => {
      isAutocommit = isOn;
      return isOn ? commit() : PLAIN_OK;
    },
    begin: () => {
      const reply = commit();
      tx = ledger.begin();
      return reply;
    },
    commit,
    rollback,
    accepted: () => PLAIN_OK,
  };

  return {
    run: async (parsed, params) => {
      deps.onStatement();
      const handler = handlers[parsed.statement.type] as (
        statement: SqlStatement,
        parsed: ParsedSql,
        ctx: StatementContext,
      ) => Promise<Reply> | Reply;
      return handler(parsed.statement, parsed, contextOf(params));
    },
    isInTransaction: () => tx !== null,
    close: () => {
      rollback();
    },
  };
}
