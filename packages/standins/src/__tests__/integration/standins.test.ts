/**
 * Tests the platform, endpoints and fault proxy as processes, with a mysql2
 * client.
 */

import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {Connection, RowDataPacket} from 'mysql2/promise';
import {LINKS, launchSite, openMysql} from '../../index.js';
import type {Site} from '../../index.js';

const WAIT_OPTIONS = {timeout: 20_000, interval: 20};
const CALLER_ADDRESS = '127.0.1.200';
const STATUS_QUERY =
  'SELECT @@ledger_role AS role, @@ledger_term AS term, @@ledger_index AS position, @@ledger_follows AS follows';

let site: Site;
const openConnections: Connection[] = [];

async function connectTo(
  id: string,
  from = CALLER_ADDRESS,
): Promise<Connection> {
  const connection = await openMysql({
    to: site.proxyAddress(LINKS.endpoint(id)),
    from,
    user: 'app',
    password: '',
  });
  openConnections.push(connection);
  return connection;
}

async function rows(
  connection: Connection,
  sql: string,
  params: readonly unknown[] = [],
): Promise<RowDataPacket[]> {
  const [result] = await connection.execute<RowDataPacket[]>(sql, [
    ...params,
  ] as string[]);
  return result;
}

function follow(
  connection: Connection,
  id: string,
  term: number,
  start: number,
) {
  const {host, port} = site.proxyAddress(LINKS.endpoint(id));
  return connection.query('CALL ledger_follow(?, ?, ?, ?, ?)', [
    id,
    host,
    port,
    term,
    start,
  ]);
}

async function waitForIndex(id: string, index: number): Promise<void> {
  await vi.waitFor(
    async () => expect((await site.endpoint(id).state()).index).toBe(index),
    WAIT_OPTIONS,
  );
}

beforeEach(async () => {
  site = await launchSite({
    dataCentres: ['a', 'b', 'c'],
    entriesPerDataCentre: 0,
    connectMs: 1,
    maxConnections: 4,
  });
});

afterEach(async () => {
  openConnections.splice(0).forEach(connection => connection.destroy());
  await site.close();
});

