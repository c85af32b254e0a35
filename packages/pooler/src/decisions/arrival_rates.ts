/**
 * Measures how much slot time newly arrived work of each rank takes. The load
 * that it addresses: a flood of urgent work, which takes the slots that the
 * less urgent work in the queue would have been given.
 */

import type {Instant} from '@lacewingroad/runtime';

/** Work by the endpoints that can run it: slot time in ms, or slots in use. */
export interface Work {
  /** Work that only the primary can run. */
  readonly primary: number;
  /** Work that any endpoint can run. */
  readonly any: number;
}

/** Work that takes no time. */
export const NO_WORK: Work = {primary: 0, any: 0};

/** Returns the sum of two amounts of work. */
export function addWork(a: Work, b: Work): Work {
  return {primary: a.primary + b.primary, any: a.any + b.any};
}

/** Returns the work of one statement. */
export function toWork(needsPrimary: boolean, ms: number): Work {
  return needsPrimary ? {primary: ms, any: 0} : {primary: 0, any: ms};
}

/** Time constant of the decay of the rates, in ms. */
export const RATE_MS = 1_000;

/** The recent arrivals of work at a pool. */
export interface ArrivalRates {
  readonly add: (rank: number, work: Work, now: Instant) => void;
  /** Returns the slots that arriving work of a rank keeps in use. */
  readonly read: (rank: number, now: Instant) => Work;
  /** The same for all ranks that are more urgent. */
  readonly readMoreUrgent: (rank: number, now: Instant) => Work;
}

/** Creates the record of a pool without arrivals. */
export function createArrivalRates(): ArrivalRates {
  const sums = new Map<number, {work: Work; at: Instant}>();
  const read = (rank: number, now: Instant): Work => {
    const sum = sums.get(rank);
    if (sum === undefined) {
      return NO_WORK;
    }
    const factor = Math.exp(-(now - sum.at) / RATE_MS) / RATE_MS;
    return {primary: sum.work.primary * factor, any: sum.work.any * factor};
  };
  return {
    add: (rank, work, now) => {
      const {primary, any} = read(rank, now);
      const before = {primary: primary * RATE_MS, any: any * RATE_MS};
      sums.set(rank, {work: addWork(before, work), at: now});
    },
    read,
    readMoreUrgent: (rank, now) => {
      let sum = NO_WORK;
      for (const other of sums.keys()) {
        if (other < rank) {
          sum = addWork(sum, read(other, now));
        }
      }
      return sum;
    },
  };
}
