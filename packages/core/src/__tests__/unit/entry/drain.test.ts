import {beforeEach, describe, expect, it} from 'vitest';
import {startEntryHarness} from './entry_harness.js';
import type {EntryHarness} from './entry_harness.js';

let harness: EntryHarness;

beforeEach(() => {
  harness = startEntryHarness();
});

function isDrained(): boolean {
  return harness.actions.some(action => action.type === 'drained');
}

describe('a drain', () => {
  it('closes callers between statements, never during one', () => {
    harness.open(2);
    const seq = harness.send('SELECT 1');
    harness.feed({type: 'drain', deadline: 60_000});
    harness.advance(200);
    expect(harness.isClosed(1)).toBe(false);
    expect(harness.isClosed(2)).toBe(true);
    harness.done();
    expect(harness.outcomeOf(seq)).toBe('ok');
    harness.advance(200);
    expect(harness.isClosed(1)).toBe(true);
  });

  it('waits for open transactions and queued statements', () => {
    harness.send('BEGIN');
    harness.done(null, true);
    harness.feed({type: 'drain', deadline: 60_000});
    harness.advance(5_000);
    expect(harness.isClosed()).toBe(false);
    harness.send('INSERT INTO t VALUES (1)');
    const seq = harness.send('COMMIT');
    harness.done(null, true);
    harness.advance(200);
    expect(harness.isClosed()).toBe(false);
    harness.done({term: 3, index: 120});
    expect(harness.outcomeOf(seq)).toBe('ok');
    harness.advance(200);
    expect(harness.isClosed()).toBe(true);
  });

  it('ends when all work is done, but not before the notice time has passed', () => {
    harness.feed({type: 'drain', deadline: 60_000});
    harness.feed({type: 'caller_closed', caller: 1});
    harness.advance(900);
    expect(isDrained()).toBe(false);
    harness.advance(300);
    expect(isDrained()).toBe(true);
  });

  it('ends at its deadline even if work is in progress', () => {
    harness.send('SELECT 1');
    harness.feed({type: 'drain', deadline: 3_000});
    harness.advance(2_900);
    expect(isDrained()).toBe(false);
    harness.advance(200);
    expect(isDrained()).toBe(true);
  });

  it('closes the connections of new callers', () => {
    harness.feed({type: 'drain', deadline: 60_000});
    harness.open(2);
    expect(harness.isClosed(2)).toBe(true);
  });
});
