/**
 * Simulates one endpoint of a replicated ledger database over the MySQL
 * protocol.
 */

import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import mysql from 'mysql2';
import {waitUntil} from '@lacewingroad/runtime';
import type {Runtime, Unregister} from '@lacewingroad/runtime';
import {listen, startControl, trackSockets} from '../http.js';
import type {HostPort} from '../http.js';
import type {Standin} from '../platform/platform.js';
import {createResponseWriter, serveCommands} from './connection.js';
import {createLedger} from './ledger.js';
import type {FollowTarget, Ledger} from './ledger.js';
import {REPLICATION_USER, startReplication} from './replication.js';
import type {Replication} from './replication.js';
import {createSession} from './session.js';
import type {SessionDeps} from './session.js';
import {createSlots} from './slots.js';
import {createTable} from './table_store.js';
import type {Table} from './table_store.js';
import {LEDGER_ERRORS} from './values.js';
import type {ColumnDef, SqlValue} from './values.js';
import {encodeError} from './wire.js';

const SERVER_VERSION = '8.0.36-ledger';
const DEFAULT_SLOTS = 3;
const DEFAULT_MAX_CONNECTIONS = 24;
const DEFAULT_CONNECT_MS = 10;
const DEFAULT_LOCK_WAIT_MS = 2_000;
const CHARSET_UTF8MB4 = 45;
/** Server capability flags for protocol 4.1. */
const CAPABILITIES = [
  0x1, // LONG_PASSWORD
  0x2, // FOUND_ROWS
  0x4, // LONG_FLAG
  0x8, // CONNECT_WITH_DB
  0x200, // PROTOCOL_41
  0x2000, // TRANSACTIONS
  0x8000, // SECURE_CONNECTION
  0x8_0000, // PLUGIN_AUTH
  0x10_0000, // CONNECT_ATTRS
].reduce((flags, flag) => flags | flag, 0);

/** Behavior of an endpoint that tests can change at run time. */
export interface EndpointSwitches {
  /** Age of a replicated entry when it is applied, in milliseconds. */
  readonly lagMs: number;
  /** Time that a data statement occupies its slot, in milliseconds. */
  readonly serviceMs: number;
  /** Delay before the handshake of a new connection, in milliseconds. */
  readonly connectMs: number;
  /** A paused endpoint sends no responses. */
  readonly paused: boolean;
}

/** Settings of a simulated endpoint. */
export interface EndpointConfig {
  readonly id: string;
  readonly listen: HostPort;
  readonly control: HostPort;
  readonly role: 'primary' | 'replica';
  readonly term: number;
  readonly follow?: FollowTarget;
  readonly slots?: number;
  readonly maxConnections?: number;
  readonly lockWaitMs?: number;
  readonly lagMs?: number;
  readonly serviceMs?: number;
  readonly connectMs?: number;
  /** Source address of outgoing connections. */
  readonly address?: string;
}

/** The part of a mysql2 server connection that is used here. */
interface ServerConnection {
  readonly serverHandshake: (args: Readonly<Record<string, unknown>>) => void;
  readonly on: (event: 'error', fn: (err: unknown) => void) => void;
  readonly clientHelloReply: {
    readonly connectAttributes?: Readonly<Record<string, string>>;
  };
  sequenceId: number;
  handlePacket: (packet: ServerPacket) => void;
}

interface ServerPacket {
  readonly buffer: Buffer;
  readonly offset: number;
  readonly end: number;
}

interface LoginInfo {
  readonly user: string;
  readonly database: string;
}

interface Counters {
  connections: number;
  connectionsTotal: number;
  connectionsRefused: number;
  statementsTotal: number;
  dataStatementsTotal: number;
}

/** A logged-in connection. */
interface Login {
  readonly socket: Socket;
  readonly user: string;
  readonly attributes: Readonly<Record<string, string>>;
}

/** The system table of the connection attributes of a user's sessions. */
const ATTRIBUTES = 'session_account_connect_attrs';

