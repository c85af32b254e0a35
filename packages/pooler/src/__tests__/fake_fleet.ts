/** Hosts, their links and the store, simulated in virtual time. */

import {createVirtualRuntime} from '@lacewingroad/runtime';
import type {Runtime, VirtualRuntime} from '@lacewingroad/runtime';
import type {CallerReply} from '../entry/caller_reply.js';
import {
  joinRevision,
  readEra,
  readStoreRevision,
} from '../decisions/store_era.js';
import {createHost} from '../host.js';
import type {Host} from '../host.js';
import type {EndpointList, RouteTable} from '../model/directory.js';
import type {PoolMessage} from '../model/message.js';
import type {
  HostEntry,
  StoredOwnership,
  WriteResult,
} from '../model/ownership.js';
import type {Promote, PromoteCall, WatchTable} from '../ports.js';
import {createFakeGroup, readFakeStatus} from './fake_group.js';
import type {FakeGroup} from './fake_group.js';

const LINK_MS = 1;
const STORE_MS = 4;
/** Time in which a connection to the control interface stands, in ms. */
const CONNECT_MS = 2;
/** Timeout of a promotion call, in ms. */
const PROMOTE_CALL_MS = 1_000;
/** Interval at which the watches of records see a new era, in ms. */
const ERA_POLL_MS = 100;
/** Interval at which a watch of the endpoints is answered, in ms. */
const ENDPOINT_POLL_MS = 100;
export const GROUP = 'ledger';
export const DATABASE = 'commissions';

interface FleetHost {
  readonly name: string;
  readonly dataCentre: string;
  /** The newest era that the store's answers have shown to the process. */
  seenEra: number;
  host: Host;
  isUp: boolean;
  /** The process is suspended: it receives nothing and its clock stops. */
  isPaused: boolean;
  starts: number;
  pausedMs: number;
  /** By how much its wall clock is ahead, in ms. */
  wallStepMs: number;
  /** Time for which a link holds its promotion calls, in ms. */
  holdCallsMs: number;
  readonly linked: Set<string>;
  readonly replies: {caller: number; at: number; reply: CallerReply}[];
  /** Sessions that the host closed. */
  readonly closedCallers: Set<number>;
  /** Input of callers that the process has not read yet. */
  readonly unreadInput: (() => void)[];
  heldEvents: (() => void)[];
  readonly logs: {
    readonly at: number;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
  }[];
}

/** What happens to the calls of a host at the store. */
export interface StoreFault {
  /** Share of the calls that are executed and not answered; 1 for all. */
  readonly lostShare: number;
  /** Time until a call arrives at the store, in ms. */
  readonly delayMs: number;
  /** Time until a call without an answer fails, in ms. */
  readonly failMs: number;
}

const NO_STORE_FAULT: StoreFault = {
  lostShare: 0,
  delayMs: STORE_MS,
  failMs: 900,
};

interface EndpointWatch {
  readonly name: string;
  readonly onList: (list: EndpointList) => void;
}

interface TableWatch {
  readonly name: string;
  readonly onRead: Parameters<WatchTable>[1];
}

/** A promotion call as the platform received it. */
export interface ReceivedCall {
  readonly host: string;
  readonly generation: number;
  readonly sentAt: number;
  readonly at: number;
}

