import {afterEach, describe, expect, test} from 'vitest';
import {column, ok, rows, USER} from './fake_core.js';
import {
  startAdapter,
  connectMysql2,
  connectMariadb,
  openRawSocket,
  getReceivedStatements,
  getCore,
  closeAll,
} from './caller_harness.js';

afterEach(closeAll);

const VALUES = rows(
  [
    column('tiny', 1),
    column('big', 8),
    column('ubig', 8, {flags: 0x20}),
    column('float', 4, {decimals: 31}),
    column('double', 5, {decimals: 31}),
    column('price', 246, {decimals: 2}),
    column('at', 12, {decimals: 6}),
    column('day', 10),
    column('span', 11, {decimals: 0}),
    column('name', 253, {characterSet: 45}),
    column('bytes', 252),
    column('año', 253, {characterSet: 45}),
  ],
  [
    [
      '-5',
      '-9223372036854775807',
      '18446744073709551615',
      '1.5',
      '-1e300',
      '12345678901234567890.10',
      '2026-12-04 01:02:03.000450',
      '2026-12-04',
      '-101:02:03',
      'Niño 🎨',
      Uint8Array.from([0, 255, 254, 39, 92]),
      null,
    ],
  ],
);

const EXPECTED = [
  -5,
  '-9223372036854775807',
  '18446744073709551615',
  1.5,
  -1e300,
  '12345678901234567890.10',
  '2026-12-04 01:02:03.000450',
  '2026-12-04',
  '-101:02:03',
  'Niño 🎨',
  Buffer.from([0, 255, 254, 39, 92]),
  null,
];

describe('the caller adapter', () => {
  test('answers text and prepared queries with exact values', async () => {
    await startAdapter(() => VALUES);
    const connection = await connectMysql2('orders');
    const [text] = await connection.query('SELECT 1');
    expect(text).toEqual([EXPECTED]);
    const [prepared, fields] = await connection.execute('SELECT ?', [1]);
    expect(prepared).toEqual([EXPECTED]);
    expect(fields.at(-1)?.name).toBe('año');
  });

  test('answers the mariadb client with exact values', async () => {
    await startAdapter(statement =>
      statement.sql.includes('tiny') ? VALUES : ok(),
    );
    const connection = await connectMariadb();
    const expected = [
      -5,
      -9223372036854775807n,
      18446744073709551615n,
      1.5,
      -1e300,
      '12345678901234567890.10',
      '2026-12-04 01:02:03.000450',
      ...EXPECTED.slice(7),
    ];
    const text: unknown[] = await connection.query('SELECT tiny');
    expect([...text]).toEqual([expected]);
    const prepared: unknown[] = await connection.execute('SELECT tiny, ?', [7]);
    expect([...prepared]).toEqual([expected]);
  });

  test('emits events for login, statements and disconnect', async () => {
    await startAdapter(() => ok());
    const connection = await connectMysql2('orders');
    await connection.query('USE x');
    await connection.changeUser({}).catch(() => undefined);
    await connection.query('SET NAMES utf8mb4');
    await connection.query('SET autocommit = 0');
    await connection.query("PREPARE s FROM 'SELECT 1'");
    await connection.query('EXECUTE s');
    expect(getCore().events[0]).toMatchObject({
      type: 'caller_opened',
      user: USER,
      service: 'orders',
      allowedServices: ['orders'],
      attributes: {lacewingroad_session: 'abc'},
    });
    expect(getReceivedStatements()).toEqual(
      [
        'USE x',
        'SET NAMES utf8mb4',
        'SET autocommit = 0',
        "PREPARE s FROM 'SELECT 1'",
        'EXECUTE s',
      ].map(sql => ({sql, params: null})),
    );
    await connection.ping();
    await connection.end();
    await expect
      .poll(() => getCore().events.at(-1)?.type, {timeout: 10_000})
      .toBe('caller_closed');
  });

  test('passes exact parameter values to the core', async () => {
    await startAdapter(() => ok());
    const connection = await connectMysql2();
    const bytes = Buffer.from([0, 255, 39]);
    await connection.execute('INSERT INTO t VALUES (?,?,?,?,?,?)', [
      1.25,
      null,
      'ñ🎨',
      bytes,
      9007199254740993n,
      true,
    ]);
    await connection.execute("SELECT '?', `?` -- ?\n, ? /* ? */ # ?", ['x']);
    const [first, second] = getReceivedStatements();
    expect(first!.params).toEqual([
      1.25,
      null,
      'ñ🎨',
      Uint8Array.from(bytes),
      '9007199254740993',
      1n,
    ]);
    expect(second!.params).toEqual(['x']);
    const mariadb = await connectMariadb();
    await mariadb.execute('SELECT ?, ?, ?, ?', [-3, 2n ** 62n, 'é', null]);
    expect(getReceivedStatements().at(-1)!.params).toEqual([
      -3n,
      2n ** 62n,
      'é',
      null,
    ]);
  });

  test('returns errors, affected rows and info text to the client', async () => {
    await startAdapter(statement =>
      statement.sql === 'bad'
        ? {
            type: 'error',
            error: {errno: 9101, sqlState: 'LW001', message: 'not run'},
            inTx: false,
          }
        : ok('ledger-position=3:17', '18446744073709551615', 2),
    );
    const connection = await connectMysql2();
    await expect(connection.query('bad')).rejects.toMatchObject({
      errno: 9101,
      sqlState: 'LW001',
      sqlMessage: 'not run',
    });
    await expect(connection.execute('bad')).rejects.toMatchObject({
      errno: 9101,
      sqlState: 'LW001',
    });
    const [result] = await connection.query('INSERT');
    expect(result).toMatchObject({
      affectedRows: 2,
      info: 'ledger-position=3:17',
      serverStatus: 2,
    });
  });

  test('writes all of 10,000 rows', async () => {
    const cells = Array.from({length: 10_000}, (_, index) => [
      `${index}`,
      'x'.repeat(200),
    ]);
    const pad = column('pad', 253, {characterSet: 45});
    await startAdapter(() => rows([column('id', 3), pad], cells));
    const connection = await connectMysql2();
    const [text] = await connection.query('SELECT');
    const [binary] = await connection.execute('SELECT');
    expect(text).toHaveLength(10_000);
    expect(binary).toEqual(text);
    expect((text as unknown[][])[9_999]![0]).toBe(9_999);
  });

  test('answers pipelined statements in order', async () => {
    const delays = [30, 1, 20, 0, 10];
    await startAdapter(async ({sql}) => {
      await new Promise(resolve => setTimeout(resolve, delays[Number(sql)]));
      return rows([column('sql', 253, {characterSet: 45})], [[sql]]);
    });
    const socket = await openRawSocket();
    const connection = await connectMysql2();
    const results = await Promise.all(
      delays.map((_, index) => connection.query(`${index}`)),
    );
    expect(results.map(([found]) => found)).toEqual(
      delays.map((_, index) => [[`${index}`]]),
    );
    const mariadb = await connectMariadb();
    const piped = await Promise.all(
      delays.map((_, index) => mariadb.query(`${index}`)),
    );
    expect(piped.map(found => found[0][0])).toEqual(['0', '1', '2', '3', '4']);
    socket.destroy();
  });
});
