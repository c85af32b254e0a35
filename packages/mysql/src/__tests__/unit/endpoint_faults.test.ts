import type {Socket} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {ok} from './fake_core.js';
import {
  NEAR_MS,
  cleanups,
  startAdapter,
  listen,
  listenExact,
  listenPlain,
  nextEvent,
  open,
  run,
  getAdapter,
  getEvents,
  closeAll,
} from './endpoint_story.js';

afterEach(closeAll);

describe('faults', () => {
  test('refused', async () => {
    const port = await listen(() => undefined);
    await Promise.all(cleanups.splice(0).map(cleanup => cleanup()));
    startAdapter();
    expect(await open(port)).toMatchObject({fault: 'refused', wasOpen: false});
  });

  test('too many', async () => {
    const port = await listenPlain(connection => {
      connection.writeError({code: 1040, message: 'Too many connections'});
      (connection as unknown as {stream: Socket}).stream.end();
    });
    startAdapter();
    expect(await open(port)).toMatchObject({fault: 'too_many'});
  });

  test('access denied', async () => {
    const port = await listenExact(() => ok());
    startAdapter('wrong');
    expect(await open(port)).toMatchObject({fault: 'access_denied'});
  });

  test('a silent endpoint times out', async () => {
    const port = await listen(() => undefined);
    startAdapter();
    expect(await open(port, NEAR_MS)).toMatchObject({
      type: 'conn_closed',
      fault: 'timeout',
      wasOpen: false,
    });
  });

  test('an endpoint that speaks another protocol', async () => {
    const port = await listen(socket => socket.write('220 smtp ready\r\n'));
    startAdapter();
    const event = await open(port, NEAR_MS);
    expect(event).toMatchObject({type: 'conn_closed', wasOpen: false});
  });

  test('a connection reset during a statement gives no answer', async () => {
    let sockets: Socket[] = [];
    const port = await listenPlain(connection => {
      sockets = [(connection as unknown as {stream: Socket}).stream];
      connection.serverHandshake({
        protocolVersion: 10,
        serverVersion: '8',
        connectionId: 1,
        statusFlags: 2,
        characterSet: 45,
        capabilityFlags: 0xb3fe00 & ~0x800000,
      });
      connection.on('query', () => sockets[0]!.resetAndDestroy());
    });
    startAdapter();
    await open(port);
    run('SELECT 1', null);
    expect(await nextEvent(2)).toEqual({
      type: 'conn_closed',
      endpoint: 'e-1',
      conn: 1,
      fault: 'reset',
      wasOpen: true,
    });
    run('SELECT 2', null);
    expect(getEvents()).toHaveLength(2);
  });

  test('nothing follows a close', async () => {
    const port = await listenExact(() => new Promise(() => undefined));
    startAdapter();
    await open(port);
    run('SELECT 1', null);
    const endpoint = 'e-1';
    getAdapter().performers.close_conn({type: 'close_conn', endpoint, conn: 1});
    await open(port);
    expect(getEvents().map(event => event.type)).toEqual([
      'conn_opened',
      'conn_opened',
    ]);
  });
});
