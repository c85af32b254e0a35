import type {Socket} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {ok} from './fake_core.js';
import {
  POLL_OPTIONS,
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

  // The endpoint went on counting connections that had gone silent, and
  // refused new ones.
  test('ends a session that gave no answer over the next connection', async () => {
    const tokens: (string | undefined)[] = [];
    const queries: string[][] = [];
    const port = await startMysql2Server(connection => {
      const index = queries.push([]) - 1;
      connection.serverHandshake({
        protocolVersion: 10,
        serverVersion: '8',
        connectionId: 41 + index,
        statusFlags: 2,
        characterSet: 45,
        capabilityFlags: 0xb3fe00 & ~0x800000,
      });
      connection.on('query', (sql: string) => {
        const {clientHelloReply} = connection as unknown as {
          clientHelloReply: {connectAttributes: Record<string, string>};
        };
        tokens[index] =
          clientHelloReply.connectAttributes['lacewingroad_session'];
        queries[index]!.push(sql);
        if (sql.startsWith('SELECT PROCESSLIST_ID')) {
          const column = {
            catalog: 'def',
            schema: '',
            table: '',
            orgTable: '',
            name: 'PROCESSLIST_ID',
            orgName: '',
            characterSet: 45,
            columnLength: 20,
            columnType: 8,
            flags: 0,
            decimals: 0,
          };
          connection.writeTextResult([{PROCESSLIST_ID: 41}], [column] as never);
        } else if (!sql.startsWith('SELECT')) {
          connection.writeOk();
        }
      });
    });
    startAdapter();
    const {performers} = getAdapter();
    const close = (): void =>
      performers.close_conn({type: 'close_conn', endpoint: 'e-1', conn: 1});
    await openConn(port);
    sendStatement('SELECT 1', null);
    await expect.poll(() => queries[0], POLL_OPTIONS).toEqual(['SELECT 1']);
    close();
    await openConn(port);
    await expect.poll(() => queries[1]?.length, POLL_OPTIONS).toBe(2);
    expect(queries[1]![0]).toContain(`ATTR_VALUE IN ('${tokens[0]}')`);
    expect(queries[1]![1]).toBe('KILL CONNECTION 41');
    expect(tokens[1]).not.toBe(tokens[0]);
    close();
    await openConn(port);
    sendStatement('DO 1', null);
    await expect.poll(() => queries[2], POLL_OPTIONS).toEqual(['DO 1']);
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