describe('endpoints', () => {
  it('return the same rows for text and prepared statements', async () => {
    const connection = await connectTo('g1-a');
    await connection.query(
      'CREATE TABLE t (id BIGINT PRIMARY KEY, s TEXT, b BLOB, d DOUBLE)',
    );
    const values = [7, 'é', Buffer.from([0, 255]), 1.5];
    await connection.execute('INSERT INTO t VALUES (?, ?, ?, ?)', values);
    await connection.execute('INSERT INTO t VALUES (?, ?, ?, ?)', [
      8,
      null,
      null,
      null,
    ]);
    const [text] = await connection.query('SELECT * FROM t ORDER BY id');
    expect(await rows(connection, 'SELECT * FROM t ORDER BY id')).toEqual(text);
    expect(text).toEqual([
      {id: 7, s: 'é', b: Buffer.from([0, 255]), d: 1.5},
      {id: 8, s: null, b: null, d: null},
    ]);
    expect(await rows(connection, 'SELECT * FROM seq_10000')).toHaveLength(
      10_000,
    );
    await connection.query('SET NAMES utf8mb4');
    await connection.ping();
  });

  it('reject connections above their limit', async () => {
    const first = await connectTo('g1-a');
    await Promise.all([1, 2, 3].map(() => connectTo('g1-a')));
    await expect(connectTo('g1-a')).rejects.toMatchObject({
      errno: 1040,
      sqlState: '08004',
    });
    first.destroy();
    await vi.waitFor(() => connectTo('g1-a'), WAIT_OPTIONS);
    await waitForIndex('g1-b', 0);
  });

  it('name the connections with an attribute, and close one by its id', async () => {
    const victim = await connectTo('g1-a');
    const other = await connectTo('g1-a');
    const query =
      'SELECT PROCESSLIST_ID AS id ' +
      'FROM performance_schema.session_account_connect_attrs ' +
      "WHERE ATTR_NAME = '_client_name' AND ATTR_VALUE IN (?, ?)";
    const listIds = async (): Promise<readonly number[]> =>
      (await rows(other, query, ['x', 'Node-MySQL-2'])).map(({id}) =>
        Number(id),
      );
    expect(await listIds()).toContain(victim.threadId);
    const [none] = await other.query(query, ['x', 'y']);
    expect(none).toEqual([]);
    await other.query(`KILL CONNECTION ${victim.threadId}`);
    await expect(victim.query('SELECT 1')).rejects.toThrow();
    await vi.waitFor(
      async () => expect(await listIds()).toEqual([other.threadId]),
      WAIT_OPTIONS,
    );
    await expect(other.query(`KILL ${victim.threadId}`)).rejects.toMatchObject({
      errno: 1094,
    });
  });

  it('replicate, and drop entries that are missing in the new term after a promotion', async () => {
    const [a, b, c] = await Promise.all(
      ['g1-a', 'g1-b', 'g1-c'].map(id => connectTo(id)),
    );
    await a!.query('CREATE TABLE t (id BIGINT PRIMARY KEY)');
    await a!.query('INSERT INTO t VALUES (1)');
    await waitForIndex('g1-b', 2);
    await waitForIndex('g1-c', 2);

    // Data centre a is cut off, but its primary still accepts writes.
    await site.fault.setRules([
      {
        from: site.prefix('b'),
        link: LINKS.endpoint('g1-a'),
        effect: {type: 'cut'},
      },
      {
        from: site.prefix('c'),
        link: LINKS.endpoint('g1-a'),
        effect: {type: 'cut'},
      },
    ]);
    await a!.query("/*key='lost'*/ INSERT INTO t VALUES (2)");
    await b!.query('CALL ledger_promote(2, 2)');
    await follow(c!, 'g1-b', 2, 2);
    const [ok] = await b!.query("/*key='kept'*/ INSERT INTO t VALUES (3)");
    expect(ok).toMatchObject({info: 'ledger-position=2:3'});
    await waitForIndex('g1-c', 3);

    await site.fault.setRules([]);
    await follow(a!, 'g1-b', 2, 2);
    await waitForIndex('g1-a', 3);
    expect(await rows(a!, 'SELECT id FROM t ORDER BY id')).toEqual([
      {id: 1},
      {id: 3},
    ]);
    expect(await rows(a!, STATUS_QUERY)).toEqual([
      {role: 'replica', term: 2, position: 3, follows: 'g1-b'},
    ]);
    expect((await site.endpoint('g1-a').state()).requestKeys).toEqual({
      lost: {surviving: 0, total: 1},
      kept: {surviving: 1, total: 1},
    });
    await expect(a!.query('INSERT INTO t VALUES (4)')).rejects.toMatchObject({
      errno: 1290,
    });
  });

  it('drop entries that were written after the end of their term', async () => {
    const [a, b, c] = await Promise.all(
      ['g1-a', 'g1-b', 'g1-c'].map(id => connectTo(id)),
    );
    await a!.query('CREATE TABLE t (id BIGINT PRIMARY KEY)');
    await waitForIndex('g1-b', 1);
    await waitForIndex('g1-c', 1);
    await site.endpoint('g1-b').set({lagMs: 60_000});
    await site.endpoint('g1-c').set({lagMs: 60_000});
    await a!.query('INSERT INTO t VALUES (2)');
    await b!.query('CALL ledger_promote(2, 1)');
    await b!.query('INSERT INTO t VALUES (3)');
    await site.endpoint('g1-c').set({lagMs: 0});
    await follow(c!, 'g1-b', 2, 1);
    await waitForIndex('g1-c', 2);
    await c!.query('CALL ledger_promote(3, 2)');
    // Endpoint a still has an entry of term 1 at index 2.
    await follow(a!, 'g1-c', 3, 2);
    await vi.waitFor(
      async () => expect((await site.endpoint('g1-a').state()).term).toBe(3),
      WAIT_OPTIONS,
    );
    await waitForIndex('g1-a', 2);
    expect(await rows(a!, 'SELECT id FROM t')).toEqual([{id: 3}]);
  });

  it('restart empty after a crash and fetch the whole log', async () => {
    const a = await connectTo('g1-a');
    await a.query('CREATE TABLE t (id BIGINT PRIMARY KEY)');
    await waitForIndex('g1-b', 1);
    site.processes.signal('g1-b', 'SIGKILL');
    await site.processes.exited('g1-b');
    await site.restartEndpoint('g1-b');
    await follow(await connectTo('g1-b'), 'g1-a', 1, 0);
    await waitForIndex('g1-b', 1);
  });
});

