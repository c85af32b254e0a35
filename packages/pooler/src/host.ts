/** One host: serves callers, owns pools, and takes over pools of others. */

import type {GroupId, HostId} from '@lacewingroad/core';
import type {Instant, Unregister} from '@lacewingroad/runtime';
import type {AllowanceTolerance} from './decisions/allowance_homes.js';
import {
  chooseLinks,
  listRemoteHosts,
  orderRemoteHosts,
} from './decisions/links.js';
import {isCutOff, shouldMoveSessions} from './decisions/reach.js';
import {createEntry} from './entry/entry.js';
import type {Entry} from './entry/entry.js';
import type {EndpointList} from './model/directory.js';
import type {
  MessageHandlers,
  OwnerStateMessage,
  PoolMessage,
} from './model/message.js';
import {isWellFormed} from './model/message_check.js';
import {listMembers} from './model/ownership.js';
import type {HostEntry, StoredOwnership} from './model/ownership.js';
import {createAllowances} from './owner/allowances.js';
import {createGroupPool} from './owner/group_pool.js';
import type {GroupPool} from './owner/group_pool.js';
import type {ReadStatus} from './owner/status.js';
import {createHandover} from './ownership/handover.js';
import {createOwnershipController} from './ownership/ownership_controller.js';
import {createPromotionGuard} from './ownership/promotion_guard.js';
import type {HostPorts, Promote} from './ports.js';
import {createTableFeed} from './table/table_feed.js';

/** Interval at which connections to other hosts are maintained, in ms. */
const LINK_INTERVAL_MS = 500;
/** Time without links to remote hosts after which no group is claimed, ms. */
const REMOTE_LINK_TIMEOUT_MS = 1_200;

/** Configuration and dependencies of a host. */
export interface HostConfig {
  readonly self: HostEntry;
  /** Distinguishes this run of the process from all others. */
  readonly incarnation: string;
  readonly ports: HostPorts;
  /** Parses the row of an endpoint's reply to a status probe. */
  readonly readStatus: ReadStatus;
  /** How exactly limits are observed; without it workspaces are not limited. */
  readonly allowanceTolerance?: AllowanceTolerance | null;
}

/** One host. */
export interface Host {
  readonly entry: Entry;
  readonly handleMessage: (host: HostId, msg: PoolMessage) => void;
  readonly handleLinkChange: (host: HostId, isUp: boolean) => void;
  readonly updateHosts: (hosts: readonly HostEntry[]) => void;
  /**
   * Applies ownership records; `isComplete` if the list holds all that the store
   * had in its present era.
   */
  readonly updateOwnerships: (
    stored: readonly StoredOwnership[],
    isComplete: boolean,
    era?: number,
  ) => void;
  /** Returns the `IP:PORT` of a host, or null if it is unknown. */
  readonly resolveAddress: (host: HostId) => string | null;
  /** Returns whether this host should accept new callers. */
  readonly isReady: () => boolean;
  readonly listOwnedGroups: () => readonly GroupId[];
  /** Returns whether this host may act as the owner of a group now. */
  readonly isActiveOwner: (group: GroupId) => boolean;
  /** Hands over all groups; resolves once that is done. */
  readonly handOver: () => Promise<void>;
  readonly close: () => void;
}

