/** Connections that go silent while new ones work, and late answers. */

import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {Connection, RowDataPacket} from 'mysql2/promise';
import type {FaultRule} from '@lacewingroad/standins';
import {outcome, rows, startSessionSite, waitMs} from './session_site.js';
import type {SessionSite} from './session_site.js';
import {LONG} from './long.js';

const NOT_RUN = 9101;
const UNKNOWN = 9102;
/** The row's timeout, and room for a busy machine. */
const BOUND_MS = 20_000;

let story: SessionSite;

beforeEach(async () => {
  story = await startSessionSite();
});

afterEach(() => story.close());

function on(link: string, type: 'forget' | 'freeze' | 'drop'): FaultRule {
  return {from: '*', link, effect: {type}};
}

/** Opens callers and lets each run one read, so that pools are warm. */
async function openCallers(
  host: string,
  count: number,
): Promise<readonly Connection[]> {
  const callers = await Promise.all(
    Array.from({length: count}, () => story.connect(host)),
  );
  await Promise.all(callers.map(caller => rows(caller, 'SELECT 1')));
  return callers;
}

describe('connections to an endpoint that the network forgot', () => {
  it('cost no read an error, and are replaced', async () => {
    const callers = await openCallers('b-1', 8);
    const links = ['g1-a', 'g1-b', 'g1-c'].map(id => `endpoint:${id}`);
    await story.rule(...links.map(link => on(link, 'forget')));
    await story.rule();
    const told = await Promise.all(
      callers.map(caller => outcome(rows(caller, 'SELECT * FROM t'))),
    );
    expect(told).toEqual(callers.map(() => 0));
    // The endpoint is not taken for dead: no change of primary.
    expect((await story.state('g1-a')).term).toBe(1);
    const again = Promise.all(
      callers.map(caller => outcome(rows(caller, 'SELECT * FROM t'))),
    );
    expect(await again).toEqual(callers.map(() => 0));
  });

  it('leave writes with an outcome that is true, within their timeout', async () => {
    const callers = await openCallers('b-1', 6);
    await Promise.all(
      callers.map((caller, at) =>
        caller.query(`INSERT INTO t (id) VALUES (${at + 1})`),
      ),
    );
    await story.rule(on('endpoint:g1-a', 'forget'));
    await story.rule();
    const began = performance.now();
    const told = await Promise.all(
      callers.map((caller, at) =>
        outcome(caller.query(`INSERT INTO t (id) VALUES (${at + 101})`)),
      ),
    );
    expect(performance.now() - began).toBeLessThan(BOUND_MS);
    const looker = await story.connect('a-1');
    await looker.query("SET lacewingroad_kind = 'synced'");
    const found = await rows(looker, 'SELECT id FROM t WHERE id > 100');
    const ids = found.map(({id}) => Number(id));
    told.forEach((errno, at) => {
      expect([0, NOT_RUN, UNKNOWN]).toContain(errno);
      if (errno !== UNKNOWN) {
        expect(ids.includes(at + 101)).toBe(errno === 0);
      }
    });
    const after = callers.map((caller, at) =>
      outcome(caller.query(`INSERT INTO t (id) VALUES (${at + 201})`)),
    );
    expect(await Promise.all(after)).toEqual(callers.map(() => 0));
  });
});

describe('connections between entry hosts that the network forgot', () => {
  it('are found and replaced; reads get no error, writes a true one', async () => {
    const callers = await openCallers('b-1', 6);
    await story.rule(on('peer:a-1', 'forget'), on('peer:b-1', 'forget'));
    await story.rule();
    const reads = callers
      .slice(0, 3)
      .map(caller => outcome(rows(caller, 'SELECT * FROM t')));
    const writes = callers
      .slice(3)
      .map((caller, at) =>
        outcome(caller.query(`INSERT INTO t (id) VALUES (${at + 1})`)),
      );
    expect(await Promise.all(reads)).toEqual([0, 0, 0]);
    const told = await Promise.all(writes);
    const looker = await story.connect('a-1');
    const ids = (await rows(looker, 'SELECT id FROM t')).map(({id}) =>
      Number(id),
    );
    told.forEach((errno, at) => {
      expect([0, NOT_RUN, UNKNOWN]).toContain(errno);
      if (errno !== UNKNOWN) {
        expect(ids.includes(at + 1)).toBe(errno === 0);
      }
    });
    const after = callers.map((caller, at) =>
      outcome(caller.query(`INSERT INTO t (id) VALUES (${at + 201})`)),
    );
    expect(await Promise.all(after)).toEqual(callers.map(() => 0));
  });
});

describe('answers that come late', () => {
  it.each(['endpoint:g1-a', 'endpoint:g1-b', 'peer:a-1', 'peer:b-1'])(
    'over %s reach no other request',
    LONG,
    async link => {
      const hosts = ['a-1', 'b-1', 'c-1'];
      let count = 0;
      let isOver = false;
      const ask = async (host: string): Promise<void> => {
        const caller = await story.connect(host);
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
      const asking = hosts.flatMap(host => [ask(host), ask(host)]);
      for (let round = 0; round < 4; round += 1) {
        await story.rule(on(link, 'freeze'));
        // Longer than the silence after which a connection is given up.
        await waitMs(round % 2 === 0 ? 300 : 3_000);
        await story.rule();
        await waitMs(200);
      }
      isOver = true;
      await Promise.all(asking);
      expect(count).toBeGreaterThan(100);
    },
  );
});
