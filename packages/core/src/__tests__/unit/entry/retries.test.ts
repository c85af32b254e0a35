import {beforeEach, describe, expect, it} from 'vitest';
import {CANCEL_ANSWER_MS, DEADLINE_GRACE_MS} from '../../../entry/constants.js';
import {OWNERS, startEntryStory} from './entry_story.js';
import type {EntryStory} from './entry_story.js';

const LOST = {type: 'unknown', reason: 'connection_lost'} as const;
const NOT_PRIMARY = {type: 'not_run', reason: 'not_primary'} as const;
const INSERT = 'INSERT INTO t VALUES (1)';

let story: EntryStory;

beforeEach(() => {
  story = startEntryStory();
});

describe('a write of unknown outcome', () => {
  it('is not sent again', () => {
    const seq = story.send(INSERT);
    story.answer(LOST);
    story.advance(20_000);
    expect(story.ended(seq)).toBe(9102);
    expect(story.sent('run')).toHaveLength(1);
  });

  it.each([`/*key='k1'*/ ${INSERT}`, `/*kind='repeatable'*/ ${INSERT}`])(
    'is sent again where that is safe: %s',
    sql => {
      const seq = story.send(sql);
      story.answer(LOST);
      story.advance(1_000);
      expect(story.sent('run')).toHaveLength(2);
      expect(story.ended(seq)).toBeUndefined();
      story.done({term: 3, index: 120});
      expect(story.ended(seq)).toBe('ok');
    },
  );

  it('stays unknown when a later attempt did not run', () => {
    const seq = story.send(`/*key='k1'*/ ${INSERT}`);
    story.answer(LOST);
    story.advance(1_000);
    story.answer({type: 'not_run', reason: 'queue_full'});
    expect(story.ended(seq)).toBe(9102);
  });

  it('is unknown when its primary was replaced before the answer', () => {
    const seq = story.send(INSERT);
    const starts = [
      {term: 3, index: 100},
      {term: 4, index: 119},
    ];
    story.changeGroup({term: 4, primary: 'e2', starts});
    story.done({term: 3, index: 120});
    expect(story.ended(seq)).toBe(9102);
  });
});

/**
 * Load pattern: a flood, in which the owner's word that a write was still
 * queued at its deadline arrives a little after the caller's deadline.
 */
describe('a write without an answer at its deadline', () => {
  const TIMEOUT_MS = 15_000;

  it('is told "not run" where its owner still had it in the queue', () => {
    const seq = story.send(INSERT);
    story.advance(TIMEOUT_MS + DEADLINE_GRACE_MS);
    expect(story.sent('cancel')).toHaveLength(1);
    expect(story.ended(seq)).toBeUndefined();
    story.answer({type: 'not_run', reason: 'too_late'});
    expect(story.ended(seq)).toBe(9101);
  });

  it('is unknown where its owner says nothing soon', () => {
    const seq = story.send(INSERT);
    story.advance(TIMEOUT_MS + DEADLINE_GRACE_MS + CANCEL_ANSWER_MS);
    expect(story.sent('cancel')).toHaveLength(1);
    expect(story.ended(seq)).toBe(9102);
  });
});

describe('a write that did not run', () => {
  it('waits for the primary, and then runs', () => {
    const seq = story.send(INSERT);
    story.answer(NOT_PRIMARY);
    expect(story.sent('run')).toHaveLength(1);
    const starts = [
      {term: 3, index: 100},
      {term: 4, index: 119},
    ];
    story.changeGroup({term: 4, primary: 'e2', starts});
    story.feed({type: 'group_changed', group: 'g'});
    expect(story.lastRun()).toMatchObject({
      host: OWNERS.e2,
      msg: {endpoint: 'e2', term: 4, attempt: 2},
    });
    story.done({term: 4, index: 121});
    expect(story.ended(seq)).toBe('ok');
  });

  it('gets 9101 once its time is over', () => {
    const seq = story.send(INSERT);
    for (let sent = 1; story.ended(seq) === undefined; sent += 1) {
      expect(sent).toBeLessThan(100);
      story.answer(NOT_PRIMARY);
      story.advance(500);
    }
    expect(story.ended(seq)).toBe(9101);
  });

  it('gets 9101 at once where its pool is full', () => {
    const seq = story.send(INSERT);
    story.answer({type: 'not_run', reason: 'queue_full'});
    expect(story.ended(seq)).toBe(9101);
  });

  it('gets 9101 when its host could never be reached', () => {
    story.feed({type: 'peer_down', host: OWNERS.e1, generation: 1});
    const seq = story.send(INSERT);
    for (let sent = 2; story.ended(seq) === undefined; sent += 1) {
      expect(sent).toBeLessThan(100);
      story.feed({type: 'peer_down', host: OWNERS.e1, generation: sent});
      story.advance(500);
    }
    expect(story.ended(seq)).toBe(9101);
  });
});

describe('a read that did not run', () => {
  it('goes to each replica once, then to the primary', () => {
    story.send('SELECT 1');
    const asked = [0, 1, 2].map(() => {
      const {endpoint} = story.lastRun().msg;
      story.answer({type: 'not_run', reason: 'not_reached'});
      return endpoint;
    });
    expect(asked.slice(0, 2).sort()).toEqual(['e2', 'e3']);
    expect(asked[2]).toBe('e1');
  });
});

describe('answers', () => {
  it('of another attempt, host or request change nothing', () => {
    const seq = story.send('SELECT 1');
    const first = story.lastRun();
    story.answer(LOST);
    story.advance(1_000);
    const second = story.lastRun();
    expect(second.msg.attempt).toBe(2);
    story.done(null, false, first);
    story.done(null, false, {...second, host: 'b2'});
    expect(story.ended(seq)).toBeUndefined();
    story.done(null, false, second);
    story.done(null, false, second);
    expect(story.ended(seq)).toBe('ok');
    const next = story.send('SELECT 2');
    story.done(null, false, second);
    expect(story.ended(next)).toBeUndefined();
  });

  it('come in the order of the statements', () => {
    const seqs = [1, 2, 3].map(at => story.send(`SELECT ${at}`));
    expect(story.sent('run')).toHaveLength(1);
    seqs.forEach(() => story.done());
    const order = story.actions
      .filter(action => action.type === 'reply')
      .map(action => action.seq);
    expect(order).toEqual(seqs);
  });
});

describe('the retry budget', () => {
  it('ends retries once it is spent', () => {
    story = startEntryStory(1);
    const first = story.send('SELECT 1');
    story.answer(LOST);
    expect(story.ended(first)).toBeUndefined();
    story.advance(1_000);
    story.answer(LOST);
    expect(story.ended(first)).toBe(9102);
  });
});
