import {beforeEach, describe, expect, it} from 'vitest';
import {
  SESSION_ANSWER_MS,
  SESSION_REST_MS,
  SESSION_STORE_MS,
} from '../../../entry/constants.js';
import {chooseHolders} from '../../../entry/holder_choice.js';
import {startEntryStory} from './entry_story.js';
import type {EntryStory} from './entry_story.js';

const POSITION = {term: 3, index: 120};

let story: EntryStory;
let holders: readonly string[];

beforeEach(() => {
  story = startEntryStory();
  story.send("SET lacewingroad_session = 'basket'");
  holders = chooseHolders(story.board, 'basket');
});

/** Lets a holder answer the last question with positions. */
function tell(host: string, index: number | null, ageMs = 0): void {
  const {ask} = story.sent('get_session').at(-1)!.msg;
  const positions = index === null ? null : {g: {term: 3, index}};
  story.message(host, {type: 'session', ask, positions, ageMs});
}

function store(host: string): void {
  const {ask} = story.sent('put_session').at(-1)!.msg;
  story.message(host, {type: 'session_stored', ask});
}

/** Leaves only the hosts of some data centres in the platform's list. */
function keepCentres(...centres: readonly string[]): void {
  story.change(board => {
    const hosts = board.view.hosts.filter(({value}) =>
      centres.includes(value?.dataCentre ?? ''),
    );
    return {...board, view: {...board.view, hosts}};
  });
  holders = chooseHolders(story.board, 'basket');
}

describe('holders', () => {
  it('stand in three data centres', () => {
    expect(new Set(holders.map(host => host[0])).size).toBe(3);
    expect(holders).toHaveLength(3);
  });

  it.each([
    [['a', 'b'], 'ab'],
    [['a'], 'aa'],
  ])('are two where there are the data centres %s', (centres, places) => {
    keepCentres(...centres);
    const found = holders.map(host => host[0]).sort();
    expect(found.join('')).toBe(places);
    expect(new Set(holders).size).toBe(2);
  });

  it('are the same for a host that cannot reach them', () => {
    story.cutOff(...holders);
    expect(chooseHolders(story.board, 'basket')).toEqual(holders);
  });

  it('keep the later of two positions', () => {
    const put = (ask: number, index: number): void =>
      story.message('b1', {
        type: 'put_session',
        ask,
        session: 'x',
        positions: {g: {term: 3, index}},
      });
    put(1, 120);
    put(2, 110);
    expect(story.sent('session_stored').map(({msg}) => msg.ask)).toEqual([
      1, 2,
    ]);
    story.message('b1', {type: 'get_session', ask: 3, session: 'x'});
    expect(story.sent('session').at(-1)!.msg.positions).toEqual({
      g: {term: 3, index: 120},
    });
    story.advance(11 * 60_000);
    story.message('b1', {type: 'get_session', ask: 4, session: 'x'});
    expect(story.sent('session').at(-1)!.msg.positions).toBeNull();
  });
});

describe('the age of positions', () => {
  it('is stated by holders from their storing', () => {
    const positions = {g: POSITION};
    story.message('b1', {
      type: 'put_session',
      ask: 1,
      session: 'x',
      positions,
    });
    story.advance(300);
    story.message('b1', {type: 'get_session', ask: 2, session: 'x'});
    expect(story.sent('session').at(-1)!.msg.ageMs).toBe(300);
  });

  it('counts from the younger answer, not from the question', () => {
    story.advance(10_000);
    story.send('SELECT 1');
    const now = story.now;
    tell(holders[0]!, 120, 900);
    tell(holders[1]!, 120, 400);
    tell(holders[2]!, 120, 700);
    const caller = story.board.callers.byId.first()!;
    expect(caller.positionsAt).toBe(now - 400);
  });
});

describe('a write', () => {
  it('is answered once all holders have its position', () => {
    const seq = story.send('INSERT INTO t VALUES (1)');
    story.done(POSITION);
    const puts = story.sent('put_session');
    expect(puts.map(({host}) => host)).toEqual(holders);
    expect(puts[0]!.msg.positions).toEqual({g: POSITION});
    store(holders[0]!);
    store(holders[1]!);
    expect(story.ended(seq)).toBeUndefined();
    store(holders[2]!);
    expect(story.ended(seq)).toBe('ok');
  });

  it('tells the holders its own position alone', () => {
    story.send('SELECT 1');
    const {ask} = story.sent('get_session').at(-1)!.msg;
    const positions = {g: {term: 3, index: 110}, h: {term: 1, index: 9}};
    holders.forEach(host => {
      story.message(host, {type: 'session', ask, positions, ageMs: 0});
    });
    story.done(null);
    story.send('INSERT INTO t VALUES (1)');
    story.done(POSITION);
    const {msg} = story.sent('put_session').at(-1)!;
    expect(msg.positions).toEqual({g: POSITION});
  });

  it('waits for two holders, and only briefly for a third that is silent', () => {
    const seq = story.send('INSERT INTO t VALUES (1)');
    story.done(POSITION);
    store(holders[2]!);
    story.advance(SESSION_ANSWER_MS);
    expect(story.ended(seq)).toBeUndefined();
    store(holders[1]!);
    expect(story.ended(seq)).toBeUndefined();
    story.advance(SESSION_REST_MS);
    expect(story.ended(seq)).toBe('ok');
  });

  it('waits for one holder where there are two', () => {
    keepCentres('a', 'b');
    const seq = story.send('INSERT INTO t VALUES (1)');
    story.done(POSITION);
    story.advance(SESSION_ANSWER_MS);
    expect(story.ended(seq)).toBeUndefined();
    store(holders[1]!);
    story.advance(SESSION_REST_MS);
    expect(story.ended(seq)).toBe('ok');
  });

  it('is not acknowledged when only one of three holders can be had', () => {
    const seq = story.send('INSERT INTO t VALUES (1)');
    story.done(POSITION);
    store(holders[0]!);
    story.advance(SESSION_STORE_MS);
    expect(story.ended(seq)).toBe(9102);
  });

  it('is not acknowledged when no holder can be had, and still holds its own reads', () => {
    const seq = story.send('INSERT INTO t VALUES (1)');
    story.done(POSITION);
    story.advance(1_500);
    expect(story.ended(seq)).toBe(9102);
    story.send('SELECT 1');
    holders.forEach(host => tell(host, 110));
    expect(story.lastRun().msg.minPosition).toEqual(POSITION);
  });
});

