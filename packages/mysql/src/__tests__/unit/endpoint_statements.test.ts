import {afterEach, describe, expect, test} from 'vitest';
import type {Statement} from '@lacewingroad/core';
import {column, ok, rows} from './fake_core.js';
import {
  SOURCE_ADDRESS,
  startAdapter,
  listenRaw,
  startCallerAdapterServer,
  openConn,
  runStatement,
  decodeRows,
  closeAll,
} from './endpoint_harness.js';

afterEach(closeAll);

const CELLS = [
  '-128',
  '18446744073709551615',
  '-9223372036854775808',
  '0.1',
  '1e300',
  '12345678901234567890.10',
  '2026-12-04 01:02:03.000450',
  '2026-12-04 00:00:00',
  '2026-12-04',
  '-101:02:03.50',
  '2026',
  '\xf0\x9f\x8e\xa8\x00\xff',
  null,
];
const COLUMNS = [
  column('tiny', 1),
  column('ubig', 8, {flags: 0x20}),
  column('big', 8),
  column('float', 4, {decimals: 31}),
  column('double', 5, {decimals: 31}),
  column('price', 246, {decimals: 2}),
  column('micros', 12, {decimals: 6}),
  column('at', 7),
  column('day', 10),
  column('span', 11, {decimals: 2}),
  column('year', 13),
  column('bytes', 252),
  column('none', 253),
];

describe('statements', () => {
  test('returns exact values and columns of text and prepared statements', async () => {
    const cells = CELLS.map(cell =>
      cell === null ? null : Buffer.from(cell, 'latin1'),
    );
    const port = await startCallerAdapterServer(() => rows(COLUMNS, [cells]));
    startAdapter();
    expect((await openConn(port)).type).toBe('conn_opened');
    for (const params of [null, [1]]) {
      const answer = await runStatement('SELECT ?', params);
      const result = answer.type === 'result' ? answer.result : null;
      expect(decodeRows(result!)).toEqual([CELLS]);
      expect(result).toMatchObject({columns: COLUMNS});
    }
  });

  test('sends exact parameter values', async () => {
    const seen: Statement[] = [];
    const port = await startCallerAdapterServer(statement => {
      seen.push(statement);
      return ok();
    });
    startAdapter();
    await openConn(port);
    const params = [
      1.5,
      -7n,
      2n ** 64n - 1n,
      'ñ🎨',
      Uint8Array.from([0, 255]),
      null,
    ];
    await runStatement('INSERT INTO t VALUES (?,?,?,?,?,?)', params);
    expect(seen[0]!.params).toEqual(params);
  });

  test('parses position, counts and transaction state', async () => {
    const port = await startCallerAdapterServer(({sql}) => {
      const reply = ok(
        sql === 'COMMIT' ? 'ledger-position=3:17' : '',
        '18446744073709551615',
        2,
      );
      return {...reply, inTx: sql === 'BEGIN'};
    });
    startAdapter();
    await openConn(port);
    const begun = await runStatement('BEGIN');
    expect(begun).toMatchObject({inTx: true, position: null});
    const committed = await runStatement('COMMIT');
    expect(committed).toEqual({
      type: 'result',
      inTx: false,
      position: {term: 3, index: 17},
      result: {
        type: 'ok',
        affectedRows: 2,
        insertId: '18446744073709551615',
        info: 'ledger-position=3:17',
      },
    });
  });

  test('returns errors; the connection stays usable', async () => {
    const error = {errno: 1062, sqlState: '23000', message: 'Duplicate'};
    const port = await startCallerAdapterServer(({sql}) =>
      sql === 'bad' ? {type: 'error', error, inTx: false} : ok(),
    );
    startAdapter();
    await openConn(port);
    expect(await runStatement('bad')).toEqual({type: 'error', error});
    expect(await runStatement('bad', [])).toEqual({type: 'error', error});
    expect((await runStatement('good')).type).toBe('result');
  });

  test('a result over the maximum size becomes an error with a remedy', async () => {
    const row = ['x'.repeat(1024 * 1024)];
    const big = Array.from({length: 9}, () => row);
    const port = await startCallerAdapterServer(({sql}) =>
      rows([column('c', 253)], sql === 'big' ? big : [row]),
    );
    startAdapter();
    await openConn(port);
    expect(await runStatement('big')).toMatchObject({
      type: 'error',
      error: {errno: 9104, message: expect.stringContaining('LIMIT')},
    });
    expect((await runStatement('small')).type).toBe('result');
  });

  test('connects from the source address', async () => {
    const sources: (string | undefined)[] = [];
    const port = await listenRaw(socket => {
      sources.push(socket.remoteAddress);
      socket.destroy();
    });
    startAdapter();
    await openConn(port);
    expect(sources).toEqual([SOURCE_ADDRESS]);
  });
});
