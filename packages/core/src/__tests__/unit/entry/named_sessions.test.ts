import {beforeEach, describe, expect, it} from 'vitest';
import {
  SESSION_ANSWER_TIMEOUT_MS,
  SESSION_EXTRA_WAIT_MS,
  SESSION_STORE_TIMEOUT_MS,
} from '../../../entry/constants.js';
import {chooseHolders} from '../../../entry/holder_choice.js';
import {startEntryHarness} from './entry_harness.js';
import type {EntryHarness} from './entry_harness.js';

const POSITION = {term: 3, index: 120};

let harness: EntryHarness;
let holders: readonly string[];

beforeEach(() => {
  harness = startEntryHarness();
  harness.send("SET lacewingroad_session = 'basket'");
  holders = chooseHolders(harness.board, 'basket');
});

/** Answers the last get_session message for a holder. */
function answerFetch(host: string, index: number | null, ageMs = 0): void {
  const {ask} = harness.sent('get_session').at(-1)!.msg;
  const positions = index === null ? null : {g: {term: 3, index}};
  harness.message(host, {type: 'session', ask, positions, ageMs});
}

function confirmStore(host: string): void {
  const {ask} = harness.sent('put_session').at(-1)!.msg;
  harness.message(host, {type: 'session_stored', ask});
}

/** Removes the hosts of all other data centres from the platform's list. */
function keepDataCentres(...dataCentres: readonly string[]): void {
  harness.change(board => {
    const hosts = board.view.hosts.filter(({value}) =>
      dataCentres.includes(value?.dataCentre ?? ''),
    );
    return {...board, view: {...board.view, hosts}};
  });
  holders = chooseHolders(harness.board, 'basket');
}

describe('holders', () => {
  it('are in three data centres', () => {
    expect(new Set(holders.map(host => host[0])).size).toBe(3);
    expect(holders).toHaveLength(3);
  });

  it.each([
    [['a', 'b'], 'ab'],
    [['a'], 'aa'],
  ])('are two hosts if the data centres are %s', (dataCentres, expected) => {
    keepDataCentres(...dataCentres);
    const found = holders.map(host => host[0]).sort();
    expect(found.join('')).toBe(expected);
    expect(new Set(holders).size).toBe(2);
  });

  it('are the same for a host that cannot reach them', () => {
    harness.markUnreachable(...holders);
    expect(chooseHolders(harness.board, 'basket')).toEqual(holders);
  });

  it('keep the later of two positions until the session expires', () => {
    const put = (ask: number, index: number): void =>
      harness.message('b1', {
        type: 'put_session',
        ask,
        session: 'x',
        positions: {g: {term: 3, index}},
      });
    put(1, 120);
    put(2, 110);
    expect(harness.sent('session_stored').map(({msg}) => msg.ask)).toEqual([
      1, 2,
    ]);
    harness.message('b1', {type: 'get_session', ask: 3, session: 'x'});
    expect(harness.sent('session').at(-1)!.msg.positions).toEqual({
      g: {term: 3, index: 120},
    });
    harness.advance(11 * 60_000);
    harness.message('b1', {type: 'get_session', ask: 4, session: 'x'});
    expect(harness.sent('session').at(-1)!.msg.positions).toBeNull();
  });
});

describe('the age of positions', () => {
  it('is reported by holders since the time of storing', () => {
    const positions = {g: POSITION};
    harness.message('b1', {
      type: 'put_session',
      ask: 1,
      session: 'x',
      positions,
    });
    harness.advance(300);
    harness.message('b1', {type: 'get_session', ask: 2, session: 'x'});
    expect(harness.sent('session').at(-1)!.msg.ageMs).toBe(300);
  });

  it('is that of the most recent answer', () => {
    harness.advance(10_000);
    harness.send('SELECT 1');
    const now = harness.now;
    answerFetch(holders[0]!, 120, 900);
    answerFetch(holders[1]!, 120, 400);
    answerFetch(holders[2]!, 120, 700);
    const caller = harness.board.callers.byId.first()!;
    expect(caller.positionsAt).toBe(now - 400);
  });
});

