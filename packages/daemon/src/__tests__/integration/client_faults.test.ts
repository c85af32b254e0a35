/** A misbehaving caller must not affect other callers. */

import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {once} from 'node:events';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import type {Connection} from 'mysql2/promise';
import {LINKS} from '@lacewingroad/standins';
import {queryRows, startSessionHarness} from './session_harness.js';
import type {SessionHarness} from './session_harness.js';

const HEADER_BYTES = 4;
const NOISE_MODULUS = 997;

let harness: SessionHarness;
let regular: Connection;
const sockets: Socket[] = [];

beforeAll(async () => {
  harness = await startSessionHarness();
  regular = await harness.connect('a-1');
});

afterAll(() => harness.close());

afterEach(async () => {
  sockets.splice(0).forEach(socket => socket.destroy());
  // Other callers are served, on an existing connection and on a new one.
  expect(await queryRows(regular, 'SELECT 1 AS one')).toEqual([{one: 1}]);
  const fresh = await harness.connect('a-1');
  expect(await queryRows(fresh, 'SELECT 1 AS one')).toEqual([{one: 1}]);
  fresh.destroy();
  expect(harness.site.processes.isRunning('a-1')).toBe(true);
});

/** Opens a raw connection and reads the greeting. */
async function openRaw(): Promise<Socket> {
  const socket = connect(harness.site.proxyAddress(LINKS.caller('a-1')));
  socket.on('error', () => undefined);
  sockets.push(socket);
  await once(socket, 'data');
  return socket;
}

function packet(sequence: number, body: Buffer, length = body.length): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUIntLE(length, 0, 3);
  header[3] = sequence;
  return Buffer.concat([header, body]);
}

/** Returns meaningless bytes, the same on every run. */
function noise(count: number): Buffer {
  return Buffer.from(
    Array.from(
      {length: count},
      (_, index) => (index * index * 31 + index) % NOISE_MODULUS,
    ),
  );
}

async function waitForEnd(socket: Socket): Promise<void> {
  if (!socket.destroyed) {
    socket.resume();
    // A reset closes the socket, too; `once` would throw at its error.
    await new Promise(resolve => socket.once('close', resolve));
  }
}

describe('a caller that sends', () => {
  it.each([
    ['noise', () => noise(500)],
    ['an empty packet', () => packet(1, Buffer.alloc(0))],
    ['a short handshake', () => packet(1, Buffer.from([0x85, 0xa6]))],
    ['a wrong sequence', () => packet(9, noise(64))],
    ['an oversized handshake', () => packet(1, noise(200_000))],
    [
      'a handshake of endless length',
      () => packet(1, noise(100_000), 0xffffff),
    ],
  ])('%s is disconnected', async (_name, bytes) => {
    const socket = await openRaw();
    socket.write(bytes());
    await waitForEnd(socket);
  });

  it('half a handshake and then nothing does not delay other callers', async () => {
    const socket = await openRaw();
    socket.write(packet(1, noise(20), 60));
    const other = await harness.connect('a-1');
    expect(await queryRows(other, 'SELECT 2 AS two')).toEqual([{two: 2}]);
  });

  it('a packet above 16 MiB is disconnected', async () => {
    const caller = await harness.connect('a-1');
    const huge = 'x'.repeat(17 * 1024 * 1024);
    await expect(caller.query(`SELECT '${huge}'`)).rejects.toThrow();
  });

  it.each([
    ['an unknown command', Buffer.from([0x7f, 1, 2])],
    [
      'an execution without a statement',
      Buffer.from([0x17, 9, 0, 0, 0, 0, 1, 0, 0, 0]),
    ],
    ['a truncated execution', Buffer.from([0x17, 9])],
    ['text that is not UTF-8', Buffer.from([0x03, 0xff, 0xfe])],
  ])('%s gets an error', async (_name, body) => {
    const caller = await harness.connect('a-1');
    const {stream} = (caller as unknown as {connection: {stream: Socket}})
      .connection;
    stream.removeAllListeners('data');
    const answered = once(stream, 'data') as Promise<[Buffer]>;
    stream.write(packet(0, body));
    const [answer] = await answered;
    expect(answer[HEADER_BYTES]).toBe(0xff);
  });
});

it('a hundred silent connections do not prevent others from connecting', async () => {
  await Promise.all(Array.from({length: 100}, openRaw));
  const callers = await Promise.all(
    Array.from({length: 10}, () => harness.connect('a-1')),
  );
  for (const caller of callers) {
    expect(await queryRows(caller, 'SELECT 1 AS one')).toEqual([{one: 1}]);
  }
});
