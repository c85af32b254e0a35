import {Subject} from 'rxjs';
import {createEngine} from '@lacewingroad/core';
import type {
  Action,
  Blackboard,
  Event,
  HandlerTable,
  HostObject,
} from '@lacewingroad/core';
import type {EntryParts} from '@lacewingroad/daemon';

/** Returns a blackboard with one group, one table and one unreachable host. */
export function createBoard(host: string, freshAt: number | null): Blackboard {
  const endpoint = {
    id: 'e1',
    dataCentre: 'a',
    address: '127.0.1.50',
    port: 3306,
    slots: 3,
    maxConnections: 24,
    leaving: false,
  };
  const group = {
    id: 'g1',
    term: 2,
    primary: 'e1',
    fence: null,
    starts: [{term: 2, index: 10}],
    endpoints: [endpoint, {...endpoint, id: 'e2', dataCentre: 'b'}],
    owners: {e1: host},
  };
  const table = {service: 'shop', group: 'g1', rows: [], editId: 'edit-1'};
  const status = {
    role: 'primary',
    position: {term: 2, index: 44},
    dataAgeMs: 0,
    follows: null,
  };
  const view = {status, statusAt: 900, dataAsOf: 800, lastFault: null};
  const board = {
    self: {host, dataCentre: 'a', drainDeadline: null, isDrained: false},
    view: {
      revision: 17,
      freshAt,
      groups: new Map([['g1', {version: 4, value: group}]]),
      tables: new Map([['shop', {version: 3, value: table}]]),
      hosts: new Map(),
      tablesInForceSince: new Map([['shop', 400]]),
    },
    membership: {unreachableUntil: new Map([['b-1', 5_000]])},
    pools: {byEndpoint: new Map()},
    callers: {byId: new Map([[1, {}]])},
    requests: {byId: new Map(), retryTokens: 5},
    sessions: {held: new Map()},
    failovers: {
      writers: new Map([['g1', {isRegistered: true}]]),
      promisedUntil: new Map(),
    },
    endpoints: {
      views: new Map([['e1', view]]),
      owned: new Map([['e1', 'g1']]),
    },
  };
  return board as unknown as Blackboard;
}

/** Adds a host to a blackboard from createBoard. */
export function addHost(board: Blackboard, id: string, peer: string): void {
  const value: HostObject = {
    id,
    dataCentre: id.slice(0, 1),
    state: 'live',
    peerAddress: peer,
    callerAddress: '',
    operatorAddress: '',
  };
  const hosts = board.view.hosts as unknown as Map<string, unknown>;
  hosts.set(id, {version: 1, value});
}

/** Parts without the MySQL protocol that record actions and events. */
export interface FakeParts {
  readonly parts: EntryParts;
  readonly board: Blackboard;
  readonly performed: Action[];
  readonly callerEvents: Subject<Event>;
  readonly seen: Event[];
}

/** Creates parts whose engine has the given handlers. */
export function createFakeParts(
  host: string,
  handlers: HandlerTable,
  freshAt: number | null = 0,
): FakeParts {
  const board = createBoard(host, freshAt);
  const performed: Action[] = [];
  const seen: Event[] = [];
  const callerEvents = new Subject<Event>();
  const perform = (action: Action): void => {
    performed.push(action);
  };
  const engine = createEngine(board);
  engine.registerFeature({name: 'test', handlers});
  const watched = {
    ...engine,
    dispatch: (...args: Parameters<typeof engine.dispatch>) => {
      seen.push(args[0]);
      return engine.dispatch(...args);
    },
  };
  const parts: EntryParts = {
    createEntryEngine: () => watched,
    createCallerAdapter: () =>
      Promise.resolve({
        events$: callerEvents,
        performers: {reply: perform, close_caller: perform},
        port: 1,
        stopListening: () => undefined,
        setUsers: () => undefined,
        close: () => Promise.resolve(),
      }),
    createEndpointAdapter: () => ({
      events$: new Subject<Event>(),
      performers: {
        open_conn: perform,
        run_conn: perform,
        close_conn: perform,
        probe: perform,
        command_endpoint: perform,
      },
      close: () => Promise.resolve(),
    }),
  };
  return {parts, board, performed, callerEvents, seen};
}
