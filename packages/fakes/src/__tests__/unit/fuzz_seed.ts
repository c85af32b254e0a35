/** Fuzz tests by seed, each in a separate file so that they run in parallel. */

import {expect, it} from 'vitest';
import {runFuzz} from '@lacewingroad/fakes';

/** Runs for each seed, and commands in each run; use `fuzz_main` for more. */
const RUNS = 40;
const STEPS = 25;
const TIMEOUT_MS = 240_000;

/** Declares a test that the oracles find no violation in any run of a seed. */
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
