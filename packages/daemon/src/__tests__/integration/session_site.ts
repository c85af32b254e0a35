/** A site of processes and callers with mysql2, for tests of the data path. */

import {expect, vi} from 'vitest';
import type {Connection, RowDataPacket} from 'mysql2/promise';
import type {GroupObject} from '@lacewingroad/core';
import {
  CALLER_ACCOUNT,
  LINKS,
  launchSite,
  openMysql,
} from '@lacewingroad/standins';
import type {
  EndpointState,
  FaultRule,
  Site,
  SiteOptions,
} from '@lacewingroad/standins';

/** Generous for a busy machine; checks end as soon as they hold. */
export const WAIT = {timeout: 40_000, interval: 50};

/** Reads that any replica may serve, whatever its age. */
const ROWS = [
  {kind: '*', rank: 'standard', maxStalenessMs: null, connectionLimit: 18},
  {kind: 'payment', rank: 'urgent', worth: 100, maxStalenessMs: null},
  {kind: 'synced', rank: 'urgent', ack: 'replica', maxStalenessMs: 0},
  {kind: 'bulk', rank: 'background', maxStalenessMs: null, timeoutMs: 2_000},
  {kind: 'flood', rank: 'urgent', connectionLimit: 18, timeoutMs: 2_000},
] as const;

/** A caller and what it was told. */
export interface CallerOptions {
  /** Source data centre. */
  readonly from?: string;
  readonly session?: string;
  readonly database?: string;
}

/** A running site with its callers. */
export interface SessionSite {
  readonly site: Site;
  /** Connects to an entry host; closed at the end of the test. */
  readonly connect: (
    entry: string,
    options?: CallerOptions,
  ) => Promise<Connection>;
  readonly rule: (...rules: readonly FaultRule[]) => Promise<void>;
  readonly state: (endpoint: string) => Promise<EndpointState>;
  /** Waits until an endpoint has applied an index. */
  readonly waitForIndex: (endpoint: string, index: number) => Promise<void>;
  /** Waits until every host knows the owners of all endpoints. */
  readonly waitForOwners: () => Promise<void>;
  /** Returns the owner of an endpoint's pool as an entry host sees it. */
  readonly ownerOf: (endpoint: string, host?: string) => Promise<string>;
  readonly close: () => Promise<void>;
}

interface GroupsPage {
  readonly groups: readonly {
    readonly id: string;
    readonly term: number;
    readonly primary: string;
    readonly owners: Readonly<Record<string, string>>;
  }[];
}

/** Fetches the groups page of an entry host. */
export async function fetchGroups(
  site: Site,
  host: string,
): Promise<GroupsPage> {
  const entry = site.plan.entries.find(({id}) => id === host)!;
  const {host: ip, port} = entry.operator;
  const res = await fetch(`http://${ip}:${port}/groups`, {
    headers: {connection: 'close'},
  });
  return (await res.json()) as GroupsPage;
}

/** Counts the statements that endpoints of a role served for a host. */
export async function countServed(
  site: Site,
  host: string,
  role: 'primary' | 'replica',
): Promise<number> {
  const {operator} = site.plan.entries.find(({id}) => id === host)!;
  const res = await fetch(`http://${operator.host}:${operator.port}/metrics`, {
    headers: {connection: 'close'},
  });
  return (await res.text())
    .split('\n')
    .filter(line => line.startsWith('lacewingroad_requests_by_role_total{'))
    .filter(line => line.includes(`endpoint_role="${role}"`))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}

/** Starts a site and creates the table `t` (id, s, note). */
export async function startSessionSite(
  options: Partial<SiteOptions> = {},
): Promise<SessionSite> {
  const site = await launchSite({
    dataCentres: ['a', 'b', 'c'],
    entriesPerDataCentre: 1,
    connectMs: 5,
    services: [{service: 'shop', group: 'g1', rows: ROWS}],
    ...options,
  });
  const open: Connection[] = [];
  const first = site.plan.entries[0]!.id;

  const connect: SessionSite['connect'] = async (entry, given = {}) => {
    const {from = entry[0]!, session, database = 'shop'} = given;
    const connection = await openMysql({
      to: site.proxyAddress(LINKS.caller(entry)),
      from: `${site.prefix(from)}200`,
      ...CALLER_ACCOUNT,
      database,
      ...(session === undefined
        ? {}
        : {connectAttributes: {lacewingroad_session: session}}),
    });
    open.push(connection);
    return connection;
  };

  const state = (id: string): Promise<EndpointState> =>
    site.endpoint(id).state();

  const readOwners = async (
    host: string,
  ): Promise<Readonly<Record<string, string>>> =>
    (await fetchGroups(site, host)).groups[0]?.owners ?? {};

  const started: SessionSite = {
    site,
    connect,
    rule: (...rules) => site.fault.setRules(rules),
    state,
    waitForIndex: (id, index) =>
      vi.waitFor(
        async () =>
          expect((await state(id)).index).toBeGreaterThanOrEqual(index),
        WAIT,
      ),
    waitForOwners: () =>
      vi.waitFor(async () => {
        for (const {id} of site.plan.entries) {
          const owners = await readOwners(id);
          expect(Object.keys(owners)).toHaveLength(site.plan.endpoints.length);
        }
      }, WAIT),
    ownerOf: async (endpoint, host = first) =>
      (await readOwners(host))[endpoint]!,
    close: async () => {
      open.forEach(connection => connection.destroy());
      await site.close();
    },
  };
  try {
    await started.waitForOwners();
    const setup = await connect(first);
    await setup.query(
      'CREATE TABLE t (id BIGINT PRIMARY KEY AUTO_INCREMENT, s TEXT, note TEXT)',
    );
    for (const {id} of site.plan.endpoints) {
      await started.waitForIndex(id, 1);
    }
  } catch (err) {
    await started.close();
    throw err;
  }
  return started;
}

