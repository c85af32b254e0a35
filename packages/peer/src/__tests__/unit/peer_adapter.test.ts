import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {WebSocket} from 'ws';
import type {RunMessage} from '@lacewingroad/core';
import {
  decodeFrame,
  encodeFrame,
  MAX_WAITING_MESSAGES,
  RECEIVE_TIMEOUT_MS,
} from '@lacewingroad/peer';
import {
  receivedAsks,
  eventsOf,
  createMessage,
  runtime,
  startPeer,
  startTcpRelay,
  waitFor,
} from './peer_fixture.js';
import type {Addresses, TestPeer} from './peer_fixture.js';

const STAMP = '0000000000001.000000';
const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) {
    await cleanup();
  }
});

/** Starts a peer that is closed after the test. */
async function start(
  host: string,
  addresses: Addresses,
  incarnation?: string,
): Promise<TestPeer> {
  const peer = await startPeer(host, addresses, incarnation);
  cleanups.push(() => peer.adapter.close());
  return peer;
}

/** Opens a raw connection and completes the hello exchange as `host`. */
async function connectAndSendHello(
  port: number,
  host: string,
  incarnation: string,
): Promise<WebSocket> {
  const socket = new WebSocket(`ws://127.0.0.1:${port}`);
  cleanups.push(() => socket.terminate());
  socket.on('error', () => undefined);
  await new Promise(resolve => socket.once('open', resolve));
  const answered = new Promise(resolve => socket.once('message', resolve));
  socket.send(encodeFrame({type: 'hello', host, incarnation, stamp: STAMP}));
  await answered;
  return socket;
}

function send(from: TestPeer, host: string, ask: number): void {
  from.adapter.performers.send({type: 'send', host, msg: createMessage(ask)});
}

