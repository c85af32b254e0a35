/** Starts a caller adapter with a fake core, and connects clients to it. */

import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {createConnection as createMariadb} from 'mariadb';
import mysql, {type Connection} from 'mysql2/promise';
import type {Statement} from '@lacewingroad/core';
import type {CallerAdapterConfig} from '../../index.js';
import {
  ADDRESS,
  PASSWORD,
  startFakeCore,
  USER,
  type StatementHandler,
  type FakeCore,
} from './fake_core.js';

/** Resources to close at the end of a test. */
export const openResources: {end: () => unknown}[] = [];
let core: FakeCore;

export async function startAdapter(
  handleStatement: StatementHandler,
  overrides: Partial<CallerAdapterConfig> = {},
): Promise<void> {
  core = await startFakeCore(handleStatement, overrides);
  openResources.push({end: core.adapter.close});
}

export async function connectMysql2(database?: string): Promise<Connection> {
  const connection = await mysql.createConnection({
    host: ADDRESS,
    port: core.adapter.port,
    user: USER,
    password: PASSWORD,
    supportBigNumbers: true,
    bigNumberStrings: true,
    dateStrings: true,
    rowsAsArray: true,
    connectAttributes: {lacewingroad_session: 'abc'},
    ...(database === undefined ? {} : {database}),
  });
  openResources.push(connection);
  return connection;
}

export async function connectMariadb(
  database?: string,
): ReturnType<typeof createMariadb> {
  const connection = await createMariadb({
    host: ADDRESS,
    port: core.adapter.port,
    user: USER,
    password: PASSWORD,
    bigIntAsNumber: false,
    dateStrings: true,
    rowsAsArray: true,
    ...(database === undefined ? {} : {database}),
  });
  openResources.push(connection);
  return connection;
}

export async function openRawSocket(): Promise<Socket> {
  const socket = connect(core.adapter.port, ADDRESS);
  socket.on('error', () => undefined);
  openResources.push({end: () => socket.destroy()});
  await once(socket, 'data');
  return socket;
}

export function getReceivedStatements(): readonly Statement[] {
  return core.events.flatMap(event =>
    event.type === 'caller_statement' ? [event.statement] : [],
  );
}

/** Returns the fake core that was started last. */
export function getCore(): FakeCore {
  return core;
}

/** Closes all resources that the test opened. */
export async function closeAll(): Promise<void> {
  await Promise.all(openResources.splice(0).map(resource => resource.end()));
}
