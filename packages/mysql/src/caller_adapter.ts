/** The adapter towards callers: a MySQL server over mysql2. */

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
import type {ServerConnection} from './library.js';
import {MAX_CALLERS, MAX_HANDSHAKES} from './limits.js';
import {SqlErrors} from './protocol.js';

const DEFAULT_SERVER_VERSION = '8.0.36-lacewingroad';
/** Sequence number of the first packet that a server sends. */
const GREETING_SEQUENCE = 0;

/** Settings of a caller adapter. */
export interface CallerAdapterConfig {
  readonly runtime: Runtime;
  readonly address: string;
  /** 0 for any free port. */
  readonly port: number;
  readonly users: readonly CallerUser[];
  /** Version that the greeting states. */
  readonly serverVersion?: string;
  /** Callers at once; `MAX_CALLERS` when absent. */
  readonly maxCallers?: number;
}

/** The adapter towards callers. */
export interface CallerAdapter extends Adapter<'reply' | 'close_caller'> {
  /** The port it listens on. */
  readonly port: number;
  /** Takes no new callers; those connected go on. */
  readonly stopListening: () => void;
  /** Replaces the users that may log in; callers logged in go on. */
  readonly setUsers: (users: readonly CallerUser[]) => void;
}

function indexUsers(
  users: readonly CallerUser[],
): ReadonlyMap<string, CallerUser> {
  return new Map(users.map(user => [user.name, user]));
}

/**
 * Listens for callers.
 *
 * @throws Error when the address cannot be listened on.
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
    const forget = (): void => {
      const id = created.getCaller();
      if (id !== null) {
        callers.delete(id);
      }
    };
    const created: CallerConnection = createCallerConnection(connection, {
      runtime: cfg.runtime,
      readUsers: () => users,
      serverVersion: cfg.serverVersion ?? DEFAULT_SERVER_VERSION,
      nextId: () => {
        forget();
        lastId += 1;
        return lastId;
      },
      hasRoom: () => callers.size < maxCallers,
      emit: event => events.next(event),
      onOpened: caller => callers.set(caller, created),
      onClosed: () => {
        forget();
        connections.delete(created);
      },
    });
    connections.add(created);
  };

  const library = createServer(connection =>
    accept(connection as unknown as ServerConnection),
  );
  const server = (library as unknown as {readonly _server: Server})._server;
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