/** A simulated fleet of hosts. */
export interface Fleet {
  readonly runtime: VirtualRuntime;
  readonly group: FakeGroup;
  readonly hosts: ReadonlyMap<string, FleetHost>;
  readonly store: {
    isDown: boolean;
    /** Watches deliver nothing, as between two long polls. */
    isWatchSilent: boolean;
    readonly faults: Map<string, StoreFault>;
    /** Hosts whose calls the store refuses. */
    readonly refusedHosts: Set<string>;
    /** The record; its revision includes the era. */
    record: StoredOwnership | null;
    /** Raised by each restoration from an older copy. */
    era: number;
    table: RouteTable;
    /** Endpoints whose entries have expired. */
    readonly unlisted: Set<string>;
    /** Conditional writes that failed because of a newer revision. */
    conflicts: number;
  };
  /** Promotion calls in the order in which the platform received them. */
  readonly receivedCalls: readonly ReceivedCall[];
  /** Hosts that watch the list of endpoints. */
  readonly endpointWatchers: ReadonlySet<string>;
  /** Lists the hosts that watch the table. */
  /** Restores the store from a copy that lacks the last `changes`. */
  readonly rollBack: (changes: number) => void;
  /** Returns how many changes were made since the owner was another host. */
  readonly countChangesByOwner: () => number;
  readonly listTableWatchers: () => readonly string[];
  /** Replaces the table in the store. */
  readonly setTable: (table: RouteTable) => void;
  /**
   * Pairs of hosts, or of a host and `store` or an endpoint, that cannot reach
   * each other.
   */
  readonly cutPairs: Set<string>;
  /** Connections to endpoints that are cut off fail at once, not by timeout. */
  refusesCutConns: boolean;
  /** Called with each message that a host sends to another one. */
  readonly messageObservers: Set<
    (from: string, to: string, msg: PoolMessage) => void
  >;
  readonly get: (name: string) => FleetHost;
  readonly passTime: (ms: number) => Promise<void>;
  readonly start: (name: string) => void;
  readonly kill: (name: string) => void;
  readonly cut: (name: string) => void;
  /** Disturbs the calls of a host at the store. */
  readonly disturbStore: (name: string, fault: Partial<StoreFault>) => void;
  /** Cuts two hosts off from each other. */
  readonly cutPair: (a: string, b: string) => void;
  /** Cuts a data centre off from the others and from the store. */
  readonly cutCentre: (dataCentre: string) => void;
  readonly heal: (name: string) => void;
  readonly pause: (name: string) => void;
  readonly resume: (name: string) => void;
  /** Returns the hosts that would act as the owner now. */
  readonly listActiveOwners: () => readonly string[];
  /** Runs one write through a host; resolves to the reply, or null if none. */
  readonly write: (name: string) => Promise<CallerReply | null>;
}

export const TABLE: RouteTable = {
  version: 1,
  routes: new Map([
    [
      DATABASE,
      {
        database: DATABASE,
        group: GROUP,
        consistency: 'strict',
        maxStalenessMs: 0,
        timeoutMs: 800,
        targetMs: 150,
        priority: 0,
        isPublic: false,
      },
    ],
  ]),
  groups: new Map([[GROUP, {maxConnections: 23, syncReplicas: 1}]]),
  txIdleMs: 3_000,
  workspaces: null,
};