/** Reads rows by a text query. */
export async function rows(
  connection: Connection,
  sql: string,
): Promise<RowDataPacket[]> {
  const [result] = await connection.query<RowDataPacket[]>(sql);
  return result;
}

/** The ids of the rows of table t, in order. */
export async function readIds(
  connection: Connection,
): Promise<readonly number[]> {
  const found = await rows(connection, 'SELECT id FROM t ORDER BY id');
  return found.map(({id}) => Number(id));
}

/** What became of a statement: 0, the error's number, or -1 when cut off. */
export async function outcome(asked: Promise<unknown>): Promise<number> {
  try {
    await asked;
    return 0;
  } catch (err) {
    const {errno} = err as {readonly errno?: number};
    return errno !== undefined && errno > 0 ? errno : -1;
  }
}

/** Reads the session token of a connection. */
export async function readToken(connection: Connection): Promise<string> {
  const [row] = await rows(connection, 'SELECT @@lacewingroad_session AS s');
  return String(row!['s']);
}

/** Waits for a time in milliseconds. */
export function waitMs(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Outcome of a statement whose connection was closed. */
export const CUT_OFF = -1;

/** Changes the group's object in the platform. */
export async function changeGroup(
  {site}: SessionSite,
  change: (group: GroupObject) => GroupObject,
): Promise<void> {
  const {host, port} = site.plan.platform;
  const url = `http://${host}:${port}/v1/objects/groups/g1`;
  await vi.waitFor(async () => {
    const {version, value} = (await (await fetch(url)).json()) as {
      version: number;
      value: GroupObject;
    };
    const res = await fetch(url, {
      method: 'PUT',
      headers: {'if-match': String(version)},
      body: JSON.stringify(change(value)),
    });
    expect(res.status).toBe(200);
  }, WAIT);
}

/** Callers that send statements one after the other until told to stop. */
export interface Sending {
  /** Ends the callers and returns what each statement was told. */
  readonly stop: () => Promise<ReadonlySet<number>>;
}

/** Has a caller at each named host send statements, also after a cut. */
export function keepSending(
  story: SessionSite,
  hosts: readonly string[],
  sql: (count: number) => string,
): Sending {
  let isOver = false;
  let count = 0;
  const told = new Set<number>();
  const sendUntilCut = async (caller: Connection): Promise<void> => {
    while (!isOver) {
      count += 1;
      const errno = await outcome(caller.query(sql(count)));
      told.add(errno);
      if (errno === CUT_OFF) {
        return;
      }
      await waitMs(5);
    }
  };
  const send = async (host: string): Promise<void> => {
    while (!isOver) {
      const caller = await story.connect(host).catch(() => null);
      if (caller === null) {
        told.add(CUT_OFF);
        await waitMs(50);
        continue;
      }
      await sendUntilCut(caller);
      caller.destroy();
    }
  };
  const sending = Promise.all(hosts.map(send));
  return {
    stop: async () => {
      isOver = true;
      await sending;
      return told;
    },
  };
}

/** A rule for whatever connects over a link. */
export function on(
  link: string,
  type: Exclude<FaultRule['effect']['type'], 'delay'>,
): FaultRule {
  return {from: '*', link, effect: {type}};
}

/** Puts right whatever a fault has left, so that a site can go on. */
export async function heal(story: SessionSite): Promise<void> {
  const {site, rule} = story;
  const {plan, platform, processes} = site;
  await rule();
  await platform.set({mode: 'up', delayMs: 0, loseAnswers: 0});
  for (const {id} of plan.endpoints) {
    await site.endpoint(id).set({lagMs: 0, serviceMs: 0});
  }
  for (const {id} of plan.entries) {
    processes.signal(id, 'SIGCONT');
    if (!processes.isRunning(id)) {
      site.startEntry(id);
      await site.waitUntilReady(id);
    }
  }
  await changeGroup(story, group => ({
    ...group,
    endpoints: group.endpoints.map(each => ({...each, leaving: false})),
  }));
  await story.waitForOwners();
  const writer = await story.connect(plan.entries.at(-1)!.id);
  await vi.waitFor(
    async () => expect(await outcome(writer.query('DELETE FROM t'))).toBe(0),
    WAIT,
  );
  writer.destroy();
}
