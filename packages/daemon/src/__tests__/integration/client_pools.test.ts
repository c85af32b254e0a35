/** What clients that keep pools send when they lend a connection again. */

import {afterAll, beforeAll, beforeEach, describe, expect, it} from 'vitest';
import type {Connection} from 'mysql2/promise';
import {CALLER_ACCOUNT} from '@lacewingroad/standins';
import {outcome, readIds, rows, startSessionSite} from './session_site.js';
import type {SessionSite} from './session_site.js';

let story: SessionSite;
let caller: Connection;
let other: Connection;

beforeAll(async () => {
  story = await startSessionSite();
});

afterAll(() => story.close());

beforeEach(async () => {
  caller = await story.connect('a-1');
  other = await story.connect('b-1');
  await other.query('DELETE FROM t');
});

/** Leaves a transaction open and autocommit off. */
async function leaveUntidy(): Promise<void> {
  await caller.query('SET autocommit = 0');
  await caller.query('INSERT INTO t (id) VALUES (1)');
}

async function expectTidy(): Promise<void> {
  const asked = 'SELECT @@autocommit AS autocommit';
  expect(await rows(caller, asked)).toEqual([{autocommit: '1'}]);
  await caller.query('INSERT INTO t (id) VALUES (2)');
  await expect.poll(() => readIds(other), {timeout: 10_000}).toEqual([2]);
}

describe('a connection that is lent again', () => {
  it('is rolled back and clean after a reset', async () => {
    await leaveUntidy();
    await caller.reset();
    await expectTidy();
  });

  it('is rolled back and clean after a change of user', async () => {
    await leaveUntidy();
    await caller.changeUser({...CALLER_ACCOUNT, database: 'shop'});
    await expectTidy();
  });

  it('ends when the new user has no proof', async () => {
    await leaveUntidy();
    const change = caller.changeUser({...CALLER_ACCOUNT, password: 'wrong'});
    expect(await outcome(change)).toBe(1045);
    expect(await readIds(other)).toEqual([]);
  });
});
