/**
 * One endpoint's ledger: tables, transactions, and the log of committed
 * entries with its terms.
 */

import type {LogPosition} from '@lacewingroad/core';
import type {LogEntry, LogOp} from './log.js';
import {
  commitWrites,
  createTable,
  setCommitted,
  undoWrites,
} from './table_store.js';
import type {
  CommittedChange,
  Table,
  TableDef,
  Transaction,
} from './table_store.js';
import {LEDGER_ERRORS} from './values.js';

/** Table of the request keys that ran. */
const REQUESTS_TABLE = 'lacewingroad_requests';

const REQUEST_KEY_COLUMN = 'request_key';

/** Part of each ledger from its beginning, hence not in the log. */
const REQUESTS_DEF: TableDef = {
  name: REQUESTS_TABLE,
  columns: [
    {name: REQUEST_KEY_COLUMN, kind: 'string'} as const,
    {name: 'affected_rows', kind: 'bigint'} as const,
    {name: 'insert_id', kind: 'bigint'} as const,
  ].map(column => ({
    ...column,
    table: REQUESTS_TABLE,
    isAutoIncrement: false,
  })),
  keys: [{name: 'PRIMARY', columns: [REQUEST_KEY_COLUMN]}],
};

/** The primary that a replica follows. */
export interface FollowTarget {
  readonly id: string;
  readonly address: string;
  readonly port: number;
}

/** How often a request key ran. */
export interface KeyRuns {
  /** In the history that survives on this endpoint. */
  readonly surviving: number;
  /** On this endpoint at all, with what was dropped. */
  readonly total: number;
}

/** A ledger in memory. */
export interface Ledger {
  readonly role: () => 'primary' | 'replica';
  /** Term accepted by promotion or following. */
  readonly term: () => number;
  readonly index: () => number;
  readonly follows: () => FollowTarget | null;
  /** Term of the entry at `index`; 0 at index 0. */
  readonly termAt: (index: number) => number;
  readonly entriesAfter: (index: number, max: number) => readonly LogEntry[];
  readonly findTable: (name: string) => Table;
  readonly tables: () => readonly Table[];
  readonly createTable: (
    def: TableDef,
    isIfNotExists: boolean,
  ) => LogPosition | null;
  readonly begin: () => Transaction;
  /** Commits and returns the entry's position, or null if nothing was written. */
  readonly commit: (tx: Transaction) => LogPosition | null;
  readonly rollback: (tx: Transaction) => void;
  readonly promote: (term: number, startIndex: number) => void;
  readonly follow: (
    target: FollowTarget,
    term: number,
    startIndex: number,
  ) => void;
  /** Applies an entry of the primary; its index must be the next one. */
  readonly apply: (entry: LogEntry) => void;
  /** Drops all entries beyond `index` with their effects. */
  readonly truncate: (index: number) => void;
  readonly keyRuns: () => Readonly<Record<string, KeyRuns>>;
  /** Calls `fn` after each entry and each change of role. */
  readonly onChange: (fn: () => void) => () => void;
}

/** Tells whether two targets are the same endpoint at the same place. */
function isSameTarget(a: FollowTarget | null, b: FollowTarget): boolean {
  return a?.id === b.id && a.address === b.address && a.port === b.port;
}