/** Creates a host; it claims groups once it has the table and the records. */
export function createHost(cfg: HostConfig): Host {
  const {self, ports, incarnation} = cfg;
  const {runtime, record} = ports;
  const pools = new Map<GroupId, GroupPool>();
  const owners = new Map<GroupId, {host: HostId; generation: number}>();
  const addresses = new Map<HostId, string>([[self.host, self.address]]);
  /** Groups whose owner has no valid lease. */
  const inactiveGroups = new Set<GroupId>();
  /** Groups whose owner is unreachable or inactive, and since when. */
  const ownerLostAt = new Map<GroupId, Instant>();
  /** Groups whose idle sessions were closed since their owner was lost. */
  const leftGroups = new Set<GroupId>();
  const linkedHosts = new Set<HostId>();
  /** Linked hosts that are stopping and take over no groups. */
  const stoppingHosts = new Set<HostId>();
  let endpoints: EndpointList | null = null;
  let hosts: readonly HostEntry[] = [self];
  /** Hosts in other data centres; all other hosts if there is only one. */
  let remoteHosts: readonly HostEntry[] = [];
  let rankedRemoteHosts: readonly HostId[] = [];
  let isDraining = false;
  let wasCutOff = false;
  /** Since when no remote host is linked; null if there are no remote hosts. */
  let isolatedAt: Instant | null = null;

  /** Sends a message; one to this host itself is handled in a microtask. */
  const send = (host: HostId, msg: PoolMessage): void => {
    if (host === self.host) {
      queueMicrotask(() => handleMessage(host, msg));
      return;
    }
    ports.send(host, msg);
  };

  const isLinked = (host: HostId): boolean =>
    host === self.host || linkedHosts.has(host);

  const updateIsolation = (): void => {
    const isIsolated =
      remoteHosts.length > 0 &&
      !remoteHosts.some(({host}) => linkedHosts.has(host));
    isolatedAt = isIsolated ? (isolatedAt ?? runtime.now()) : null;
  };

  /** Returns whether no remote host was linked for REMOTE_LINK_TIMEOUT_MS. */
  const hasLostRemoteLinks = (): boolean =>
    isolatedAt !== null && runtime.now() - isolatedAt >= REMOTE_LINK_TIMEOUT_MS;

  const tableFeed = createTableFeed({
    self,
    ports: {...ports, send},
    connect: host => send(host, {type: 'hello', isDraining}),
    onTable: table =>
      record('info', 'table_in_force', {
        version: table.version,
        routes: table.routes.size,
        groups: table.groups.size,
      }),
  });
  const readGroups = (): readonly GroupId[] => [
    ...(tableFeed.read()?.groups.keys() ?? []),
  ];

  /** Ends the watch of endpoints; null while there is no watch. */
  let unwatchEndpoints: Unregister | null = null;
  /**
   * Watches endpoints only while this host is the owner of a group. A watch by
   * every host would load the store in proportion to the fleet. A new owner
   * starts from a current list: what it concludes from the replies of all but
   * some endpoints would be wrong with an old one.
   */
  const updateEndpointWatch = (): void => {
    const isWanted = ownership.isNamedOwner();
    if (isWanted === (unwatchEndpoints !== null)) {
      return;
    }
    if (!isWanted) {
      unwatchEndpoints?.();
      unwatchEndpoints = null;
      endpoints = null;
      return;
    }
    unwatchEndpoints = ports.watchEndpoints(list => {
      endpoints = list;
      pools.forEach(pool => pool.updateEndpoints());
    });
  };

  const ownership = createOwnershipController({
    self,
    incarnation,
    ports: {...ports, send},
    readGroups,
    readHosts: () => hosts,
    isReachable: host => isLinked(host) && !stoppingHosts.has(host),
    mayServe: () => !hasLostRemoteLinks(),
    readLineage: group => pools.get(group)?.readLineage() ?? null,
    onGained: group => {
      pools.get(group)?.close();
      allowances?.noteGained(group);
      pools.set(group, openPool(group));
      const generation = ownership.readGeneration(group);
      setOwner(group, self.host, generation);
      // It may have lost the same generation before.
      reportActivity(group, generation, true);
    },
    onLost: group => {
      pools.get(group)?.close();
      pools.delete(group);
      allowances?.noteLost(group);
      const owner = owners.get(group);
      if (owner?.host === self.host) {
        // There may be no next owner, or its record may come late.
        reportActivity(group, owner.generation, false);
      }
    },
    onActivityChanged: (group, isActive) => {
      const generation = ownership.readGeneration(group);
      record(
        isActive ? 'info' : 'warn',
        isActive ? 'lease_regained' : 'lease_expired',
        {group, generation},
      );
      reportActivity(group, generation, isActive);
      if (!isActive) {
        pools.get(group)?.endWaitingJobs();
      }
    },
    onRecordChanged: known => {
      const {group, owner, generation} = known;
      listMembers(known).forEach(({host, address}) =>
        addresses.set(host, address),
      );
      const isOwn = owner.host === self.host;
      if (!isOwn || known.incarnation === incarnation) {
        setOwner(group, owner.host, generation);
      }
      updateEndpointWatch();
    },
  });

  const allowances =
    cfg.allowanceTolerance == null
      ? null
      : createAllowances({
          self: self.host,
          ports: {runtime, record, send},
          tolerance: cfg.allowanceTolerance,
          readTable: tableFeed.read,
          isActiveOwner: ownership.hasValidLease,
          isLinked,
          findOwner: group => owners.get(group)?.host ?? null,
        });

  const handover = createHandover({
    ports,
    ownership,
    findPool: group => pools.get(group),
  });

  /** Tells all linked hosts whether this one may act as an owner. */
  const reportActivity = (
    group: GroupId,
    generation: number,
    isActive: boolean,
  ): void => {
    const msg = {type: 'owner_state', group, generation, isActive} as const;
    [self.host, ...linkedHosts].forEach(host => send(host, msg));
  };

  const setOwner = (group: GroupId, host: HostId, generation: number): void => {
    const known = owners.get(group);
    if (known !== undefined && known.generation > generation) {
      return;
    }
    owners.set(group, {host, generation});
    if (known?.generation !== generation) {
      inactiveGroups.delete(group);
    }
    updateOwnerReachability();
    if (isLinked(host)) {
      entry.sendWaitingRequests(group);
      return;
    }
    send(host, {type: 'hello', isDraining});
  };

  const guardPromotions = (group: GroupId): Promote =>
    createPromotionGuard({
      runtime,
      ports,
      readLeaseExpiry: () => ownership.readLeaseExpiry(group),
    });

  const openPool = (group: GroupId): GroupPool =>
    createGroupPool(
      {
        group,
        host: self.host,
        dataCentre: self.dataCentre,
        ports: {...ports, send, promote: guardPromotions(group)},
        isLeaseValid: () => ownership.hasValidLease(group),
        readGeneration: () => ownership.readGeneration(group),
        keepPromotion: ownership.keepPromotion,
        readTable: tableFeed.read,
        readEndpoints: () => endpoints,
        allowances: allowances?.gate ?? null,
        ...ownership.readInheritance(group),
      },
      cfg.readStatus,
    );

  const entry = createEntry({
    ports,
    incarnation,
    send,
    readTable: tableFeed.read,
    readOwnerLostAt: group => {
      updateOwnerReachability();
      return ownerLostAt.get(group) ?? null;
    },
    findOwner: group => (isServed(group) ? owners.get(group)!.host : null),
    isCutOff: () => wasCutOff,
  });

  /** Returns whether a group has a reachable owner with a valid lease. */
  const isServed = (group: GroupId): boolean => {
    const owner = owners.get(group);
    return (
      owner !== undefined && isLinked(owner.host) && !inactiveGroups.has(group)
    );
  };

  const handleOwnerState = (host: HostId, msg: OwnerStateMessage): void => {
    const {group, generation, isActive} = msg;
    const owner = owners.get(group);
    if (owner?.host !== host || owner.generation !== generation) {
      return;
    }
    if (!isActive) {
      inactiveGroups.add(group);
      updateCutOff();
      return;
    }
    inactiveGroups.delete(group);
    updateCutOff();
    entry.sendWaitingRequests(group);
  };

  /** Forgets what a host reported: it reports again once it is linked. */
  const forgetOwnerStates = (host: HostId): void => {
    for (const group of inactiveGroups) {
      if (owners.get(group)?.host === host) {
        inactiveGroups.delete(group);
      }
    }
  };

  /** Tells a host that has just been linked which groups are not served. */
  const sendOwnInactiveGroups = (host: HostId): void => {
    for (const group of inactiveGroups) {
      const owner = owners.get(group);
      if (owner?.host === self.host) {
        const {generation} = owner;
        send(host, {type: 'owner_state', group, generation, isActive: false});
      }
    }
  };

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
      if (stored === null) {
        return;
      }
      if (stored.ownership.owner.host !== self.host) {
        send(host, {type: 'record', stored});
        return;
      }
      if (isDraining) {
        // Handed over to this host, which will not take it.
        const {group, generation} = stored.ownership;
        send(host, {type: 'owner_state', group, generation, isActive: false});
      }
    },
    ran: (_host, msg) => entry.handleRan(msg.request, msg.result),
    close_tx: (host, msg) => pools.get(msg.group)?.closeTx(host, msg.tx),
    ...ownership.handlers,
    record: (_host, {stored}) => ownership.applyRecord(stored),
    owner_state: handleOwnerState,
    table_ask: (host, msg) => tableFeed.handleAsk(host, msg),
    table_news: (host, msg) => tableFeed.handleNews(host, msg),
    allowance_ask: (host, msg) => allowances?.exchange.handleAsk(host, msg),
    allowance_grant: (host, msg) => allowances?.exchange.handleGrant(host, msg),
    hello: (host, {isDraining: isPeerDraining}) => {
      if (isPeerDraining) {
        stoppingHosts.add(host);
      } else {
        stoppingHosts.delete(host);
      }
    },
  };

  const handleMessage = (host: HostId, msg: PoolMessage): void => {
    if (host !== self.host && !isWellFormed(msg)) {
      record('warn', 'message_malformed', {host, type: String(msg.type)});
      return;
    }
    const handler = MESSAGE_HANDLERS[msg.type] as (
      host: HostId,
      msg: PoolMessage,
    ) => void;
    handler(host, msg);
  };

  /** Updates `ownerLostAt` from the current links and reports of owners. */
  const updateOwnerReachability = (): void => {
    for (const group of readGroups()) {
      if (isServed(group)) {
        ownerLostAt.delete(group);
      } else if (!ownerLostAt.has(group)) {
        ownerLostAt.set(group, runtime.now());
      }
    }
  };

  /** Returns whether this host reaches enough owners to serve callers. */
  const reachesEnoughOwners = (): boolean => {
    updateOwnerReachability();
    const groups = readGroups();
    const lostAt = groups.map(group => ownerLostAt.get(group) ?? null);
    updateIsolation();
    return groups.length > 0 && !isCutOff({lostAt, isolatedAt}, runtime.now());
  };

  /** Closes callers while this host cannot serve them, but other hosts may. */
  const updateCutOff = (): void => {
    const isCutOffNow = tableFeed.read() !== null && !reachesEnoughOwners();
    if (isCutOffNow === wasCutOff || isDraining) {
      return;
    }
    wasCutOff = isCutOffNow;
    record(
      isCutOffNow ? 'warn' : 'info',
      isCutOffNow ? 'cut_off' : 'cut_off_ended',
      {isolated: isolatedAt !== null, unserved: ownerLostAt.size},
    );
    if (isCutOffNow) {
      entry.endWaitingRequests();
      entry.beginClosing();
    } else {
      entry.stopClosing();
    }
  };

  /** Closes the idle sessions of groups that only other hosts may serve. */
  const moveSessions = (): void => {
    for (const group of readGroups()) {
      const lostAt = ownerLostAt.get(group) ?? null;
      if (lostAt === null) {
        leftGroups.delete(group);
      } else if (
        shouldMoveSessions(lostAt, runtime.now()) &&
        !leftGroups.has(group)
      ) {
        leftGroups.add(group);
        entry.closeIdleSessions(group);
      }
    }
  };

  let cancelLinkTimer: Unregister = () => undefined;
  const maintainLinks = (): void => {
    const links = chooseLinks(
      self,
      rankedRemoteHosts,
      ownership.listCandidates(),
      ownership.listOwnerships(),
    );
    links
      .filter(host => !linkedHosts.has(host))
      .forEach(host => send(host, {type: 'hello', isDraining}));
    updateCutOff();
    moveSessions();
    if (!isDraining) {
      handover.moveOneGroup();
    }
    cancelLinkTimer = runtime.at(
      runtime.now() + LINK_INTERVAL_MS,
      maintainLinks,
    );
  };
  cancelLinkTimer = runtime.at(runtime.now() + LINK_INTERVAL_MS, maintainLinks);

  return {
    entry,
    handleMessage,
    handleLinkChange: (host, isUp) => {
      tableFeed.handleLinkChange(host, isUp);
      if (isUp === linkedHosts.has(host)) {
        return;
      }
      record('info', isUp ? 'link_up' : 'link_down', {peer: host});
      if (isUp) {
        linkedHosts.add(host);
        updateIsolation();
        if (isDraining) {
          send(host, {type: 'hello', isDraining});
        }
        sendOwnInactiveGroups(host);
        owners.forEach((owner, group) => {
          if (owner.host === host) {
            entry.sendWaitingRequests(group);
          }
        });
        return;
      }
      linkedHosts.delete(host);
      forgetOwnerStates(host);
      updateIsolation();
      stoppingHosts.delete(host);
      updateOwnerReachability();
      entry.handleHostLost(host);
      pools.forEach(pool => pool.dropHost(host));
    },
    updateHosts: entries => {
      hosts = [self, ...entries.filter(({host}) => host !== self.host)];
      remoteHosts = listRemoteHosts(self, hosts);
      rankedRemoteHosts = orderRemoteHosts(self, remoteHosts);
      updateIsolation();
      tableFeed.updateHosts(hosts);
      entries.forEach(({host, address}) => addresses.set(host, address));
    },
    updateOwnerships: (stored, isComplete, era = 0) =>
      isComplete
        ? ownership.applyList(stored, era)
        : stored.forEach(ownership.applyRecord),
    resolveAddress: host => addresses.get(host) ?? null,
    isReady: () => owners.size > 0 && !isDraining && reachesEnoughOwners(),
    listOwnedGroups: ownership.listOwnedGroups,
    isActiveOwner: ownership.hasValidLease,
    handOver: async () => {
      isDraining = true;
      ownership.stopClaiming();
      linkedHosts.forEach(host => send(host, {type: 'hello', isDraining}));
      await handover.releaseAll();
    },
    close: () => {
      cancelLinkTimer();
      entry.stopClosing();
      unwatchEndpoints?.();
      tableFeed.close();
      ownership.close();
      pools.forEach(pool => pool.close());
      pools.clear();
      allowances?.close();
    },
  };
}