describe('fault proxy', () => {
  it('freezes, resumes, resets and forgets connections', async () => {
    const connection = await connectTo('g1-a');
    const queryOutcome = async (target: Connection): Promise<string> => {
      const timeout = new Promise<string>(resolve =>
        setTimeout(resolve, 300, 'silent'),
      );
      const outcome = target.query('SELECT 1').then(
        () => 'answered',
        () => 'failed',
      );
      return Promise.race([outcome, timeout]);
    };
    const setRule = (type: 'freeze' | 'cut' | 'forget' | 'drop') =>
      site.fault.setRules([
        {from: '127.0.1.', link: LINKS.endpoint('g1-a'), effect: {type}},
      ]);

    await setRule('freeze');
    const frozenQuery = connection.query('SELECT 1');
    expect(await queryOutcome(connection)).toBe('silent');
    await site.fault.setRules([]);
    await frozenQuery;

    await setRule('forget');
    await site.fault.setRules([]);
    expect(await queryOutcome(connection)).toBe('silent');
    const newConnection = await connectTo('g1-a');
    expect(await queryOutcome(newConnection)).toBe('answered');

    const otherSource = await connectTo('g1-a', '127.0.2.200');
    await setRule('cut');
    expect(await queryOutcome(newConnection)).toBe('failed');
    expect(await queryOutcome(otherSource)).toBe('answered');
    await expect(connectTo('g1-a')).rejects.toThrow();

    await setRule('drop');
    const heldConnection = connectTo('g1-a');
    await site.fault.setRules([]);
    expect(await queryOutcome(await heldConnection)).toBe('answered');
  });
});

describe('platform', () => {
  const put = (version: number, value: unknown): Promise<Response> => {
    const {host, port} = site.proxyAddress(LINKS.platform);
    return fetch(`http://${host}:${port}/v1/objects/tables/x`, {
      method: 'PUT',
      headers: {'if-match': String(version)},
      body: JSON.stringify(value),
    });
  };

  it('drops responses after the update took effect', async () => {
    await site.platform.set({loseAnswers: 1});
    await expect(put(0, {a: 1})).rejects.toThrow();
    const conflict = await put(0, {a: 2});
    expect(conflict.status).toBe(409);
    expect(await conflict.json()).toMatchObject({version: 1, value: {a: 1}});
    expect((await put(1, {a: 2})).status).toBe(200);
  });

  it('completes a watch on a change, and rejects updates while down', async () => {
    const {host, port} = site.proxyAddress(LINKS.platform);
    const url = `http://${host}:${port}/v1/objects`;
    const list = async (query: string) =>
      (await (await fetch(`${url}?${query}`)).json()) as {
        revision: number;
        changes: {key: string}[];
      };
    const {revision, changes} = await list('since=0');
    expect(changes.map(({key}) => key)).toEqual(['groups/g1', 'tables/shop']);
    const watching = list(`since=${revision}&wait_ms=20000`);
    await put(0, {a: 1});
    expect((await watching).changes.map(({key}) => key)).toEqual(['tables/x']);
    await site.platform.set({mode: 'down'});
    await expect(put(1, {})).rejects.toThrow();
    await site.platform.set({mode: 'up'});
    expect((await put(1, {})).status).toBe(200);
    expect(await site.platform.stats()).toMatchObject({watch: 1, put: 2});
  });
});
