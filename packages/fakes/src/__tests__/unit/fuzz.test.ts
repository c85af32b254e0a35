import {describe, expect, it} from 'vitest';
import {runFuzz} from '@lacewingroad/fakes';

describe('stateful fuzzing on fakes', () => {
  it('keeps a host running if it is restarted just as its drain ends', () => {
    const keep = [6, 9, 22];
    const replay = {seed: 1_001, runs: 1, steps: 200, path: '39', keep};
    expect(runFuzz(replay).failure).toBeNull();
  });
});
