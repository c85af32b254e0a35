/** Fuzz tests by seed, each in a file of its own to run in parallel. */

import {expect, it} from 'vitest';
import {runFuzz} from '@lacewingroad/fakes';

/** Runs for each seed, and commands in each run; use `fuzz_main` for more. */
const RUNS = 40;
const STEPS = 25;
const TIMEOUT_MS = 240_000;

/** Declares a test that no run of a seed violates what the oracles check. */
export function testFuzzSeed(seed: number): void {
  it(
    `finds no violation, seed ${seed}`,
    () => {
      const {failure} = runFuzz({seed, runs: RUNS, steps: STEPS});
      const found =
        failure === null
          ? null
          : [failure.message, ...failure.commands, ...failure.timeline];
      expect(found).toBeNull();
    },
    TIMEOUT_MS,
  );
}
