/**
 * The database of one endpoint: tables, transactions and the replicated log of
 * committed entries, each with its term.
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

/** Table of the request keys that were committed. */
const REQUESTS_TABLE = 'lacewingroad_requests';

const REQUEST_KEY_COLUMN = 'request_key';

/** Created with every ledger, so the log does not contain it. */
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

/** Number of commits that contain a request key. */
export interface RequestKeyRuns {
  /** Commits that are still in this endpoint's log. */
  readonly surviving: number;
  /** All commits ever applied on this endpoint, including truncated ones. */
  readonly total: number;
}

/** An in-memory ledger. */
export interface Ledger {
  readonly role: () => 'primary' | 'replica';
  /** Term accepted by the last promotion or by following a primary. */
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
  /**
   * Commits; returns the position of the log entry, or null if nothing was
   * written.
   */
  readonly commit: (tx: Transaction) => LogPosition | null;
  readonly rollback: (tx: Transaction) => void;
  readonly promote: (term: number, startIndex: number) => void;
  readonly follow: (
    target: FollowTarget,
    term: number,
    startIndex: number,
  ) => void;
  /**
   * Applies an entry received from the primary; its index must be the next one.
   */
  readonly apply: (entry: LogEntry) => void;
  /** Removes all entries after `index` and undoes their changes. */
  readonly truncate: (index: number) => void;
  readonly requestKeyRuns: () => Readonly<Record<string, RequestKeyRuns>>;
  /**
   * Calls `fn` after each new entry and each change of role; returns a function
   * that unsubscribes.
   */
  readonly onChange: (fn: () => void) => () => void;
}

/** Returns whether two targets have the same id and address. */
function isSameTarget(a: FollowTarget | null, b: FollowTarget): boolean {
  return a?.id === b.id && a.address === b.address && a.port === b.port;
}

/** Creates a ledger that contains only the table of request keys. */
export function createLedger(
  role: 'primary' | 'replica',
  initialTerm: number,
  initialTarget: FollowTarget | null,
): Ledger {
  const tables = new Map([[REQUESTS_TABLE, createTable(REQUESTS_DEF)]]);
  const log: LogEntry[] = [];
  const openTransactions = new Set<Transaction>();
  const totalRuns = new Map<string, number>();
  const survivingRuns = new Map<string, number>();
  const listeners = new Set<() => void>();
  let isPrimary = role === 'primary';
  let term = initialTerm;
  let target = initialTarget;
  let nextTx = 1;

  const notify = (): void => [...listeners].forEach(fn => fn());

  const addToCount = (
    counts: Map<string, number>,
    key: string,
    amount: number,
  ): void => {
    counts.set(key, (counts.get(key) ?? 0) + amount);
  };

  const append = (entry: LogEntry): void => {
    log.push(entry);
    entry.keys.forEach(key => addToCount(totalRuns, key, 1));
    entry.keys.forEach(key => addToCount(survivingRuns, key, 1));
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
    const autoIncrementIndex = table.def.columns.findIndex(
      column => column.isAutoIncrement,
    );
    const autoIncrementValue = Number(op.after?.[autoIncrementIndex] ?? 0);
    table.nextAutoIncrement = Math.max(
      table.nextAutoIncrement,
      autoIncrementValue + 1,
    );
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
    openTransactions.delete(tx);
    [...tx.onEnd].forEach(fn => fn());
  };

  const collectRequestKeys = (
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
    const keys = collectRequestKeys(tx, changes);
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
      entry.keys.forEach(key => addToCount(survivingRuns, key, -1));
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
      openTransactions.add(tx);
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
          `the log ends at index ${log.length}, before the start index ${startIndex}`,
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
          `in term ${term} as ${isPrimary ? 'primary' : 'replica'}, this endpoint cannot follow in term ${nextTerm}`,
        );
      }
      if (!isPrimary && term === nextTerm && isSameTarget(target, nextTarget)) {
        return;
      }
      if (isPrimary) {
        [...openTransactions].forEach(tx => endTx(tx, 'killed'));
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
          `invariant: entry ${entry.index} cannot follow log index ${log.length}`,
        );
      }
      append({...entry, ops: entry.ops.map(applyOp)});
    },
    truncate,
    requestKeyRuns: () =>
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
