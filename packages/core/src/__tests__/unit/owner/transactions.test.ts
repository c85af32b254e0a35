/** Transactions: one connection each, never shared, never left open. */

import {describe, expect, it} from 'vitest';
import {OWNERSHIP_GRACE_MS, TX_IDLE_MS} from '../../../owner/limits.js';
import type {Story} from './owner_story.js';
import {ASKER, PRIMARY, startStory} from './owner_story.js';

const ENDINGS: readonly (readonly [string, (s: Story, tx: string) => void])[] =
  [
    [
      'its host is gone',
      s => s.feed({type: 'peer_down', host: ASKER, generation: 1}),
    ],
    [
      'its host is found dead',
      s => s.feed({type: 'host_observed', host: ASKER, isReachable: false}),
    ],
    ['its host closes it', (s, tx) => s.message(ASKER, {type: 'close_tx', tx})],
    [
      'its term is over',
      s => s.feed({type: 'writes_stopped', group: 'g', term: 3}),
    ],
    ['it was idle too long', s => s.advance(TX_IDLE_MS)],
    [
      'its pool was lost for too long',
      s => {
        const endpoint = PRIMARY;
        s.feed({type: 'ownership_changed', endpoint, isOwner: false});
        s.advance(OWNERSHIP_GRACE_MS);
      },
    ],
  ];

describe('transactions', () => {
  it('runs on its own connection only, one statement at a time', () => {
    const story = startStory(3);
    const {tx, conn} = story.begin();
    const first = story.write({mode: 'in_tx', tx});
    const firstRun = story.lastRun();
    const second = story.write({mode: 'in_tx', tx});
    const other = story.run({callerKey: 'other'});
    const runs = story.runs().slice(1);
    expect(runs.map(run => run.conn === conn)).toEqual([true, false]);
    story.ok({inTx: true}, firstRun);
    expect(story.ended(first)).toBe('done');
    expect(story.lastRun()).toMatchObject({
      conn,
      statement: {sql: `SELECT '${second}'`},
    });
    expect(story.ended(other)).toBeUndefined();
  });

  it('takes no statement of another host or of an unknown transaction', () => {
    const story = startStory();
    const {tx} = story.begin();
    story.message('h8', {type: 'close_tx', tx});
    expect(story.board.pools.byEndpoint.first()!.txs.size).toBe(1);
    const foreign = {...story.sentRun!, mode: 'in_tx', tx} as const;
    story.message('h8', {...foreign, request: 'foreign'});
    expect(story.ended('foreign')).toBe('not_run tx_gone');
    const unknown = story.run({mode: 'commit', tx: 'other'});
    expect(story.ended(unknown)).toBe('not_run tx_gone');
  });

  it('reuses the connection after a commit that ended the transaction', () => {
    const story = startStory();
    const {tx, conn} = story.begin();
    const id = story.run({mode: 'commit', tx, term: 3});
    story.ok({index: 201});
    expect(story.ended(id)).toBe('done');
    story.run();
    expect(story.lastRun().conn).toBe(conn);
  });

  it.each(ENDINGS)('closes the connection when %s', (_name, end) => {
    const story = startStory();
    const {tx, conn} = story.begin();
    end(story, tx);
    expect(story.closed(conn)).toBe(true);
    expect(story.board.pools.byEndpoint.first()?.txs.size ?? 0).toBe(0);
    const late = story.run({mode: 'commit', tx, term: 3});
    expect(story.ended(late)).toMatch(/not_run (tx_gone|not_owner)/);
  });

  it('goes on after its pool was lost until the deadline of a stop', () => {
    const story = startStory();
    const {conn} = story.begin();
    const drainDeadline = story.now + 2 * OWNERSHIP_GRACE_MS;
    story.change(board => ({...board, self: {...board.self, drainDeadline}}));
    const endpoint = PRIMARY;
    story.feed({type: 'ownership_changed', endpoint, isOwner: false});
    story.advance(2 * OWNERSHIP_GRACE_MS - 100);
    expect(story.closed(conn)).toBe(false);
    story.advance(100);
    expect(story.closed(conn)).toBe(true);
  });

  it('keeps a transaction of a newer connection of its host', () => {
    const story = startStory();
    const {conn} = story.begin();
    story.feed({type: 'peer_down', host: ASKER, generation: 0});
    expect(story.closed(conn)).toBe(false);
  });

  it('closes the connection of a cancelled statement', () => {
    const story = startStory();
    const {tx, conn} = story.begin();
    const id = story.run({mode: 'in_tx', tx});
    story.message(ASKER, {type: 'cancel', request: id});
    expect(story.closed(conn)).toBe(true);
  });

  it('answers unknown for a commit whose connection was lost', () => {
    const story = startStory();
    const {tx} = story.begin();
    const id = story.run({mode: 'commit', tx, term: 3});
    story.lose();
    expect(story.ended(id)).toBe('unknown connection_lost');
  });

  it('does not send a commit of writes without evidence', () => {
    const story = startStory();
    const {tx, conn} = story.begin();
    story.write({mode: 'in_tx', tx});
    story.ok({inTx: true});
    story.changeGroup({
      fence: {term: 3, by: 'h2', attempt: 'a', confirmed: false},
    });
    const id = story.run({mode: 'commit', tx, term: 3});
    expect(story.ended(id)).toBe('not_run fenced');
    expect(story.closed(conn)).toBe(true);
  });

  it('answers unknown for a commit whose evidence expired on the way', () => {
    const story = startStory();
    const {tx} = story.begin();
    story.write({mode: 'in_tx', tx});
    story.ok({inTx: true});
    const id = story.run({mode: 'commit', tx, term: 3});
    story.changeGroup({
      fence: {term: 3, by: 'h2', attempt: 'a', confirmed: false},
    });
    story.ok({index: 201});
    expect(story.ended(id)).toBe('unknown evidence_expired');
  });

  it('ends the transaction when a deadlock rolled it back', () => {
    const story = startStory();
    const {tx, conn} = story.begin();
    const id = story.write({mode: 'in_tx', tx});
    story.error(1213);
    expect(story.ended(id)).toBe('failed');
    expect(story.closed(conn)).toBe(true);
    expect(story.ended(story.run({mode: 'in_tx', tx}))).toBe('not_run tx_gone');
  });
});
