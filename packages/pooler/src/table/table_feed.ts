/** Keeps the routing table of a host current, and relays it to other hosts. */

import type {HostId} from '@lacewingroad/core';
import type {Instant, Unregister} from '@lacewingroad/runtime';
import {
  MAX_PROOF_AGE_MS,
  RELAY_LINGER_MS,
  chooseRelays,
  chooseTableSource,
  orderRelays,
} from '../decisions/table_source.js';
import type {
  Reachability,
  RelayChoice,
  TableSource,
} from '../decisions/table_source.js';
import type {RouteTable} from '../model/directory.js';
import type {TableAskMessage, TableNewsMessage} from '../model/message.js';
import type {HostEntry} from '../model/ownership.js';
import type {HostPorts} from '../ports.js';
import {decodeTable} from './table_codec.js';
import {createTableSender} from './table_sender.js';

/** Interval at which relays are asked, by turns, in ms. */
const ASK_INTERVAL_MS = 500;
/** Time after which an unreachable relay is tried again, in ms. */
const RELAY_RETRY_MS = 5_000;
/**
 * Time for a fetched table to arrive, in ms, before it is fetched again: a relay
 * sends it to one host after the other.
 */
const FETCH_TIMEOUT_MS = 3_000;

/** Dependencies of the feed. */
export interface TableFeedConfig {
  readonly self: HostEntry;
  readonly ports: Pick<HostPorts, 'runtime' | 'record' | 'send' | 'watchTable'>;
  /** Starts to connect to a host. */
  readonly connect: (host: HostId) => void;
  /** Called with each table that is newer than the one before. */
  readonly onTable: (table: RouteTable) => void;
}

/** Keeps a table current. */
export interface TableFeed {
  readonly read: () => RouteTable | null;
  readonly updateHosts: (hosts: readonly HostEntry[]) => void;
  readonly handleLinkChange: (host: HostId, isUp: boolean) => void;
  readonly handleAsk: (host: HostId, msg: TableAskMessage) => void;
  readonly handleNews: (host: HostId, msg: TableNewsMessage) => void;
  readonly close: () => void;
}

/**
 * An instant on both clocks: the monotonic clock stops while the process is
 * suspended, and the wall clock may be set back.
 */
interface Proof {
  readonly at: Instant;
  readonly wallAt: number;
}

/** A transfer of the table that this host has asked for. */
interface Fetch {
  readonly host: HostId;
  readonly deadline: Instant;
}

