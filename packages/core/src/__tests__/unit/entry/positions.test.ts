import {beforeEach, describe, expect, it} from 'vitest';
import {parseSessionValue} from '../../../entry/session_token.js';
import {OWNERS, startEntryHarness} from './entry_harness.js';
import type {EntryHarness} from './entry_harness.js';

let harness: EntryHarness;

beforeEach(() => {
  harness = startEntryHarness();
});

const UNKNOWN = {type: 'unknown', reason: 'owner_lost'} as const;

describe('session positions', () => {
  it('are the minimum position of a later read', () => {
    harness.send('INSERT INTO t VALUES (1)');
    expect(harness.lastRun()).toMatchObject({
      host: OWNERS.e1,
      msg: {endpoint: 'e1', term: 3, isWrite: true},
    });
    harness.done({term: 3, index: 120});
    harness.send('SELECT 1');
    const {msg} = harness.lastRun();
    expect(msg.minPosition).toEqual({term: 3, index: 120});
    expect(['e2', 'e3']).toContain(msg.endpoint);
  });

  it('are carried by the token to another connection', () => {
    harness.send('INSERT INTO t VALUES (1)');
    harness.done({term: 3, index: 120});
    const token = harness.value(harness.send('SELECT @@lacewingroad_session'));
    harness.open(2, {lacewingroad_session: token});
    harness.send('SELECT 1', 2);
    expect(harness.lastRun().msg.minPosition).toEqual({term: 3, index: 120});
  });

  it('never decrease within a term', () => {
    harness.send('INSERT INTO t VALUES (1)');
    harness.done({term: 3, index: 120});
    harness.send('INSERT INTO t VALUES (2)');
    harness.done({term: 3, index: 110});
    harness.send('SELECT 1');
    expect(harness.lastRun().msg.minPosition).toEqual({term: 3, index: 120});
  });

  it('report a lost write once, and still cover the writes before it', () => {
    harness.send('INSERT INTO t VALUES (1)');
    harness.done({term: 3, index: 120});
    const starts = [
      {term: 3, index: 100},
      {term: 4, index: 119},
    ];
    harness.changeGroup({term: 4, primary: 'e2', starts});
    const runs = harness.sent('run').length;
    expect(harness.outcomeOf(harness.send('SELECT 1'))).toBe(9103);
    expect(harness.sent('run')).toHaveLength(runs);
    harness.send('SELECT 1');
    // The write at index 119 survived and must be visible.
    expect(harness.lastRun().msg.minPosition).toEqual({term: 4, index: 119});
  });

  it('of a surviving write cause no error', () => {
    harness.send('INSERT INTO t VALUES (1)');
    harness.done({term: 3, index: 119});
    const starts = [
      {term: 3, index: 100},
      {term: 4, index: 119},
    ];
    harness.changeGroup({term: 4, primary: 'e2', starts});
    harness.send('SELECT 1');
    expect(harness.lastRun().msg.minPosition).toEqual({term: 3, index: 119});
  });

  it('do not permit replicas after a write of unknown outcome', () => {
    expect(
      harness.outcomeOf(harness.send('INSERT INTO t VALUES (1)')),
    ).toBeUndefined();
    harness.answer(UNKNOWN);
    harness.send('SELECT 1');
    expect(harness.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
    harness.done();
    const token = harness.value(harness.send('SELECT @@lacewingroad_session'));
    harness.open(2, {lacewingroad_session: token});
    harness.send('SELECT 1', 2);
    expect(harness.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
    harness.done();
    harness.send('INSERT INTO t VALUES (2)', 2);
    harness.done({term: 3, index: 130});
    harness.send('SELECT 1', 2);
    expect(['e2', 'e3']).toContain(harness.lastRun().msg.endpoint);
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
    expect(parseSessionValue(value).type).toBe(type);
  });

  it('that are invalid are refused with 9106', () => {
    const seq = harness.send("SET lacewingroad_session = 'lw1.eA'");
    expect(harness.outcomeOf(seq)).toBe(9106);
  });
});
