/** Checks that a transaction commits exactly the rows sent in it, or none. */

import type {LedgerEntry} from '../ledger.js';

/** Records what a caller sends in one transaction. */
export interface TrackedTx {
  /** Records a row; call before its statement is sent. */
  readonly addRow: (id: string) => void;
  /** Records that the COMMIT is sent. */
  readonly commit: () => void;
}

/** Tracks transactions from their callers to the ledgers. */
export interface TxOracle {
  readonly begin: () => TrackedTx;
  /** Checks a transaction that a primary has committed. */
  readonly checkEntry: (entry: LedgerEntry) => void;
}

interface TxRecord {
  readonly rows: string[];
  wasCommitSent: boolean;
}

/** Creates an oracle without transactions. */
export function createTxOracle(fail: (text: string) => void): TxOracle {
  const byRow = new Map<string, TxRecord>();

  return {
    begin: () => {
      const tx: TxRecord = {rows: [], wasCommitSent: false};
      return {
        addRow: id => {
          tx.rows.push(id);
          byRow.set(id, tx);
        },
        commit: () => {
          tx.wasCommitSent = true;
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
      const expectedRows = tx === undefined ? [first] : tx.rows;
      if (rows.join() !== expectedRows.join()) {
        fail(
          `a transaction committed ${rows.join(', ')}, but its caller sent ${expectedRows.join(', ')} in it`,
        );
      }
      if (tx?.wasCommitSent === false) {
        fail(`${rows.join(', ')} were committed without their caller's COMMIT`);
      }
    },
  };
}
