/** Under faults, a leaving endpoint receives no new work after 5 s. */

import {afterAll, afterEach, beforeAll, expect, it, vi} from 'vitest';
import {LINKS} from '@lacewingroad/standins';
import {
  CONNECTION_LOST,
  WAIT,
  updateGroup,
  restoreSite,
  startStatementLoad,
  linkFault,
  startSessionHarness,
  waitMs,
} from './session_harness.js';
import type {StatementLoad, SessionHarness} from './session_harness.js';
import {cutPlatform, partition} from './failure_site.js';
import {testOptions} from './long.js';

/** Documented bound after which a leaving endpoint gets no new work. */
const BOUND_MS = 5_000;
/** Time for which new work is counted after the bound. */
const WATCH_MS = 1_000;
/** Time within which hosts have read a change from the platform. */
const VIEW_UPDATE_MS = 1_500;
const MINUTES_MS = 5 * 60_000;
const NOT_RUN = 9101;
const UNKNOWN = 9102;
const LEAVING = 'g1-b';
const HOSTS = ['a-1', 'a-2', 'b-1', 'b-2', 'c-1', 'c-2'];

let harness: SessionHarness;
let load: StatementLoad | null = null;

beforeAll(async () => {
  harness = await startSessionHarness({
    entriesPerDataCentre: 2,
    slots: 3,
    logLevel: 'debug',
  });
});

afterEach(async () => {
  await load?.stop();
  await restoreSite(harness);
});

afterAll(() => harness.close());

function markLeaving(): Promise<void> {
  return updateGroup(harness, group => ({
    ...group,
    endpoints: group.endpoints.map(endpoint => ({
      ...endpoint,
      leaving: endpoint.id === LEAVING,
    })),
  }));
}

/** Counts the requests that owners queued for an endpoint after an instant. */
function countQueued(endpoint: string, sinceMs: number): number {
  return HOSTS.flatMap(id => harness.site.processes.output(id).split('\n'))
    .filter(line => line.includes(' event=job_queued '))
    .filter(line => line.includes(` endpoint=${endpoint} `))
    .filter(line => Number(STAMP.exec(line)?.[1]) > sinceMs).length;
}

/** Counts the statements on data that an endpoint received. */
async function countReceived(endpoint: string): Promise<number> {
  return (await harness.state(endpoint)).dataStatementsTotal;
}

function signalOwner(owner: string, signal: 'SIGKILL' | 'SIGSTOP'): void {
  harness.site.processes.signal(owner, signal);
}

/** A fault while the endpoint is marked; the bound starts after `inject`. */
interface Fault {
  readonly name: string;
  /** Whether only `npm run test:long` runs it. */
  readonly isLong?: boolean;
  readonly inject: (owner: string) => Promise<void>;
  /** Runs once the bound has passed. */
  readonly afterBound?: (owner: string) => Promise<void>;
  /** Result codes that callers may get besides 0. */
  readonly allowedCodes?: readonly number[];
  /** Returns a statement of the load. */
  readonly sql?: (count: number) => string;
  readonly callersPerHost?: number;
  /**
   * Statements of the event loop iteration that a pause interrupted: they were
   * decided before the endpoint was marked, and are sent and logged when the
   * process resumes.
   */
  readonly interruptedStatements?: number;
}

/** Wall clock time of an event, in milliseconds. */
const STAMP = /stamp=(\d+)\./;
const READ = 'SELECT * FROM t';

