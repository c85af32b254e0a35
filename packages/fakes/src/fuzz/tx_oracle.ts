/** The oracle's part for transactions: each commits whole, alone, or never. */

import type {LedgerEntry} from '../ledger.js';

/** What a caller has asked for in one transaction. */
export interface AskedTx {
  /** Notes a row before its statement is sent. */
  readonly addRow: (id: string) => void;
  /** Notes that its COMMIT is sent. */
  readonly commit: () => void;
}

/** Follows transactions from their callers to the ledgers. */
export interface TxOracle {
  readonly begin: () => AskedTx;
  /** Checks a transaction as a primary has committed it. */
  readonly checkEntry: (entry: LedgerEntry) => void;
}

interface TrackedTx {
  readonly rows: string[];
  hasCommitted: boolean;
}

/** Creates an oracle that knows no transaction. */
export function createTxOracle(fail: (text: string) => void): TxOracle {
  const byRow = new Map<string, TrackedTx>();

  return {
    begin: () => {
      const tx: TrackedTx = {rows: [], hasCommitted: false};
      return {
        addRow: id => {
          tx.rows.push(id);
          byRow.set(id, tx);
        },
        commit: () => {
          tx.hasCommitted = true;
        },
      };
    },
    checkEntry: ({ops}) => {
      const rows = ops.flatMap(op => (op.type === 'row' ? [op.id] : []));
      const first = rows[0];
      if (first === undefined) {
        return;
      }
      const tx = byRow.get(first);
      const wanted = tx === undefined ? [first] : tx.rows;
      if (rows.join() !== wanted.join()) {
        fail(
          `a transaction committed ${rows.join(', ')}, but its caller sent ${wanted.join(', ')} in it`,
        );
      }
      if (tx?.hasCommitted === false) {
        fail(`${rows.join(', ')} were committed without their caller's COMMIT`);
      }
    },
  };
}
