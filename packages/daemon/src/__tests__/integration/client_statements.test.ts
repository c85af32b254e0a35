/** Features that client libraries expect of a MySQL server, on a whole site. */

import {createConnection} from 'mariadb';
import {afterAll, beforeAll, beforeEach, describe, expect, it} from 'vitest';
import type {Connection, ResultSetHeader, RowDataPacket} from 'mysql2/promise';
import {CALLER_ACCOUNT, LINKS} from '@lacewingroad/standins';
import {
  resultCode,
  readIds,
  queryRows,
  startSessionHarness,
} from './session_harness.js';
import type {SessionHarness} from './session_harness.js';

const CREATE_VALUES =
  'CREATE TABLE v (id BIGINT PRIMARY KEY, s TEXT, b BLOB, d DOUBLE, p DECIMAL(30,4))';
const TEXTS = [
  '',
  "it's",
  'back\\slash',
  'é ñ ü',
  '漢字かな',
  '𝄞🎨',
  'line\nbreak\ttab',
  '\u0000zero',
  'RTL \u05e9\u05dc\u05d5\u05dd',
];

let harness: SessionHarness;
let caller: Connection;

beforeAll(async () => {
  harness = await startSessionHarness();
  await (await harness.connect('a-1')).query(CREATE_VALUES);
});

afterAll(() => harness.close());

beforeEach(async () => {
  caller = await harness.connect('a-1');
  await caller.query('DELETE FROM t');
  await caller.query('DELETE FROM v');
});

describe('values', () => {
  it.each(TEXTS)('text %j is stored and read unchanged', async text => {
    await caller.execute('INSERT INTO v (id, s) VALUES (1, ?)', [text]);
    await caller.query('INSERT INTO v (id, s) VALUES (2, ?)', [text]);
    const want = [{s: text}, {s: text}];
    expect(await queryRows(caller, 'SELECT s FROM v ORDER BY id')).toEqual(
      want,
    );
    const [prepared] = await caller.execute('SELECT s FROM v ORDER BY id');
    expect(prepared).toEqual(want);
  });

  it('NULL, numbers, DECIMAL and bytes are the same in both protocols', async () => {
    const bytes = Buffer.from(Array.from({length: 256}, (_, index) => index));
    const exact = '12345678901234567890.1234';
    await caller.execute('INSERT INTO v VALUES (?, ?, ?, ?, ?)', [
      '9007199254740991',
      null,
      bytes,
      -1.5e10,
      exact,
    ]);
    await caller.execute('INSERT INTO v VALUES (?, ?, ?, ?, ?)', [
      -7,
      null,
      null,
      null,
      null,
    ]);
    const want = [
      {id: -7, s: null, b: null, d: null, p: null},
      {id: 9007199254740991, s: null, b: bytes, d: -1.5e10, p: exact},
    ];
    expect(await queryRows(caller, 'SELECT * FROM v ORDER BY id')).toEqual(
      want,
    );
    const [prepared] = await caller.execute('SELECT * FROM v ORDER BY id');
    expect(prepared).toEqual(want);
  });

  it('10,000 rows reach a reader that pauses', async () => {
    const raw = (
      caller as unknown as {
        connection: {query: (sql: string) => {stream: () => NodeJS.ReadStream}};
      }
    ).connection;
    const stream = raw.query('SELECT * FROM seq_10000').stream();
    const other = await harness.connect('a-1');
    let count = 0;
    for await (const _row of stream) {
      count += 1;
      if (count % 2_000 === 0) {
        expect(await queryRows(other, 'SELECT 1 AS one')).toEqual([{one: 1}]);
      }
    }
    expect(count).toBe(10_000);
  });
});

describe('statements', () => {
  it('one prepared statement runs many times', async () => {
    const statement = await caller.prepare('INSERT INTO t (s) VALUES (?)');
    for (let index = 0; index < 50; index += 1) {
      await statement.execute([`row ${index}`]);
    }
    await statement.close();
    const [count] = await queryRows(caller, 'SELECT COUNT(*) AS n FROM t');
    expect(count).toEqual({n: 50});
  });

  it('affected rows and insert ids are passed on', async () => {
    const [ok] = await caller.query<ResultSetHeader>(
      "INSERT INTO t (s) VALUES ('x'), ('y')",
    );
    expect(ok.affectedRows).toBe(2);
    expect(ok.insertId).toBeGreaterThan(0);
    const [row] = await queryRows(caller, 'SELECT LAST_INSERT_ID() AS id');
    expect(Number(row!['id'])).toBe(ok.insertId);
  });

  it('sent without waiting are answered in order', async () => {
    const pending = Array.from({length: 200}, (_, index) =>
      index % 3 === 0
        ? caller.execute<RowDataPacket[]>('SELECT ? AS at', [index])
        : caller.query<RowDataPacket[]>(`SELECT ${index} AS at`),
    );
    const order: number[] = [];
    pending.forEach(
      (answer, index) => void answer.then(() => order.push(index)),
    );
    const answers = await Promise.all(pending);
    expect(answers.map(([[row]]) => Number(row!['at']))).toEqual(
      pending.map((_, index) => index),
    );
    expect(order).toEqual(pending.map((_, index) => index));
  });

  it('errors of the endpoint keep their code and SQLSTATE', async () => {
    await caller.query('INSERT INTO t (id) VALUES (1)');
    const cases = [
      ['INSERT INTO t (id) VALUES (1)', 1062, '23000'],
      ['SELECT nope FROM t', 1054, '42S22'],
      ['SELECT * FROM nope', 1146, '42S02'],
      ['SELEC 1', 1064, '42000'],
    ] as const;
    for (const [sql, errno, sqlState] of cases) {
      await expect(caller.query(sql)).rejects.toMatchObject({errno, sqlState});
    }
    expect(await queryRows(caller, 'SELECT 1 AS one')).toEqual([{one: 1}]);
  });

  it.each([
    'LOCK TABLES t WRITE',
    "LOAD DATA INFILE 'x' INTO TABLE t",
    'SET GLOBAL wait_timeout = 1',
    'SELECT 1; DELETE FROM t',
    "SELECT GET_LOCK('a', 1)",
    'SET @x = 1',
  ])('%s gets 9104 with the remedy', async sql => {
    await expect(caller.query(sql)).rejects.toMatchObject({
      errno: 9104,
      sqlState: 'LW004',
      message: expect.stringMatching(/(Use|Send|Change|Connect) /),
    });
    await caller.ping();
  });
});

