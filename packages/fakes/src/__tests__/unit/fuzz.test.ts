import {describe, expect, it} from 'vitest';
import {runFuzz} from '@lacewingroad/fakes';

/** Runs and commands of each seed; longer runs are for `fuzz_main`. */
const RUNS = 40;
const STEPS = 25;
const TIMEOUT_MS = 240_000;

describe('stateful fuzzing on fakes', () => {
  it.each([101, 102, 103, 104, 105])(
    'holds what callers were told, seed %i',
    seed => {
      const {failure} = runFuzz({seed, runs: RUNS, steps: STEPS});
      const found =
        failure === null
          ? null
          : [failure.message, ...failure.commands, ...failure.timeline];
      expect(found).toBeNull();
    },
    TIMEOUT_MS,
  );

  it('keeps a host up that is replaced in the moment its stop ends', () => {
    const keep = [6, 9, 22];
    const replay = {seed: 1_001, runs: 1, steps: 200, path: '39', keep};
    expect(runFuzz(replay).failure).toBeNull();
  });
});
