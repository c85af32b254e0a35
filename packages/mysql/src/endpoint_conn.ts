/** Opens connections to endpoints with the mysql2 client. */

import mysql, {createConnection} from 'mysql2';
import {randomUUID} from 'node:crypto';
import type {EventEmitter} from 'node:events';
import {connect, type Socket} from 'node:net';
import type {
  Column,
  ConnAnswer,
  ConnFault,
  Instant,
  ParamValue,
  Statement,
} from '@lacewingroad/core';
import type {Runtime} from '@lacewingroad/runtime';
import {classifyConnError, type Mysql2Error} from './conn_fault.js';
import {
  AnswerCollector,
  type Mysql2Ok,
  type Mysql2Row,
} from './endpoint_answer.js';
import {KEEPALIVE_DELAY_MS, MAX_ENDPOINT_STATEMENTS} from './limits.js';
import {SESSION_ATTRIBUTE} from './lost_sessions.js';
import type {LostSessions} from './lost_sessions.js';

/** Settings of connections to endpoints. */
export interface EndpointConnConfig {
  readonly runtime: Runtime;
  /** Local address of outgoing connections. */
  readonly sourceAddress: string;
  readonly user: string;
  readonly password: string;
  /** Database to select at login, or undefined for none. */
  readonly database?: string;
  /** Sessions to end over the next connections; none are if undefined. */
  readonly lostSessions?: LostSessions;
}

/** The address of an endpoint and the deadline for connecting. */
export interface EndpointTarget {
  readonly address: string;
  readonly port: number;
  readonly deadline: Instant;
}

/** Callbacks of a connection; no callback follows `onLost`. */
export interface EndpointConnListener {
  readonly onOpen: () => void;
  readonly onLost: (fault: ConnFault, wasOpen: boolean) => void;
}

/** A connection to an endpoint. */
export interface EndpointConn {
  /** Queues a statement; `done` is not called if the connection is lost. */
  readonly run: (
    statement: Statement,
    done: (answer: ConnAnswer) => void,
  ) => void;
  /** Closes the connection at once; no callback is called afterwards. */
  readonly destroy: () => void;
}

/** The largest signed 64-bit integer. */
const MAX_INT64 = 2n ** 63n - 1n;

/** mysql2's client, with members that its type declarations omit. */
interface Mysql2Connection extends EventEmitter {
  readonly serverStatus: number;
  readonly query: (options: Mysql2Statement) => EventEmitter;
  readonly execute: (options: Mysql2Statement) => EventEmitter;
}

interface Mysql2Statement {
  readonly sql: string;
  readonly values?: readonly unknown[];
}

/** Opens a connection and reports its progress to `listener`. */
export function openEndpointConn(
  cfg: EndpointConnConfig,
  target: EndpointTarget,
  listener: EndpointConnListener,
): EndpointConn {
  const socket = connect({
    host: target.address,
    port: target.port,
    localAddress: cfg.sourceAddress,
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEPALIVE_DELAY_MS,
  });
  const token = randomUUID();
  const address = `${target.address}:${target.port}`;
  const client = createClient(cfg, socket, token);
  let isOpen = false;
  let isClosed = false;
  let unanswered = 0;

  const close = (): void => {
    if (!isClosed && unanswered > 0) {
      cfg.lostSessions?.add(address, token);
    }
    isClosed = true;
    cancelDeadline();
    socket.destroy();
  };
  const failConn = (fault: ConnFault): void => {
    if (isClosed) {
      return;
    }
    close();
    listener.onLost(fault, isOpen);
  };
  const cancelDeadline = cfg.runtime.at(target.deadline, () =>
    failConn('timeout'),
  );

  client.on('error', (err: Mysql2Error) => failConn(classifyConnError(err)));
  socket.on('close', () => failConn('reset'));
  client.once('connect', () => {
    if (isClosed) {
      return;
    }
    isOpen = true;
    cancelDeadline();
    cfg.lostSessions?.end(address, run);
    listener.onOpen();
  });

  const run: EndpointConn['run'] = (statement, done) => {
    if (isClosed) {
      return;
    }
    unanswered += 1;
    runStatement(client, statement, answer => {
      unanswered -= 1;
      if (!isClosed) {
        done(answer);
      }
    });
  };

  return {destroy: close, run};
}

/** Creates a client that sends nothing but the handshake when it connects. */
function createClient(
  cfg: EndpointConnConfig,
  socket: Socket,
  token: string,
): Mysql2Connection {
  const connection = createConnection({
    stream: () => socket,
    user: cfg.user,
    password: cfg.password,
    ...(cfg.database === undefined ? {} : {database: cfg.database}),
    charset: 'UTF8MB4_GENERAL_CI',
    connectTimeout: 0,
    typeCast: false as never,
    rowsAsArray: true,
    supportBigNumbers: true,
    bigNumberStrings: true,
    maxPreparedStatements: MAX_ENDPOINT_STATEMENTS,
    flags: ['-LOCAL_FILES'],
    connectAttributes: {[SESSION_ATTRIBUTE]: token},
  });
  return connection as unknown as Mysql2Connection;
}

function runStatement(
  client: Mysql2Connection,
  statement: Statement,
  done: (answer: ConnAnswer) => void,
): void {
  const {sql, params} = statement;
  const collector = new AnswerCollector(params !== null);
  let isDone = false;
  const finish = (): void => {
    if (isDone) {
      return;
    }
    isDone = true;
    done(collector.finish(client.serverStatus));
  };
  const command =
    params === null
      ? client.query({sql})
      : client.execute({sql, values: params.map(toMysql2Param)});
  command.on('fields', (fields: readonly Column[] | undefined) =>
    collector.addColumns(fields),
  );
  command.on('result', (value: Mysql2Row | Mysql2Ok, index = 0) =>
    collector.addResult(value, index),
  );
  command.on('error', (err: Mysql2Error) => collector.addError(err));
  command.on('end', finish);
}

/** Converts a parameter for mysql2; 64-bit integers and bytes stay exact. */
function toMysql2Param(value: ParamValue): unknown {
  if (typeof value === 'bigint') {
    return toMysql2Integer(value);
  }
  return value instanceof Uint8Array ? Buffer.from(value) : value;
}

function toMysql2Integer(value: bigint): unknown {
  const {LONGLONG} = mysql.TypedParameter;
  return value > MAX_INT64 ? LONGLONG.unsigned(value) : LONGLONG(value);
}
