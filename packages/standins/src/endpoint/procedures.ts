/**
 * Stored procedures to promote an endpoint, follow a primary and read the log.
 */

import type {Runtime} from '@lacewingroad/runtime';
import type {Reply} from './executor.js';
import {EMPTY_OK} from './executor.js';
import type {Ledger} from './ledger.js';
import {encodeEntries} from './log.js';
import {DIVERGED_ERRNO} from './replication.js';
import {LEDGER_ERRORS, LedgerError} from './values.js';
import type {ColumnDef, SqlValue} from './values.js';

/** Implementation of a stored procedure. */
export type Procedure = (
  args: readonly SqlValue[],
  ledger: Ledger,
  runtime: Runtime,
) => Promise<Reply> | Reply;

const column = (name: string, kind: ColumnDef['kind']): ColumnDef => ({
  name,
  kind,
  table: '',
  isAutoIncrement: false,
});

const LOG_COLUMNS: readonly ColumnDef[] = [
  column('entries', 'string'),
  column('last_index', 'bigint'),
  column('waited_ms', 'double'),
];

/** Resolves once the ledger has entries after `index`, or after `waitMs`. */
async function waitForEntries(
  ledger: Ledger,
  index: number,
  waitMs: number,
  runtime: Runtime,
): Promise<void> {
  if (ledger.index() > index || waitMs <= 0) {
    return;
  }
  await new Promise<void>(resolve => {
    const finish = (): void => {
      unsubscribe();
      cancel();
      resolve();
    };
    const unsubscribe = ledger.onChange(finish);
    const cancel = runtime.at(runtime.now() + waitMs, finish);
  });
}

const readLog: Procedure = async (args, ledger, runtime) => {
  const [term, after, afterTerm, max, waitMs] = args.map(Number);
  const requirePrimary = (): void => {
    if (ledger.role() !== 'primary' || ledger.term() !== term) {
      throw LEDGER_ERRORS.refused(`not the primary of term ${term}`);
    }
  };
  requirePrimary();
  if (ledger.index() < after! || ledger.termAt(after!) !== afterTerm) {
    throw new LedgerError(
      DIVERGED_ERRNO,
      'HY000',
      `the log has no entry ${after} of term ${afterTerm}`,
    );
  }
  const startedAt = runtime.now();
  await waitForEntries(ledger, after!, waitMs!, runtime);
  requirePrimary();
  const entries = encodeEntries(ledger.entriesAfter(after!, max!));
  const waitedMs = runtime.now() - startedAt;
  return {
    type: 'rows',
    columns: LOG_COLUMNS,
    rows: [[entries, ledger.index(), waitedMs]],
  };
};

/** Procedures by name. */
export const PROCEDURES: Readonly<Record<string, Procedure>> = {
  ledger_read_log: readLog,
  ledger_promote: ([term, startIndex], ledger) => {
    ledger.promote(Number(term), Number(startIndex));
    return EMPTY_OK;
  },
  ledger_follow: ([id, address, port, term, startIndex], ledger) => {
    const target = {
      id: String(id),
      address: String(address),
      port: Number(port),
    };
    ledger.follow(target, Number(term), Number(startIndex));
    return EMPTY_OK;
  },
};
