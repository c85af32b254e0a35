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

/**
 * Time constants of the decay of two rates, in ms. The lower one is used: the
 * first ends soon after a flood, the second does not take a burst for one.
 */
const RATE_MS = 1_000;
const SUSTAINED_RATE_MS = 3_000;

/** The recent arrivals of work at a pool. */
export interface ArrivalRates {
  readonly add: (rank: number, work: Work, now: Instant) => void;
  /** Returns the slots that arriving work of a rank keeps in use. */
  readonly read: (rank: number, now: Instant) => Work;
  /** The same for all ranks that are more urgent. */
  readonly readMoreUrgent: (rank: number, now: Instant) => Work;
}

interface DecayedSums {
  readonly recent: Work;
  readonly sustained: Work;
  readonly at: Instant;
}

function scaleWork({primary, any}: Work, factor: number): Work {
  return {primary: primary * factor, any: any * factor};
}

function decay(sums: DecayedSums, now: Instant): DecayedSums {
  const ageMs = now - sums.at;
  return {
    recent: scaleWork(sums.recent, Math.exp(-ageMs / RATE_MS)),
    sustained: scaleWork(sums.sustained, Math.exp(-ageMs / SUSTAINED_RATE_MS)),
    at: now,
  };
}

/** Creates the record of a pool without arrivals. */
export function createArrivalRates(): ArrivalRates {
  const ranks = new Map<number, DecayedSums>();
  const read = (rank: number, now: Instant): Work => {
    const sums = ranks.get(rank);
    if (sums === undefined) {
      return NO_WORK;
    }
    const {recent, sustained} = decay(sums, now);
    return {
      primary: Math.min(
        recent.primary / RATE_MS,
        sustained.primary / SUSTAINED_RATE_MS,
      ),
      any: Math.min(recent.any / RATE_MS, sustained.any / SUSTAINED_RATE_MS),
    };
  };
  return {
    add: (rank, work, now) => {
      const before = ranks.get(rank);
      const {recent, sustained} =
        before === undefined
          ? {recent: NO_WORK, sustained: NO_WORK}
          : decay(before, now);
      ranks.set(rank, {
        recent: addWork(recent, work),
        sustained: addWork(sustained, work),
        at: now,
      });
    },
    read,
    readMoreUrgent: (rank, now) => {
      let sum = NO_WORK;
      for (const other of ranks.keys()) {
        if (other < rank) {
          sum = addWork(sum, read(other, now));
        }
      }
      return sum;
    },
  };
}
