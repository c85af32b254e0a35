/** Planned stops of hosts, changes of pool owners, and floods. */

import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {
  CONNECTION_LOST,
  WAIT,
  fetchGroups,
  startStatementLoad,
  resultCode,
  readIds,
  queryRows,
  startSessionHarness,
  waitMs,
} from './session_harness.js';
import type {SessionHarness} from './session_harness.js';

let harness: SessionHarness;

beforeEach(async () => {
  harness = await startSessionHarness({
    entriesPerDataCentre: 2,
    slots: 3,
    logLevel: 'debug',
  });
});

afterEach(() => harness.close());

describe('a planned stop', () => {
  it('cuts no statement, finishes transactions and hands its pool over', async () => {
    const owner = await harness.ownerOf('g1-a');
    const other = owner === 'a-1' ? 'a-2' : 'a-1';
    await harness.site.endpoint('g1-a').set({serviceMs: 30});
    const open = await harness.connect(owner);
    await open.query('BEGIN');
    await open.query('INSERT INTO t (id) VALUES (1)');
    const elsewhere = await harness.connect('b-1');
    await elsewhere.query('BEGIN');
    await elsewhere.query('INSERT INTO t (id) VALUES (2)');
    const idle = await harness.connect(owner);
    const busy = await harness.connect(owner);
    const load = startStatementLoad(
      harness,
      [other, 'b-1', 'c-1'],
      count => `INSERT INTO t (id) VALUES (${count + 100})`,
    );
    await waitMs(300);
    const running = resultCode(busy.query('INSERT INTO t (id) VALUES (3)'));
    harness.site.processes.signal(owner, 'SIGTERM');
    expect(await running).toBe(0);
    await waitMs(1_000);
    await open.query('INSERT INTO t (id) VALUES (4)');
    await open.query('COMMIT');
    await elsewhere.query('COMMIT');
    expect(await resultCode(idle.query('SELECT 1'))).toBe(CONNECTION_LOST);
    expect(await harness.site.processes.exited(owner)).toEqual({
      code: 0,
      signal: null,
    });
    await vi.waitFor(async () => {
      const {groups} = await fetchGroups(harness.site, 'b-1');
      expect(groups[0]!.owners['g1-a']).toBe(other);
      expect(groups[0]!.term).toBe(1);
    }, WAIT);
    await waitMs(500);
    const codes = await load.stop();
    expect(codes).toEqual(new Set([0]));
    const reader = await harness.connect(other);
    expect((await readIds(reader)).slice(0, 4)).toEqual([1, 2, 3, 4]);
  });
});

describe('two owners of an endpoint', () => {
  it('cause no errors: "too many connections" acts as backpressure', async () => {
    const owner = await harness.ownerOf('g1-a');
    const other = owner === 'a-1' ? 'a-2' : 'a-1';
    const hosts = ['a-1', 'a-2', 'b-1', 'b-2', 'c-1', 'c-2'];
    let next = 0;
    const load = startStatementLoad(harness, [...hosts, ...hosts], () => {
      next += 1;
      return `/*key='k${next}'*/ INSERT INTO t (id) VALUES (${next})`;
    });
    await waitMs(500);
    // The owner is listed as leaving although it keeps running.
    await harness.site.setListedState(owner, 'leaving');
    await waitMs(1_000);
    await harness.site.setListedState(owner, 'live');
    await harness.site.setListedState(other, 'leaving');
    await waitMs(1_000);
    await harness.site.setListedState(other, 'live');
    await waitMs(1_000);
    const codes = await load.stop();
    expect(codes).toEqual(new Set([0]));
    const {requestKeys} = await harness.state('g1-a');
    for (let id = 1; id <= next; id += 1) {
      expect(requestKeys[`k${id}`]).toEqual({surviving: 1, total: 1});
    }
  });
});

describe('a flood by one caller', () => {
  it('leaves the other callers of its rank their share', async () => {
    // More callers of one session than the queue of a rank can hold.
    await harness.site.endpoint('g1-a').set({serviceMs: 20});
    const floods = await Promise.all(
      Array.from({length: 300}, () =>
        harness.connect('b-1', {session: 'flooder'}),
      ),
    );
    let isOver = false;
    const flooding = floods.map(async caller => {
      while (!isOver) {
        await resultCode(
          caller.query("/*kind='flood'*/ SELECT * FROM t FOR UPDATE"),
        );
      }
    });
    await waitMs(1_000);
    const regular = await harness.connect('c-1');
    for (let round = 0; round < 20; round += 1) {
      expect(
        await queryRows(
          regular,
          "/*kind='flood'*/ SELECT COUNT(*) AS n FROM t FOR UPDATE",
        ),
      ).toEqual([{n: 0}]);
    }
    isOver = true;
    await Promise.all(flooding);
  });
});
