import {beforeEach, describe, expect, it} from 'vitest';
import {OWNERS, startEntryStory} from './entry_story.js';
import type {EntryStory} from './entry_story.js';

let story: EntryStory;

beforeEach(() => {
  story = startEntryStory();
});

/** Opens a transaction and returns its id. */
function begin(): string {
  story.send('BEGIN');
  const {request} = story.lastRun().msg;
  story.done(null, true);
  return request;
}

function closedTxs(): readonly string[] {
  return story.sent('close_tx').map(({msg}) => msg.tx);
}

describe('a transaction', () => {
  it('stays where it was opened, and ends with its commit', () => {
    const tx = begin();
    story.send('SELECT 1');
    expect(story.lastRun()).toMatchObject({
      host: OWNERS.e1,
      msg: {mode: 'in_tx', tx, endpoint: 'e1'},
    });
    story.done(null, true);
    const seq = story.send('COMMIT');
    expect(story.lastRun().msg).toMatchObject({mode: 'commit', tx});
    story.done({term: 3, index: 120});
    expect(story.ended(seq)).toBe('ok');
    story.send('INSERT INTO t VALUES (1)');
    expect(story.lastRun().msg).toMatchObject({mode: 'autocommit', tx: null});
  });

  it.each([
    ['not_run', 'tx_gone'],
    ['unknown', 'connection_lost'],
  ] as const)('whose statement is %s is over: 9105', (type, reason) => {
    const tx = begin();
    const seq = story.send('INSERT INTO t VALUES (1)');
    story.answer({type, reason} as Parameters<EntryStory['answer']>[0]);
    expect(story.ended(seq)).toBe(9105);
    expect(closedTxs()).toEqual([tx]);
  });

  it.each(['COMMIT', 'INSERT INTO t VALUES (1)'])(
    'whose host is lost refuses %s with 9105',
    sql => {
      begin();
      story.feed({type: 'peer_down', host: OWNERS.e1, generation: 1});
      const runs = story.sent('run').length;
      expect(story.ended(story.send(sql))).toBe(9105);
      expect(story.sent('run')).toHaveLength(runs);
    },
  );

  it('whose host is lost during COMMIT is of unknown outcome', () => {
    begin();
    const seq = story.send('COMMIT');
    story.feed({type: 'peer_down', host: OWNERS.e1, generation: 1});
    expect(story.ended(seq)).toBe(9102);
    expect(story.sent('run')).toHaveLength(2);
  });

  it('whose COMMIT was refused is closed at its owner', () => {
    const tx = begin();
    const seq = story.send('COMMIT');
    story.answer({type: 'not_run', reason: 'too_late'});
    expect(story.ended(seq)).toBe(9105);
    expect(closedTxs()).toEqual([tx]);
  });

  it('whose ROLLBACK was refused is closed at its owner', () => {
    const tx = begin();
    const seq = story.send('ROLLBACK');
    story.answer({type: 'not_run', reason: 'too_late'});
    expect(story.ended(seq)).toBe('ok');
    expect(closedTxs()).toEqual([tx]);
  });

  it('that was given up while it opened is closed at its owner', () => {
    const seq = story.send('BEGIN');
    const {request} = story.lastRun().msg;
    story.advance(20_000);
    expect(story.ended(seq)).toBe(9102);
    expect(closedTxs()).toEqual([request]);
    story.done(null, true);
    story.send('INSERT INTO t VALUES (1)');
    expect(story.lastRun().msg).toMatchObject({mode: 'autocommit', tx: null});
  });

  it('is closed when its caller goes', () => {
    const tx = begin();
    story.send('INSERT INTO t VALUES (1)');
    story.feed({type: 'caller_closed', caller: 1});
    expect(closedTxs()).toEqual([tx]);
    expect(story.sent('cancel')).toHaveLength(1);
  });
});

describe('autocommit = 0', () => {
  it('opens a transaction with the next statement', () => {
    story.send('SET autocommit = 0');
    const seq = story.send('INSERT INTO t VALUES (1)');
    expect(story.lastRun().msg).toMatchObject({
      mode: 'begin',
      statement: {sql: 'BEGIN'},
    });
    story.done(null, true);
    expect(story.lastRun().msg).toMatchObject({mode: 'in_tx'});
    story.done(null, true);
    expect(story.ended(seq)).toBe('ok');
  });

  it.each([
    ['SET autocommit = 1', 9104],
    ['SET autocommit = ON', 9104],
    ['SET autocommit = OFF', 'ok'],
    ['SET autocommit = 0', 'ok'],
  ] as const)('and %s inside of it gets %s', (sql, expected) => {
    story.send('SET autocommit = 0');
    story.send('INSERT INTO t VALUES (1)');
    story.done(null, true);
    story.done(null, true);
    expect(story.ended(story.send(sql))).toBe(expected);
  });
});
