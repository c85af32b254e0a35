/** Transactions of different callers stay apart, under faults. */

import {afterAll, afterEach, beforeAll, expect, it} from 'vitest';
import type {Connection} from 'mysql2/promise';
import {LINKS} from '@lacewingroad/standins';
import {
  fetchGroups,
  heal,
  keepSending,
  on,
  outcome,
  rows,
  startSessionSite,
  waitMs,
} from './session_site.js';
import type {Sending, SessionSite} from './session_site.js';
import {partition} from './site_story.js';
import {storyOptions} from './long.js';

/** Rows that each transaction writes under its own mark. */
const ROWS = 3;
/** Transactions that run together. */
const CALLERS = ['a-1', 'a-2', 'b-1', 'b-1', 'b-2', 'b-2', 'c-1', 'c-2'];
/** Time for transactions before, during and after a fault. */
const PHASE_MS = 1_000;

let story: SessionSite;

beforeAll(async () => {
  story = await startSessionSite({entriesPerDataCentre: 2, serviceMs: 5});
});

afterEach(() => heal(story));

afterAll(() => story.close());

/** How many rows of a mark may be left. */
type Left = readonly number[];
const ALL: Left = [ROWS];
const NONE: Left = [0];
const EITHER: Left = [0, ROWS];

/** What a caller does after its last row. */
type Ending = 'COMMIT' | 'ROLLBACK' | 'leave';
const ENDINGS: readonly Ending[] = ['COMMIT', 'ROLLBACK', 'COMMIT', 'leave'];

/** Runs one transaction and returns what it may leave. */
async function runTx(
  caller: Connection,
  mark: string,
  ending: Ending,
): Promise<Left> {
  const insert = `INSERT INTO t (s) VALUES ('${mark}')`;
  for (const sql of ['BEGIN', ...new Array<string>(ROWS).fill(insert)]) {
    if ((await outcome(caller.query(sql))) !== 0) {
      await outcome(caller.query('ROLLBACK'));
      return NONE;
    }
  }
  if (ending === 'leave') {
    caller.destroy();
    return NONE;
  }
  const errno = await outcome(caller.query(ending));
  if (ending === 'ROLLBACK') {
    return NONE;
  }
  return errno === 0 ? ALL : EITHER;
}

/** Runs transactions at a host until told to stop. */
async function runMany(
  host: string,
  name: string,
  isOver: () => boolean,
  left: Map<string, Left>,
): Promise<void> {
  while (!isOver()) {
    const caller = await story.connect(host).catch(() => null);
    for (const ending of caller === null ? [] : ENDINGS) {
      const mark = `${name}-${left.size}`;
      left.set(mark, NONE);
      left.set(mark, await runTx(caller!, mark, ending));
    }
    caller?.destroy();
    await waitMs(20);
  }
}

/** Counts the rows of each mark at the primary. */
async function countMarks(): Promise<ReadonlyMap<string, number>> {
  const looker = await story.connect('b-1');
  await looker.query("SET lacewingroad_kind = 'synced'");
  const counts = new Map<string, number>();
  for (const {s} of await rows(looker, 'SELECT s FROM t')) {
    counts.set(String(s), (counts.get(String(s)) ?? 0) + 1);
  }
  return counts;
}

interface Fault {
  readonly name: string;
  /** Left to `npm run test:long`. */
  readonly isLong?: boolean;
  readonly strike: (owner: string, neighbour: string) => Promise<unknown>;
}

const FAULTS: readonly Fault[] = [
  {
    name: 'a cut between two data centres',
    strike: async () => {
      await story.rule(...partition(story.site, 'a', ['b']));
      await waitMs(3_000);
      await story.rule();
    },
  },
  {
    name: 'a flood of the lowest and of the most urgent rank',
    isLong: true,
    strike: async () => {
      const hosts = CALLERS.flatMap(host => new Array<string>(10).fill(host));
      const flood: Sending = keepSending(
        story,
        hosts,
        at =>
          `/*kind='${at % 2 ? 'bulk' : 'flood'}'*/ SELECT id FROM t WHERE id = 1 FOR UPDATE`,
      );
      await waitMs(3_000);
      await flood.stop();
    },
  },
  {
    name: 'an owner that sleeps and wakes',
    strike: async owner => {
      story.site.processes.signal(owner, 'SIGSTOP');
      await waitMs(4_000);
      story.site.processes.signal(owner, 'SIGCONT');
    },
  },
  {
    name: 'connections that go silent',
    strike: async owner => {
      await story.rule(
        on(LINKS.endpoint('g1-a'), 'forget'),
        on(LINKS.peer(owner), 'forget'),
      );
      await story.rule();
    },
  },
  {
    name: 'a cut, and the owner killed in it',
    isLong: true,
    strike: async owner => {
      await story.rule(...partition(story.site, 'a', ['b']));
      story.site.processes.signal(owner, 'SIGKILL');
      await waitMs(2_000);
      await story.rule();
    },
  },
  {
    name: 'silent connections, twice',
    isLong: true,
    strike: async () => {
      for (const _round of [1, 2]) {
        await story.rule(on(LINKS.endpoint('g1-a'), 'forget'));
        await story.rule();
        await waitMs(PHASE_MS);
      }
    },
  },
];

async function runUnder(fault: Fault): Promise<void> {
  const {name, strike} = fault;
  const owner = await story.ownerOf('g1-a', 'b-1');
  const neighbour = owner === 'a-1' ? 'a-2' : 'a-1';
  const left = new Map<string, Left>();
  let isOver = false;
  const running = CALLERS.map(host => runMany(host, name, () => isOver, left));
  await waitMs(PHASE_MS);
  await strike(owner, neighbour);
  await waitMs(PHASE_MS);
  isOver = true;
  await Promise.all(running);
  const {groups} = await fetchGroups(story.site, 'b-1');
  const counts = await countMarks();
  const mixed = [...left].filter(([mark, allowed]) => {
    // A new primary may lack what the one before it had acknowledged.
    const isLossy = groups[0]!.term > 1 && allowed === ALL;
    return !(isLossy ? EITHER : allowed).includes(counts.get(mark) ?? 0);
  });
  expect(mixed).toEqual([]);
  const whole = [...left.keys()].filter(mark => counts.get(mark) === ROWS);
  expect(whole.length).toBeGreaterThan(CALLERS.length);
}

FAULTS.forEach(fault =>
  it(
    `no transaction holds rows of another: ${fault.name}`,
    storyOptions(fault.isLong),
    () => runUnder(fault),
  ),
);