/** Creates the feed; it watches the store until relays are known. */
export function createTableFeed(cfg: TableFeedConfig): TableFeed {
  const {self, ports} = cfg;
  const {runtime, record, send} = ports;
  let table: RouteTable | null = null;
  let orderedRelays: readonly HostId[] = [];
  let source: TableSource | null = null;
  let unwatch: Unregister = () => undefined;
  /** When the watch of this host last proved its table to be current. */
  let watchProof: Proof | null = null;
  let relayProofAt: Instant = -Infinity;
  let nextAsk = 1;
  const asks = new Map<number, {host: HostId; sentAt: Instant}>();
  /** Hosts that asked this one, and when they last did. */
  const askers = new Map<HostId, Instant>();
  const linkedHosts = new Set<HostId>();
  const unreachableSince = new Map<HostId, Instant>();
  /** The transfer in progress, or null. */
  let fetch: Fetch | null = null;
  const sender = createTableSender(
    runtime,
    () => table,
    (host, {version}, bytes) =>
      send(host, {
        type: 'table_news',
        ask: null,
        ageMs: null,
        version,
        table: bytes,
      }),
  );

  const readReachability = (host: HostId): Reachability => {
    if (host === self.host || linkedHosts.has(host)) {
      return 'linked';
    }
    const since = unreachableSince.get(host);
    return since !== undefined && runtime.now() - since < RELAY_RETRY_MS
      ? 'unreachable'
      : 'untried';
  };

  const findRelays = (): RelayChoice =>
    chooseRelays(orderedRelays, readReachability);

  const apply = (next: RouteTable): void => {
    if (table !== null && next.version <= table.version) {
      return;
    }
    table = next;
    fetch = null;
    cfg.onTable(next);
    const {version} = next;
    for (const host of askers.keys()) {
      send(host, {
        type: 'table_news',
        ask: null,
        ageMs: null,
        version,
        table: null,
      });
    }
  };

  /** Sends a relay an ask; `isFetch` if it is to send its table. */
  const ask = (host: HostId, isFetch: boolean): void => {
    const id = nextAsk++;
    asks.set(id, {host, sentAt: runtime.now()});
    const version = table?.version ?? null;
    send(host, {type: 'table_ask', ask: id, version, isFetch});
  };

  /** Fetches a newer table, unless another transfer is in progress. */
  const fetchFrom = (host: HostId): void => {
    const now = runtime.now();
    if (
      fetch === null ||
      now >= fetch.deadline ||
      !linkedHosts.has(fetch.host)
    ) {
      fetch = {host, deadline: now + FETCH_TIMEOUT_MS};
      ask(host, true);
    }
  };

  const readAgeMs = (): number | null => {
    if (watchProof === null) {
      return null;
    }
    const {at, wallAt} = watchProof;
    return Math.max(runtime.now() - at, runtime.wallNow() - wallAt);
  };

  const updateSource = (): void => {
    const now = runtime.now();
    const {linked: relays} = findRelays();
    const next = chooseTableSource(
      {
        self: self.host,
        relays,
        askedAt: Math.max(-Infinity, ...askers.values()),
        provenAt: relayProofAt,
      },
      now,
    );
    if (next === source) {
      return;
    }
    record('info', 'table_source', {
      source: next,
      before: source,
      relays: relays.join(),
      version: table?.version ?? null,
    });
    source = next;
    unwatch();
    unwatch = () => undefined;
    watchProof = null;
    if (next !== 'relays') {
      unwatch = ports.watchTable(next === 'relay_watch', (read, readAt) => {
        const wallAt = runtime.wallNow() - (runtime.now() - readAt);
        watchProof = {at: readAt, wallAt};
        if (read !== null) {
          apply(read);
        }
      });
    }
  };

  /** Forgets what is too old to matter. */
  const removeExpired = (): void => {
    const now = runtime.now();
    for (const [ask, {sentAt}] of asks) {
      if (now - sentAt >= MAX_PROOF_AGE_MS) {
        asks.delete(ask);
      }
    }
    for (const [host, askedAt] of askers) {
      if (now - askedAt >= RELAY_LINGER_MS) {
        askers.delete(host);
      }
    }
  };

  const askRelays = (): void => {
    const {linked, untried} = findRelays();
    untried.forEach(cfg.connect);
    const others = linked.filter(host => host !== self.host);
    const host = others[nextAsk % others.length];
    if (host === undefined || linked.includes(self.host)) {
      return;
    }
    ask(host, false);
  };

  let unregister: Unregister = () => undefined;
  const tick = (): void => {
    removeExpired();
    askRelays();
    updateSource();
    unregister = runtime.at(runtime.now() + ASK_INTERVAL_MS, tick);
  };
  updateSource();
  unregister = runtime.at(runtime.now() + ASK_INTERVAL_MS, tick);

  return {
    read: () => table,
    updateHosts: hosts => {
      orderedRelays = orderRelays(self, hosts);
    },
    handleLinkChange: (host, isUp) => {
      if (isUp) {
        linkedHosts.add(host);
        unreachableSince.delete(host);
        return;
      }
      linkedHosts.delete(host);
      sender.release(host);
      unreachableSince.set(host, runtime.now());
    },
    handleAsk: (host, {ask: id, version, isFetch}) => {
      askers.set(host, runtime.now());
      updateSource();
      const isNewer =
        table !== null && (version === null || table.version > version);
      if (!isNewer) {
        sender.release(host);
      }
      // A host of an earlier version cannot read a compressed table, and would
      // take an age without a table as proof that its own one is current: it has
      // to watch the store itself.
      const isProof = !isNewer || isFetch !== undefined;
      send(host, {
        type: 'table_news',
        ask: id,
        ageMs: isProof ? readAgeMs() : null,
        version: table?.version ?? null,
        table: null,
      });
      if (isNewer && isFetch === true) {
        sender.send(host);
      }
    },
    handleNews: (host, {ask: id, ageMs, version, table: received}) => {
      if (received !== null) {
        const next = decodeTable(received);
        if (next === null) {
          record('warn', 'table_malformed', {host, version: version ?? null});
          return;
        }
        apply(next);
        // Confirms the transfer, so that the relay begins the next one.
        ask(host, false);
      }
      const isBehind =
        typeof version === 'number' && version > (table?.version ?? -Infinity);
      if (isBehind) {
        fetchFrom(host);
      }
      const asked = id === null ? undefined : asks.get(id);
      if (asked?.host === host && ageMs !== null && !isBehind) {
        asks.delete(id!);
        relayProofAt = Math.max(relayProofAt, asked.sentAt - ageMs);
        updateSource();
      }
    },
    close: () => {
      unregister();
      unwatch();
    },
  };
}
