/** Under faults, statements of one transaction never run in another. */

import {afterAll, afterEach, beforeAll, expect, it} from 'vitest';
import type {Connection} from 'mysql2/promise';
import {LINKS} from '@lacewingroad/standins';
import {
  fetchGroups,
  restoreSite,
  startStatementLoad,
  linkFault,
  resultCode,
  queryRows,
  startSessionHarness,
  waitMs,
} from './session_harness.js';
import type {StatementLoad, SessionHarness} from './session_harness.js';
import {partition} from './failure_site.js';
import {testOptions} from './long.js';

/** Rows that each transaction writes with its own label. */
const ROWS = 3;
/** Entry hosts of the callers, whose transactions run concurrently. */
const CALLERS = ['a-1', 'a-2', 'b-1', 'b-1', 'b-2', 'b-2', 'c-1', 'c-2'];
/** Time for which transactions run before and after a fault. */
const PHASE_MS = 1_000;

let harness: SessionHarness;

beforeAll(async () => {
  harness = await startSessionHarness({entriesPerDataCentre: 2, serviceMs: 5});
});

afterEach(() => restoreSite(harness));

afterAll(() => harness.close());

/** Allowed numbers of remaining rows of a label. */
type RowCounts = readonly number[];
const ALL: RowCounts = [ROWS];
const NONE: RowCounts = [0];
const EITHER: RowCounts = [0, ROWS];

/** How a caller ends its transaction; `leave` closes the connection. */
type Ending = 'COMMIT' | 'ROLLBACK' | 'leave';
const ENDINGS: readonly Ending[] = ['COMMIT', 'ROLLBACK', 'COMMIT', 'leave'];

/** Runs one transaction and returns how many of its rows may remain. */
async function runTx(
  caller: Connection,
  label: string,
  ending: Ending,
): Promise<RowCounts> {
  const insert = `INSERT INTO t (s) VALUES ('${label}')`;
  for (const sql of ['BEGIN', ...new Array<string>(ROWS).fill(insert)]) {
    if ((await resultCode(caller.query(sql))) !== 0) {
      await resultCode(caller.query('ROLLBACK'));
      return NONE;
    }
  }
  if (ending === 'leave') {
    caller.destroy();
    return NONE;
  }
  const errno = await resultCode(caller.query(ending));
  if (ending === 'ROLLBACK') {
    return NONE;
  }
  return errno === 0 ? ALL : EITHER;
}

/** Runs transactions at a host until `isOver` returns true. */
async function runContinuously(
  host: string,
  name: string,
  isOver: () => boolean,
  allowedCounts: Map<string, RowCounts>,
): Promise<void> {
  while (!isOver()) {
    const caller = await harness.connect(host).catch(() => null);
    for (const ending of caller === null ? [] : ENDINGS) {
      const label = `${name}-${allowedCounts.size}`;
      allowedCounts.set(label, NONE);
      allowedCounts.set(label, await runTx(caller!, label, ending));
    }
    caller?.destroy();
    await waitMs(20);
  }
}

/** Counts the rows of each label at the primary. */
async function countByLabel(): Promise<ReadonlyMap<string, number>> {
  const reader = await harness.connect('b-1');
  await reader.query("SET lacewingroad_kind = 'synced'");
  const counts = new Map<string, number>();
  for (const {s} of await queryRows(reader, 'SELECT s FROM t')) {
    counts.set(String(s), (counts.get(String(s)) ?? 0) + 1);
  }
  return counts;
}

interface Fault {
  readonly name: string;
  /** Whether only `npm run test:long` runs it. */
  readonly isLong?: boolean;
  readonly inject: (owner: string, neighbour: string) => Promise<unknown>;
}

const FAULTS: readonly Fault[] = [
  {
    name: 'a cut between two data centres',
    inject: async () => {
      await harness.setFaultRules(...partition(harness.site, 'a', ['b']));
      await waitMs(3_000);
      await harness.setFaultRules();
    },
  },
  {
    name: 'a flood of the lowest and of the most urgent rank',
    isLong: true,
    inject: async () => {
      const hosts = CALLERS.flatMap(host => new Array<string>(10).fill(host));
      const flood: StatementLoad = startStatementLoad(
        harness,
        hosts,
        count =>
          `/*kind='${count % 2 ? 'bulk' : 'flood'}'*/ SELECT id FROM t WHERE id = 1 FOR UPDATE`,
      );
      await waitMs(3_000);
      await flood.stop();
    },
  },
  {
    name: 'an owner that is paused and resumed',
    inject: async owner => {
      harness.site.processes.signal(owner, 'SIGSTOP');
      await waitMs(4_000);
      harness.site.processes.signal(owner, 'SIGCONT');
    },
  },
  {
    name: 'connections that go silent',
    inject: async owner => {
      await harness.setFaultRules(
        linkFault(LINKS.endpoint('g1-a'), 'forget'),
        linkFault(LINKS.peer(owner), 'forget'),
      );
      await harness.setFaultRules();
    },
  },
  {
    name: 'a cut, and the owner killed during it',
    isLong: true,
    inject: async owner => {
      await harness.setFaultRules(...partition(harness.site, 'a', ['b']));
      harness.site.processes.signal(owner, 'SIGKILL');
      await waitMs(2_000);
      await harness.setFaultRules();
    },
  },
  {
    name: 'silent connections, twice',
    isLong: true,
    inject: async () => {
      for (const _round of [1, 2]) {
        await harness.setFaultRules(
          linkFault(LINKS.endpoint('g1-a'), 'forget'),
        );
        await harness.setFaultRules();
        await waitMs(PHASE_MS);
      }
    },
  },
];

async function testUnder(fault: Fault): Promise<void> {
  const {name, inject} = fault;
  const owner = await harness.ownerOf('g1-a', 'b-1');
  const neighbour = owner === 'a-1' ? 'a-2' : 'a-1';
  const allowedCounts = new Map<string, RowCounts>();
  let isOver = false;
  const running = CALLERS.map(host =>
    runContinuously(host, name, () => isOver, allowedCounts),
  );
  await waitMs(PHASE_MS);
  await inject(owner, neighbour);
  await waitMs(PHASE_MS);
  isOver = true;
  await Promise.all(running);
  const {groups} = await fetchGroups(harness.site, 'b-1');
  const counts = await countByLabel();
  const mixed = [...allowedCounts].filter(([label, allowed]) => {
    // A new primary may lack writes that the previous one acknowledged.
    const isLossy = groups[0]!.term > 1 && allowed === ALL;
    return !(isLossy ? EITHER : allowed).includes(counts.get(label) ?? 0);
  });
  expect(mixed).toEqual([]);
  const whole = [...allowedCounts.keys()].filter(
    label => counts.get(label) === ROWS,
  );
  expect(whole.length).toBeGreaterThan(CALLERS.length);
}

FAULTS.forEach(fault =>
  it(
    `no transaction holds rows of another: ${fault.name}`,
    testOptions(fault.isLong),
    () => testUnder(fault),
  ),
);
