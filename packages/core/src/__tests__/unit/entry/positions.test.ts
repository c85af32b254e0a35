import {beforeEach, describe, expect, it} from 'vitest';
import {readSessionValue} from '../../../entry/session_token.js';
import {OWNERS, startEntryStory} from './entry_story.js';
import type {EntryStory} from './entry_story.js';

let story: EntryStory;

beforeEach(() => {
  story = startEntryStory();
});

const UNKNOWN = {type: 'unknown', reason: 'owner_lost'} as const;

describe('session positions', () => {
  it('go with each read, at a replica and at the primary', () => {
    story.send('INSERT INTO t VALUES (1)');
    expect(story.lastRun()).toMatchObject({
      host: OWNERS.e1,
      msg: {endpoint: 'e1', term: 3, isWrite: true},
    });
    story.done({term: 3, index: 120});
    story.send('SELECT 1');
    const {msg} = story.lastRun();
    expect(msg.minPosition).toEqual({term: 3, index: 120});
    expect(['e2', 'e3']).toContain(msg.endpoint);
  });

  it('travel in the token to another connection', () => {
    story.send('INSERT INTO t VALUES (1)');
    story.done({term: 3, index: 120});
    const token = story.value(story.send('SELECT @@lacewingroad_session'));
    story.open(2, {lacewingroad_session: token});
    story.send('SELECT 1', 2);
    expect(story.lastRun().msg.minPosition).toEqual({term: 3, index: 120});
  });

  it('never go back within a term', () => {
    story.send('INSERT INTO t VALUES (1)');
    story.done({term: 3, index: 120});
    story.send('INSERT INTO t VALUES (2)');
    story.done({term: 3, index: 110});
    story.send('SELECT 1');
    expect(story.lastRun().msg.minPosition).toEqual({term: 3, index: 120});
  });

  it('name a lost write once, and keep what came before it', () => {
    story.send('INSERT INTO t VALUES (1)');
    story.done({term: 3, index: 120});
    const starts = [
      {term: 3, index: 100},
      {term: 4, index: 119},
    ];
    story.changeGroup({term: 4, primary: 'e2', starts});
    const runs = story.sent('run').length;
    expect(story.ended(story.send('SELECT 1'))).toBe(9103);
    expect(story.sent('run')).toHaveLength(runs);
    story.send('SELECT 1');
    // The write at index 119 survived, and must still be seen.
    expect(story.lastRun().msg.minPosition).toEqual({term: 4, index: 119});
  });

  it('of a surviving write raise no alarm', () => {
    story.send('INSERT INTO t VALUES (1)');
    story.done({term: 3, index: 119});
    const starts = [
      {term: 3, index: 100},
      {term: 4, index: 119},
    ];
    story.changeGroup({term: 4, primary: 'e2', starts});
    story.send('SELECT 1');
    expect(story.lastRun().msg.minPosition).toEqual({term: 3, index: 119});
  });

  it('are not proof after a write of unknown outcome', () => {
    expect(story.ended(story.send('INSERT INTO t VALUES (1)'))).toBeUndefined();
    story.answer(UNKNOWN);
    story.send('SELECT 1');
    expect(story.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
    story.done();
    const token = story.value(story.send('SELECT @@lacewingroad_session'));
    story.open(2, {lacewingroad_session: token});
    story.send('SELECT 1', 2);
    expect(story.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
    story.done();
    story.send('INSERT INTO t VALUES (2)', 2);
    story.done({term: 3, index: 130});
    story.send('SELECT 1', 2);
    expect(['e2', 'e3']).toContain(story.lastRun().msg.endpoint);
  });
});

describe('session values', () => {
  it.each([
    ['lw1.', 'invalid'],
    ['lw1.eA', 'invalid'],
    [`lw1.${Buffer.from('["s"]').toString('base64url')}`, 'invalid'],
    [
      `lw1.${Buffer.from('["s",[["g",1,"x"]]]').toString('base64url')}`,
      'invalid',
    ],
    [`lw1.${Buffer.from('["s",[["g",1,2]]]').toString('base64url')}`, 'token'],
    ['basket-17', 'name'],
    ['a b', 'invalid'],
    ['', 'invalid'],
    ['x'.repeat(65), 'invalid'],
    [`lw1.${'A'.repeat(10_000)}`, 'invalid'],
  ])('%s is %s', (value, type) => {
    expect(readSessionValue(value).type).toBe(type);
  });

  it('that are invalid get 9106 and change nothing', () => {
    const seq = story.send("SET lacewingroad_session = 'lw1.eA'");
    expect(story.ended(seq)).toBe(9106);
  });
});
