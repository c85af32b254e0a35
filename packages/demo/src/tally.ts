/** Counts what the demo's callers saw. */

import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

/** A kind of statement of the demo. */
export type DemoKind = 'payment' | 'status' | 'gallery';

/** What became of a statement as the caller saw it. */
export type DemoOutcome = 'done' | 'not_run' | 'unknown' | 'other';

/** Error numbers of lacewingroad that the demo tells apart. */
const OUTCOME_BY_ERRNO: Readonly<Record<number, DemoOutcome>> = {
  9101: 'not_run',
  9102: 'unknown',
};

/** Returns the outcome that an error of the client library stands for. */
export function readOutcome(err: unknown): DemoOutcome {
  const errno = (err as {readonly errno?: number}).errno;
  return errno === undefined ? 'other' : (OUTCOME_BY_ERRNO[errno] ?? 'other');
}

/** What was counted of one kind. */
export interface KindTally {
  readonly outcomes: Readonly<Record<DemoOutcome, number>>;
  /** Latency of done statements, in milliseconds. */
  readonly latencyMs: Histogram;
}

/** Counts of a run. */
export interface Tally {
  readonly count: (kind: DemoKind, outcome: DemoOutcome, ms: number) => void;
  /** Notes that a payment was acknowledged at an instant. */
  readonly notePayment: (at: number) => void;
  /** Notes a read that missed the caller's own payment. */
  readonly noteMissing: () => void;
  readonly readKind: (kind: DemoKind) => KindTally;
  readonly readMissing: () => number;
  /** Returns the longest time without an acknowledged payment after `from`. */
  readonly readGapMs: (from: number) => number;
}

/** Creates an empty tally. */
export function createTally(): Tally {
  const kinds = new Map<
    DemoKind,
    {outcomes: Record<DemoOutcome, number>; latencyMs: Histogram}
  >();
  const paymentsAt: number[] = [];
  let missing = 0;

  const find = (kind: DemoKind) => {
    const known = kinds.get(kind);
    if (known !== undefined) {
      return known;
    }
    const created = {
      outcomes: {done: 0, not_run: 0, unknown: 0, other: 0},
      latencyMs: build(),
    };
    kinds.set(kind, created);
    return created;
  };

  return {
    count: (kind, outcome, ms) => {
      const tally = find(kind);
      tally.outcomes[outcome]++;
      if (outcome === 'done') {
        tally.latencyMs.recordValue(Math.max(1, Math.round(ms)));
      }
    },
    notePayment: at => {
      paymentsAt.push(at);
    },
    noteMissing: () => {
      missing++;
    },
    readKind: find,
    readMissing: () => missing,
    readGapMs: from => {
      const after = [from, ...paymentsAt.filter(at => at > from)];
      after.sort((a, b) => a - b);
      const gaps = after.slice(1).map((at, index) => at - after[index]!);
      return Math.max(0, ...gaps);
    },
  };
}
