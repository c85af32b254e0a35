/**
 * Pulls the primary's log over its MySQL port and applies the entries after a
 * configurable lag. A pull that reaches the end of the log also serves as the
 * heartbeat from which the age of the data is calculated.
 */

import {createConnection} from 'mysql2/promise';
import type {Connection, RowDataPacket} from 'mysql2/promise';
import {connect} from 'node:net';
import {waitUntil} from '@lacewingroad/runtime';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import {decodeEntries} from './log.js';
import type {LogEntry} from './log.js';
import type {FollowTarget, Ledger} from './ledger.js';

/**
 * User name of replication connections, which do not count towards the
 * connection limit.
 */
export const REPLICATION_USER = 'ledger_replication';

/**
 * Error with which the primary reports that the logs differ at the requested
 * index.
 */
export const DIVERGED_ERRNO = 1236;

const MAX_ENTRIES_PER_PULL = 500;
const LONG_POLL_MS = 50;
const RETRY_DELAY_MS = 50;
const CONNECT_TIMEOUT_MS = 1_000;
const PULL_TIMEOUT_MS = 1_000;

/** Replication settings that tests can change at run time. */
export interface ReplicationSettings {
  /** Age of an entry when it is applied, in milliseconds. */
  readonly lagMs: number;
  readonly isPaused: boolean;
}

/** The replica side of replication. */
export interface Replication {
  /** Age of the applied data in milliseconds; 0 at a primary. */
  readonly dataAgeMs: () => number;
  /**
   * Term for which the log is known to match the primary's. Below the accepted
   * term until the first successful pull from the new primary.
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
  /**
   * Instant as of which the data is current once applied; null if the primary
   * has more entries.
   */
  readonly dataAsOf: Instant | null;
}

/**
 * Starts the pull loop, which is idle while the ledger has no primary to
 * follow.
 */
export function startReplication(
  ledger: Ledger,
  settings: () => ReplicationSettings,
  address: string | null,
  runtime: Runtime,
): Replication {
  const startedAt = runtime.now();
  let queue: Batch[] = [];
  let dataAsOf = startedAt;
  let confirmedTerm = ledger.role() === 'primary' ? ledger.term() : 0;
  let lastTarget = ledger.follows();
  let lastTerm = ledger.term();
  let connection: Connection | null = null;
  let isClosed = false;
  let cancelApply: () => void = () => undefined;

  const disconnect = (): void => {
    connection?.destroy();
    connection = null;
  };

  const applyDueBatches = (): void => {
    cancelApply();
    while (queue.length > 0 && queue[0]!.applyAt <= runtime.now()) {
      const batch = queue.shift()!;
      batch.entries.forEach(entry => ledger.apply(entry));
      dataAsOf = batch.dataAsOf ?? dataAsOf;
    }
    const next = queue[0];
    if (next !== undefined) {
      cancelApply = runtime.at(next.applyAt, applyDueBatches);
    }
  };

  const unsubscribe = ledger.onChange(() => {
    const isPrimary = ledger.role() === 'primary';
    const isSame =
      lastTarget === ledger.follows() && lastTerm === ledger.term();
    if (isPrimary) {
      confirmedTerm = ledger.term();
    }
    if (isSame) {
      return;
    }
    if (lastTarget === null && !isPrimary) {
      // The data of a former primary was current until it was replaced.
      dataAsOf = runtime.now();
    }
    lastTarget = ledger.follows();
    lastTerm = ledger.term();
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

  /** Index and term of the last entry fetched, applied or not. */
  const findLastFetched = (): {
    readonly index: number;
    readonly term: number;
  } => {
    const last = queue.findLast(batch => batch.entries.length > 0);
    const entry = last?.entries.at(-1);
    const index = ledger.index();
    return entry ?? {index, term: ledger.termAt(index)};
  };

  const pull = async (target: FollowTarget, term: number): Promise<void> => {
    connection ??= await openConnection(target);
    const pullConnection = connection;
    const from = findLastFetched();
    const requestedAt = runtime.now();
    const [result] = await pullConnection.query<PullRow[][]>({
      sql: 'CALL ledger_read_log(?, ?, ?, ?, ?)',
      values: [term, from.index, from.term, MAX_ENTRIES_PER_PULL, LONG_POLL_MS],
      timeout: PULL_TIMEOUT_MS,
    });
    if (ledger.follows() !== target || ledger.term() !== term || isClosed) {
      return;
    }
    const row = (result as unknown as readonly PullRow[])[0]!;
    const entries = decodeEntries(row.entries);
    const lastIndex = entries.at(-1)?.index ?? from.index;
    const isCaughtUp = lastIndex >= row.last_index;
    const now = runtime.now();
    confirmedTerm = term;
    queue.push({
      applyAt: now + settings().lagMs,
      entries,
      dataAsOf: isCaughtUp ? Math.min(now, requestedAt + row.waited_ms) : null,
    });
    applyDueBatches();
  };

  const isDivergedError = (err: unknown): boolean =>
    (err as {readonly errno?: number}).errno === DIVERGED_ERRNO;

  const pullOnce = async (): Promise<void> => {
    const target = ledger.follows();
    if (target === null || settings().isPaused) {
      await waitUntil(runtime, runtime.now() + RETRY_DELAY_MS);
      return;
    }
    try {
      await pull(target, ledger.term());
    } catch (err) {
      if (isDivergedError(err) && ledger.follows() === target) {
        queue = [];
        ledger.truncate(ledger.index() - 1);
        return;
      }
      disconnect();
      await waitUntil(runtime, runtime.now() + RETRY_DELAY_MS);
    }
  };

  const pullUntilClosed = async (): Promise<void> => {
    while (!isClosed) {
      await pullOnce();
    }
  };
  void pullUntilClosed();

  return {
    dataAgeMs: () =>
      ledger.role() === 'primary' ? 0 : runtime.now() - dataAsOf,
    confirmedTerm: () => confirmedTerm,
    close: () => {
      isClosed = true;
      unsubscribe();
      cancelApply();
      disconnect();
    },
  };
}
