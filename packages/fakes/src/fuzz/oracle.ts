/** The main oracle: checks the invariants of a site under any faults. */

import type {
  GroupId,
  GroupObject,
  HostId,
  LogPosition,
  Outcome,
  PeerMessage,
  RanMessage,
  RequestId,
  RunMessage,
} from '@lacewingroad/core';
import type {FakePlatform} from '../platform.js';
import {parseRowId} from '../statements.js';
import type {LedgerEntry} from '../ledger.js';
import {createTxOracle} from './tx_oracle.js';
import type {TrackedTx} from './tx_oracle.js';

/** Time for which a write owner may rely on evidence, in milliseconds. */
const EVIDENCE_VALID_MS = 3_000;

/** How one attempt of a write ended, as reported to its caller. */
export type ReportedOutcome = 'done' | 'not_run' | 'failed' | 'unknown';

/** One write of a caller, with all its attempts. */
interface TrackedWrite {
  readonly id: string;
  readonly group: GroupId;
  /** Whether at most one row of this write may survive. */
  readonly isAtMostOnce: boolean;
  outcomes: ReportedOutcome[];
  /** Number of attempts without an answer so far. */
  pendingCount: number;
}

/** Observes a run and collects violations. */
export interface Oracle {
  readonly violations: string[];
  readonly writes: ReadonlyMap<string, TrackedWrite>;
  readonly fail: (text: string) => void;
  /** Records that an attempt of a write is sent. */
  readonly begin: (id: string, group: GroupId, isAtMostOnce: boolean) => void;
  /** Records the end of an attempt. */
  readonly recordOutcome: (id: string, outcome: ReportedOutcome) => void;
  /** Checks a message between hosts, or from a host to itself. */
  readonly observeMessage: (from: HostId, msg: PeerMessage) => void;
  /** Returns whether a change of primary dropped an acknowledged write. */
  readonly isLost: (id: string) => boolean;
  /** Starts tracking a transaction of a caller. */
  readonly beginTx: () => TrackedTx;
  /** Checks a transaction that a primary has committed. */
  readonly observeCommit: (entry: LedgerEntry) => void;
  /** Checks all writes of a group against its surviving rows. */
  readonly checkEnd: (group: GroupId, rows: readonly string[]) => void;
}

/** Dependencies of the oracle. */
export interface OracleConfig {
  readonly platform: FakePlatform;
  readonly now: () => number;
}

