/**
 * Pulls the primary's log over its MySQL port and applies it after the
 * adjustable lag. A pull that the primary answers with "all" is also the
 * heartbeat from which the age of the data is counted.
 */

import {createConnection} from 'mysql2/promise';
import type {Connection, RowDataPacket} from 'mysql2/promise';
import {connect} from 'node:net';
import {waitUntil} from '@lacewingroad/runtime';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import {decodeEntries} from './log.js';
import type {LogEntry} from './log.js';
import type {FollowTarget, Ledger} from './ledger.js';

/** User name of replication connections; they stand outside of the limit. */
export const REPLICATION_USER = 'ledger_replication';

/** What the primary answers when the logs do not meet at the asked index. */
export const DIVERGED_ERRNO = 1236;

const MAX_ENTRIES = 500;
const WAIT_MS = 50;
const RETRY_MS = 50;
const CONNECT_TIMEOUT_MS = 1_000;
const PULL_TIMEOUT_MS = 1_000;

/** Settings of the replication that tests may change. */
export interface ReplicationSettings {
  /** Age of an entry when it is applied, in milliseconds. */
  readonly lagMs: number;
  readonly isPaused: boolean;
}

/** A replica's side of the replication. */
export interface Replication {
  /** Age of the applied data in milliseconds; 0 at a primary. */
  readonly dataAgeMs: () => number;
  /**
   * The term that the log is known to belong to: below the accepted term until
   * the primary confirmed that both logs meet.
   */
  readonly confirmedTerm: () => number;
  readonly close: () => void;
}

interface PullRow extends RowDataPacket {
  readonly entries: string;
  readonly last_index: number;
  readonly waited_ms: number;
}

interface Batch {
  readonly applyAt: Instant;
  readonly entries: readonly LogEntry[];
  /** The data is as of this instant once applied; null when more follows. */
  readonly freshAt: Instant | null;
}

/** Starts the pull loop, which idles while the ledger is primary. */
export function startReplication(
  ledger: Ledger,
  settings: () => ReplicationSettings,
  address: string | null,
  runtime: Runtime,
): Replication {
  const startedAt = runtime.now();
  let queue: Batch[] = [];
  let freshAt = startedAt;
  let confirmedTerm = ledger.role() === 'primary' ? ledger.term() : 0;
  let followed = ledger.follows();
  let followedTerm = ledger.term();
  let connection: Connection | null = null;
  let isClosed = false;
  let cancelApply: () => void = () => undefined;

  const disconnect = (): void => {
    connection?.destroy();
    connection = null;
  };

  const applyDue = (): void => {
    cancelApply();
    while (queue.length > 0 && queue[0]!.applyAt <= runtime.now()) {
      const batch = queue.shift()!;
      batch.entries.forEach(entry => ledger.apply(entry));
      freshAt = batch.freshAt ?? freshAt;
    }
    const next = queue[0];
    if (next !== undefined) {
      cancelApply = runtime.at(next.applyAt, applyDue);
    }
  };

  const unlisten = ledger.onChange(() => {
    const isPrimary = ledger.role() === 'primary';
    const isSame =
      followed === ledger.follows() && followedTerm === ledger.term();
    if (isPrimary) {
      confirmedTerm = ledger.term();
    }
    if (isSame) {
      return;
    }
    if (followed === null && !isPrimary) {
      // A primary's own data were fresh until it was replaced.
      freshAt = runtime.now();
    }
    followed = ledger.follows();
    followedTerm = ledger.term();
    queue = [];
    disconnect();
  });

  const openConnection = async (target: FollowTarget): Promise<Connection> => {
    const stream = connect({
      host: target.address,
      port: target.port,
      ...(address === null ? {} : {localAddress: address}),
    });
    stream.on('error', () => undefined);
    const opened = await createConnection({
      stream,
      user: REPLICATION_USER,
      connectTimeout: CONNECT_TIMEOUT_MS,
    });
    opened.on('error', () => undefined);
    return opened;
  };

  /** Index and term up to which entries were fetched. */
  const fetched = (): {readonly index: number; readonly term: number} => {
    const last = queue.findLast(batch => batch.entries.length > 0);
    const entry = last?.entries.at(-1);
    const index = ledger.index();
    return entry ?? {index, term: ledger.termAt(index)};
  };

  const pull = async (target: FollowTarget, term: number): Promise<void> => {
    connection ??= await openConnection(target);
    const mine = connection;
    const from = fetched();
    const askedAt = runtime.now();
    const [result] = await mine.query<PullRow[][]>({
      sql: 'CALL ledger_read_log(?, ?, ?, ?, ?)',
      values: [term, from.index, from.term, MAX_ENTRIES, WAIT_MS],
      timeout: PULL_TIMEOUT_MS,
    });
    if (ledger.follows() !== target || ledger.term() !== term || isClosed) {
      return;
    }
    const row = (result as unknown as readonly PullRow[])[0]!;
    const entries = decodeEntries(row.entries);
    const reached = entries.at(-1)?.index ?? from.index;
    const isAll = reached >= row.last_index;
    const now = runtime.now();
    confirmedTerm = term;
    queue.push({
      applyAt: now + settings().lagMs,
      entries,
      freshAt: isAll ? Math.min(now, askedAt + row.waited_ms) : null,
    });
    applyDue();
  };

  const hasDiverged = (err: unknown): boolean =>
    (err as {readonly errno?: number}).errno === DIVERGED_ERRNO;

  const step = async (): Promise<void> => {
    const target = ledger.follows();
    if (target === null || settings().isPaused) {
      await waitUntil(runtime, runtime.now() + RETRY_MS);
      return;
    }
    try {
      await pull(target, ledger.term());
    } catch (err) {
      if (hasDiverged(err) && ledger.follows() === target) {
        queue = [];
        ledger.truncate(ledger.index() - 1);
        return;
      }
      disconnect();
      await waitUntil(runtime, runtime.now() + RETRY_MS);
    }
  };

  const loop = async (): Promise<void> => {
    while (!isClosed) {
      await step();
    }
  };
  void loop();

  return {
    dataAgeMs: () =>
      ledger.role() === 'primary' ? 0 : runtime.now() - freshAt,
    confirmedTerm: () => confirmedTerm,
    close: () => {
      isClosed = true;
      unlisten();
      cancelApply();
      disconnect();
    },
  };
}