describe('a write', () => {
  it('is answered when all holders have stored its position', () => {
    const seq = harness.send('INSERT INTO t VALUES (1)');
    harness.done(POSITION);
    const puts = harness.sent('put_session');
    expect(puts.map(({host}) => host)).toEqual(holders);
    expect(puts[0]!.msg.positions).toEqual({g: POSITION});
    confirmStore(holders[0]!);
    confirmStore(holders[1]!);
    expect(harness.outcomeOf(seq)).toBeUndefined();
    confirmStore(holders[2]!);
    expect(harness.outcomeOf(seq)).toBe('ok');
  });

  it('stores only its own position with the holders', () => {
    harness.send('SELECT 1');
    const {ask} = harness.sent('get_session').at(-1)!.msg;
    const positions = {g: {term: 3, index: 110}, h: {term: 1, index: 9}};
    holders.forEach(host => {
      harness.message(host, {type: 'session', ask, positions, ageMs: 0});
    });
    harness.done(null);
    harness.send('INSERT INTO t VALUES (1)');
    harness.done(POSITION);
    const {msg} = harness.sent('put_session').at(-1)!;
    expect(msg.positions).toEqual({g: POSITION});
  });

  it('waits for two holders, and only briefly for a third without an answer', () => {
    const seq = harness.send('INSERT INTO t VALUES (1)');
    harness.done(POSITION);
    confirmStore(holders[2]!);
    harness.advance(SESSION_ANSWER_TIMEOUT_MS);
    expect(harness.outcomeOf(seq)).toBeUndefined();
    confirmStore(holders[1]!);
    expect(harness.outcomeOf(seq)).toBeUndefined();
    harness.advance(SESSION_EXTRA_WAIT_MS);
    expect(harness.outcomeOf(seq)).toBe('ok');
  });

  it('waits for one holder of two', () => {
    keepDataCentres('a', 'b');
    const seq = harness.send('INSERT INTO t VALUES (1)');
    harness.done(POSITION);
    harness.advance(SESSION_ANSWER_TIMEOUT_MS);
    expect(harness.outcomeOf(seq)).toBeUndefined();
    confirmStore(holders[1]!);
    harness.advance(SESSION_EXTRA_WAIT_MS);
    expect(harness.outcomeOf(seq)).toBe('ok');
  });

  it('is not acknowledged when only one of three holders answers', () => {
    const seq = harness.send('INSERT INTO t VALUES (1)');
    harness.done(POSITION);
    confirmStore(holders[0]!);
    harness.advance(SESSION_STORE_TIMEOUT_MS);
    expect(harness.outcomeOf(seq)).toBe(9102);
  });

  it('is not acknowledged when no holder answers, but later reads still require it', () => {
    const seq = harness.send('INSERT INTO t VALUES (1)');
    harness.done(POSITION);
    harness.advance(1_500);
    expect(harness.outcomeOf(seq)).toBe(9102);
    harness.send('SELECT 1');
    holders.forEach(host => answerFetch(host, 110));
    expect(harness.lastRun().msg.minPosition).toEqual(POSITION);
  });
});