function listAttributes(
  logins: ReadonlyMap<number, Login>,
  ofUser: string,
): Table {
  const column = (name: string, kind: ColumnDef['kind']): ColumnDef => ({
    name,
    kind,
    table: ATTRIBUTES,
    isAutoIncrement: false,
  });
  const table = createTable({
    name: ATTRIBUTES,
    columns: [
      column('PROCESSLIST_ID', 'bigint'),
      column('ATTR_NAME', 'string'),
      column('ATTR_VALUE', 'string'),
    ],
    keys: [],
  });
  const own = [...logins].filter(([, {user}]) => user === ofUser);
  for (const [id, {attributes}] of own) {
    for (const [name, value] of Object.entries(attributes)) {
      const recordId = table.nextRecordId++;
      const committed = [id, name, value];
      table.records.set(recordId, {id: recordId, committed, pending: null});
    }
  }
  return table;
}

/** Starts a simulated endpoint. */
export async function startEndpoint(
  cfg: EndpointConfig,
  runtime: Runtime,
): Promise<Standin> {
  const ledger = createLedger(cfg.role, cfg.term, cfg.follow ?? null);
  const slots = createSlots(cfg.slots ?? DEFAULT_SLOTS);
  const maxConnections = cfg.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  const pauseWaiters = new Set<() => void>();
  const counters: Counters = {
    connections: 0,
    connectionsTotal: 0,
    connectionsRefused: 0,
    statementsTotal: 0,
    dataStatementsTotal: 0,
  };
  let nextConnectionId = 1;
  let switches: EndpointSwitches = {
    lagMs: cfg.lagMs ?? 0,
    serviceMs: cfg.serviceMs ?? 0,
    connectMs: cfg.connectMs ?? DEFAULT_CONNECT_MS,
    paused: false,
  };

  const replication = startReplication(
    ledger,
    () => ({lagMs: switches.lagMs, isPaused: switches.paused}),
    cfg.address ?? null,
    runtime,
  );

  const waitWhilePaused = async (): Promise<void> => {
    while (switches.paused) {
      await new Promise<void>(resolve => pauseWaiters.add(resolve));
    }
  };

  const logins = new Map<number, Login>();

  const deps: Omit<SessionDeps, 'systemTable'> = {
    kill: id => {
      logins.get(id)?.socket.destroy();
      return logins.has(id);
    },
    ledger,
    slots,
    runtime,
    serviceMs: () => switches.serviceMs,
    lockWaitMs: cfg.lockWaitMs ?? DEFAULT_LOCK_WAIT_MS,
    variable: name => readVariable(name, ledger, replication),
    onStatement: () => {
      counters.statementsTotal += 1;
    },
    onDataStatement: () => {
      counters.dataStatementsTotal += 1;
    },
  };

  const logIn = (
    socket: Socket,
    connection: ServerConnection,
    id: number,
    info: LoginInfo,
    accept: () => void,
  ): void => {
    const isReplication = info.user === REPLICATION_USER;
    if (!isReplication && counters.connections >= maxConnections) {
      counters.connectionsRefused += 1;
      const writer = createResponseWriter(socket, connection.sequenceId);
      writer.writePacket(encodeError(LEDGER_ERRORS.tooManyConnections()));
      void writer.flush();
      socket.end();
      return;
    }
    const {user, database = ''} = info;
    const systemTable: SessionDeps['systemTable'] = name =>
      name === ATTRIBUTES ? listAttributes(logins, user) : null;
    const session = createSession({...deps, systemTable}, database);
    const attributes = connection.clientHelloReply.connectAttributes ?? {};
    logins.set(id, {socket, user, attributes});
    if (!isReplication) {
      counters.connections += 1;
      counters.connectionsTotal += 1;
    }
    socket.on('close', () => {
      session.close();
      logins.delete(id);
      counters.connections -= isReplication ? 0 : 1;
    });
    const serve = serveCommands(socket, session, waitWhilePaused);
    connection.handlePacket = packet =>
      serve(packet.buffer.subarray(packet.offset, packet.end));
    accept();
  };

  const startHandshake = async (socket: Socket): Promise<void> => {
    const handshakeAt = runtime.now() + switches.connectMs;
    await waitUntil(runtime, handshakeAt);
    await waitWhilePaused();
    if (socket.destroyed) {
      return;
    }
    const connection = createServerConnection(socket);
    connection.on('error', () => socket.destroy());
    const id = nextConnectionId++;
    connection.serverHandshake({
      protocolVersion: 10,
      serverVersion: SERVER_VERSION,
      connectionId: id,
      statusFlags: 2,
      characterSet: CHARSET_UTF8MB4,
      capabilityFlags: CAPABILITIES,
      authCallback: (info: LoginInfo, done: (err: null) => void) =>
        logIn(socket, connection, id, info, () => done(null)),
    });
  };

  const server: Server = createServer({noDelay: true}, socket => {
    socket.on('error', () => socket.destroy());
    startHandshake(socket).catch(() => socket.destroy());
  });
  const sockets = trackSockets(server);
  const address = await listen(server, cfg.listen);

  const applySwitches = (next: Partial<EndpointSwitches>): void => {
    switches = {...switches, ...next};
    if (!switches.paused) {
      const waiters: readonly Unregister[] = [...pauseWaiters];
      pauseWaiters.clear();
      waiters.forEach(fn => fn());
    }
  };

  const control = await startControl(cfg.control, {
    'PUT /control': (_req, body) => {
      applySwitches(body as Partial<EndpointSwitches>);
      return {status: 200, body: switches};
    },
    'GET /control/state': () => ({
      status: 200,
      body: {
        id: cfg.id,
        ...describeLedger(ledger, replication),
        ...counters,
        slotsBusy: slots.busy(),
        slotsWaiting: slots.waiting(),
        switches,
      },
    }),
  });

  return {
    address,
    control: control.address,
    close: async () => {
      replication.close();
      const closed = new Promise<void>(resolve =>
        server.close(() => resolve()),
      );
      sockets.forEach(socket => socket.destroy());
      await Promise.all([closed, control.close()]);
    },
  };
}

