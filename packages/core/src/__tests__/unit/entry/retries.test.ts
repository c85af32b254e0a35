import {beforeEach, describe, expect, it} from 'vitest';
import {CANCEL_ANSWER_MS, DEADLINE_GRACE_MS} from '../../../entry/constants.js';
import {OWNERS, startEntryHarness} from './entry_harness.js';
import type {EntryHarness} from './entry_harness.js';

const LOST = {type: 'unknown', reason: 'connection_lost'} as const;
const NOT_PRIMARY = {type: 'not_run', reason: 'not_primary'} as const;
const INSERT = 'INSERT INTO t VALUES (1)';

let harness: EntryHarness;

beforeEach(() => {
  harness = startEntryHarness();
});

describe('a write of unknown outcome', () => {
  it('is not sent again', () => {
    const seq = harness.send(INSERT);
    harness.answer(LOST);
    harness.advance(20_000);
    expect(harness.outcomeOf(seq)).toBe(9102);
    expect(harness.sent('run')).toHaveLength(1);
  });

  it.each([`/*key='k1'*/ ${INSERT}`, `/*kind='repeatable'*/ ${INSERT}`])(
    'is sent again if that is safe: %s',
    sql => {
      const seq = harness.send(sql);
      harness.answer(LOST);
      harness.advance(1_000);
      expect(harness.sent('run')).toHaveLength(2);
      expect(harness.outcomeOf(seq)).toBeUndefined();
      harness.done({term: 3, index: 120});
      expect(harness.outcomeOf(seq)).toBe('ok');
    },
  );

  it('stays unknown when a later attempt did not run', () => {
    const seq = harness.send(`/*key='k1'*/ ${INSERT}`);
    harness.answer(LOST);
    harness.advance(1_000);
    harness.answer({type: 'not_run', reason: 'queue_full'});
    expect(harness.outcomeOf(seq)).toBe(9102);
  });

  it('is unknown when its primary was replaced before the answer', () => {
    const seq = harness.send(INSERT);
    const starts = [
      {term: 3, index: 100},
      {term: 4, index: 119},
    ];
    harness.changeGroup({term: 4, primary: 'e2', starts});
    harness.done({term: 3, index: 120});
    expect(harness.outcomeOf(seq)).toBe(9102);
  });
});

/**
 * Under overload, the owner's answer that a write was still queued at its
 * deadline arrives shortly after that deadline. The caller must get "not run"
 * then, not "unknown".
 */
describe('a write without an answer at its deadline', () => {
  const TIMEOUT_MS = 15_000;

  it('ends as "not run" if its owner still had it in the queue', () => {
    const seq = harness.send(INSERT);
    harness.advance(TIMEOUT_MS + DEADLINE_GRACE_MS);
    expect(harness.sent('cancel')).toHaveLength(1);
    expect(harness.outcomeOf(seq)).toBeUndefined();
    harness.answer({type: 'not_run', reason: 'too_late'});
    expect(harness.outcomeOf(seq)).toBe(9101);
  });

  it('ends as unknown if its owner does not answer the cancellation', () => {
    const seq = harness.send(INSERT);
    harness.advance(TIMEOUT_MS + DEADLINE_GRACE_MS + CANCEL_ANSWER_MS);
    expect(harness.sent('cancel')).toHaveLength(1);
    expect(harness.outcomeOf(seq)).toBe(9102);
  });
});

describe('a write that did not run', () => {
  it('waits for the new primary, and then runs', () => {
    const seq = harness.send(INSERT);
    harness.answer(NOT_PRIMARY);
    expect(harness.sent('run')).toHaveLength(1);
    const starts = [
      {term: 3, index: 100},
      {term: 4, index: 119},
    ];
    harness.changeGroup({term: 4, primary: 'e2', starts});
    harness.feed({type: 'group_changed', group: 'g'});
    expect(harness.lastRun()).toMatchObject({
      host: OWNERS.e2,
      msg: {endpoint: 'e2', term: 4, attempt: 2},
    });
    harness.done({term: 4, index: 121});
    expect(harness.outcomeOf(seq)).toBe('ok');
  });

  it('gets 9101 after its timeout', () => {
    const seq = harness.send(INSERT);
    for (let sent = 1; harness.outcomeOf(seq) === undefined; sent += 1) {
      expect(sent).toBeLessThan(100);
      harness.answer(NOT_PRIMARY);
      harness.advance(500);
    }
    expect(harness.outcomeOf(seq)).toBe(9101);
  });

  it('gets 9101 at once if the queue of its pool is full', () => {
    const seq = harness.send(INSERT);
    harness.answer({type: 'not_run', reason: 'queue_full'});
    expect(harness.outcomeOf(seq)).toBe(9101);
  });

  it('gets 9101 if its host was never reachable', () => {
    harness.feed({type: 'peer_down', host: OWNERS.e1, generation: 1});
    const seq = harness.send(INSERT);
    for (let sent = 2; harness.outcomeOf(seq) === undefined; sent += 1) {
      expect(sent).toBeLessThan(100);
      harness.feed({type: 'peer_down', host: OWNERS.e1, generation: sent});
      harness.advance(500);
    }
    expect(harness.outcomeOf(seq)).toBe(9101);
  });
});

describe('a read that did not run', () => {
  it('goes to each replica once, then to the primary', () => {
    harness.send('SELECT 1');
    const asked = [0, 1, 2].map(() => {
      const {endpoint} = harness.lastRun().msg;
      harness.answer({type: 'not_run', reason: 'not_reached'});
      return endpoint;
    });
    expect(asked.slice(0, 2).sort()).toEqual(['e2', 'e3']);
    expect(asked[2]).toBe('e1');
  });
});

describe('answers', () => {
  it('of another attempt, host or request are ignored', () => {
    const seq = harness.send('SELECT 1');
    const first = harness.lastRun();
    harness.answer(LOST);
    harness.advance(1_000);
    const second = harness.lastRun();
    expect(second.msg.attempt).toBe(2);
    harness.done(null, false, first);
    harness.done(null, false, {...second, host: 'b2'});
    expect(harness.outcomeOf(seq)).toBeUndefined();
    harness.done(null, false, second);
    harness.done(null, false, second);
    expect(harness.outcomeOf(seq)).toBe('ok');
    const next = harness.send('SELECT 2');
    harness.done(null, false, second);
    expect(harness.outcomeOf(next)).toBeUndefined();
  });

  it('are sent in the order of the statements', () => {
    const seqs = [1, 2, 3].map(value => harness.send(`SELECT ${value}`));
    expect(harness.sent('run')).toHaveLength(1);
    seqs.forEach(() => harness.done());
    const order = harness.actions
      .filter(action => action.type === 'reply')
      .map(action => action.seq);
    expect(order).toEqual(seqs);
  });
});

describe('the retry budget', () => {
  it('prevents further retries when it is used up', () => {
    harness = startEntryHarness(1);
    const first = harness.send('SELECT 1');
    harness.answer(LOST);
    expect(harness.outcomeOf(first)).toBeUndefined();
    harness.advance(1_000);
    harness.answer(LOST);
    expect(harness.outcomeOf(first)).toBe(9102);
  });
});
