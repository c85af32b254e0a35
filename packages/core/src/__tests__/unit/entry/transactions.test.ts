import {beforeEach, describe, expect, it} from 'vitest';
import {OWNERS, startEntryHarness} from './entry_harness.js';
import type {EntryHarness} from './entry_harness.js';

let harness: EntryHarness;

beforeEach(() => {
  harness = startEntryHarness();
});

/** Opens a transaction and returns its id. */
function begin(): string {
  harness.send('BEGIN');
  const {request} = harness.lastRun().msg;
  harness.done(null, true);
  return request;
}

function closedTxs(): readonly string[] {
  return harness.sent('close_tx').map(({msg}) => msg.tx);
}

describe('a transaction', () => {
  it('stays at its endpoint, and ends with its commit', () => {
    const tx = begin();
    harness.send('SELECT 1');
    expect(harness.lastRun()).toMatchObject({
      host: OWNERS.e1,
      msg: {mode: 'in_tx', tx, endpoint: 'e1'},
    });
    harness.done(null, true);
    const seq = harness.send('COMMIT');
    expect(harness.lastRun().msg).toMatchObject({mode: 'commit', tx});
    harness.done({term: 3, index: 120});
    expect(harness.outcomeOf(seq)).toBe('ok');
    harness.send('INSERT INTO t VALUES (1)');
    expect(harness.lastRun().msg).toMatchObject({mode: 'autocommit', tx: null});
  });

  it.each([
    ['not_run', 'tx_gone'],
    ['unknown', 'connection_lost'],
  ] as const)('whose statement is %s ends with 9105', (type, reason) => {
    const tx = begin();
    const seq = harness.send('INSERT INTO t VALUES (1)');
    harness.answer({type, reason} as Parameters<EntryHarness['answer']>[0]);
    expect(harness.outcomeOf(seq)).toBe(9105);
    expect(closedTxs()).toEqual([tx]);
  });

  it.each(['COMMIT', 'INSERT INTO t VALUES (1)'])(
    'whose host is lost refuses %s with 9105',
    sql => {
      begin();
      harness.feed({type: 'peer_down', host: OWNERS.e1, generation: 1});
      const runs = harness.sent('run').length;
      expect(harness.outcomeOf(harness.send(sql))).toBe(9105);
      expect(harness.sent('run')).toHaveLength(runs);
    },
  );

  it('whose host is lost during COMMIT has an unknown outcome', () => {
    begin();
    const seq = harness.send('COMMIT');
    harness.feed({type: 'peer_down', host: OWNERS.e1, generation: 1});
    expect(harness.outcomeOf(seq)).toBe(9102);
    expect(harness.sent('run')).toHaveLength(2);
  });

  it('whose COMMIT was refused is closed at its owner', () => {
    const tx = begin();
    const seq = harness.send('COMMIT');
    harness.answer({type: 'not_run', reason: 'too_late'});
    expect(harness.outcomeOf(seq)).toBe(9105);
    expect(closedTxs()).toEqual([tx]);
  });

  it('whose ROLLBACK was refused is closed at its owner', () => {
    const tx = begin();
    const seq = harness.send('ROLLBACK');
    harness.answer({type: 'not_run', reason: 'too_late'});
    expect(harness.outcomeOf(seq)).toBe('ok');
    expect(closedTxs()).toEqual([tx]);
  });

  it('that timed out in BEGIN is closed at its owner', () => {
    const seq = harness.send('BEGIN');
    const {request} = harness.lastRun().msg;
    harness.advance(20_000);
    expect(harness.outcomeOf(seq)).toBe(9102);
    expect(closedTxs()).toEqual([request]);
    harness.done(null, true);
    harness.send('INSERT INTO t VALUES (1)');
    expect(harness.lastRun().msg).toMatchObject({mode: 'autocommit', tx: null});
  });

  it('is closed when its caller disconnects', () => {
    const tx = begin();
    harness.send('INSERT INTO t VALUES (1)');
    harness.feed({type: 'caller_closed', caller: 1});
    expect(closedTxs()).toEqual([tx]);
    expect(harness.sent('cancel')).toHaveLength(1);
  });
});

describe('autocommit = 0', () => {
  it('opens a transaction with the next statement', () => {
    harness.send('SET autocommit = 0');
    const seq = harness.send('INSERT INTO t VALUES (1)');
    expect(harness.lastRun().msg).toMatchObject({
      mode: 'begin',
      statement: {sql: 'BEGIN'},
    });
    harness.done(null, true);
    expect(harness.lastRun().msg).toMatchObject({mode: 'in_tx'});
    harness.done(null, true);
    expect(harness.outcomeOf(seq)).toBe('ok');
  });

  it.each([
    ['SET autocommit = 1', 9104],
    ['SET autocommit = ON', 9104],
    ['SET autocommit = OFF', 'ok'],
    ['SET autocommit = 0', 'ok'],
  ] as const)('inside its transaction, %s returns %s', (sql, expected) => {
    harness.send('SET autocommit = 0');
    harness.send('INSERT INTO t VALUES (1)');
    harness.done(null, true);
    harness.done(null, true);
    expect(harness.outcomeOf(harness.send(sql))).toBe(expected);
  });
});
