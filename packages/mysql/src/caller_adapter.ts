/** Accepts callers: a MySQL server built on mysql2. */

import {createServer} from 'mysql2';
import {once} from 'node:events';
import type {AddressInfo, Server} from 'node:net';
import {Subject} from 'rxjs';
import type {Adapter, CallerId, Event} from '@lacewingroad/core';
import type {Runtime} from '@lacewingroad/runtime';
import {encodeError} from './answer.js';
import type {CallerUser} from './auth.js';
import {
  createCallerConnection,
  type CallerConnection,
} from './caller_connection.js';
import type {ServerConnection} from './mysql2_types.js';
import {MAX_CALLERS, MAX_HANDSHAKES} from './limits.js';
import {SqlErrors} from './protocol.js';

const DEFAULT_SERVER_VERSION = '8.0.36-lacewingroad';
/** Sequence number of the greeting, the first packet of a server. */
const GREETING_SEQUENCE = 0;

/** Settings of a caller adapter. */
export interface CallerAdapterConfig {
  readonly runtime: Runtime;
  readonly address: string;
  /** 0 for any free port. */
  readonly port: number;
  readonly users: readonly CallerUser[];
  /** Server version in the greeting. */
  readonly serverVersion?: string;
  /** Maximum number of concurrent callers; `MAX_CALLERS` when absent. */
  readonly maxCallers?: number;
}

/** A MySQL server that emits the callers' statements and sends the replies. */
export interface CallerAdapter extends Adapter<'reply' | 'close_caller'> {
  /** The port that the server listens on. */
  readonly port: number;
  /** Stops accepting connections; existing ones stay open. */
  readonly stopListening: () => void;
  /** Replaces the users that may log in; existing connections stay open. */
  readonly setUsers: (users: readonly CallerUser[]) => void;
}

function indexUsers(
  users: readonly CallerUser[],
): ReadonlyMap<string, CallerUser> {
  return new Map(users.map(user => [user.name, user]));
}

/**
 * Starts to listen for callers.
 *
 * @throws Error when the server cannot listen on the address.
 */
export async function createCallerAdapter(
  cfg: CallerAdapterConfig,
): Promise<CallerAdapter> {
  const events = new Subject<Event>();
  let users = indexUsers(cfg.users);
  const connections = new Set<CallerConnection>();
  const callers = new Map<CallerId, CallerConnection>();
  const maxCallers = cfg.maxCallers ?? MAX_CALLERS;
  let lastId = 0;

  const countHandshakes = (): number => connections.size - callers.size;

  const accept = (connection: ServerConnection): void => {
    if (countHandshakes() >= MAX_HANDSHAKES) {
      connection.on('error', () => connection.stream.destroy());
      connection.stream.end(
        encodeError(GREETING_SEQUENCE, SqlErrors.tooManyCallers),
      );
      connection.stream.destroySoon();
      return;
    }
    const removeCaller = (): void => {
      const id = callerConnection.getCaller();
      if (id !== null) {
        callers.delete(id);
      }
    };
    const callerConnection: CallerConnection = createCallerConnection(
      connection,
      {
        runtime: cfg.runtime,
        getUsers: () => users,
        serverVersion: cfg.serverVersion ?? DEFAULT_SERVER_VERSION,
        nextId: () => {
          removeCaller();
          lastId += 1;
          return lastId;
        },
        canAcceptCaller: () => callers.size < maxCallers,
        emit: event => events.next(event),
        onOpened: caller => callers.set(caller, callerConnection),
        onClosed: () => {
          removeCaller();
          connections.delete(callerConnection);
        },
      },
    );
    connections.add(callerConnection);
  };

  const mysqlServer = createServer(connection =>
    accept(connection as unknown as ServerConnection),
  );
  const server = (mysqlServer as unknown as {readonly _server: Server})._server;
  await listen(server, cfg.port, cfg.address);
  const closed = once(server, 'close');

  const stopListening = (): void => {
    if (server.listening) {
      server.close();
    }
  };

  return {
    events$: events.asObservable(),
    port: (server.address() as AddressInfo).port,
    stopListening,
    setUsers: next => {
      users = indexUsers(next);
    },
    performers: {
      reply: action =>
        callers.get(action.caller)?.reply(action.seq, action.reply),
      close_caller: action => callers.get(action.caller)?.end(),
    },
    close: async () => {
      stopListening();
      [...connections].forEach(connection => connection.destroy());
      await closed;
      events.complete();
    },
  };
}

function listen(server: Server, port: number, host: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      server.on('error', () => undefined);
      resolve();
    });
  });
}
