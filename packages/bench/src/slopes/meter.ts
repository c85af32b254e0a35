/** Adds up an engine's processor time, bytes and calls, by type. */

/** Number and sum of the amounts of one type. */
export interface Tally {
  readonly count: number;
  /** Processor time in microseconds, bytes, or a number of calls. */
  readonly sum: number;
}

/** Tallies by type. */
export interface Meter {
  readonly add: (type: string, amount: number) => void;
  readonly reset: () => void;
  readonly entries: () => readonly (readonly [string, Tally])[];
  /** Returns the sum over all types. */
  readonly total: () => number;
  readonly read: (type: string) => Tally;
}

const EMPTY: Tally = {count: 0, sum: 0};

/** Creates a meter without tallies. */
export function createMeter(): Meter {
  const tallies = new Map<string, Tally>();
  const read = (type: string): Tally => tallies.get(type) ?? EMPTY;
  return {
    add: (type, amount) => {
      const {count, sum} = read(type);
      tallies.set(type, {count: count + 1, sum: sum + amount});
    },
    reset: () => tallies.clear(),
    entries: () => [...tallies].sort((a, b) => b[1].sum - a[1].sum),
    total: () => [...tallies.values()].reduce((all, {sum}) => all + sum, 0),
    read,
  };
}
