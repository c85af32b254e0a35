/** A small model of a replicated ledger: log, rows and request keys. */

import type {LogPosition, OkResult} from '@lacewingroad/core';

/** One change within an entry. */
export type LedgerOp =
  | {readonly type: 'row'; readonly id: string}
  | {readonly type: 'key'; readonly key: string; readonly saved: OkResult};

/** One committed transaction. */
export interface LedgerEntry extends LogPosition {
  readonly committedAt: number;
  readonly ops: readonly LedgerOp[];
}

/** The ledger of one endpoint. */
export interface Ledger {
  readonly entries: readonly LedgerEntry[];
  readonly append: (entry: LedgerEntry) => void;
  readonly onAppend: (listener: (entry: LedgerEntry) => void) => void;
  /** Removes all entries after an index. */
  readonly truncate: (index: number) => void;
  /** Returns the result saved with a request key, or null. */
  readonly findKey: (key: string) => OkResult | null;
  /** Returns the ids of the rows that begin with `prefix.`, in order. */
  readonly listRows: (prefix: string) => readonly string[];
}

/** Returns the part of a row's id before the first dot, which reads select. */
export function parsePrefix(id: string): string {
  const dot = id.indexOf('.');
  return dot < 0 ? id : id.slice(0, dot);
}

/** Creates an empty ledger. */
export function createLedger(): Ledger {
  const entries: LedgerEntry[] = [];
  const keys = new Map<string, OkResult>();
  const rows = new Map<string, string[]>();
  const listeners: ((entry: LedgerEntry) => void)[] = [];

  const apply = (op: LedgerOp): void => {
    if (op.type === 'key') {
      keys.set(op.key, op.saved);
      return;
    }
    const prefix = parsePrefix(op.id);
    const known = rows.get(prefix);
    if (known === undefined) {
      rows.set(prefix, [op.id]);
    } else {
      known.push(op.id);
    }
  };

  const undo = (op: LedgerOp): void => {
    if (op.type === 'key') {
      keys.delete(op.key);
      return;
    }
    rows.get(parsePrefix(op.id))!.pop();
  };

  return {
    entries,
    append: entry => {
      entries.push(entry);
      entry.ops.forEach(apply);
      listeners.forEach(listener => listener(entry));
    },
    onAppend: listener => {
      listeners.push(listener);
    },
    truncate: index => {
      while (entries.length > index) {
        [...entries.pop()!.ops].reverse().forEach(undo);
      }
    },
    findKey: key => keys.get(key) ?? null,
    listRows: prefix => rows.get(prefix) ?? [],
  };
}
