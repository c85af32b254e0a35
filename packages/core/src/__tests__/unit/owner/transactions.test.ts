/** Transactions: one connection each, never shared, never left open. */

import {describe, expect, it} from 'vitest';
import {OWNERSHIP_GRACE_MS, TX_IDLE_MS} from '../../../owner/limits.js';
import type {OwnerHarness} from './owner_harness.js';
import {PEER, PRIMARY, startHarness} from './owner_harness.js';

const ENDINGS: readonly (readonly [
  string,
  (s: OwnerHarness, tx: string) => void,
])[] = [
  [
    'the link to its host is down',
    s => s.feed({type: 'peer_down', host: PEER, generation: 1}),
  ],
  [
    'its host is unreachable',
    s => s.feed({type: 'host_observed', host: PEER, isReachable: false}),
  ],
  ['its host closes it', (s, tx) => s.message(PEER, {type: 'close_tx', tx})],
  [
    'writes of its term are stopped',
    s => s.feed({type: 'writes_stopped', group: 'g', term: 3}),
  ],
  ['it was idle for too long', s => s.advance(TX_IDLE_MS)],
  [
    'the grace period after a loss of ownership is over',
    s => {
      const endpoint = PRIMARY;
      s.feed({type: 'ownership_changed', endpoint, isOwner: false});
      s.advance(OWNERSHIP_GRACE_MS);
    },
  ],
];

describe('transactions', () => {
  it('runs on its own connection only, one statement at a time', () => {
    const harness = startHarness(3);
    const {tx, conn} = harness.begin();
    const first = harness.write({mode: 'in_tx', tx});
    const firstRun = harness.lastStatement();
    const second = harness.write({mode: 'in_tx', tx});
    const other = harness.run({callerKey: 'other'});
    const runs = harness.sentStatements().slice(1);
    expect(runs.map(run => run.conn === conn)).toEqual([true, false]);
    harness.ok({inTx: true}, firstRun);
    expect(harness.outcomeOf(first)).toBe('done');
    expect(harness.lastStatement()).toMatchObject({
      conn,
      statement: {sql: `SELECT '${second}'`},
    });
    expect(harness.outcomeOf(other)).toBeUndefined();
  });

  it('refuses statements of another host or of an unknown transaction', () => {
    const harness = startHarness();
    const {tx} = harness.begin();
    harness.message('h8', {type: 'close_tx', tx});
    expect(harness.board.pools.byEndpoint.first()!.txs.size).toBe(1);
    const foreign = {...harness.lastRequest!, mode: 'in_tx', tx} as const;
    harness.message('h8', {...foreign, request: 'foreign'});
    expect(harness.outcomeOf('foreign')).toBe('not_run tx_gone');
    const unknown = harness.run({mode: 'commit', tx: 'other'});
    expect(harness.outcomeOf(unknown)).toBe('not_run tx_gone');
  });

  it('reuses the connection after a commit that ended the transaction', () => {
    const harness = startHarness();
    const {tx, conn} = harness.begin();
    const id = harness.run({mode: 'commit', tx, term: 3});
    harness.ok({index: 201});
    expect(harness.outcomeOf(id)).toBe('done');
    harness.run();
    expect(harness.lastStatement().conn).toBe(conn);
  });

  it.each(ENDINGS)('closes the connection when %s', (_name, end) => {
    const harness = startHarness();
    const {tx, conn} = harness.begin();
    end(harness, tx);
    expect(harness.isClosed(conn)).toBe(true);
    expect(harness.board.pools.byEndpoint.first()?.txs.size ?? 0).toBe(0);
    const late = harness.run({mode: 'commit', tx, term: 3});
    expect(harness.outcomeOf(late)).toMatch(/not_run (tx_gone|not_owner)/);
  });

  it('continues until the drain deadline after a loss of ownership', () => {
    const harness = startHarness();
    const {conn} = harness.begin();
    const drainDeadline = harness.now + 2 * OWNERSHIP_GRACE_MS;
    harness.change(board => ({...board, self: {...board.self, drainDeadline}}));
    const endpoint = PRIMARY;
    harness.feed({type: 'ownership_changed', endpoint, isOwner: false});
    harness.advance(2 * OWNERSHIP_GRACE_MS - 100);
    expect(harness.isClosed(conn)).toBe(false);
    harness.advance(100);
    expect(harness.isClosed(conn)).toBe(true);
  });

  it('keeps a transaction of a newer link to its host', () => {
    const harness = startHarness();
    const {conn} = harness.begin();
    harness.feed({type: 'peer_down', host: PEER, generation: 0});
    expect(harness.isClosed(conn)).toBe(false);
  });

  it('closes the connection of a cancelled statement', () => {
    const harness = startHarness();
    const {tx, conn} = harness.begin();
    const id = harness.run({mode: 'in_tx', tx});
    harness.message(PEER, {type: 'cancel', request: id});
    expect(harness.isClosed(conn)).toBe(true);
  });

  it('answers unknown for a commit whose connection was lost', () => {
    const harness = startHarness();
    const {tx} = harness.begin();
    const id = harness.run({mode: 'commit', tx, term: 3});
    harness.loseConn();
    expect(harness.outcomeOf(id)).toBe('unknown connection_lost');
  });

  it('does not send a commit of writes without evidence', () => {
    const harness = startHarness();
    const {tx, conn} = harness.begin();
    harness.write({mode: 'in_tx', tx});
    harness.ok({inTx: true});
    harness.changeGroup({
      fence: {term: 3, by: 'h2', attempt: 'a', confirmed: false},
    });
    const id = harness.run({mode: 'commit', tx, term: 3});
    expect(harness.outcomeOf(id)).toBe('not_run fenced');
    expect(harness.isClosed(conn)).toBe(true);
  });

  it('answers unknown for a commit whose evidence expired while it ran', () => {
    const harness = startHarness();
    const {tx} = harness.begin();
    harness.write({mode: 'in_tx', tx});
    harness.ok({inTx: true});
    const id = harness.run({mode: 'commit', tx, term: 3});
    harness.changeGroup({
      fence: {term: 3, by: 'h2', attempt: 'a', confirmed: false},
    });
    harness.ok({index: 201});
    expect(harness.outcomeOf(id)).toBe('unknown evidence_expired');
  });

  it('ends the transaction when a deadlock rolled it back', () => {
    const harness = startHarness();
    const {tx, conn} = harness.begin();
    const id = harness.write({mode: 'in_tx', tx});
    harness.error(1213);
    expect(harness.outcomeOf(id)).toBe('failed');
    expect(harness.isClosed(conn)).toBe(true);
    expect(harness.outcomeOf(harness.run({mode: 'in_tx', tx}))).toBe(
      'not_run tx_gone',
    );
  });
});
