/** Resets that client connection pools send before they reuse a connection. */

import {afterAll, beforeAll, beforeEach, describe, expect, it} from 'vitest';
import type {Connection} from 'mysql2/promise';
import {CALLER_ACCOUNT} from '@lacewingroad/standins';
import {
  resultCode,
  readIds,
  queryRows,
  startSessionHarness,
} from './session_harness.js';
import type {SessionHarness} from './session_harness.js';

let harness: SessionHarness;
let caller: Connection;
let other: Connection;

beforeAll(async () => {
  harness = await startSessionHarness();
});

afterAll(() => harness.close());

beforeEach(async () => {
  caller = await harness.connect('a-1');
  other = await harness.connect('b-1');
  await other.query('DELETE FROM t');
});

/** Leaves a transaction open and autocommit off. */
async function leaveOpenTransaction(): Promise<void> {
  await caller.query('SET autocommit = 0');
  await caller.query('INSERT INTO t (id) VALUES (1)');
}

async function expectCleanState(): Promise<void> {
  const sql = 'SELECT @@autocommit AS autocommit';
  expect(await queryRows(caller, sql)).toEqual([{autocommit: '1'}]);
  await caller.query('INSERT INTO t (id) VALUES (2)');
  await expect.poll(() => readIds(other), {timeout: 10_000}).toEqual([2]);
}

describe('a connection that is reused', () => {
  it('is rolled back and clean after a reset', async () => {
    await leaveOpenTransaction();
    await caller.reset();
    await expectCleanState();
  });

  it('is rolled back and clean after a change of user', async () => {
    await leaveOpenTransaction();
    await caller.changeUser({...CALLER_ACCOUNT, database: 'shop'});
    await expectCleanState();
  });

  it('is closed if the new user fails to authenticate', async () => {
    await leaveOpenTransaction();
    const change = caller.changeUser({...CALLER_ACCOUNT, password: 'wrong'});
    expect(await resultCode(change)).toBe(1045);
    expect(await readIds(other)).toEqual([]);
  });
});
