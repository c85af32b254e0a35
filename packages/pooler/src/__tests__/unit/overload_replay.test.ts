/** Replays floods at one group and compares policies by the value served. */

import {describe, expect, it} from 'vitest';
import {
  computeUpperBound,
  createArrivals,
  POLICIES,
  replay,
  sumOffered,
} from '../overload_replay.js';
import type {ReplayResult} from '../overload_replay.js';

/** Policies that any of the built rules has to match. */
const SIMPLE = ['first_come', 'strict_priority', 'equal_shares', 'earlier'];

/** With `REPLAY_REPORT=1`, the figures of docs/design/queueing.md. */
function report(
  name: string,
  {value, ...rest}: ReplayResult,
  of: number,
): void {
  if (process.env['REPLAY_REPORT'] === '1') {
    const shares = [...rest.shares.values()].map(share => share.toFixed(3));
    const fields = {...rest, shares: shares.join(' ')};
    console.log(name, (value / of).toFixed(3), JSON.stringify(fields));
  }
}

describe('floods of the least and then of the most urgent rank', () => {
  // At 3.6 times the load of the page, a group is full without the floods to
  // 88%; at 4.2 times it is overloaded for as long as one of them lasts.
  const CASES = [
    {scale: 3.6, seed: 1},
    {scale: 4.2, seed: 2},
  ];
  it.each(CASES)(
    'are served at least as well as by simpler rules, at $scale times the load',
    ({scale, seed}) => {
      const arrivals = createArrivals(seed, scale);
      const offered = sumOffered(arrivals);
      const results = new Map(
        Object.entries(POLICIES).map(([name, create]) => {
          const result = replay(arrivals, create, seed);
          report(`${scale} ${name}`, result, offered);
          return [name, result] as const;
        }),
      );
      const bound = computeUpperBound(arrivals);
      if (process.env['REPLAY_REPORT'] === '1') {
        console.log(`${scale} bound`, (bound / offered).toFixed(3));
      }
      const built = results.get('built')!;
      for (const name of SIMPLE) {
        expect(built.value, name).toBeGreaterThanOrEqual(
          results.get(name)!.value,
        );
      }
      expect(built.value).toBeLessThanOrEqual(bound);
      expect(built.value).toBeGreaterThan(bound * 0.95);
      // Guards against holding statements and refusing them in the end.
      expect(built.heldRefusals).toBe(0);
      expect(built.lateRefusals).toBeLessThan(arrivals.length * 0.03);
      // The surging workspace bears the cost, not the others.
      expect(built.othersShare).toBeGreaterThan(built.surgingShare);
      expect(built.othersShare).toBeGreaterThanOrEqual(
        results.get('strict_priority')!.othersShare,
      );
    },
    // Takes 13 s alone, longer on a busy machine.
    120_000,
  );
});
