/** Keyed writes: run at most once, whatever is lost on the way. */

import {describe, expect, it} from 'vitest';
import type {Story} from './owner_story.js';
import {startStory} from './owner_story.js';

const KEY = "order-17'";

/** Answers that lead a keyed write from its first step to its end. */
const STEPS: readonly (readonly [string, (story: Story) => void])[] = [
  ['BEGIN', story => story.ok({inTx: true})],
  ['INSERT INTO lacewingroad_requests', story => story.ok({inTx: true})],
  ['UPDATE t', story => story.ok({inTx: true, affectedRows: 2})],
  ['UPDATE lacewingroad_requests', story => story.ok({inTx: true})],
  ['COMMIT', story => story.ok({index: 201})],
];

function startKeyed(): {story: Story; id: string} {
  const story = startStory();
  const statement = {sql: 'UPDATE t', params: null};
  const id = story.write({key: KEY, statement});
  return {story, id};
}

function goTo(story: Story, count: number): void {
  STEPS.slice(0, count).forEach(([sql, answer]) => {
    expect(story.lastRun().statement.sql).toContain(sql);
    answer(story);
  });
}

describe('keyed writes', () => {
  it('keeps the key and the outcome in the same transaction', () => {
    const {story, id} = startKeyed();
    goTo(story, STEPS.length);
    const sql = story.runs().map(run => run.statement.sql);
    expect(sql[1]).toContain("'order-17\\''");
    expect(sql[3]).toContain("affected_rows = 2, insert_id = '7'");
    expect(new Set(story.runs().map(run => run.conn)).size).toBe(1);
    expect(story.outcomes(id)[0]).toMatchObject({
      type: 'done',
      position: {term: 3, index: 201},
      result: {affectedRows: 2, insertId: '7'},
      inTx: false,
    });
  });

  it('returns the first outcome when the key already ran', () => {
    const {story, id} = startKeyed();
    goTo(story, 1);
    story.error(1062);
    expect(story.lastRun().statement.sql).toBe('ROLLBACK');
    story.ok();
    story.rows(['2', '9']);
    story.rows(['primary', '3', '207']);
    expect(story.outcomes(id)[0]).toMatchObject({
      type: 'done',
      position: {term: 3, index: 207},
      result: {
        affectedRows: 2,
        insertId: '9',
        info: 'lacewingroad: already run',
      },
    });
    const statements = story.runs().map(run => run.statement.sql);
    expect(statements).not.toContain('UPDATE t');
  });

  it.each([
    [0, 'not_run endpoint_down'],
    [1, 'not_run endpoint_down'],
    [2, 'unknown connection_lost'],
    [3, 'unknown connection_lost'],
    [4, 'unknown connection_lost'],
  ])('tells what a connection lost at step %i leaves', (step, outcome) => {
    const {story, id} = startKeyed();
    goTo(story, step);
    story.lose();
    expect(story.ended(id)).toBe(outcome);
    expect(story.runs()).toHaveLength(step + 1);
  });

  it('rolls back and fails when the statement itself is a duplicate', () => {
    const {story, id} = startKeyed();
    goTo(story, 2);
    story.error(1062);
    expect(story.lastRun().statement.sql).toBe('ROLLBACK');
    story.ok();
    expect(story.outcomes(id)[0]).toMatchObject({
      type: 'failed',
      error: {errno: 1062},
    });
  });

  it('rolls back when another run holds the key too long', () => {
    const {story, id} = startKeyed();
    goTo(story, 1);
    story.error(1205);
    expect(story.ended(id)).toBeUndefined();
    story.ok();
    expect(story.ended(id)).toBe('not_run too_late');
  });

  it('rolls back instead of committing once the evidence is gone', () => {
    const {story, id} = startKeyed();
    goTo(story, 3);
    story.feed({type: 'writes_stopped', group: 'g', term: 3});
    story.ok({inTx: true});
    expect(story.lastRun().statement.sql).toBe('ROLLBACK');
    story.ok();
    expect(story.ended(id)).toBe('not_run fenced');
  });

  it('does not reuse a connection that still has a transaction', () => {
    const {story, id} = startKeyed();
    goTo(story, 4);
    const {conn} = story.lastRun();
    story.ok({index: 201, inTx: true});
    expect(story.ended(id)).toBe('done');
    expect(story.closed(conn)).toBe(true);
  });

  it('rolls back a transaction whose key already ran', () => {
    const story = startStory();
    const {tx, conn} = story.begin();
    const id = story.write({mode: 'in_tx', tx, key: KEY});
    story.error(1062);
    expect(story.lastRun().statement.sql).toBe('ROLLBACK');
    story.ok();
    expect(story.outcomes(id)[0]).toMatchObject({
      type: 'failed',
      error: {errno: 9105},
    });
    expect(story.ended(story.run({mode: 'in_tx', tx}))).toBe('not_run tx_gone');
    expect(story.closed(conn)).toBe(false);
  });

  it('runs the statement after the key inside a transaction', () => {
    const story = startStory();
    const {tx} = story.begin();
    const id = story.write({mode: 'in_tx', tx, key: KEY});
    story.ok({inTx: true});
    expect(story.lastRun().statement.sql).toBe(`SELECT '${id}'`);
    story.ok({inTx: true});
    expect(story.ended(id)).toBe('done');
  });
});
