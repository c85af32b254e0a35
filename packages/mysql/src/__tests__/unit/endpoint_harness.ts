/** Starts an endpoint adapter and servers, and records the adapter's events. */

import {createServer as createMysqlServer, type Connection} from 'mysql2';
import {once} from 'node:events';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {expect} from 'vitest';
import type {ConnAnswer, Event, ParamValue, Result} from '@lacewingroad/core';
import {createSystemRuntime} from '@lacewingroad/runtime';
import {createEndpointAdapter, type EndpointAdapter} from '../../index.js';
import {
  ADDRESS,
  PASSWORD,
  startFakeCore,
  USER,
  type StatementHandler,
} from './fake_core.js';

export const SOURCE_ADDRESS = '127.0.0.9';
export const POLL_OPTIONS = {timeout: 10_000};
/** A timeout that must not expire during a test, in milliseconds. */
export const LONG_DEADLINE_MS = 20_000;
/** A timeout that a test lets expire, in milliseconds. */
export const SHORT_DEADLINE_MS = 300;

export const runtime = createSystemRuntime();
export const cleanups: (() => unknown)[] = [];
let adapter: EndpointAdapter;
let events: Event[] = [];

export function startAdapter(password = PASSWORD): void {
  adapter = createEndpointAdapter({
    runtime,
    sourceAddress: SOURCE_ADDRESS,
    user: USER,
    password,
  });
  events = [];
  adapter.events$.subscribe(event => events.push(event));
  cleanups.push(adapter.close);
}

/** Starts a TCP server that passes each socket to `onSocket`. */
export async function listenRaw(
  onSocket: (socket: Socket) => void,
): Promise<number> {
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    onSocket(socket);
  });
  server.listen(0, ADDRESS);
  await once(server, 'listening');
  cleanups.push(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

/** Starts a caller adapter as the server; it encodes values exactly. */
export async function startCallerAdapterServer(
  handleStatement: StatementHandler,
): Promise<number> {
  const core = await startFakeCore(handleStatement);
  cleanups.push(core.adapter.close);
  return core.adapter.port;
}

/** Starts mysql2's own server. */
export async function startMysql2Server(
  onConnection: (connection: Connection) => void,
): Promise<number> {
  const mysqlServer = createMysqlServer(connection => {
    connection.on('error', () => undefined);
    onConnection(connection);
  });
  const {_server: server} = mysqlServer as unknown as {_server: Server};
  server.listen(0, ADDRESS);
  await once(server, 'listening');
  cleanups.push(() => server.close());
  return (server.address() as AddressInfo).port;
}

export async function waitForEvent(count: number): Promise<Event> {
  await expect
    .poll(() => events.length, POLL_OPTIONS)
    .toBeGreaterThanOrEqual(count);
  return events[count - 1]!;
}

export async function openConn(
  port: number,
  timeoutMs = LONG_DEADLINE_MS,
): Promise<Event> {
  const deadline = runtime.now() + timeoutMs;
  const target = {address: ADDRESS, port, deadline};
  const before = events.length;
  adapter.performers.open_conn({
    type: 'open_conn',
    endpoint: 'e-1',
    conn: 1,
    ...target,
  });
  return waitForEvent(before + 1);
}

export function sendStatement(
  sql: string,
  params: readonly ParamValue[] | null,
  step = 1,
): void {
  adapter.performers.run_conn({
    type: 'run_conn',
    endpoint: 'e-1',
    conn: 1,
    step,
    statement: {sql, params},
  });
}

export async function runStatement(
  sql: string,
  params: readonly ParamValue[] | null = null,
): Promise<ConnAnswer> {
  const before = events.length;
  sendStatement(sql, params);
  const event = await waitForEvent(before + 1);
  return event.type === 'conn_answered'
    ? event.answer
    : expect.fail(`unexpected ${event.type}`);
}

export function probe(port: number, timeoutMs: number): void {
  adapter.performers.probe({
    type: 'probe',
    endpoint: 'e-1',
    address: ADDRESS,
    port,
    deadline: runtime.now() + timeoutMs,
  });
}

export function decodeRows(
  result: Result,
): readonly (readonly (string | null)[])[] {
  return result.type === 'ok'
    ? []
    : result.rows.map(row =>
        row.map(cell =>
          cell === null ? null : Buffer.from(cell).toString('latin1'),
        ),
      );
}

/** Returns the adapter that was started last. */
export function getAdapter(): EndpointAdapter {
  return adapter;
}

/** Returns the events that this adapter has emitted. */
export function getEvents(): readonly Event[] {
  return events;
}

/** Closes everything that the test opened. */
export async function closeAll(): Promise<void> {
  await Promise.all(cleanups.splice(0).map(cleanup => cleanup()));
}
