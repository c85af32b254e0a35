/** An endpoint adapter, servers for it to meet, and what it tells. */

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
  type Answerer,
} from './fake_core.js';

export const SOURCE_ADDRESS = '127.0.0.9';
export const WAIT = {timeout: 10_000};
/** Time until deadlines that must not fire, and that must, in ms. */
export const FAR_MS = 20_000;
export const NEAR_MS = 300;

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

/** Listens with a function that gets each socket. */
export async function listen(
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

/** Listens with the caller adapter, which writes exact values. */
export async function listenExact(answer: Answerer): Promise<number> {
  const core = await startFakeCore(answer);
  cleanups.push(core.adapter.close);
  return core.adapter.port;
}

/** Listens with the library's own server, as a plain endpoint would. */
export async function listenPlain(
  onConnection: (connection: Connection) => void,
): Promise<number> {
  const library = createMysqlServer(connection => {
    connection.on('error', () => undefined);
    onConnection(connection);
  });
  const {_server: server} = library as unknown as {_server: Server};
  server.listen(0, ADDRESS);
  await once(server, 'listening');
  cleanups.push(() => server.close());
  return (server.address() as AddressInfo).port;
}

export async function nextEvent(count: number): Promise<Event> {
  await expect.poll(() => events.length, WAIT).toBeGreaterThanOrEqual(count);
  return events[count - 1]!;
}

export async function open(port: number, ms = FAR_MS): Promise<Event> {
  const deadline = runtime.now() + ms;
  const target = {address: ADDRESS, port, deadline};
  const before = events.length;
  adapter.performers.open_conn({
    type: 'open_conn',
    endpoint: 'e-1',
    conn: 1,
    ...target,
  });
  return nextEvent(before + 1);
}

export function run(
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

export async function answerOf(
  sql: string,
  params: readonly ParamValue[] | null = null,
): Promise<ConnAnswer> {
  const before = events.length;
  run(sql, params);
  const event = await nextEvent(before + 1);
  return event.type === 'conn_answered'
    ? event.answer
    : expect.fail(`unexpected ${event.type}`);
}

export function probe(port: number, ms: number): void {
  adapter.performers.probe({
    type: 'probe',
    endpoint: 'e-1',
    address: ADDRESS,
    port,
    deadline: runtime.now() + ms,
  });
}

export function readTexts(
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

/** The adapter that was started last. */
export function getAdapter(): EndpointAdapter {
  return adapter;
}

/** What that adapter told since its start. */
export function getEvents(): readonly Event[] {
  return events;
}

/** Closes what the test opened. */
export async function closeAll(): Promise<void> {
  await Promise.all(cleanups.splice(0).map(cleanup => cleanup()));
}