describe('createPeerAdapter', () => {
  it('uses one connection for both directions and preserves order', async () => {
    const addresses: Addresses = new Map();
    const a = await start('a', addresses);
    const b = await start('b', addresses);
    for (let ask = 1; ask <= 500; ask++) {
      send(a, 'b', ask);
    }
    await waitFor(() => receivedAsks(b).length === 500);
    expect(receivedAsks(b)).toEqual(Array.from({length: 500}, (_, i) => i + 1));
    send(b, 'a', 7);
    await waitFor(() => receivedAsks(a).length === 1);
    const up = {type: 'peer_up', generation: 1};
    expect(eventsOf(a, 'peer_up')).toEqual([{...up, host: 'b'}]);
    expect(eventsOf(b, 'peer_up')).toEqual([{...up, host: 'a'}]);
    expect(eventsOf(b, 'peer_message')[0]).toMatchObject({
      host: 'a',
      generation: 1,
    });
  });

  it('accepts both connections when both sides open at once', async () => {
    const addresses: Addresses = new Map();
    const a = await start('a', addresses);
    const b = await start('b', addresses);
    send(a, 'b', 1);
    send(b, 'a', 2);
    await waitFor(
      () => receivedAsks(a).length === 1 && receivedAsks(b).length === 1,
    );
    send(a, 'b', 3);
    send(b, 'a', 4);
    await waitFor(
      () => receivedAsks(a).length === 2 && receivedAsks(b).length === 2,
    );
    expect(eventsOf(a, 'peer_down')).toEqual([]);
    expect(eventsOf(b, 'peer_down')).toEqual([]);
  });

  it('ends the generation when one of two connections ends', async () => {
    const addresses: Addresses = new Map();
    const a = await start('a', addresses);
    const b = await start('b', addresses);
    send(a, 'b', 1);
    await waitFor(() => receivedAsks(b).length === 1);
    const second = await connectAndSendHello(a.port, 'b', 'b-1');
    expect(a.events).toEqual([{type: 'peer_up', host: 'b', generation: 1}]);
    second.terminate();
    // The other connection closes too, so that both sides see `peer_down`.
    await waitFor(() => eventsOf(b, 'peer_down').length === 1);
    expect(a.events.slice(1)).toEqual([
      {type: 'peer_down', host: 'b', generation: 1},
    ]);
    send(a, 'b', 2);
    await waitFor(() => receivedAsks(b).length === 2);
    expect(a.events[2]).toEqual({type: 'peer_up', host: 'b', generation: 2});
    await b.adapter.close();
    await waitFor(() => a.events.length === 4);
    expect(a.events[3]).toMatchObject({type: 'peer_down', generation: 2});
  });

  it('reports down once when the peer is not listening, and reconnects on a later send', async () => {
    const addresses: Addresses = new Map();
    const a = await start('a', addresses);
    const closed = await startPeer('b', addresses);
    await closed.adapter.close();
    send(a, 'b', 1);
    send(a, 'b', 2);
    await waitFor(() => eventsOf(a, 'peer_down').length === 1);
    const b = await startPeer('b', addresses, 'b-2');
    cleanups.push(() => b.adapter.close());
    let ask = 10;
    await waitFor(() => {
      send(a, 'b', ask++);
      return receivedAsks(b).length > 0;
    });
    expect(receivedAsks(b)).not.toContain(1);
    const down = eventsOf(a, 'peer_down').map(event => event.generation);
    const up = eventsOf(a, 'peer_up').map(event => event.generation);
    expect(new Set([...down, ...up]).size).toBe(down.length + up.length);
    expect(Math.max(...down)).toBeLessThan(Math.min(...up));
  });

  it('reports down when the address of a host is not known', async () => {
    const a = await start('a', new Map());
    send(a, 'nowhere', 1);
    expect(a.events).toEqual([]);
    await waitFor(() => a.events.length === 1);
    expect(a.events[0]).toMatchObject({type: 'peer_down', host: 'nowhere'});
  });

  it('bounds the messages that wait for a connection', async () => {
    const addresses: Addresses = new Map();
    const a = await start('a', addresses);
    await start('b', addresses);
    for (let ask = 0; ask <= MAX_WAITING_MESSAGES; ask++) {
      send(a, 'b', ask);
    }
    await waitFor(() => eventsOf(a, 'peer_down').length === 1);
  });

  it('detects a half-open connection and opens a new one', async () => {
    const addresses: Addresses = new Map();
    const a = await start('a', addresses);
    const b = await start('b', addresses);
    const relay = await startTcpRelay(b.port);
    cleanups.push(relay.close);
    addresses.set('b', `127.0.0.1:${relay.port}`);
    send(a, 'b', 1);
    await waitFor(() => receivedAsks(b).length === 1);
    const idleUntil = runtime.now() + 2 * RECEIVE_TIMEOUT_MS;
    await waitFor(() => runtime.now() > idleUntil);
    expect(eventsOf(a, 'peer_down')).toEqual([]);
    relay.isSilent = true;
    await waitFor(
      () =>
        eventsOf(a, 'peer_down').length === 1 &&
        eventsOf(b, 'peer_down').length === 1,
    );
    relay.isSilent = false;
    send(a, 'b', 2);
    await waitFor(() => receivedAsks(b).includes(2));
    expect(eventsOf(a, 'peer_up').map(event => event.generation)).toEqual([
      1, 2,
    ]);
  });

  it('ignores late frames of a connection that was replaced', async () => {
    const a = await start('a', new Map());
    const old = await connectAndSendHello(a.port, 'b', 'b-1');
    await connectAndSendHello(a.port, 'b', 'b-2');
    expect(eventsOf(a, 'peer_down')).toEqual([
      {type: 'peer_down', host: 'b', generation: 1},
    ]);
    old.send(
      encodeFrame({type: 'batch', stamp: STAMP, msgs: [createMessage(1)]}),
      () => undefined,
    );
    await waitFor(() => old.readyState === WebSocket.CLOSED);
    expect(receivedAsks(a)).toEqual([]);
    expect(eventsOf(a, 'peer_up').at(-1)?.generation).toBe(2);
  });

  it.each([
    ['bytes that are not a frame', Buffer.from([0xc1, 0xff, 0x00])],
    ['a text frame', 'hello'],
    [
      'a second hello',
      encodeFrame({
        type: 'hello',
        host: 'b',
        incarnation: 'b-1',
        stamp: STAMP,
      }),
    ],
  ])('closes only the connection that sent %s', async (_name, data) => {
    const addresses: Addresses = new Map();
    const a = await start('a', addresses);
    const c = await start('c', addresses);
    send(c, 'a', 1);
    await waitFor(() => receivedAsks(a).length === 1);
    const bad = await connectAndSendHello(a.port, 'b', 'b-1');
    bad.send(data);
    await waitFor(() => bad.readyState === WebSocket.CLOSED);
    await waitFor(() => eventsOf(a, 'peer_down').length === 1);
    expect(eventsOf(a, 'peer_down')[0]?.host).toBe('b');
    send(c, 'a', 2);
    await waitFor(() => receivedAsks(a).length === 2);
  });

  it('refuses a host that answers at the address of another host', async () => {
    const addresses: Addresses = new Map();
    const a = await start('a', addresses);
    const c = await start('c', addresses);
    addresses.set('b', `127.0.0.1:${c.port}`);
    send(a, 'b', 1);
    await waitFor(() => eventsOf(a, 'peer_down').length === 1);
    expect(receivedAsks(c)).toEqual([]);
  });

  it('sends pending messages before it closes', async () => {
    const addresses: Addresses = new Map();
    const a = await startPeer('a', addresses);
    const b = await start('b', addresses);
    send(a, 'b', 1);
    await waitFor(() => receivedAsks(b).length === 1);
    send(a, 'b', 2);
    await a.adapter.close();
    await waitFor(() => receivedAsks(b).length === 2);
    expect(a.events.at(-1)).toMatchObject({type: 'peer_down', generation: 1});
  });
});

