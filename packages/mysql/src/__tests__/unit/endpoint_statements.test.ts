import {afterEach, describe, expect, test} from 'vitest';
import type {Statement} from '@lacewingroad/core';
import {column, ok, rows} from './fake_core.js';
import {
  SOURCE_ADDRESS,
  startAdapter,
  listen,
  listenExact,
  open,
  answerOf,
  readTexts,
  closeAll,
} from './endpoint_story.js';

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
  test('keeps values and columns exactly, in text and prepared', async () => {
    const cells = CELLS.map(cell =>
      cell === null ? null : Buffer.from(cell, 'latin1'),
    );
    const port = await listenExact(() => rows(COLUMNS, [cells]));
    startAdapter();
    expect((await open(port)).type).toBe('conn_opened');
    for (const params of [null, [1]]) {
      const answer = await answerOf('SELECT ?', params);
      const result = answer.type === 'result' ? answer.result : null;
      expect(readTexts(result!)).toEqual([CELLS]);
      expect(result).toMatchObject({columns: COLUMNS});
    }
  });

  test('passes parameters on exactly', async () => {
    const seen: Statement[] = [];
    const port = await listenExact(statement => {
      seen.push(statement);
      return ok();
    });
    startAdapter();
    await open(port);
    const params = [
      1.5,
      -7n,
      2n ** 64n - 1n,
      'ñ🎨',
      Uint8Array.from([0, 255]),
      null,
    ];
    await answerOf('INSERT INTO t VALUES (?,?,?,?,?,?)', params);
    expect(seen[0]!.params).toEqual(params);
  });

  test('reads position, counts and the state of the transaction', async () => {
    const port = await listenExact(({sql}) => {
      const reply = ok(
        sql === 'COMMIT' ? 'ledger-position=3:17' : '',
        '18446744073709551615',
        2,
      );
      return {...reply, inTx: sql === 'BEGIN'};
    });
    startAdapter();
    await open(port);
    const begun = await answerOf('BEGIN');
    expect(begun).toMatchObject({inTx: true, position: null});
    const committed = await answerOf('COMMIT');
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

  test('passes errors on; the connection stays usable', async () => {
    const error = {errno: 1062, sqlState: '23000', message: 'Duplicate'};
    const port = await listenExact(({sql}) =>
      sql === 'bad' ? {type: 'error', error, inTx: false} : ok(),
    );
    startAdapter();
    await open(port);
    expect(await answerOf('bad')).toEqual({type: 'error', error});
    expect(await answerOf('bad', [])).toEqual({type: 'error', error});
    expect((await answerOf('good')).type).toBe('result');
  });

  test('a result over the maximum is an error with the remedy', async () => {
    const row = ['x'.repeat(1024 * 1024)];
    const big = Array.from({length: 9}, () => row);
    const port = await listenExact(({sql}) =>
      rows([column('c', 253)], sql === 'big' ? big : [row]),
    );
    startAdapter();
    await open(port);
    expect(await answerOf('big')).toMatchObject({
      type: 'error',
      error: {errno: 9104, message: expect.stringContaining('LIMIT')},
    });
    expect((await answerOf('small')).type).toBe('result');
  });

  test('binds its source address', async () => {
    const sources: (string | undefined)[] = [];
    const port = await listen(socket => {
      sources.push(socket.remoteAddress);
      socket.destroy();
    });
    startAdapter();
    await open(port);
    expect(sources).toEqual([SOURCE_ADDRESS]);
  });
});