/** Creates a ledger that has only the table of request keys. */
export function createLedger(
  role: 'primary' | 'replica',
  firstTerm: number,
  firstTarget: FollowTarget | null,
): Ledger {
  const tables = new Map([[REQUESTS_TABLE, createTable(REQUESTS_DEF)]]);
  const log: LogEntry[] = [];
  const open = new Set<Transaction>();
  const totalRuns = new Map<string, number>();
  const survivingRuns = new Map<string, number>();
  const listeners = new Set<() => void>();
  let isPrimary = role === 'primary';
  let term = firstTerm;
  let target = firstTarget;
  let nextTx = 1;

  const notify = (): void => [...listeners].forEach(fn => fn());

  const add = (counts: Map<string, number>, key: string, by: number): void => {
    counts.set(key, (counts.get(key) ?? 0) + by);
  };

  const append = (entry: LogEntry): void => {
    log.push(entry);
    entry.keys.forEach(key => add(totalRuns, key, 1));
    entry.keys.forEach(key => add(survivingRuns, key, 1));
    notify();
  };

  const findTable = (name: string): Table => {
    const table = tables.get(name);
    if (table === undefined) {
      throw LEDGER_ERRORS.noTable(name);
    }
    return table;
  };

  const applyOp = (op: LogOp): LogOp => {
    if (op.type === 'create') {
      tables.set(op.def.name, createTable(op.def));
      return op;
    }
    const table = findTable(op.table);
    const before = setCommitted(table, op.id, op.after);
    const auto = table.def.columns.findIndex(column => column.isAutoIncrement);
    const value = Number(op.after?.[auto] ?? 0);
    table.nextAuto = Math.max(table.nextAuto, value + 1);
    return {...op, before};
  };

  const undoOp = (op: LogOp): void => {
    if (op.type === 'create') {
      tables.delete(op.def.name);
      return;
    }
    setCommitted(findTable(op.table), op.id, op.before);
  };

  const requireOpen = (tx: Transaction): void => {
    if (tx.state !== 'open' || !isPrimary) {
      endTx(tx, 'ended');
      throw LEDGER_ERRORS.readOnly();
    }
  };

  const endTx = (tx: Transaction, state: Transaction['state']): void => {
    if (tx.state !== 'open') {
      return;
    }
    undoWrites(tx, 0);
    tx.state = state;
    open.delete(tx);
    [...tx.onEnd].forEach(fn => fn());
  };

  const keysOf = (
    tx: Transaction,
    changes: readonly CommittedChange[],
  ): readonly string[] => {
    const inserted = changes
      .filter(({table}) => table.def.name === REQUESTS_TABLE)
      .filter(({before, after}) => before === null && after !== null)
      .map(({table, after}) =>
        String(after![table.positions.get(REQUEST_KEY_COLUMN) ?? 0]),
      );
    return [...new Set([...tx.keys, ...inserted])];
  };

  const commit = (tx: Transaction): LogPosition | null => {
    if (tx.undo.length === 0 && tx.state === 'open') {
      endTx(tx, 'ended');
      return null;
    }
    requireOpen(tx);
    const changes = commitWrites(tx);
    const keys = keysOf(tx, changes);
    endTx(tx, 'ended');
    if (changes.length === 0) {
      return null;
    }
    const ops = changes.map(({table, id, before, after}): LogOp => ({
      type: 'row',
      table: table.def.name,
      id,
      before,
      after,
    }));
    const position = {term, index: log.length + 1};
    append({...position, ops, keys});
    return position;
  };

  const truncate = (index: number): void => {
    while (log.length > index) {
      const entry = log.pop()!;
      [...entry.ops].reverse().forEach(undoOp);
      entry.keys.forEach(key => add(survivingRuns, key, -1));
    }
  };

  return {
    role: () => (isPrimary ? 'primary' : 'replica'),
    term: () => term,
    index: () => log.length,
    follows: () => target,
    termAt: index => log[index - 1]?.term ?? 0,
    entriesAfter: (index, max) => log.slice(index, index + max),
    findTable,
    tables: () => [...tables.values()],
    createTable: (def, isIfNotExists) => {
      if (!isPrimary) {
        throw LEDGER_ERRORS.readOnly();
      }
      if (tables.has(def.name)) {
        if (isIfNotExists) {
          return null;
        }
        throw LEDGER_ERRORS.tableExists(def.name);
      }
      const position = {term, index: log.length + 1};
      append({...position, ops: [applyOp({type: 'create', def})], keys: []});
      return position;
    },
    begin: () => {
      const tx: Transaction = {
        id: nextTx++,
        undo: [],
        keys: new Set(),
        onEnd: new Set(),
        state: 'open',
      };
      open.add(tx);
      return tx;
    },
    commit,
    rollback: tx => endTx(tx, 'ended'),
    promote: (nextTerm, startIndex) => {
      if (isPrimary && term === nextTerm) {
        return;
      }
      if (term >= nextTerm) {
        throw LEDGER_ERRORS.refused(`term ${term} is not below ${nextTerm}`);
      }
      if (log.length < startIndex) {
        throw LEDGER_ERRORS.refused(
          `the log ends at ${log.length}, not at ${startIndex}`,
        );
      }
      truncate(startIndex);
      isPrimary = true;
      term = nextTerm;
      target = null;
      notify();
    },
    follow: (nextTarget, nextTerm, startIndex) => {
      if (term > nextTerm || (isPrimary && term === nextTerm)) {
        throw LEDGER_ERRORS.refused(
          `term ${term} as ${isPrimary ? 'primary' : 'replica'} does not follow in term ${nextTerm}`,
        );
      }
      if (!isPrimary && term === nextTerm && isSameTarget(target, nextTarget)) {
        return;
      }
      if (isPrimary) {
        [...open].forEach(tx => endTx(tx, 'killed'));
      }
      if (term < nextTerm) {
        truncate(Math.min(log.length, startIndex));
      }
      isPrimary = false;
      term = nextTerm;
      target = nextTarget;
      notify();
    },
    apply: entry => {
      if (entry.index !== log.length + 1) {
        throw new Error(
          `invariant: entry ${entry.index} follows the log's ${log.length}`,
        );
      }
      append({...entry, ops: entry.ops.map(applyOp)});
    },
    truncate,
    keyRuns: () =>
      Object.fromEntries(
        [...totalRuns].map(([key, total]) => [
          key,
          {surviving: survivingRuns.get(key) ?? 0, total},
        ]),
      ),
    onChange: fn => {
      listeners.add(fn);
      return () => {
        listeners.delete(fn);
      };
    },
  };
}
