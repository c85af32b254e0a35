/** Keyed writes run at most once, even if a connection is lost. */

import {describe, expect, it} from 'vitest';
import type {OwnerHarness} from './owner_harness.js';
import {startHarness} from './owner_harness.js';

const KEY = "order-17'";

/** The statements of a keyed write in order, each with a successful answer. */
const STEPS: readonly (readonly [string, (harness: OwnerHarness) => void])[] = [
  ['BEGIN', harness => harness.ok({inTx: true})],
  ['INSERT INTO lacewingroad_requests', harness => harness.ok({inTx: true})],
  ['UPDATE t', harness => harness.ok({inTx: true, affectedRows: 2})],
  ['UPDATE lacewingroad_requests', harness => harness.ok({inTx: true})],
  ['COMMIT', harness => harness.ok({index: 201})],
];

function startKeyed(): {harness: OwnerHarness; id: string} {
  const harness = startHarness();
  const statement = {sql: 'UPDATE t', params: null};
  const id = harness.write({key: KEY, statement});
  return {harness, id};
}

function answerSteps(harness: OwnerHarness, count: number): void {
  STEPS.slice(0, count).forEach(([sql, answer]) => {
    expect(harness.lastStatement().statement.sql).toContain(sql);
    answer(harness);
  });
}

describe('keyed writes', () => {
  it('stores the key and the outcome in the same transaction', () => {
    const {harness, id} = startKeyed();
    answerSteps(harness, STEPS.length);
    const sql = harness.sentStatements().map(run => run.statement.sql);
    expect(sql[1]).toContain("'order-17\\''");
    expect(sql[3]).toContain("affected_rows = 2, insert_id = '7'");
    expect(new Set(harness.sentStatements().map(run => run.conn)).size).toBe(1);
    expect(harness.outcomes(id)[0]).toMatchObject({
      type: 'done',
      position: {term: 3, index: 201},
      result: {affectedRows: 2, insertId: '7'},
      inTx: false,
    });
  });

  it('returns the first outcome when the key already ran', () => {
    const {harness, id} = startKeyed();
    answerSteps(harness, 1);
    harness.error(1062);
    expect(harness.lastStatement().statement.sql).toBe('ROLLBACK');
    harness.ok();
    harness.rows(['2', '9']);
    harness.rows(['primary', '3', '207']);
    expect(harness.outcomes(id)[0]).toMatchObject({
      type: 'done',
      position: {term: 3, index: 207},
      result: {
        affectedRows: 2,
        insertId: '9',
        info: 'lacewingroad: already run',
      },
    });
    const statements = harness.sentStatements().map(run => run.statement.sql);
    expect(statements).not.toContain('UPDATE t');
  });

  it.each([
    [0, 'not_run endpoint_down'],
    [1, 'not_run endpoint_down'],
    [2, 'unknown connection_lost'],
    [3, 'unknown connection_lost'],
    [4, 'unknown connection_lost'],
  ])(
    'reports the right outcome if the connection is lost at step %i',
    (step, outcome) => {
      const {harness, id} = startKeyed();
      answerSteps(harness, step);
      harness.loseConn();
      expect(harness.outcomeOf(id)).toBe(outcome);
      expect(harness.sentStatements()).toHaveLength(step + 1);
    },
  );

  it('rolls back and fails when the statement itself is a duplicate', () => {
    const {harness, id} = startKeyed();
    answerSteps(harness, 2);
    harness.error(1062);
    expect(harness.lastStatement().statement.sql).toBe('ROLLBACK');
    harness.ok();
    expect(harness.outcomes(id)[0]).toMatchObject({
      type: 'failed',
      error: {errno: 1062},
    });
  });

  it('rolls back when another run locks the key for too long', () => {
    const {harness, id} = startKeyed();
    answerSteps(harness, 1);
    harness.error(1205);
    expect(harness.outcomeOf(id)).toBeUndefined();
    harness.ok();
    expect(harness.outcomeOf(id)).toBe('not_run too_late');
  });

  it('rolls back instead of committing once writes are stopped', () => {
    const {harness, id} = startKeyed();
    answerSteps(harness, 3);
    harness.feed({type: 'writes_stopped', group: 'g', term: 3});
    harness.ok({inTx: true});
    expect(harness.lastStatement().statement.sql).toBe('ROLLBACK');
    harness.ok();
    expect(harness.outcomeOf(id)).toBe('not_run fenced');
  });

  it('does not reuse a connection that still has a transaction', () => {
    const {harness, id} = startKeyed();
    answerSteps(harness, 4);
    const {conn} = harness.lastStatement();
    harness.ok({index: 201, inTx: true});
    expect(harness.outcomeOf(id)).toBe('done');
    expect(harness.isClosed(conn)).toBe(true);
  });

  it('rolls back a transaction whose key already ran', () => {
    const harness = startHarness();
    const {tx, conn} = harness.begin();
    const id = harness.write({mode: 'in_tx', tx, key: KEY});
    harness.error(1062);
    expect(harness.lastStatement().statement.sql).toBe('ROLLBACK');
    harness.ok();
    expect(harness.outcomes(id)[0]).toMatchObject({
      type: 'failed',
      error: {errno: 9105},
    });
    expect(harness.outcomeOf(harness.run({mode: 'in_tx', tx}))).toBe(
      'not_run tx_gone',
    );
    expect(harness.isClosed(conn)).toBe(false);
  });

  it('runs the statement after the key inside a transaction', () => {
    const harness = startHarness();
    const {tx} = harness.begin();
    const id = harness.write({mode: 'in_tx', tx, key: KEY});
    harness.ok({inTx: true});
    expect(harness.lastStatement().statement.sql).toBe(`SELECT '${id}'`);
    harness.ok({inTx: true});
    expect(harness.outcomeOf(id)).toBe('done');
  });
});