describe('encodeFrame', () => {
  it('preserves bytes and large integers in parameters', () => {
    const params = [
      10n ** 18n,
      -5n,
      2n ** 64n - 1n,
      2n ** 70n,
      Buffer.from([0, 255]),
      1.5,
      2 ** 40,
      'é',
      null,
      true,
    ];
    const msg = {type: 'run', statement: {sql: 'SELECT ?', params}};
    const msgs = [msg as unknown as RunMessage];
    const data = encodeFrame({type: 'batch', stamp: STAMP, msgs});
    const frame = decodeFrame(data);
    expect(frame).toMatchObject({type: 'batch', msgs: [msg]});
    const read = (frame as unknown as {msgs: [typeof msg]}).msgs[0];
    expect(read.statement.params[4]).toBeInstanceOf(Uint8Array);
    expect(typeof read.statement.params[1]).toBe('bigint');
  });
});

describe('connections without a hello', () => {
  const UPGRADE =
    'GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n' +
    'Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n' +
    'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n';

  const open = (port: number): Socket => {
    const socket = connect({host: '127.0.0.1', port});
    socket.on('error', () => undefined).resume();
    cleanups.push(() => socket.destroy());
    return socket;
  };

  // Frames of up to 64 MiB were kept until the timeout of the hello.
  it('are closed after 64 KiB', async () => {
    const peer = await start('a', new Map());
    const socket = open(peer.port);
    socket.write(UPGRADE);
    // The header of a masked binary frame of 1 MiB, and a part of it.
    socket.write(Buffer.from('82ff0000000000100000dddddddd', 'hex'));
    socket.write(Buffer.alloc(100_000));
    await once(socket, 'close');
  });

  it('are closed when they are silent, upgraded or not', async () => {
    const peer = await start('a', new Map());
    const sockets = [open(peer.port), open(peer.port)];
    sockets[0]!.write(UPGRADE);
    await Promise.all(sockets.map(socket => once(socket, 'close')));
  });

  it('do not keep other hosts out', async () => {
    const addresses: Addresses = new Map();
    const a = await start('a', addresses);
    const b = await start('b', addresses);
    const sockets = Array.from({length: 100}, () => open(a.port));
    await Promise.all(sockets.map(socket => once(socket, 'connect')));
    b.adapter.performers.send({
      type: 'send',
      host: 'a',
      msg: createMessage(1),
    });
    await waitFor(() => receivedAsks(a).length === 1);
  });
});
