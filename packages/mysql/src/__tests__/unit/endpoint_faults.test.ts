import type {Socket} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {ok} from './fake_core.js';
import {
  SHORT_DEADLINE_MS,
  cleanups,
  startAdapter,
  listenRaw,
  startCallerAdapterServer,
  startMysql2Server,
  waitForEvent,
  openConn,
  sendStatement,
  getAdapter,
  getEvents,
  closeAll,
} from './endpoint_harness.js';

afterEach(closeAll);

describe('faults', () => {
  test('refused', async () => {
    const port = await listenRaw(() => undefined);
    await Promise.all(cleanups.splice(0).map(cleanup => cleanup()));
    startAdapter();
    expect(await openConn(port)).toMatchObject({
      fault: 'refused',
      wasOpen: false,
    });
  });

  test('error 1040 is reported as too_many', async () => {
    const port = await startMysql2Server(connection => {
      connection.writeError({code: 1040, message: 'Too many connections'});
      (connection as unknown as {stream: Socket}).stream.end();
    });
    startAdapter();
    expect(await openConn(port)).toMatchObject({fault: 'too_many'});
  });

  test('a wrong password is reported as access_denied', async () => {
    const port = await startCallerAdapterServer(() => ok());
    startAdapter('wrong');
    expect(await openConn(port)).toMatchObject({fault: 'access_denied'});
  });

  test('an endpoint that does not answer times out', async () => {
    const port = await listenRaw(() => undefined);
    startAdapter();
    expect(await openConn(port, SHORT_DEADLINE_MS)).toMatchObject({
      type: 'conn_closed',
      fault: 'timeout',
      wasOpen: false,
    });
  });

  test('a connection to a server of another protocol is closed', async () => {
    const port = await listenRaw(socket => socket.write('220 smtp ready\r\n'));
    startAdapter();
    const event = await openConn(port, SHORT_DEADLINE_MS);
    expect(event).toMatchObject({type: 'conn_closed', wasOpen: false});
  });

  test('a connection reset during a statement emits conn_closed only', async () => {
    let sockets: Socket[] = [];
    const port = await startMysql2Server(connection => {
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
    await openConn(port);
    sendStatement('SELECT 1', null);
    expect(await waitForEvent(2)).toEqual({
      type: 'conn_closed',
      endpoint: 'e-1',
      conn: 1,
      fault: 'reset',
      wasOpen: true,
    });
    sendStatement('SELECT 2', null);
    expect(getEvents()).toHaveLength(2);
  });

  test('emits no event after close_conn', async () => {
    const port = await startCallerAdapterServer(
      () => new Promise(() => undefined),
    );
    startAdapter();
    await openConn(port);
    sendStatement('SELECT 1', null);
    const endpoint = 'e-1';
    getAdapter().performers.close_conn({type: 'close_conn', endpoint, conn: 1});
    await openConn(port);
    expect(getEvents().map(event => event.type)).toEqual([
      'conn_opened',
      'conn_opened',
    ]);
  });
});