/** Creates an oracle at the start of a run. */
export function createOracle(cfg: OracleConfig): Oracle {
  const {platform, now} = cfg;
  const violations: string[] = [];
  const writes = new Map<string, TrackedWrite>();
  const runs = new Map<RequestId, RunMessage>();
  const rowsOfTx = new Map<string, string[]>();
  const positions = new Map<string, LogPosition>();
  const committedRows = new Set<string>();
  const fenceRaisedAt = new Map<string, number>();

  const fail = (text: string): void => {
    violations.push(`${now().toFixed(1)}: ${text}`);
  };

  const txOracle = createTxOracle(fail);

  const readGroup = (group: GroupId): GroupObject =>
    platform.find(`groups/${group}`)!.value as GroupObject;

  platform.onUpdate(change => {
    if (change.key.startsWith('groups/')) {
      const {fence} = change.value as GroupObject;
      if (fence !== null && !fenceRaisedAt.has(fence.attempt)) {
        fenceRaisedAt.set(fence.attempt, now());
      }
    }
  });

  /** Returns why a term may no longer acknowledge requests; null if it may. */
  const explainReplacement = (group: GroupId, term: number): string | null => {
    const object = readGroup(group);
    const {fence} = object;
    if (object.term > term) {
      return `term ${object.term} has begun`;
    }
    if (fence === null || fence.term < term) {
      return null;
    }
    const raisedAt = fenceRaisedAt.get(fence.attempt)!;
    if (fence.confirmed) {
      return 'its fence is confirmed';
    }
    return now() > raisedAt + EVIDENCE_VALID_MS
      ? `its fence was raised at ${raisedAt.toFixed(1)}`
      : null;
  };

  const recordRun = (msg: RunMessage): void => {
    runs.set(msg.request, msg);
    if (msg.mode === 'in_tx' && msg.isWrite && msg.tx !== null) {
      const rows = rowsOfTx.get(msg.tx) ?? [];
      rowsOfTx.set(msg.tx, [...rows, parseRowId(msg.statement.sql)]);
    }
  };

  const checkDone = (
    from: HostId,
    msg: RanMessage,
    outcome: Extract<Outcome, {type: 'done'}>,
  ): void => {
    const run = runs.get(msg.request);
    if (run === undefined) {
      return;
    }
    const {position} = outcome;
    const term = position?.term ?? (run.mode === 'in_tx' ? null : run.term);
    const isProven = position !== null || !run.isWrite;
    const replacement =
      term === null || !isProven ? null : explainReplacement(run.group, term);
    if (replacement !== null) {
      fail(
        `${from} acknowledged ${msg.request} (${run.statement.sql}) in term ${term} of ${run.group} although ${replacement}`,
      );
    }
    if (position === null) {
      return;
    }
    const rows =
      run.mode === 'commit'
        ? (rowsOfTx.get(run.tx ?? '') ?? [])
        : [parseRowId(run.statement.sql)];
    rows.forEach(id => positions.set(id, position));
  };

  const isLost = (id: string): boolean => {
    const position = positions.get(id);
    const write = writes.get(id);
    if (position === undefined || write === undefined) {
      return false;
    }
    // Computed independently of the library's rule, which is under test.
    return readGroup(write.group).starts.some(
      start => start.term > position.term && start.index < position.index,
    );
  };

  const checkWrite = (write: TrackedWrite, count: number): void => {
    const {id, outcomes, pendingCount, isAtMostOnce} = write;
    if (isAtMostOnce && count > 1) {
      fail(`${id} has ${count} rows in the surviving log`);
    }
    if (outcomes.includes('done') && count === 0 && !isLost(id)) {
      fail(
        `${id} was acknowledged, but is missing without a change of primary`,
      );
    }
    const isRefused =
      pendingCount === 0 &&
      outcomes.length > 0 &&
      outcomes.every(one => one === 'not_run' || one === 'failed');
    if (isRefused && (count > 0 || committedRows.has(id))) {
      fail(
        `${id} was reported as ${outcomes.join(', ')}, but ran${count > 0 ? '' : ' in a log that did not survive'}`,
      );
    }
  };

  return {
    violations,
    writes,
    fail,
    begin: (id, group, isAtMostOnce) => {
      const write = writes.get(id) ?? {
        id,
        group,
        isAtMostOnce,
        outcomes: [],
        pendingCount: 0,
      };
      write.pendingCount++;
      writes.set(id, write);
    },
    recordOutcome: (id, outcome) => {
      const write = writes.get(id)!;
      write.pendingCount--;
      write.outcomes.push(outcome);
    },
    observeMessage: (from, msg) => {
      if (msg.type === 'run') {
        recordRun(msg);
      }
      if (msg.type === 'ran' && msg.outcome.type === 'done') {
        checkDone(from, msg, msg.outcome);
      }
    },
    isLost,
    beginTx: txOracle.begin,
    observeCommit: entry => {
      txOracle.checkEntry(entry);
      entry.ops.forEach(op => {
        if (op.type === 'row') {
          committedRows.add(op.id);
        }
      });
    },
    checkEnd: (group, rows) => {
      const counts = new Map<string, number>();
      rows.forEach(id => counts.set(id, (counts.get(id) ?? 0) + 1));
      writes.forEach(write => {
        if (write.group === group) {
          checkWrite(write, counts.get(write.id) ?? 0);
        }
      });
    },
  };
}
