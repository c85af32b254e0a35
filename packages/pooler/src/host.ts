/** One host: serves callers, owns pools, and takes over those of others. */

import type {GroupId, HostId} from '@lacewingroad/core';
import {waitUntil} from '@lacewingroad/runtime';
import type {Instant, Unregister} from '@lacewingroad/runtime';
import {
  chooseLinks,
  listRemoteHosts,
  orderRemoteHosts,
} from './decisions/links.js';
import {hasTooFewReachableOwners} from './decisions/reach.js';
import {createEntry} from './entry/entry.js';
import type {Entry} from './entry/entry.js';
import type {EndpointList, RouteTable} from './model/directory.js';
import type {PoolMessage} from './model/message.js';
import {listMembers} from './model/ownership.js';
import type {
  HostAddress,
  HostEntry,
  StoredOwnership,
} from './model/ownership.js';
import {createGroupPool} from './owner/group_pool.js';
import type {GroupPool} from './owner/group_pool.js';
import type {ReadStatus} from './owner/status.js';
import {createOwnershipController} from './ownership/ownership_controller.js';
import type {HostPorts} from './ports.js';

/** Time for transactions to end before a group is handed over, in ms. */
const HANDOVER_MS = 1_000;
/** Interval at which a handover looks whether they have, in ms. */
const HANDOVER_POLL_MS = 20;
/** Interval at which connections to other hosts are kept up, in ms. */
const LINK_INTERVAL_MS = 500;
/** Rounds after which hosts that are connected are greeted again: every 2 s,
 * before the connection counts as quiet. */
const GREETING_ROUNDS = 4;
/** Time without a link to another data centre before a host is cut off, ms. */
const CUT_OFF_MS = 1_200;

/** What a host is made of. */
export interface HostConfig {
  readonly self: HostEntry;
  /** Distinguishes this start of the process from all others. */
  readonly incarnation: string;
  readonly ports: HostPorts;
  /** Reads the row that an endpoint answers to a status probe. */
  readonly readStatus: ReadStatus;
}

/** One host. */
export interface Host {
  readonly entry: Entry;
  readonly handleMessage: (host: HostId, msg: PoolMessage) => void;
  readonly notePeer: (host: HostId, isUp: boolean) => void;
  readonly noteTable: (table: RouteTable) => void;
  readonly noteHosts: (hosts: readonly HostEntry[]) => void;
  /** Takes records into account; `isComplete` for a whole list. */
  readonly noteOwnerships: (
    stored: readonly StoredOwnership[],
    isComplete: boolean,
  ) => void;
  /** Returns the `IP:PORT` of a host, or null. */
  readonly resolveAddress: (host: HostId) => string | null;
  /** Tells whether this host should take new callers. */
  readonly isReady: () => boolean;
  readonly readOwned: () => readonly GroupId[];
  /** Tells whether this host may act as a group's owner now. */
  readonly isActing: (group: GroupId) => boolean;
  /** Hands all groups over; resolves once that is done. */
  readonly handOver: () => Promise<void>;
  readonly close: () => void;
}

type MessageHandlers = {
  readonly [T in PoolMessage['type']]: (
    host: HostId,
    msg: Extract<PoolMessage, {type: T}>,
  ) => void;
};

