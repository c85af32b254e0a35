/** A seeded run of the fuzz; each seed has a test file, so that they run side by side. */

import {expect, it} from 'vitest';
import {runFuzz} from '@lacewingroad/fakes';

/** Runs and commands of each seed; longer runs are for `fuzz_main`. */
const RUNS = 40;
const STEPS = 25;
const TIMEOUT_MS = 240_000;

/** Declares the test that no caller of a seed's runs was told anything false. */
export function testFuzzSeed(seed: number): void {
  it(
    `holds what callers were told, seed ${seed}`,
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