const FAULTS: readonly Fault[] = [
  {name: 'no fault', inject: markLeaving},
  {
    name: 'two data centres cut from each other',
    inject: async () => {
      await harness.setFaultRules(...partition(harness.site, 'a', ['c']));
      await markLeaving();
    },
  },
  {
    name: 'its data centre cut off from all until after it is marked',
    isLong: true,
    inject: async () => {
      await harness.setFaultRules(
        ...partition(harness.site, 'b', ['a', 'c']),
        ...cutPlatform(harness.site, 'b'),
      );
      await markLeaving();
      await waitMs(VIEW_UPDATE_MS);
      await harness.setFaultRules();
    },
  },
  {
    name: 'replicas minutes behind',
    isLong: true,
    inject: async () => {
      for (const id of ['g1-b', 'g1-c']) {
        await harness.site.endpoint(id).set({lagMs: MINUTES_MS});
      }
      await markLeaving();
    },
  },
  {
    name: 'the owner of its pool killed',
    inject: async owner => {
      await markLeaving();
      signalOwner(owner, 'SIGKILL');
    },
    allowedCodes: [CONNECTION_LOST],
  },
  {
    name: 'a flood of the lowest and of the most urgent rank',
    isLong: true,
    inject: async () => {
      await harness.site.endpoint(LEAVING).set({serviceMs: 100});
      await waitMs(500);
      await markLeaving();
    },
    sql: count => `/*kind='${count % 2 ? 'bulk' : 'flood'}'*/ ${READ}`,
    callersPerHost: 20,
    allowedCodes: [NOT_RUN, UNKNOWN],
  },
  {
    name: 'the platform down once hosts know that it is leaving',
    isLong: true,
    inject: async () => {
      await markLeaving();
      await waitMs(VIEW_UPDATE_MS);
      await harness.site.platform.set({mode: 'down'});
    },
  },
  {
    name: 'the platform slow',
    inject: async () => {
      await harness.site.platform.set({delayMs: 1_000});
      await markLeaving();
    },
  },
  {
    name: 'answers of the endpoint and of its owner lost for a while',
    isLong: true,
    inject: async owner => {
      await harness.setFaultRules(
        linkFault(LINKS.endpoint(LEAVING), 'drop_down'),
        linkFault(LINKS.peer(owner), 'drop_down'),
      );
      await markLeaving();
      await waitMs(2 * VIEW_UPDATE_MS);
      await harness.setFaultRules();
    },
    allowedCodes: [NOT_RUN, UNKNOWN],
  },
  {
    name: 'an owner that is paused before the change and resumes after the bound',
    inject: async owner => {
      signalOwner(owner, 'SIGSTOP');
      await markLeaving();
    },
    afterBound: async owner => {
      harness.site.processes.signal(owner, 'SIGCONT');
    },
    callersPerHost: 3,
    interruptedStatements: 1,
  },
  {
    name: 'connections that go silent',
    isLong: true,
    inject: async () => {
      await harness.setFaultRules(
        linkFault(LINKS.platform, 'forget'),
        linkFault(LINKS.endpoint(LEAVING), 'forget'),
        ...HOSTS.map(id => linkFault(LINKS.peer(id), 'forget')),
      );
      await harness.setFaultRules();
      await markLeaving();
    },
  },
  {
    name: 'the owner killed and the platform down, both after the change',
    isLong: true,
    inject: async owner => {
      await markLeaving();
      await waitMs(VIEW_UPDATE_MS);
      await harness.site.platform.set({mode: 'down'});
      signalOwner(owner, 'SIGKILL');
    },
    allowedCodes: [CONNECTION_LOST],
  },
];

async function testUnder(fault: Fault): Promise<void> {
  const {sql = () => READ, callersPerHost = 1, allowedCodes = []} = fault;
  const {interruptedStatements = 0} = fault;
  const hosts = HOSTS.flatMap(id => new Array<string>(callersPerHost).fill(id));
  load = startStatementLoad(harness, hosts, sql);
  const startedAt = Date.now();
  const first = await countReceived(LEAVING);
  await vi.waitFor(async () => {
    expect(countQueued(LEAVING, startedAt)).toBeGreaterThan(0);
    expect(await countReceived(LEAVING)).toBeGreaterThan(first);
  }, WAIT);
  const owner = await harness.ownerOf(LEAVING, 'c-1');
  await fault.inject(owner);
  await waitMs(BOUND_MS);
  const boundPassedAt = Date.now();
  const before = await countReceived(LEAVING);
  const elsewhere = await countReceived('g1-c');
  await fault.afterBound?.(owner);
  await waitMs(WATCH_MS);
  expect(countQueued(LEAVING, boundPassedAt)).toBeLessThanOrEqual(
    interruptedStatements,
  );
  const received = (await countReceived(LEAVING)) - before;
  expect(received).toBeLessThanOrEqual(interruptedStatements);
  expect(await countReceived('g1-c')).toBeGreaterThan(elsewhere);
  const codes = await load.stop();
  expect([0, ...allowedCodes]).toEqual(expect.arrayContaining([...codes]));
}

FAULTS.forEach(fault =>
  it(`no new work after 5 s: ${fault.name}`, testOptions(fault.isLong), () =>
    testUnder(fault),
  ),
);
