/** A caller adapter before a fake core, and clients of it. */

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
  type Answerer,
  type FakeCore,
} from './fake_core.js';

/** What is closed at the end of a test. */
export const open: {end: () => unknown}[] = [];
let core: FakeCore;

export async function start(
  answer: Answerer,
  more: Partial<CallerAdapterConfig> = {},
): Promise<void> {
  core = await startFakeCore(answer, more);
  open.push({end: core.adapter.close});
}

export async function login(database?: string): Promise<Connection> {
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
  open.push(connection);
  return connection;
}

export async function loginMariadb(
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
  open.push(connection);
  return connection;
}

export async function openRaw(): Promise<Socket> {
  const socket = connect(core.adapter.port, ADDRESS);
  socket.on('error', () => undefined);
  open.push({end: () => socket.destroy()});
  await once(socket, 'data');
  return socket;
}

export function statementsSeen(): readonly Statement[] {
  return core.events.flatMap(event =>
    event.type === 'caller_statement' ? [event.statement] : [],
  );
}

/** The fake core that was started last. */
export function getCore(): FakeCore {
  return core;
}

/** Closes what the test opened. */
export async function closeAll(): Promise<void> {
  await Promise.all(open.splice(0).map(one => one.end()));
}