/** Creates a host; it claims groups once it knows the table and the records. */
export function createHost(cfg: HostConfig): Host {
  const {self, ports, incarnation} = cfg;
  const {runtime, record} = ports;
  const pools = new Map<GroupId, GroupPool>();
  const owners = new Map<GroupId, {host: HostId; generation: number}>();
  const addresses = new Map<HostId, string>([[self.host, self.address]]);
  /** Since when the owner of a group cannot be reached. */
  const lostAt = new Map<GroupId, Instant>();
  const linked = new Set<HostId>();
  /** Linked hosts that stop, and take nothing over. */
  const leaving = new Set<HostId>();
  let table: RouteTable | null = null;
  let endpoints: EndpointList | null = null;
  let hosts: readonly HostEntry[] = [self];
  /** Hosts of other data centres, or all others where there is one. */
  let far: readonly HostEntry[] = [];
  let witnesses: readonly HostId[] = [];
  let isListComplete = false;
  let isDraining = false;
  let wasCutOff = false;
  let lastLinkedAt = runtime.now();

  /** Sends to a host, or handles a message to oneself after this turn. */
  const send = (host: HostId, msg: PoolMessage): void => {
    if (host === self.host) {
      queueMicrotask(() => handleMessage(host, msg));
      return;
    }
    ports.send(host, msg);
  };

  const isLinked = (host: HostId): boolean =>
    host === self.host || linked.has(host);

  /**
   * Tells whether no host of another data centre can be reached, or none at all
   * where there is one data centre.
   */
  const isCutOff = (): boolean => {
    const isFarLinked = far.some(({host}) => linked.has(host));
    if (isFarLinked || far.length === 0) {
      lastLinkedAt = runtime.now();
      return false;
    }
    return runtime.now() - lastLinkedAt >= CUT_OFF_MS;
  };

  /** Ends the watch of endpoints; null while there is none. */
  let stopEndpoints: Unregister | null = null;
  /**
   * Watches endpoints while this host owns a group or stands in for an owner:
   * what every host watched would cost the store in proportion to the fleet.
   */
  const reviewEndpointWatch = (): void => {
    const isWanted = ownership.isInvolved();
    if (isWanted === (stopEndpoints !== null)) {
      return;
    }
    if (!isWanted) {
      stopEndpoints?.();
      stopEndpoints = null;
      endpoints = null;
      return;
    }
    stopEndpoints = ports.watchEndpoints(list => {
      endpoints = list;
      pools.forEach(pool => pool.updateEndpoints());
    });
  };

  const ownership = createOwnershipController({
    self,
    incarnation,
    ports: {...ports, send},
    readGroups: () => [...(table?.groups.keys() ?? [])],
    readHosts: () => hosts,
    isReachable: host => isLinked(host) && !leaving.has(host),
    isListComplete: () => isListComplete,
    mayServe: () => !isCutOff(),
    onGained: group => {
      pools.get(group)?.close();
      pools.set(group, openPool(group));
      setOwner(group, self.host, ownership.readGeneration(group));
    },
    onLost: group => {
      pools.get(group)?.close();
      pools.delete(group);
    },
    onOwner: known => {
      const {group, owner, generation} = known;
      listMembers(known).forEach(({host, address}) =>
        addresses.set(host, address),
      );
      const isOwn = owner.host === self.host;
      if (!isOwn || known.incarnation === incarnation) {
        setOwner(group, owner.host, generation);
      }
      reviewEndpointWatch();
    },
  });

  const setOwner = (group: GroupId, host: HostId, generation: number): void => {
    const known = owners.get(group);
    if (known !== undefined && known.generation > generation) {
      return;
    }
    owners.set(group, {host, generation});
    reviewReach();
    if (isLinked(host)) {
      entry.noteOwner(group);
      return;
    }
    send(host, {type: 'hello', isDraining});
  };

  const openPool = (group: GroupId): GroupPool =>
    createGroupPool(
      {
        group,
        host: self.host,
        dataCentre: self.dataCentre,
        ports: {...ports, send},
        isLeaseValid: () => ownership.isValid(group),
        readGeneration: () => ownership.readGeneration(group),
        readTable: () => table,
        readEndpoints: () => endpoints,
      },
      cfg.readStatus,
    );

  const entry = createEntry({
    ports,
    incarnation,
    send,
    readTable: () => table,
    readLostAt: group => {
      reviewReach();
      return lostAt.get(group) ?? null;
    },
    findOwner: group => {
      const host = owners.get(group)?.host ?? null;
      return host !== null && isLinked(host) ? host : null;
    },
  });

  const MESSAGE_HANDLERS: MessageHandlers = {
    run: (host, msg) => {
      const pool = pools.get(msg.group);
      if (pool !== undefined) {
        pool.run(host, msg);
        return;
      }
      send(host, {
        type: 'ran',
        request: msg.request,
        result: {type: 'refused', reason: 'not_owner'},
      });
      const stored = ownership.readStored(msg.group);
      if (stored !== null && stored.ownership.owner.host !== self.host) {
        send(host, {type: 'record', stored});
      }
    },
    ran: (_host, msg) => entry.handleRan(msg.request, msg.result),
    close_tx: (host, msg) => pools.get(msg.group)?.closeTx(host, msg.tx),
    lease_ask: (host, msg) => ownership.handleAsk(host, msg),
    lease_grant: (host, msg) => ownership.handleGrant(host, msg),
    consent_ask: (host, msg) => ownership.handleConsentAsk(host, msg),
    consent: (host, msg) => ownership.handleConsent(host, msg),
    record: (_host, {stored}) => ownership.noteStored(stored),
    hello: (host, {isDraining: isLeaving}) => {
      if (isLeaving) {
        leaving.add(host);
      } else {
        leaving.delete(host);
      }
    },
  };

  const handleMessage = (host: HostId, msg: PoolMessage): void => {
    const handler = MESSAGE_HANDLERS[msg.type] as
      ((host: HostId, msg: PoolMessage) => void) | undefined;
    if (handler === undefined) {
      record('warn', 'message_unknown', {host, type: String(msg.type)});
      return;
    }
    handler(host, msg);
  };

  /** Notes which owners can be reached now. */
  const reviewReach = (): void => {
    for (const group of table?.groups.keys() ?? []) {
      const owner = owners.get(group);
      const isReached = owner !== undefined && isLinked(owner.host);
      if (isReached) {
        lostAt.delete(group);
      } else if (!lostAt.has(group)) {
        lostAt.set(group, runtime.now());
      }
    }
  };

  /** Tells whether this host could serve most of the groups now. */
  const isServing = (): boolean => {
    reviewReach();
    const groups = [...(table?.groups.keys() ?? [])];
    const since = groups.map(group => lostAt.get(group) ?? null);
    return groups.length > 0 && !hasTooFewReachableOwners(since, runtime.now());
  };

  /** Sends callers away while this host cannot serve them, so that others do. */
  const closeWhileCutOff = (): void => {
    const isCut = table !== null && !isServing();
    if (isCut === wasCutOff || isDraining) {
      return;
    }
    wasCutOff = isCut;
    record(isCut ? 'warn' : 'info', isCut ? 'cut_off' : 'cut_off_ended', {});
    if (isCut) {
      entry.beginClosing();
    } else {
      entry.stopClosing();
    }
  };

  let linkRounds = 0;
  let isMoving = false;
  /** Moves one group to a host that is much better off, if there is one. */
  const moveGroup = (): void => {
    if (isMoving || isDraining) {
      return;
    }
    for (const group of ownership.readOwned()) {
      const to = ownership.findBetterOwner(group);
      if (to !== null) {
        isMoving = true;
        record('info', 'group_moved', {group, to: to.host});
        void releaseGroup(group, to).finally(() => {
          isMoving = false;
        });
        return;
      }
    }
  };

  let unregisterLinks: Unregister = () => undefined;
  const keepLinks = (): void => {
    const links = chooseLinks(
      self,
      witnesses,
      ownership.listCandidates(),
      ownership.listOwnerships(),
    );
    const isGreeting = linkRounds % GREETING_ROUNDS === 0;
    linkRounds++;
    links
      .filter(host => isGreeting || !linked.has(host))
      .forEach(host => send(host, {type: 'hello', isDraining}));
    closeWhileCutOff();
    moveGroup();
    unregisterLinks = runtime.at(runtime.now() + LINK_INTERVAL_MS, keepLinks);
  };
  unregisterLinks = runtime.at(runtime.now() + LINK_INTERVAL_MS, keepLinks);

  const releaseGroup = async (
    group: GroupId,
    to: HostAddress | null,
  ): Promise<void> => {
    const pool = pools.get(group);
    pool?.beginHandover();
    const deadline = runtime.now() + HANDOVER_MS;
    while (pool?.isIdle() === false && runtime.now() < deadline) {
      await waitUntil(runtime, runtime.now() + HANDOVER_POLL_MS);
    }
    await ownership.release(group, to);
  };

  return {
    entry,
    handleMessage,
    notePeer: (host, isUp) => {
      if (isUp === linked.has(host)) {
        return;
      }
      record('info', isUp ? 'link_up' : 'link_down', {peer: host});
      if (isUp) {
        linked.add(host);
        owners.forEach((owner, group) => {
          if (owner.host === host) {
            entry.noteOwner(group);
          }
        });
        return;
      }
      linked.delete(host);
      leaving.delete(host);
      reviewReach();
      entry.noteHostLost(host);
      pools.forEach(pool => pool.dropHost(host));
    },
    noteTable: next => {
      if (table !== null && next.version <= table.version) {
        return;
      }
      record('info', 'table_in_force', {
        version: next.version,
        before: table?.version ?? null,
        routes: next.routes.size,
        groups: next.groups.size,
      });
      table = next;
    },
    noteHosts: entries => {
      hosts = [self, ...entries.filter(({host}) => host !== self.host)];
      far = listRemoteHosts(self, hosts);
      witnesses = orderRemoteHosts(self, far);
      entries.forEach(({host, address}) => addresses.set(host, address));
    },
    noteOwnerships: (stored, isComplete) => {
      if (isComplete && !isListComplete) {
        ownership.noteFirstList(stored);
        isListComplete = true;
      }
      stored.forEach(ownership.noteStored);
    },
    resolveAddress: host => addresses.get(host) ?? null,
    isReady: () => owners.size > 0 && !isDraining && isServing(),
    readOwned: ownership.readOwned,
    isActing: ownership.isValid,
    handOver: async () => {
      isDraining = true;
      ownership.stopClaiming();
      linked.forEach(host => send(host, {type: 'hello', isDraining}));
      await Promise.all(
        ownership.readOwned().map(group => releaseGroup(group, null)),
      );
    },
    close: () => {
      unregisterLinks();
      stopEndpoints?.();
      ownership.close();
      pools.forEach(pool => pool.close());
      pools.clear();
    },
  };
}
