/** Counts the outcomes that the demo's callers observe. */

import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

/** Kind of a statement in the demo. */
export type DemoKind = 'payment' | 'status' | 'gallery';

/** Outcome of a statement as its caller observed it. */
export type DemoOutcome = 'done' | 'not_run' | 'unknown' | 'other';

/** MySQL error numbers of lacewingroad, mapped to outcomes. */
const OUTCOME_BY_ERRNO: Readonly<Record<number, DemoOutcome>> = {
  9101: 'not_run',
  9102: 'unknown',
};

/** Returns the outcome for an error of the MySQL client library. */
export function classifyOutcome(err: unknown): DemoOutcome {
  const errno = (err as {readonly errno?: number}).errno;
  return errno === undefined ? 'other' : (OUTCOME_BY_ERRNO[errno] ?? 'other');
}

/** Counts for one kind of statement. */
export interface KindTally {
  readonly outcomes: Readonly<Record<DemoOutcome, number>>;
  /** Latency of successful statements, in milliseconds. */
  readonly latencyMs: Histogram;
}

/** Counts for one run of the demo. */
export interface Tally {
  readonly count: (kind: DemoKind, outcome: DemoOutcome, ms: number) => void;
  /** Records the instant at which a payment was acknowledged. */
  readonly recordPayment: (at: number) => void;
  /** Counts a read that did not return the caller's own payment. */
  readonly recordMissingRead: () => void;
  readonly getKindTally: (kind: DemoKind) => KindTally;
  readonly countMissingReads: () => number;
  /** Returns the longest time without an acknowledged payment after `from`. */
  readonly longestGapMs: (from: number) => number;
}

/** Creates an empty tally. */
export function createTally(): Tally {
  const kinds = new Map<
    DemoKind,
    {outcomes: Record<DemoOutcome, number>; latencyMs: Histogram}
  >();
  const paymentInstants: number[] = [];
  let missingReads = 0;

  const getOrCreate = (kind: DemoKind) => {
    const existing = kinds.get(kind);
    if (existing !== undefined) {
      return existing;
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
      const tally = getOrCreate(kind);
      tally.outcomes[outcome]++;
      if (outcome === 'done') {
        tally.latencyMs.recordValue(Math.max(1, Math.round(ms)));
      }
    },
    recordPayment: instant => {
      paymentInstants.push(instant);
    },
    recordMissingRead: () => {
      missingReads++;
    },
    getKindTally: getOrCreate,
    countMissingReads: () => missingReads,
    longestGapMs: from => {
      const instants = [from, ...paymentInstants.filter(at => at > from)];
      instants.sort((a, b) => a - b);
      const gaps = instants.slice(1).map((at, index) => at - instants[index]!);
      return Math.max(0, ...gaps);
    },
  };
}
