import {once} from 'node:events';
import type {Socket} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import type {Reply} from '@lacewingroad/core';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import {HANDSHAKE_TIMEOUT_MS, WRITE_TIMEOUT_MS} from '../../limits.js';
import {column, ok, rows} from './fake_core.js';
import {
  open,
  start,
  login,
  openRaw,
  statementsSeen,
  getCore,
  closeAll,
} from './caller_story.js';

afterEach(closeAll);

describe('a hostile caller', () => {
  const garbage: readonly (readonly [string, Buffer])[] = [
    ['an empty packet', Buffer.from([0, 0, 0, 1])],
    ['an empty first packet', Buffer.from([0, 0, 0, 0])],
    ['a marker of errors', Buffer.from([1, 0, 0, 1, 0xff])],
    ['bytes of 0xff', Buffer.alloc(200, 0xff)],
    ['an endless length', Buffer.from([0xff, 0xff, 0xff, 1, 1, 2, 3])],
    ['HTTP', Buffer.from('GET / HTTP/1.1\r\nHost: x\r\n\r\n')],
    ['half a handshake', Buffer.from([40, 0, 0, 1, 5, 6, 7])],
    [
      'a handshake that lies about its lengths',
      Buffer.concat([
        Buffer.from([60, 0, 0, 1, 0xff, 0xff, 0xff, 0xff]),
        Buffer.alloc(56, 0xfd),
      ]),
    ],
    ['more than a handshake may have', Buffer.alloc(200_000, 0x61)],
  ];

  test.each(garbage)('%s harms nobody', async (_, bytes) => {
    await start(() => rows([column('one', 3)], [['1']]));
    const connection = await login();
    const socket = await openRaw();
    socket.write(bytes);
    expect((await connection.query('SELECT 1'))[0]).toEqual([[1]]);
    socket.end();
    expect((await connection.query('SELECT 1'))[0]).toEqual([[1]]);
    await expect(login()).resolves.toBeDefined();
  });

  test('a hundred silent connections harm nobody', async () => {
    await start(() => ok());
    await Promise.all(Array.from({length: 100}, openRaw));
    const connection = await login();
    await expect(connection.query('SELECT 1')).resolves.toBeDefined();
  });

  test.each([
    ['an execution without content', Buffer.from([1, 0, 0, 0, 0x17])],
    ['an unknown command', Buffer.from([1, 0, 0, 0, 0xff])],
    ['long data without content', Buffer.from([1, 0, 0, 0, 0x18])],
    ['text that is not UTF-8', Buffer.from([2, 0, 0, 0, 3, 0xff])],
    ['an empty command', Buffer.from([0, 0, 0, 0])],
  ])('%s gets an error', async (_, bytes) => {
    await start(() => ok());
    const connection = await login();
    const other = await login();
    const {stream} = (connection as unknown as {connection: {stream: Socket}})
      .connection;
    const answered = once(stream, 'data');
    connection.on('error', () => undefined);
    stream.write(bytes);
    const [data] = (await answered) as [Buffer];
    expect(data[4]).toBe(0xff);
    await expect(other.query('SELECT 1')).resolves.toBeDefined();
  });

  test('a packet over the maximum ends its connection only', async () => {
    await start(() => ok());
    const connection = await login();
    const other = await login();
    connection.on('error', () => undefined);
    const sent = connection.query('x'.repeat(18 * 1024 * 1024));
    await expect(sent).rejects.toBeDefined();
    await expect(other.query('SELECT 1')).resolves.toBeDefined();
    expect(statementsSeen()).toHaveLength(1);
  });

  test('a handshake that does not finish ends at its deadline', async () => {
    const runtime = createVirtualRuntime(1);
    await start(() => ok(), {runtime});
    const socket = await openRaw();
    const connection = await login();
    const closed = once(socket, 'close');
    runtime.runUntil(HANDSHAKE_TIMEOUT_MS - 1);
    expect(socket.readyState).toBe('open');
    runtime.runUntil(HANDSHAKE_TIMEOUT_MS);
    await closed;
    await expect(connection.query('SELECT 1')).resolves.toBeDefined();
  });

  test('a caller that never reads its answer is dropped', async () => {
    const runtime = createVirtualRuntime(1);
    const long = Array.from({length: 64}, () => ['x'.repeat(1024 * 1024)]);
    await start(() => rows([column('pad', 253)], long), {runtime});
    const connection = await login();
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
    open.pop();
    stream.destroy();
  });

  test('a caller over the maximum is told so', async () => {
    await start(() => ok(), {maxCallers: 1});
    const connection = await login();
    await expect(login()).rejects.toMatchObject({
      errno: 1040,
      sqlState: '08004',
    });
    await connection.end();
    await expect
      .poll(() => getCore().events.at(-1)?.type)
      .toBe('caller_closed');
    await expect(login()).resolves.toBeDefined();
  });

  test('a late or repeated reply is ignored', async () => {
    const replies: Reply[] = [ok('first')];
    await start(() => replies[0]!);
    const connection = await login();
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
