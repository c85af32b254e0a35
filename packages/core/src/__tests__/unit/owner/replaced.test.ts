import {describe, expect, it} from 'vitest';
import {REPLICA, startHarness} from './owner_harness.js';

const NEXT_TERM = {
  term: 4,
  primary: REPLICA,
  starts: [
    {term: 3, index: 100},
    {term: 4, index: 200},
  ],
};

describe('a primary that was replaced', () => {
  it('ends running writes at once with an unknown outcome', () => {
    const harness = startHarness();
    const id = harness.write();
    const {conn} = harness.lastStatement();
    harness.changeGroup({});
    expect(harness.outcomeOf(id)).toBeUndefined();
    harness.changeGroup(NEXT_TERM);
    expect(harness.outcomeOf(id)).toBe('unknown replaced_primary');
    expect(harness.isClosed(conn)).toBe(true);
  });

  it('lets reads that need no evidence continue', () => {
    const harness = startHarness();
    const id = harness.run();
    harness.changeGroup(NEXT_TERM);
    harness.rows(['1']);
    expect(harness.outcomeOf(id)).toBe('done');
  });
});
