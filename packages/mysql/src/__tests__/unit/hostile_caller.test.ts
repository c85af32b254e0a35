import {once} from 'node:events';
import type {Socket} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import type {Reply} from '@lacewingroad/core';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import {HANDSHAKE_TIMEOUT_MS, WRITE_TIMEOUT_MS} from '../../limits.js';
import {column, ok, rows} from './fake_core.js';
import {
  openResources,
  startAdapter,
  connectMysql2,
  openRawSocket,
  getReceivedStatements,
  getCore,
  closeAll,
} from './caller_harness.js';

afterEach(closeAll);

describe('a hostile caller', () => {
  const malformedPackets: readonly (readonly [string, Buffer])[] = [
    ['an empty packet', Buffer.from([0, 0, 0, 1])],
    ['an empty first packet', Buffer.from([0, 0, 0, 0])],
    ['an error packet marker', Buffer.from([1, 0, 0, 1, 0xff])],
    ['bytes of 0xff', Buffer.alloc(200, 0xff)],
    ['a maximum length', Buffer.from([0xff, 0xff, 0xff, 1, 1, 2, 3])],
    ['HTTP', Buffer.from('GET / HTTP/1.1\r\nHost: x\r\n\r\n')],
    ['a truncated handshake', Buffer.from([40, 0, 0, 1, 5, 6, 7])],
    [
      'a handshake with invalid lengths',
      Buffer.concat([
        Buffer.from([60, 0, 0, 1, 0xff, 0xff, 0xff, 0xff]),
        Buffer.alloc(56, 0xfd),
      ]),
    ],
    ['an oversized handshake', Buffer.alloc(200_000, 0x61)],
  ];

  test.each(malformedPackets)(
    '%s does not affect other connections',
    async (_, bytes) => {
      await startAdapter(() => rows([column('one', 3)], [['1']]));
      const connection = await connectMysql2();
      const socket = await openRawSocket();
      socket.write(bytes);
      expect((await connection.query('SELECT 1'))[0]).toEqual([[1]]);
      socket.end();
      expect((await connection.query('SELECT 1'))[0]).toEqual([[1]]);
      await expect(connectMysql2()).resolves.toBeDefined();
    },
  );

  test('a hundred idle connections do not affect others', async () => {
    await startAdapter(() => ok());
    await Promise.all(Array.from({length: 100}, openRawSocket));
    const connection = await connectMysql2();
    await expect(connection.query('SELECT 1')).resolves.toBeDefined();
  });

  test.each([
    ['a COM_STMT_EXECUTE without content', Buffer.from([1, 0, 0, 0, 0x17])],
    ['an unknown command', Buffer.from([1, 0, 0, 0, 0xff])],
    [
      'a COM_STMT_SEND_LONG_DATA without content',
      Buffer.from([1, 0, 0, 0, 0x18]),
    ],
    ['text that is not UTF-8', Buffer.from([2, 0, 0, 0, 3, 0xff])],
    ['an empty command', Buffer.from([0, 0, 0, 0])],
  ])('%s gets an error', async (_, bytes) => {
    await startAdapter(() => ok());
    const connection = await connectMysql2();
    const other = await connectMysql2();
    const {stream} = (connection as unknown as {connection: {stream: Socket}})
      .connection;
    const answered = once(stream, 'data');
    connection.on('error', () => undefined);
    stream.write(bytes);
    const [data] = (await answered) as [Buffer];
    expect(data[4]).toBe(0xff);
    await expect(other.query('SELECT 1')).resolves.toBeDefined();
  });

  test('a packet over the maximum size closes only its connection', async () => {
    await startAdapter(() => ok());
    const connection = await connectMysql2();
    const other = await connectMysql2();
    connection.on('error', () => undefined);
    const sent = connection.query('x'.repeat(18 * 1024 * 1024));
    await expect(sent).rejects.toBeDefined();
    await expect(other.query('SELECT 1')).resolves.toBeDefined();
    expect(getReceivedStatements()).toHaveLength(1);
  });

  test('an unfinished handshake is closed at its deadline', async () => {
    const runtime = createVirtualRuntime(1);
    await startAdapter(() => ok(), {runtime});
    const socket = await openRawSocket();
    const connection = await connectMysql2();
    const closed = once(socket, 'close');
    runtime.runUntil(HANDSHAKE_TIMEOUT_MS - 1);
    expect(socket.readyState).toBe('open');
    runtime.runUntil(HANDSHAKE_TIMEOUT_MS);
    await closed;
    await expect(connection.query('SELECT 1')).resolves.toBeDefined();
  });

  test('a caller that does not read its answer is disconnected', async () => {
    const runtime = createVirtualRuntime(1);
    const long = Array.from({length: 64}, () => ['x'.repeat(1024 * 1024)]);
    await startAdapter(() => rows([column('pad', 253)], long), {runtime});
    const connection = await connectMysql2();
    const {stream} = (connection as unknown as {connection: {stream: Socket}})
      .connection;
    connection.query('SELECT 1').catch(() => undefined);
    connection.on('error', () => undefined);
    stream.pause();
    await expect.poll(() => runtime.nextAt()).toBe(WRITE_TIMEOUT_MS);
    runtime.runUntil(WRITE_TIMEOUT_MS);
    await expect
      .poll(() => getCore().events.at(-1)?.type)
      .toBe('caller_closed');
    openResources.pop();
    stream.destroy();
  });

  test('a caller over the maximum number gets an error', async () => {
    await startAdapter(() => ok(), {maxCallers: 1});
    const connection = await connectMysql2();
    await expect(connectMysql2()).rejects.toMatchObject({
      errno: 1040,
      sqlState: '08004',
    });
    await connection.end();
    await expect
      .poll(() => getCore().events.at(-1)?.type)
      .toBe('caller_closed');
    await expect(connectMysql2()).resolves.toBeDefined();
  });

  test('a late or repeated reply is ignored', async () => {
    const replies: Reply[] = [ok('first')];
    await startAdapter(() => replies[0]!);
    const connection = await connectMysql2();
    await connection.query('SELECT 1');
    for (const seq of [1, 2, 7]) {
      getCore().adapter.performers.reply({
        type: 'reply',
        caller: 1,
        seq,
        reply: ok('late'),
      });
    }
    const [result] = await connection.query('SELECT 2');
    expect(result).toMatchObject({info: 'first'});
  });
});