describe('a read', () => {
  it('uses a replica when all holders have returned positions', () => {
    const runs = harness.sent('run').length;
    harness.send('SELECT 1');
    answerFetch(holders[0]!, 110);
    answerFetch(holders[1]!, 110);
    expect(harness.sent('run')).toHaveLength(runs);
    answerFetch(holders[2]!, 120);
    const {msg} = harness.lastRun();
    expect(msg.minPosition).toEqual(POSITION);
    expect(['e2', 'e3']).toContain(msg.endpoint);
  });

  it.each([
    ['has no position', () => answerFetch(holders[1]!, null)],
    ['does not answer', () => harness.advance(SESSION_EXTRA_WAIT_MS)],
  ])('uses a replica with two holders when the third %s', (_name, act) => {
    harness.send('SELECT 1');
    answerFetch(holders[0]!, 120);
    answerFetch(holders[2]!, 110);
    act();
    const {msg} = harness.lastRun();
    expect(msg.minPosition).toEqual(POSITION);
    expect(['e2', 'e3']).toContain(msg.endpoint);
  });

  it.each([
    [
      'have no position',
      () => holders.slice(1).forEach(host => answerFetch(host, null)),
    ],
    ['do not answer', () => harness.advance(SESSION_ANSWER_TIMEOUT_MS)],
  ])('goes to the primary when two holders %s', (_name, act) => {
    harness.send('SELECT 1');
    answerFetch(holders[0]!, 120);
    act();
    expect(harness.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
  });

  it.each([
    ['has no position', () => answerFetch(holders[1]!, null)],
    ['does not answer', () => harness.advance(SESSION_ANSWER_TIMEOUT_MS)],
  ])('goes to the primary when one of two holders %s', (_name, act) => {
    keepDataCentres('a', 'b');
    harness.send('SELECT 1');
    answerFetch(holders[0]!, 120);
    act();
    expect(harness.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
  });

  it('does not count holders that have positions in other groups only', () => {
    const positions = {h: {term: 1, index: 9}};
    harness.send('SELECT 1');
    const {ask} = harness.sent('get_session').at(-1)!.msg;
    answerFetch(holders[0]!, 120);
    holders.slice(1).forEach(host => {
      harness.message(host, {type: 'session', ask, positions, ageMs: 0});
    });
    expect(harness.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
  });

  it('goes to the primary after half of the time to its target', () => {
    const runs = harness.sent('run').length;
    harness.send("/*kind='short_target'*/ SELECT 1");
    answerFetch(holders[0]!, 120);
    harness.advance(49);
    expect(harness.sent('run')).toHaveLength(runs);
    harness.advance(1);
    expect(harness.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
  });

  it('goes to the primary when an answer is late', () => {
    harness.send('SELECT 1');
    answerFetch(holders[0]!, 120);
    harness.advance(SESSION_ANSWER_TIMEOUT_MS);
    const runs = harness.sent('run').length;
    answerFetch(holders[1]!, 130);
    expect(harness.sent('run')).toHaveLength(runs);
  });

  it('does not wait for a holder that is known to be unreachable', () => {
    harness.markUnreachable(holders[1]!);
    harness.send('SELECT 1');
    expect(harness.sent('get_session').map(({host}) => host)).toEqual([
      holders[0],
      holders[2],
    ]);
    answerFetch(holders[0]!, 120);
    answerFetch(holders[2]!, 120);
    expect(['e2', 'e3']).toContain(harness.lastRun().msg.endpoint);
  });

  it('goes to the primary at once when too few holders are reachable', () => {
    harness.markUnreachable(holders[0]!, holders[1]!);
    harness.send('SELECT 1');
    expect(harness.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
  });

  it('reports a lost write even if no holder stores the new position', () => {
    const starts = [
      {term: 3, index: 100},
      {term: 4, index: 119},
    ];
    harness.changeGroup({term: 4, primary: 'e2', starts});
    const seq = harness.send('SELECT 1');
    holders.forEach(host => answerFetch(host, 120));
    harness.advance(1_500);
    expect(harness.outcomeOf(seq)).toBe(9103);
  });

  it('reports a lost write and stores the new position', () => {
    const starts = [
      {term: 3, index: 100},
      {term: 4, index: 119},
    ];
    harness.changeGroup({term: 4, primary: 'e2', starts});
    const seq = harness.send('SELECT 1');
    holders.forEach(host => answerFetch(host, 120));
    holders.forEach(confirmStore);
    expect(harness.outcomeOf(seq)).toBe(9103);
    expect(harness.sent('put_session').at(-1)!.msg.positions).toEqual({
      g: {term: 4, index: 119},
    });
  });
});