/** Wraps an accepted socket in a mysql2 server connection. */
function createServerConnection(socket: Socket): ServerConnection {
  const {createConnection} = mysql as unknown as {
    readonly createConnection: (
      options: Readonly<Record<string, unknown>>,
    ) => ServerConnection;
  };
  return createConnection({stream: socket, isServer: true});
}

const VARIABLES: Readonly<
  Record<string, (ledger: Ledger, replication: Replication) => SqlValue>
> = {
  '@@ledger_role': ledger => ledger.role(),
  '@@ledger_term': (_ledger, replication) => replication.confirmedTerm(),
  '@@ledger_index': ledger => ledger.index(),
  '@@ledger_data_age_ms': (_ledger, replication) =>
    Math.ceil(replication.dataAgeMs()),
  '@@ledger_follows': ledger => ledger.follows()?.id ?? null,
  '@@version': () => SERVER_VERSION,
  '@@version_comment': () => 'lacewingroad stand-in',
  '@@max_allowed_packet': () => 16_777_215,
  '@@autocommit': () => 1,
};

function readVariable(
  name: string,
  ledger: Ledger,
  replication: Replication,
): SqlValue {
  const read = VARIABLES[name.replace(/^@@(session|global)\./, '@@')];
  if (read === undefined) {
    throw LEDGER_ERRORS.noColumn(name);
  }
  return read(ledger, replication);
}

function describeLedger(
  ledger: Ledger,
  replication: Replication,
): Readonly<Record<string, unknown>> {
  const countRows = (table: ReturnType<Ledger['findTable']>): number =>
    [...table.records.values()].filter(record => record.committed !== null)
      .length;
  return {
    role: ledger.role(),
    term: replication.confirmedTerm(),
    acceptedTerm: ledger.term(),
    index: ledger.index(),
    follows: ledger.follows()?.id ?? null,
    dataAgeMs: replication.dataAgeMs(),
    rows: Object.fromEntries(
      ledger.tables().map(table => [table.def.name, countRows(table)]),
    ),
    requestKeys: ledger.requestKeyRuns(),
  };
}
