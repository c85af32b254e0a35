/** What must hold of a site, whatever its faults: the fuzz's oracle. */

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
import {findRowId} from '../statements.js';
import type {LedgerEntry} from '../ledger.js';
import {createTxOracle} from './tx_oracle.js';
import type {AskedTx} from './tx_oracle.js';

/** Time for which evidence may be used, in milliseconds. */
const EVIDENCE_MS = 3_000;

/** How one attempt of a write ended, as its caller was told. */
export type Told = 'done' | 'not_run' | 'failed' | 'unknown';

/** One write of a caller, over all its attempts. */
interface TrackedWrite {
  readonly id: string;
  readonly group: GroupId;
  /** Whether at most one row of it may survive. */
  readonly isOnce: boolean;
  told: Told[];
  /** Attempts whose end the caller does not know yet. */
  waiting: number;
}

/** Collects facts and violations. */
export interface Oracle {
  readonly violations: string[];
  readonly writes: ReadonlyMap<string, TrackedWrite>;
  readonly fail: (text: string) => void;
  readonly begin: (id: string, group: GroupId, isOnce: boolean) => void;
  readonly tell: (id: string, told: Told) => void;
  /** Notes a message between hosts, or of a host to itself. */
  readonly noteMessage: (from: HostId, msg: PeerMessage) => void;
  /** Whether a change of primary dropped an acknowledged write. */
  readonly isLost: (id: string) => boolean;
  /** Begins to follow a transaction of a caller. */
  readonly beginTx: () => AskedTx;
  /** Notes a transaction that was committed, on whatever primary. */
  readonly noteCommitted: (entry: LedgerEntry) => void;
  /** Checks the end of a run against the surviving rows of a group. */
  readonly checkEnd: (group: GroupId, rows: readonly string[]) => void;
}

/** What the oracle reads. */
export interface OracleConfig {
  readonly platform: FakePlatform;
  readonly now: () => number;
}

/** Creates an oracle without facts. */
export function createOracle(cfg: OracleConfig): Oracle {
  const {platform, now} = cfg;
  const violations: string[] = [];
  const writes = new Map<string, TrackedWrite>();
  const runs = new Map<RequestId, RunMessage>();
  const rowsOfTx = new Map<string, string[]>();
  const positions = new Map<string, LogPosition>();
  const committed = new Set<string>();
  const fences = new Map<string, number>();

  const fail = (text: string): void => {
    violations.push(`${now().toFixed(1)}: ${text}`);
  };

  const txs = createTxOracle(fail);

  const readGroup = (group: GroupId): GroupObject =>
    platform.find(`groups/${group}`)!.value as GroupObject;

  platform.onUpdate(change => {
    if (change.key.startsWith('groups/')) {
      const {fence} = change.value as GroupObject;
      if (fence !== null && !fences.has(fence.attempt)) {
        fences.set(fence.attempt, now());
      }
    }
  });

  /** Returns why nothing of a term may be acknowledged now, or null. */
  const findReplacement = (group: GroupId, term: number): string | null => {
    const object = readGroup(group);
    const {fence} = object;
    if (object.term > term) {
      return `term ${object.term} stands`;
    }
    if (fence === null || fence.term < term) {
      return null;
    }
    const raisedAt = fences.get(fence.attempt)!;
    if (fence.confirmed) {
      return 'its fence is confirmed';
    }
    return now() > raisedAt + EVIDENCE_MS
      ? `its fence has stood since ${raisedAt.toFixed(1)}`
      : null;
  };

  const noteRun = (msg: RunMessage): void => {
    runs.set(msg.request, msg);
    if (msg.mode === 'in_tx' && msg.isWrite && msg.tx !== null) {
      const rows = rowsOfTx.get(msg.tx) ?? [];
      rowsOfTx.set(msg.tx, [...rows, findRowId(msg.statement.sql)]);
    }
  };

  const noteDone = (
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
    const fault =
      term === null || !isProven ? null : findReplacement(run.group, term);
    if (fault !== null) {
      fail(
        `${from} acknowledged ${msg.request} (${run.statement.sql}) in term ${term} of ${run.group} although ${fault}`,
      );
    }
    if (position === null) {
      return;
    }
    const rows =
      run.mode === 'commit'
        ? (rowsOfTx.get(run.tx ?? '') ?? [])
        : [findRowId(run.statement.sql)];
    rows.forEach(id => positions.set(id, position));
  };

  const isLost = (id: string): boolean => {
    const position = positions.get(id);
    const write = writes.get(id);
    if (position === undefined || write === undefined) {
      return false;
    }
    // On purpose not by the library's own rule, which is under test.
    return readGroup(write.group).starts.some(
      start => start.term > position.term && start.index < position.index,
    );
  };

  const checkWrite = (write: TrackedWrite, count: number): void => {
    const {id, told, waiting, isOnce} = write;
    if (isOnce && count > 1) {
      fail(`${id} ran ${count} times in the surviving history`);
    }
    if (told.includes('done') && count === 0 && !isLost(id)) {
      fail(`${id} was acknowledged and is gone without a change of primary`);
    }
    const isRefused =
      waiting === 0 &&
      told.length > 0 &&
      told.every(one => one === 'not_run' || one === 'failed');
    if (isRefused && (count > 0 || committed.has(id))) {
      fail(
        `${id} was told ${told.join(', ')} but ran${count > 0 ? '' : ' in a history that did not survive'}`,
      );
    }
  };

  return {
    violations,
    writes,
    fail,
    begin: (id, group, isOnce) => {
      const write = writes.get(id) ?? {id, group, isOnce, told: [], waiting: 0};
      write.waiting++;
      writes.set(id, write);
    },
    tell: (id, told) => {
      const write = writes.get(id)!;
      write.waiting--;
      write.told.push(told);
    },
    noteMessage: (from, msg) => {
      if (msg.type === 'run') {
        noteRun(msg);
      }
      if (msg.type === 'ran' && msg.outcome.type === 'done') {
        noteDone(from, msg, msg.outcome);
      }
    },
    isLost,
    beginTx: txs.begin,
    noteCommitted: entry => {
      txs.checkEntry(entry);
      entry.ops.forEach(op => {
        if (op.type === 'row') {
          committed.add(op.id);
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
