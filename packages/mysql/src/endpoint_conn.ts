/** One connection to an endpoint over the mysql2 client. */

import mysql, {createConnection} from 'mysql2';
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
import {readFault, type LibraryError} from './conn_fault.js';
import {
  AnswerCollector,
  type LibraryOk,
  type LibraryRow,
} from './endpoint_answer.js';
import {KEEPALIVE_DELAY_MS, MAX_ENDPOINT_STATEMENTS} from './limits.js';

/** How connections to endpoints are made. */
export interface EndpointConnConfig {
  readonly runtime: Runtime;
  /** Address that outgoing sockets bind. */
  readonly sourceAddress: string;
  readonly user: string;
  readonly password: string;
  /** Database named at login, or undefined for none. */
  readonly database?: string;
}

/** Where and until when to connect. */
export interface EndpointTarget {
  readonly address: string;
  readonly port: number;
  readonly deadline: Instant;
}

/** Told what becomes of a connection; at most one `onLost`, then silence. */
export interface EndpointConnListener {
  readonly onOpen: () => void;
  readonly onLost: (fault: ConnFault, wasOpen: boolean) => void;
}

/** A connection to an endpoint. */
export interface EndpointConn {
  /** Runs a statement after those given before; `done` is not called if lost. */
  readonly run: (
    statement: Statement,
    done: (answer: ConnAnswer) => void,
  ) => void;
  /** Closes at once; the listener is not called any more. */
  readonly destroy: () => void;
}

/** The largest signed 64-bit integer. */
const MAX_INT64 = 2n ** 63n - 1n;

/** mysql2's client with what its type declarations leave out. */
interface LibraryConnection extends EventEmitter {
  readonly serverStatus: number;
  readonly query: (options: LibraryStatement) => EventEmitter;
  readonly execute: (options: LibraryStatement) => EventEmitter;
}

interface LibraryStatement {
  readonly sql: string;
  readonly values?: readonly unknown[];
}

/** Opens a connection; whatever happens comes to `listener`. */
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
  const library = createClient(cfg, socket);
  let isOpen = false;
  let isOver = false;

  const end = (): void => {
    isOver = true;
    cancelDeadline();
    socket.destroy();
  };
  const lose = (fault: ConnFault): void => {
    if (isOver) {
      return;
    }
    end();
    listener.onLost(fault, isOpen);
  };
  const cancelDeadline = cfg.runtime.at(target.deadline, () => lose('timeout'));

  library.on('error', (err: LibraryError) => lose(readFault(err)));
  socket.on('close', () => lose('reset'));
  library.once('connect', () => {
    if (isOver) {
      return;
    }
    isOpen = true;
    cancelDeadline();
    listener.onOpen();
  });

  return {
    destroy: end,
    run: (statement, done) => {
      if (isOver) {
        return;
      }
      runStatement(library, statement, answer => {
        if (!isOver) {
          done(answer);
        }
      });
    },
  };
}

/** Sends nothing on connecting besides the handshake. */
function createClient(
  cfg: EndpointConnConfig,
  socket: Socket,
): LibraryConnection {
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
  });
  return connection as unknown as LibraryConnection;
}

function runStatement(
  library: LibraryConnection,
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
    done(collector.finish(library.serverStatus));
  };
  const command =
    params === null
      ? library.query({sql})
      : library.execute({sql, values: params.map(toLibraryParam)});
  command.on('fields', (fields: readonly Column[] | undefined) =>
    collector.addColumns(fields),
  );
  command.on('result', (value: LibraryRow | LibraryOk, index = 0) =>
    collector.addResult(value, index),
  );
  command.on('error', (err: LibraryError) => collector.addError(err));
  command.on('end', finish);
}

/** Keeps 64-bit integers and bytes exact. */
function toLibraryParam(value: ParamValue): unknown {
  if (typeof value === 'bigint') {
    return toLibraryInteger(value);
  }
  return value instanceof Uint8Array ? Buffer.from(value) : value;
}

function toLibraryInteger(value: bigint): unknown {
  const {LONGLONG} = mysql.TypedParameter;
  return value > MAX_INT64 ? LONGLONG.unsigned(value) : LONGLONG(value);
}
