/** Established connections that go silent while new ones work; late answers. */

import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {Connection, RowDataPacket} from 'mysql2/promise';
import type {FaultRule} from '@lacewingroad/standins';
import {
  resultCode,
  queryRows,
  startSessionHarness,
  waitMs,
} from './session_harness.js';
import type {SessionHarness} from './session_harness.js';
import {LONG} from './long.js';

const NOT_RUN = 9101;
const UNKNOWN = 9102;
/** The timeout of the table row, with a margin for a busy machine. */
const BOUND_MS = 20_000;

let harness: SessionHarness;

beforeEach(async () => {
  harness = await startSessionHarness();
});

afterEach(() => harness.close());

function linkFault(
  link: string,
  type: 'forget' | 'freeze' | 'drop',
): FaultRule {
  return {from: '*', link, effect: {type}};
}

/** Opens callers and runs one read on each to warm up the pools. */
async function openCallers(
  host: string,
  count: number,
): Promise<readonly Connection[]> {
  const callers = await Promise.all(
    Array.from({length: count}, () => harness.connect(host)),
  );
  await Promise.all(callers.map(caller => queryRows(caller, 'SELECT 1')));
  return callers;
}

describe('connections to an endpoint that the network dropped silently', () => {
  it('cause no read to fail, and are replaced', async () => {
    const callers = await openCallers('b-1', 8);
    const links = ['g1-a', 'g1-b', 'g1-c'].map(id => `endpoint:${id}`);
    await harness.setFaultRules(
      ...links.map(link => linkFault(link, 'forget')),
    );
    await harness.setFaultRules();
    const codes = await Promise.all(
      callers.map(caller => resultCode(queryRows(caller, 'SELECT * FROM t'))),
    );
    expect(codes).toEqual(callers.map(() => 0));
    // The endpoint is not considered failed: no change of primary.
    expect((await harness.state('g1-a')).term).toBe(1);
    const again = Promise.all(
      callers.map(caller => resultCode(queryRows(caller, 'SELECT * FROM t'))),
    );
    expect(await again).toEqual(callers.map(() => 0));
  });

  it('give writes a correct outcome within their timeout', async () => {
    const callers = await openCallers('b-1', 6);
    await Promise.all(
      callers.map((caller, index) =>
        caller.query(`INSERT INTO t (id) VALUES (${index + 1})`),
      ),
    );
    await harness.setFaultRules(linkFault('endpoint:g1-a', 'forget'));
    await harness.setFaultRules();
    const startedAt = performance.now();
    const codes = await Promise.all(
      callers.map((caller, index) =>
        resultCode(caller.query(`INSERT INTO t (id) VALUES (${index + 101})`)),
      ),
    );
    expect(performance.now() - startedAt).toBeLessThan(BOUND_MS);
    const reader = await harness.connect('a-1');
    await reader.query("SET lacewingroad_kind = 'synced'");
    const found = await queryRows(reader, 'SELECT id FROM t WHERE id > 100');
    const ids = found.map(({id}) => Number(id));
    codes.forEach((errno, index) => {
      expect([0, NOT_RUN, UNKNOWN]).toContain(errno);
      if (errno !== UNKNOWN) {
        expect(ids.includes(index + 101)).toBe(errno === 0);
      }
    });
    const after = callers.map((caller, index) =>
      resultCode(caller.query(`INSERT INTO t (id) VALUES (${index + 201})`)),
    );
    expect(await Promise.all(after)).toEqual(callers.map(() => 0));
  });
});

describe('connections between entry hosts that the network dropped silently', () => {
  it('are detected and replaced; reads do not fail, writes get a correct outcome', async () => {
    const callers = await openCallers('b-1', 6);
    await harness.setFaultRules(
      linkFault('peer:a-1', 'forget'),
      linkFault('peer:b-1', 'forget'),
    );
    await harness.setFaultRules();
    const reads = callers
      .slice(0, 3)
      .map(caller => resultCode(queryRows(caller, 'SELECT * FROM t')));
    const writes = callers
      .slice(3)
      .map((caller, index) =>
        resultCode(caller.query(`INSERT INTO t (id) VALUES (${index + 1})`)),
      );
    expect(await Promise.all(reads)).toEqual([0, 0, 0]);
    const codes = await Promise.all(writes);
    const reader = await harness.connect('a-1');
    const ids = (await queryRows(reader, 'SELECT id FROM t')).map(({id}) =>
      Number(id),
    );
    codes.forEach((errno, index) => {
      expect([0, NOT_RUN, UNKNOWN]).toContain(errno);
      if (errno !== UNKNOWN) {
        expect(ids.includes(index + 1)).toBe(errno === 0);
      }
    });
    const after = callers.map((caller, index) =>
      resultCode(caller.query(`INSERT INTO t (id) VALUES (${index + 201})`)),
    );
    expect(await Promise.all(after)).toEqual(callers.map(() => 0));
  });
});

describe('answers that come late', () => {
  it.each(['endpoint:g1-a', 'endpoint:g1-b', 'peer:a-1', 'peer:b-1'])(
    'over %s are not delivered to another request',
    LONG,
    async link => {
      const hosts = ['a-1', 'b-1', 'c-1'];
      let count = 0;
      let isOver = false;
      const sendReads = async (host: string): Promise<void> => {
        const caller = await harness.connect(host);
        while (!isOver) {
          count += 1;
          const mine = count;
          const comment = mine % 2 === 0 ? "/*kind='synced'*/" : '';
          try {
            const [found] = await caller.query<RowDataPacket[]>(
              `${comment} SELECT ${mine} AS mine`,
            );
            expect(found).toEqual([{mine}]);
          } catch (err) {
            expect((err as {errno?: number}).errno).toBeGreaterThan(9_000);
          }
        }
      };
      const reading = hosts.flatMap(host => [sendReads(host), sendReads(host)]);
      for (let round = 0; round < 4; round += 1) {
        await harness.setFaultRules(linkFault(link, 'freeze'));
        // 3 s is longer than the silence after which a connection is closed.
        await waitMs(round % 2 === 0 ? 300 : 3_000);
        await harness.setFaultRules();
        await waitMs(200);
      }
      isOver = true;
      await Promise.all(reading);
      expect(count).toBeGreaterThan(100);
    },
  );
});