/** Creates and starts a fleet with `hostsPerCentre` hosts per data centre. */
export function createFleet(
  centres: readonly string[],
  hostsPerCentre: number,
  readCpuShare: (name: string) => number = () => 1,
): Fleet {
  const runtime = createVirtualRuntime(7);
  const group = createFakeGroup(runtime, GROUP);
  const hosts = new Map<string, FleetHost>();
  const cutPairs = new Set<string>();
  const endpointWatchers = new Set<string>();
  const endpointWatches = new Set<EndpointWatch>();
  const tableWatches = new Set<TableWatch>();
  const store: Fleet['store'] = {
    isDown: false,
    isWatchSilent: false,
    faults: new Map(),
    refusedHosts: new Set(),
    record: null,
    era: 0,
    table: TABLE,
    unlisted: new Set(),
    conflicts: 0,
  };
  const receivedCalls: ReceivedCall[] = [];
  /** The newest revision as the store counts it. */
  let revision = 100;
  /** The records before each change, and the revision then. */
  const history: {record: StoredOwnership | null; revision: number}[] = [];
  let nextCaller = 1;

  const pairKey = (a: string, b: string): string => [a, b].sort().join('~');
  const isCut = (a: string, b: string): boolean => cutPairs.has(pairKey(a, b));
  const get = (name: string): FleetHost => hosts.get(name)!;
  const canReach = (a: string, b: string): boolean =>
    get(a).isUp && get(b).isUp && !isCut(a, b);

  const deliver = (name: string, fn: () => void): void => {
    const target = get(name);
    const {starts} = target;
    const run = (): void => {
      if (target.isUp && target.starts === starts) {
        fn();
      }
    };
    if (target.isPaused) {
      target.heldEvents.push(run);
      return;
    }
    run();
  };

  const setLink = (from: string, to: string, isUp: boolean): void => {
    const {linked} = get(from);
    if (linked.has(to) === isUp) {
      return;
    }
    if (isUp) {
      linked.add(to);
    } else {
      linked.delete(to);
    }
    deliver(from, () => get(from).host.handleLinkChange(to, isUp));
  };

  const messageObservers: Fleet['messageObservers'] = new Set();
  const send = (from: string, to: string, msg: PoolMessage): void => {
    messageObservers.forEach(observe => observe(from, to, msg));
    runtime.at(runtime.now() + LINK_MS, () => {
      if (!canReach(from, to)) {
        return;
      }
      setLink(from, to, true);
      setLink(to, from, true);
      deliver(to, () => get(to).host.handleMessage(from, msg));
    });
  };

  const canReachStore = (name: string): boolean =>
    !store.isDown && !store.refusedHosts.has(name) && !isCut(name, 'store');

  const readStoreFault = (name: string): StoreFault =>
    store.faults.get(name) ?? NO_STORE_FAULT;

  /** Lists the record to a host whose answers show a newer era. */
  const noteEra = (name: string): void => {
    const target = get(name);
    if (target.seenEra >= store.era || target.isPaused) {
      return;
    }
    target.seenEra = store.era;
    const {record: stored, era} = store;
    runtime.at(runtime.now() + STORE_MS, () =>
      deliver(name, () => {
        if (era === store.era) {
          const list = stored === null ? [] : [stored];
          get(name).host.updateOwnerships(list, true, era);
        }
      }),
    );
  };

  /** Calls the store; a call without an answer may be executed after it. */
  const callStore = <T>(
    name: string,
    fn: () => T,
  ): Promise<{readonly value: T} | 'refused' | 'no_answer'> =>
    new Promise(resolve => {
      const {lostShare, delayMs, failMs} = readStoreFault(name);
      const answer = (
        afterMs: number,
        result: {readonly value: T} | 'refused' | 'no_answer',
      ): void => {
        runtime.at(runtime.now() + afterMs, () =>
          deliver(name, () => resolve(result)),
        );
      };
      const isLost = lostShare > 0 && runtime.random() < lostShare;
      answer(failMs, 'no_answer');
      runtime.at(runtime.now() + delayMs, () => {
        if (!canReachStore(name)) {
          answer(500, 'refused');
          return;
        }
        const value = fn();
        if (!isLost) {
          noteEra(name);
          answer(STORE_MS, {value});
        }
      });
    });

  const notifyWatches = (): void => {
    for (const {name} of hosts.values()) {
      runtime.at(runtime.now() + STORE_MS, () => {
        if (
          canReachStore(name) &&
          readStoreFault(name).lostShare < 1 &&
          !store.isWatchSilent &&
          store.record !== null
        ) {
          const stored = store.record;
          noteEra(name);
          deliver(name, () => get(name).host.updateOwnerships([stored], false));
        }
      });
    }
  };

  /** Answers one watch of the table, if its host reaches the store. */
  const readTable = ({name, onRead}: TableWatch): void => {
    const sentAt = runtime.now() - get(name).pausedMs;
    runtime.at(runtime.now() + STORE_MS, () => {
      if (canReachStore(name)) {
        deliver(name, () => onRead(store.table, sentAt));
      }
    });
  };

  /** Answers one watch of the endpoints, if its host reaches the store. */
  const readEndpoints = ({name, onList}: EndpointWatch): void => {
    const readAt = runtime.now() - get(name).pausedMs;
    if (!canReachStore(name)) {
      return;
    }
    const entries = new Map(
      [...group.readEntries()].filter(([id]) => !store.unlisted.has(id)),
    );
    deliver(name, () => onList({entries, readAt}));
  };

  const listEntries = (): readonly HostEntry[] =>
    [...hosts.values()].map(({name, dataCentre}) => ({
      host: name,
      address: `${name}:1`,
      dataCentre,
      cpuShare: readCpuShare(name),
    }));

  /** The clock of one host: monotonic time lags by the host's paused time. */
  const createClock = (name: string): Runtime => ({
    now: () => runtime.now() - get(name).pausedMs,
    wallNow: () => runtime.now() + get(name).wallStepMs,
    random: runtime.random,
    at: (at, fn) => {
      const {starts} = get(name);
      return runtime.at(at + get(name).pausedMs, () => {
        if (get(name).starts === starts) {
          deliver(name, fn);
        }
      });
    },
  });

  /** Receives a call, also if its sender is gone or has withdrawn it. */
  const receiveCall = (
    name: string,
    sentAt: number,
    call: PromoteCall,
  ): ReturnType<Promote> => {
    const {generation} = call;
    receivedCalls.push({host: name, generation, sentAt, at: runtime.now()});
    return group.promote(call);
  };

  const createPromote =
    (name: string): Promote =>
    call =>
      new Promise(resolve => {
        const answer: typeof resolve = result =>
          deliver(name, () => resolve(result));
        const send = (): void => {
          if (call.signal.aborted || !call.maySend()) {
            resolve({type: 'not_sent', detail: 'no longer wanted'});
            return;
          }
          const sentAt = runtime.now();
          const fail = (): void => answer({type: 'unknown', detail: 'failed'});
          call.signal.addEventListener('abort', fail);
          runtime.at(sentAt + PROMOTE_CALL_MS, fail);
          runtime.at(sentAt + LINK_MS + get(name).holdCallsMs, () => {
            void receiveCall(name, sentAt, call).then(answer);
          });
        };
        runtime.at(runtime.now() + CONNECT_MS, () => deliver(name, send));
      });

  const start = (name: string): void => {
    const target = get(name);
    target.starts++;
    target.isUp = true;
    target.isPaused = false;
    target.heldEvents = [];
    target.linked.clear();
    const {starts, dataCentre, replies, closedCallers} = target;
    const {logs, unreadInput} = target;
    const host = createHost({
      self: {
        host: name,
        address: `${name}:1`,
        dataCentre,
        cpuShare: readCpuShare(name),
      },
      incarnation: `${name}.${starts}`,
      readStatus: readFakeStatus,
      ports: {
        runtime: createClock(name),
        record: (_level, event, fields) =>
          logs.push({at: runtime.now(), event, fields}),
        reply: (caller, reply) =>
          replies.push({caller, at: runtime.now(), reply}),
        closeCaller: caller => closedCallers.add(caller),
        afterInput: then => {
          unreadInput.splice(0).forEach(receive => receive());
          then();
        },
        openConn: (entry, workspace, handlers) => {
          const receive = (fn: () => void): void => {
            if (!isCut(name, entry.id)) {
              deliver(name, fn);
            }
          };
          if (fleet.refusesCutConns && isCut(name, entry.id)) {
            runtime.at(runtime.now() + LINK_MS, () =>
              deliver(name, () => handlers.onClosed('refused')),
            );
            return {send: () => undefined, close: () => undefined};
          }
          const link = group.openConn(entry, workspace, {
            onReady: position => receive(() => handlers.onReady(position)),
            onRefused: fault => receive(() => handlers.onRefused(fault)),
            onClosed: detail => receive(() => handlers.onClosed(detail)),
          });
          return {
            send: (command, request, after, onReply) => {
              if (!isCut(name, entry.id)) {
                link.send(command, request, after, reply =>
                  receive(() => onReply(reply)),
                );
              }
            },
            close: link.close,
          };
        },
        send: (to, msg) => send(name, to, msg),
        promote: createPromote(name),
        watchEndpoints: onList => {
          const watch = {name, onList};
          endpointWatches.add(watch);
          endpointWatchers.add(name);
          const poll = (): void => {
            if (endpointWatches.has(watch)) {
              readEndpoints(watch);
              runtime.at(runtime.now() + ENDPOINT_POLL_MS, poll);
            }
          };
          poll();
          return () => {
            endpointWatches.delete(watch);
            endpointWatchers.delete(name);
          };
        },
        watchTable: (isFrequent, onRead) => {
          const watch = {name, onRead};
          tableWatches.add(watch);
          const poll = (): void => {
            if (!tableWatches.has(watch)) {
              return;
            }
            readTable(watch);
            const waitMs = isFrequent ? 700 : 3_000;
            runtime.at(runtime.now() + waitMs, poll);
          };
          poll();
          return () => tableWatches.delete(watch);
        },
        store: {
          read: async () => {
            const result = await callStore(name, () => store.record);
            return typeof result === 'string' ? undefined : result.value;
          },
          write: async (ownership, base): Promise<WriteResult> => {
            const sentEra = readEra(base ?? 0);
            if (sentEra < get(name).seenEra) {
              return {type: 'refused', detail: 'base of an earlier era'};
            }
            const baseInStore = readStoreRevision(base ?? 0);
            const result = await callStore(name, (): WriteResult => {
              const {record: standing, era} = store;
              if (readStoreRevision(standing?.revision ?? 0) !== baseInStore) {
                store.conflicts++;
                return {type: 'conflict', standing};
              }
              history.push({record: standing, revision});
              const written = joinRevision(era, ++revision);
              store.record = {ownership, revision: written};
              notifyWatches();
              return era === sentEra
                ? {type: 'written', revision: written}
                : {type: 'unknown', detail: 'the store was restored'};
            });
            if (result === 'no_answer') {
              return {type: 'unknown', detail: 'no answer'};
            }
            return result === 'refused'
              ? {type: 'refused', detail: 'store down'}
              : result.value;
          },
        },
      },
    });
    target.host = host;
    host.updateHosts(listEntries());
    target.seenEra = 0;
    if (canReachStore(name)) {
      target.seenEra = store.era;
      const list = store.record === null ? [] : [store.record];
      host.updateOwnerships(list, true, store.era);
    }
  };

  for (const dataCentre of centres) {
    for (let number = 1; number <= hostsPerCentre; number++) {
      const name = `${dataCentre}-${number}`;
      hosts.set(name, {
        name,
        dataCentre,
        seenEra: 0,
        host: null as unknown as Host,
        isUp: false,
        isPaused: false,
        starts: 0,
        pausedMs: 0,
        wallStepMs: 0,
        holdCallsMs: 0,
        linked: new Set(),
        replies: [],
        closedCallers: new Set(),
        unreadInput: [],
        heldEvents: [],
        logs: [],
      });
    }
  }
  [...hosts.keys()].forEach(start);

  /** Lets the watches of all hosts that reach the store see a new era. */
  const pollEra = (): void => {
    for (const {name, isUp} of hosts.values()) {
      if (isUp && canReachStore(name) && readStoreFault(name).lostShare < 1) {
        noteEra(name);
      }
    }
    runtime.at(runtime.now() + ERA_POLL_MS, pollEra);
  };

  const rollBack = (changes: number): void => {
    const index = Math.max(0, history.length - changes);
    const copy = history.splice(index)[0] ?? {record: store.record, revision};
    store.era++;
    revision = copy.revision;
    store.record =
      copy.record === null
        ? null
        : {
            ...copy.record,
            revision: joinRevision(
              store.era,
              readStoreRevision(copy.record.revision),
            ),
          };
    if (store.era === 1) {
      pollEra();
    }
  };

  const dropLinks = (name: string, afterMs: number): void => {
    runtime.at(runtime.now() + afterMs, () => {
      for (const other of hosts.keys()) {
        if (other !== name && !canReach(name, other)) {
          setLink(name, other, false);
          setLink(other, name, false);
        }
      }
    });
  };

  const passTime = async (ms: number): Promise<void> => {
    const end = runtime.now() + ms;
    while (runtime.now() < end) {
      runtime.runUntil(Math.min(end, runtime.now() + 2));
      for (let turn = 0; turn < 12; turn++) {
        await Promise.resolve();
      }
    }
  };

  const fleet: Fleet = {
    runtime,
    group,
    hosts,
    store,
    receivedCalls,
    endpointWatchers,
    rollBack,
    countChangesByOwner: () => {
      const {host} = store.record?.ownership.owner ?? {};
      const last = history.findLastIndex(
        ({record}) => record?.ownership.owner.host !== host,
      );
      return history.length - Math.max(0, last);
    },
    listTableWatchers: () =>
      [...new Set([...tableWatches].map(({name}) => name))].filter(
        name => get(name).isUp,
      ),
    setTable: table => {
      store.table = table;
      tableWatches.forEach(readTable);
    },
    messageObservers,
    cutPairs,
    refusesCutConns: false,
    get,
    passTime,
    start,
    kill: name => {
      get(name).isUp = false;
      get(name).host.close();
      dropLinks(name, 1);
    },
    cut: name => {
      [...hosts.keys(), 'store']
        .filter(other => other !== name)
        .forEach(other => cutPairs.add(pairKey(name, other)));
      dropLinks(name, 1_000);
    },
    disturbStore: (name, fault) => {
      store.faults.set(name, {...NO_STORE_FAULT, ...fault});
    },
    cutPair: (a, b) => {
      cutPairs.add(pairKey(a, b));
      dropLinks(a, 1_000);
    },
    cutCentre: dataCentre => {
      for (const inside of hosts.values()) {
        if (inside.dataCentre !== dataCentre) {
          continue;
        }
        cutPairs.add(pairKey(inside.name, 'store'));
        [...hosts.values()]
          .filter(other => other.dataCentre !== dataCentre)
          .forEach(other => cutPairs.add(pairKey(inside.name, other.name)));
        dropLinks(inside.name, 1_000);
      }
    },
    heal: name => {
      [...hosts.keys(), 'store', ...group.endpoints.keys()].forEach(other =>
        cutPairs.delete(pairKey(name, other)),
      );
      notifyWatches();
    },
    pause: name => {
      get(name).isPaused = true;
    },
    resume: name => {
      const target = get(name);
      target.isPaused = false;
      target.heldEvents.splice(0).forEach(run => run());
    },
    listActiveOwners: () =>
      [...hosts.values()]
        .filter(
          ({isUp, isPaused, host}) =>
            isUp && !isPaused && host.isActiveOwner(GROUP),
        )
        .map(({name}) => name),
    write: async name => {
      const {host, replies} = get(name);
      const caller = nextCaller++;
      host.entry.open(caller, DATABASE);
      host.entry.serve(caller, `q${caller}`, {
        type: 'run',
        access: 'write',
        text: `PUT ${caller}`,
      });
      for (let waited = 0; waited < 1_200; waited += 10) {
        const found = replies.find(entry => entry.caller === caller);
        if (found !== undefined) {
          host.entry.close(caller);
          return found.reply;
        }
        await passTime(10);
      }
      return null;
    },
  };
  return fleet;
}
