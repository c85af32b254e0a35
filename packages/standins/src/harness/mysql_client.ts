/** Opens MySQL connections from a given source address. */

import {connect} from 'node:net';
import {createConnection} from 'mysql2/promise';
import type {Connection} from 'mysql2/promise';
import type {HostPort} from '../http.js';

/** Options of a MySQL connection. */
export interface ClientOptions {
  readonly to: HostPort;
  /** Source address, which determines the fault rules that apply. */
  readonly from?: string;
  readonly user: string;
  readonly password: string;
  readonly database?: string;
  readonly connectAttributes?: Readonly<Record<string, string>>;
  readonly connectTimeoutMs?: number;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 5_000;

/** Opens a connection. Rejects with the server's or the socket's error. */
export async function openMysql(options: ClientOptions): Promise<Connection> {
  const {to, from, user, password, database, connectAttributes} = options;
  const stream = connect({
    ...to,
    noDelay: true,
    ...(from === undefined ? {} : {localAddress: from}),
  });
  stream.on('error', () => undefined);
  const connection = await createConnection({
    stream,
    user,
    password,
    connectTimeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
    ...(database === undefined ? {} : {database}),
    ...(connectAttributes === undefined ? {} : {connectAttributes}),
  });
  // Without a listener, a lost connection would crash the test process.
  connection.on('error', () => undefined);
  return connection;
}