describe('transactions', () => {
  it('commit and roll back', async () => {
    await caller.beginTransaction();
    await caller.query('INSERT INTO t (id) VALUES (1)');
    expect(await readIds(caller)).toEqual([1]);
    await caller.rollback();
    expect(await readIds(caller)).toEqual([]);
    await caller.beginTransaction();
    await caller.execute('INSERT INTO t (id) VALUES (?)', [2]);
    await caller.commit();
    expect(await readIds(caller)).toEqual([2]);
  });

  it('begin implicitly with autocommit = 0', async () => {
    const other = await harness.connect('b-1');
    await caller.query('SET autocommit = 0');
    await caller.query('INSERT INTO t (id) VALUES (1)');
    await caller.query('INSERT INTO t (id) VALUES (2)');
    expect(await readIds(other)).toEqual([]);
    await caller.query('ROLLBACK');
    await caller.query('INSERT INTO t (id) VALUES (3)');
    await caller.query('COMMIT');
    await caller.query('SET autocommit = 1');
    expect(await readIds(caller)).toEqual([3]);
  });

  it('survive an error of one statement', async () => {
    await caller.beginTransaction();
    await caller.query('INSERT INTO t (id) VALUES (1)');
    expect(
      await resultCode(caller.query('INSERT INTO t (id) VALUES (1)')),
    ).toBe(1062);
    await caller.commit();
    expect(await readIds(caller)).toEqual([1]);
  });
});

describe('connecting', () => {
  it('ping, change of database, SET NAMES and variables work', async () => {
    await caller.ping();
    await caller.query('USE shop');
    await caller.query('SET NAMES utf8mb4');
    const [row] = await queryRows(
      caller,
      'SELECT @@version_comment AS a, @@autocommit AS b, @@max_allowed_packet AS c',
    );
    expect(row).toEqual({a: 'lacewingroad', b: '1', c: '16777216'});
  });

  it('an unknown service gets 9106, a wrong password 1045', async () => {
    const unassigned = await harness.connect('a-1', {database: 'nope'});
    expect(await resultCode(unassigned.query('SELECT 1'))).toBe(9106);
    await unassigned.query('USE shop');
    expect(await queryRows(unassigned, 'SELECT 1 AS one')).toEqual([{one: 1}]);
    const {host, port} = harness.site.proxyAddress(LINKS.caller('a-1'));
    const account = {...CALLER_ACCOUNT, password: 'wrong'};
    await expect(
      createConnection({host, port, ...account, database: 'shop'}),
    ).rejects.toMatchObject({errno: 1045});
  });

  it('the mariadb client works as the mysql2 client does', async () => {
    const {host, port} = harness.site.proxyAddress(LINKS.caller('b-1'));
    const client = await createConnection({
      host,
      port,
      ...CALLER_ACCOUNT,
      database: 'shop',
      insertIdAsNumber: true,
      bigIntAsNumber: true,
    });
    try {
      await client.ping();
      await client.beginTransaction();
      await client.execute('INSERT INTO t (id, s) VALUES (?, ?)', [1, '𝄞']);
      await client.commit();
      await client.batch('INSERT INTO t (id, s) VALUES (?, ?)', [
        [2, 'x'],
        [3, null],
      ]);
      const want = [
        {id: 1, s: '𝄞'},
        {id: 2, s: 'x'},
        {id: 3, s: null},
      ];
      const sql = 'SELECT id, s FROM t ORDER BY id';
      expect([...(await client.query<object[]>(sql))]).toEqual(want);
      expect([...(await client.execute<object[]>(sql))]).toEqual(want);
      await client.reset();
      await expect(client.query('SELECT nope FROM t')).rejects.toMatchObject({
        errno: 1054,
        sqlState: '42S22',
      });
    } finally {
      await client.end();
    }
  });
});
