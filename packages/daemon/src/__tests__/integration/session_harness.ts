/** A site of processes with mysql2 callers, for tests of the data path. */

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

/** Long enough for a busy machine; a wait ends once its check passes. */
export const WAIT = {timeout: 40_000, interval: 50};

/** Table rows; with `maxStalenessMs: null`, replicas of any age serve reads. */
const SHOP_ROWS = [
  {kind: '*', rank: 'standard', maxStalenessMs: null, connectionLimit: 18},
  {kind: 'payment', rank: 'urgent', worth: 100, maxStalenessMs: null},
  {kind: 'synced', rank: 'urgent', ack: 'replica', maxStalenessMs: 0},
  {kind: 'bulk', rank: 'background', maxStalenessMs: null, timeoutMs: 2_000},
  {kind: 'flood', rank: 'urgent', connectionLimit: 18, timeoutMs: 2_000},
] as const;

/** Options of a caller's connection. */
export interface CallerOptions {
  /** Data centre that the caller connects from. */
  readonly from?: string;
  readonly session?: string;
  readonly database?: string;
}

/** A running site and helpers for its callers. */
export interface SessionHarness {
  readonly site: Site;
  /** Connects to an entry host; `close` closes the connection. */
  readonly connect: (
    entry: string,
    options?: CallerOptions,
  ) => Promise<Connection>;
  readonly setFaultRules: (...rules: readonly FaultRule[]) => Promise<void>;
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

/** Starts a site and creates the table `t` (id, s, note) in it. */
export async function startSessionHarness(
  options: Partial<SiteOptions> = {},
): Promise<SessionHarness> {
  const site = await launchSite({
    dataCentres: ['a', 'b', 'c'],
    entriesPerDataCentre: 1,
    connectMs: 5,
    services: [{service: 'shop', group: 'g1', rows: SHOP_ROWS}],
    ...options,
  });
  const open: Connection[] = [];
  const first = site.plan.entries[0]!.id;

  const connect: SessionHarness['connect'] = async (
    entry,
    callerOptions = {},
  ) => {
    const {from = entry[0]!, session, database = 'shop'} = callerOptions;
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

  const harness: SessionHarness = {
    site,
    connect,
    setFaultRules: (...rules) => site.fault.setRules(rules),
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
    await harness.waitForOwners();
    const setup = await connect(first);
    await setup.query(
      'CREATE TABLE t (id BIGINT PRIMARY KEY AUTO_INCREMENT, s TEXT, note TEXT)',
    );
    for (const {id} of site.plan.endpoints) {
      await harness.waitForIndex(id, 1);
    }
  } catch (err) {
    await harness.close();
    throw err;
  }
  return harness;
}

/** Runs a text query and returns its rows. */
export async function queryRows(
  connection: Connection,
  sql: string,
): Promise<RowDataPacket[]> {
  const [result] = await connection.query<RowDataPacket[]>(sql);
  return result;
}

/** Returns the ids of the rows of table t, in order. */
export async function readIds(
  connection: Connection,
): Promise<readonly number[]> {
  const found = await queryRows(connection, 'SELECT id FROM t ORDER BY id');
  return found.map(({id}) => Number(id));
}

/** Returns 0 on success, the error number, or CONNECTION_LOST. */
export async function resultCode(statement: Promise<unknown>): Promise<number> {
  try {
    await statement;
    return 0;
  } catch (err) {
    const {errno} = err as {readonly errno?: number};
    return errno !== undefined && errno > 0 ? errno : -1;
  }
}

/** Reads the session token of a connection. */
export async function readToken(connection: Connection): Promise<string> {
  const [row] = await queryRows(
    connection,
    'SELECT @@lacewingroad_session AS s',
  );
  return String(row!['s']);
}

/** Waits for a time in milliseconds. */
export function waitMs(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Result code of a statement whose connection was closed. */
export const CONNECTION_LOST = -1;

/** Updates the group object in the platform; retries on a version conflict. */
export async function updateGroup(
  {site}: SessionHarness,
  update: (group: GroupObject) => GroupObject,
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
      body: JSON.stringify(update(value)),
    });
    expect(res.status).toBe(200);
  }, WAIT);
}

/** Callers that each send one statement after the other until stopped. */
export interface StatementLoad {
  /** Stops the callers and returns the distinct result codes. */
  readonly stop: () => Promise<ReadonlySet<number>>;
}

/** Starts a caller at each host; callers reconnect after a lost connection. */
export function startStatementLoad(
  harness: SessionHarness,
  hosts: readonly string[],
  sql: (count: number) => string,
): StatementLoad {
  let isOver = false;
  let count = 0;
  const codes = new Set<number>();
  const sendUntilLost = async (caller: Connection): Promise<void> => {
    while (!isOver) {
      count += 1;
      const errno = await resultCode(caller.query(sql(count)));
      codes.add(errno);
      if (errno === CONNECTION_LOST) {
        return;
      }
      await waitMs(5);
    }
  };
  const send = async (host: string): Promise<void> => {
    while (!isOver) {
      const caller = await harness.connect(host).catch(() => null);
      if (caller === null) {
        codes.add(CONNECTION_LOST);
        await waitMs(50);
        continue;
      }
      await sendUntilLost(caller);
      caller.destroy();
    }
  };
  const sending = Promise.all(hosts.map(send));
  return {
    stop: async () => {
      isOver = true;
      await sending;
      return codes;
    },
  };
}

/** Returns a rule with an effect on all connections over a link. */
export function linkFault(
  link: string,
  type: Exclude<FaultRule['effect']['type'], 'delay'>,
): FaultRule {
  return {from: '*', link, effect: {type}};
}

/** Ends all faults, restarts hosts and empties table t, for the next test. */
export async function restoreSite(harness: SessionHarness): Promise<void> {
  const {site, setFaultRules} = harness;
  const {plan, platform, processes} = site;
  await setFaultRules();
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
  await updateGroup(harness, group => ({
    ...group,
    endpoints: group.endpoints.map(endpoint => ({...endpoint, leaving: false})),
  }));
  await harness.waitForOwners();
  const writer = await harness.connect(plan.entries.at(-1)!.id);
  await vi.waitFor(
    async () => expect(await resultCode(writer.query('DELETE FROM t'))).toBe(0),
    WAIT,
  );
  writer.destroy();
}