describe('a read', () => {
  it('uses a replica once all holders told the positions', () => {
    const runs = story.sent('run').length;
    story.send('SELECT 1');
    tell(holders[0]!, 110);
    tell(holders[1]!, 110);
    expect(story.sent('run')).toHaveLength(runs);
    tell(holders[2]!, 120);
    const {msg} = story.lastRun();
    expect(msg.minPosition).toEqual(POSITION);
    expect(['e2', 'e3']).toContain(msg.endpoint);
  });

  it.each([
    ['knows nothing', () => tell(holders[1]!, null)],
    ['does not answer', () => story.advance(SESSION_REST_MS)],
  ])('uses a replica by two holders when the third %s', (_name, act) => {
    story.send('SELECT 1');
    tell(holders[0]!, 120);
    tell(holders[2]!, 110);
    act();
    const {msg} = story.lastRun();
    expect(msg.minPosition).toEqual(POSITION);
    expect(['e2', 'e3']).toContain(msg.endpoint);
  });

  it.each([
    ['know nothing', () => holders.slice(1).forEach(host => tell(host, null))],
    ['do not answer', () => story.advance(SESSION_ANSWER_MS)],
  ])('goes to the primary when two holders %s', (_name, act) => {
    story.send('SELECT 1');
    tell(holders[0]!, 120);
    act();
    expect(story.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
  });

  it.each([
    ['knows nothing', () => tell(holders[1]!, null)],
    ['does not answer', () => story.advance(SESSION_ANSWER_MS)],
  ])('goes to the primary when one of two holders %s', (_name, act) => {
    keepCentres('a', 'b');
    story.send('SELECT 1');
    tell(holders[0]!, 120);
    act();
    expect(story.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
  });

  it('is not proven by holders that know of other groups only', () => {
    const positions = {h: {term: 1, index: 9}};
    story.send('SELECT 1');
    const {ask} = story.sent('get_session').at(-1)!.msg;
    tell(holders[0]!, 120);
    holders.slice(1).forEach(host => {
      story.message(host, {type: 'session', ask, positions, ageMs: 0});
    });
    expect(story.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
  });

  it('goes to the primary after half of its time to the target', () => {
    const runs = story.sent('run').length;
    story.send("/*kind='pressing'*/ SELECT 1");
    tell(holders[0]!, 120);
    story.advance(49);
    expect(story.sent('run')).toHaveLength(runs);
    story.advance(1);
    expect(story.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
  });

  it('goes to the primary when an answer comes late', () => {
    story.send('SELECT 1');
    tell(holders[0]!, 120);
    story.advance(SESSION_ANSWER_MS);
    const runs = story.sent('run').length;
    tell(holders[1]!, 130);
    expect(story.sent('run')).toHaveLength(runs);
  });

  it('does not wait for a holder that is known to be unreachable', () => {
    story.cutOff(holders[1]!);
    story.send('SELECT 1');
    expect(story.sent('get_session').map(({host}) => host)).toEqual([
      holders[0],
      holders[2],
    ]);
    tell(holders[0]!, 120);
    tell(holders[2]!, 120);
    expect(['e2', 'e3']).toContain(story.lastRun().msg.endpoint);
  });

  it('goes to the primary at once when too few holders are reachable', () => {
    story.cutOff(holders[0]!, holders[1]!);
    story.send('SELECT 1');
    expect(story.lastRun().msg).toMatchObject({endpoint: 'e1', term: 3});
  });

  it('is told of a lost write also when no holder can be had', () => {
    const starts = [
      {term: 3, index: 100},
      {term: 4, index: 119},
    ];
    story.changeGroup({term: 4, primary: 'e2', starts});
    const seq = story.send('SELECT 1');
    holders.forEach(host => tell(host, 120));
    story.advance(1_500);
    expect(story.ended(seq)).toBe(9103);
  });

  it('is told of a lost write once', () => {
    const starts = [
      {term: 3, index: 100},
      {term: 4, index: 119},
    ];
    story.changeGroup({term: 4, primary: 'e2', starts});
    const seq = story.send('SELECT 1');
    holders.forEach(host => tell(host, 120));
    holders.forEach(store);
    expect(story.ended(seq)).toBe(9103);
    expect(story.sent('put_session').at(-1)!.msg.positions).toEqual({
      g: {term: 4, index: 119},
    });
  });
});
