/** A simulated site: platform, entry hosts, endpoints and callers. */

import {
  createEntryEngine,
  type DataCentreId,
  type Engine,
  type EntryConfig,
  type EndpointId,
  type GroupEndpoint,
  type GroupId,
  type GroupObject,
  type HostId,
  type HostObject,
  type ServiceId,
  type TableObject,
  type TableRow,
} from '@lacewingroad/core';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import type {VirtualRuntime} from '@lacewingroad/runtime';
import {openFakeCaller} from './caller.js';
import type {CallerOptions, FakeCaller} from './caller.js';
import {createFakeEndpoint} from './endpoint.js';
import type {EndpointLoad, FakeEndpoint} from './endpoint.js';
import {startFakeHost} from './host.js';
import type {FakeHost, HostObserver} from './host.js';
import {createFakeNetwork} from './network.js';
import type {Delays, FakeNetwork, NetNode} from './network.js';
import {createFakePlatform} from './platform.js';
import type {FakePlatform} from './platform.js';

/** Interval of the check for silent connections, in milliseconds. */
const SILENCE_CHECK_MS = 150;

/** Placement of a group's endpoints; the first is the primary of term 1. */
export interface SiteGroup {
  readonly id: GroupId;
  /** The data centre of each endpoint, in order. */
  readonly endpoints: readonly DataCentreId[];
}

/** The initial table of a service. */
export interface SiteTable {
  readonly service: ServiceId;
  readonly group: GroupId;
  readonly rows: readonly TableRow[];
}

/** Configuration of a site. */
export interface FakeSiteConfig {
  readonly seed: number;
  readonly dataCentres: readonly DataCentreId[];
  readonly entriesPerDataCentre:
    number | Readonly<Record<DataCentreId, number>>;
  readonly groups: readonly SiteGroup[];
  readonly tables: readonly SiteTable[];
  readonly delays?: Partial<Delays>;
  /** One-way delays between two data centres, in milliseconds. */
  readonly pairDelays?: readonly (readonly [
    DataCentreId,
    DataCentreId,
    number,
  ])[];
  readonly endpoints?: Partial<EndpointLoad>;
  readonly observer?: HostObserver;
  /** Creates the engines of the hosts; replace it to observe or alter them. */
  readonly createEngine?: (cfg: EntryConfig) => Engine;
}

/** A running site; its clock advances only in `runFor`. */
export interface FakeSite {
  readonly runtime: VirtualRuntime;
  readonly network: FakeNetwork;
  readonly platform: FakePlatform;
  readonly endpoints: ReadonlyMap<EndpointId, FakeEndpoint>;
  /** The latest process of each host. */
  readonly hosts: ReadonlyMap<HostId, FakeHost>;
  readonly hostIds: readonly HostId[];
  readonly runFor: (ms: number) => void;
  readonly killHost: (id: HostId) => void;
  /** Starts a host again with a new incarnation. */
  readonly restartHost: (id: HostId) => FakeHost;
  readonly openCaller: (host: HostId, options: CallerOptions) => FakeCaller;
  readonly readGroup: (id: GroupId) => GroupObject;
  readonly readTable: (service: ServiceId) => TableObject;
}

const DEFAULT_DELAYS: Delays = {localMs: 0.2, remoteMs: 1.5, jitterMs: 0.1};

const DEFAULT_LOAD: EndpointLoad = {
  slots: 3,
  maxConnections: 24,
  connectMs: 1,
  serviceMs: () => 1,
  lagMs: 0,
  lockWaitMs: 1_000,
};

/** Returns the id of a data centre's host; numbers start at 1. */
export function hostName(dataCentre: DataCentreId, number: number): HostId {
  return `${dataCentre}-${number}`;
}

function createHostObject(node: NetNode): HostObject {
  return {
    id: node.id,
    dataCentre: node.zone,
    state: 'live',
    peerAddress: `${node.id}:1`,
    callerAddress: `${node.id}:2`,
    operatorAddress: `${node.id}:3`,
  };
}

function createGroupObject(group: SiteGroup, load: EndpointLoad): GroupObject {
  const endpoints = group.endpoints.map((dataCentre, index): GroupEndpoint => {
    const id = `${group.id}-${index + 1}`;
    return {
      id,
      dataCentre,
      address: id,
      port: 1,
      slots: load.slots,
      maxConnections: load.maxConnections,
      leaving: false,
    };
  });
  return {
    id: group.id,
    term: 1,
    primary: endpoints[0]!.id,
    fence: null,
    starts: [{term: 1, index: 0}],
    endpoints,
    owners: {},
  };
}

/** Creates and starts a site; run it for a few seconds before use. */
export function createFakeSite(cfg: FakeSiteConfig): FakeSite {
  const runtime = createVirtualRuntime(cfg.seed);
  const network = createFakeNetwork(runtime, {
    ...DEFAULT_DELAYS,
    ...cfg.delays,
  });
  cfg.pairDelays?.forEach(([a, b, ms]) => network.setDelay(a, b, ms));
  const platform = createFakePlatform(network);
  const endpoints = new Map<EndpointId, FakeEndpoint>();
  const hosts = new Map<HostId, FakeHost>();
  const nodes = new Map<HostId, NetNode>();
  let startCount = 0;

  const createEngine = cfg.createEngine ?? createEntryEngine;

  const catchUpAll = (): void =>
    endpoints.forEach(endpoint => endpoint.catchUp());

  /** Returns the seed hosts in the settings of a host: all others. */
  const listSeeds = (id: HostId): readonly HostObject[] =>
    [...nodes.values()].filter(node => node.id !== id).map(createHostObject);

  const startHost = (id: HostId): FakeHost => {
    const node = nodes.get(id)!;
    const host = startFakeHost({
      network,
      node,
      dataCentre: node.zone,
      incarnation: `${id}#${++startCount}`,
      platform,
      createEngine: entry => createEngine({...entry, seeds: listSeeds(id)}),
      findEndpoint: endpoint => endpoints.get(endpoint) ?? null,
      findPeers: other => {
        const found = hosts.get(other);
        return found === undefined || found.process.isDead()
          ? null
          : found.peers;
      },
      findNode: other => nodes.get(other) ?? null,
      observer: cfg.observer ?? {},
    });
    hosts.set(id, host);
    runtime.at(runtime.now(), () => host.push({type: 'started'}));
    return host;
  };

  const createGroup = (group: SiteGroup): void => {
    const load = {...DEFAULT_LOAD, ...cfg.endpoints};
    const object = createGroupObject(group, load);
    object.endpoints.forEach(({id, dataCentre}) => {
      const isPrimary = id === object.primary;
      const endpoint = createFakeEndpoint({
        network,
        node: {id, zone: dataCentre},
        load: {...load},
        role: isPrimary ? 'primary' : 'replica',
        term: 1,
        follows: isPrimary ? null : object.primary,
        findEndpoint: other => endpoints.get(other) ?? null,
      });
      endpoints.set(id, {
        ...endpoint,
        kill: () => {
          catchUpAll();
          endpoint.kill();
        },
        freeze: () => {
          catchUpAll();
          endpoint.freeze();
        },
      });
    });
    platform.put(`groups/${group.id}`, object);
  };

  const createTable = (table: SiteTable): void => {
    const object: TableObject = {
      ...table,
      editId: `${table.service}-1`,
      editedBy: 'setup',
      note: 'first table',
      history: [],
    };
    platform.put(`tables/${table.service}`, object);
  };

  const closeSilentLinks = (): void => {
    hosts.forEach(host => {
      if (!host.process.isDead() && !host.process.isPaused()) {
        host.peers.closeSilentLinks();
      }
    });
    runtime.at(runtime.now() + SILENCE_CHECK_MS, closeSilentLinks);
  };

  network.onBeforeChange(catchUpAll);
  cfg.groups.forEach(createGroup);
  cfg.tables.forEach(createTable);
  for (const dataCentre of cfg.dataCentres) {
    const {entriesPerDataCentre: entries} = cfg;
    const count = typeof entries === 'number' ? entries : entries[dataCentre]!;
    for (let number = 1; number <= count; number++) {
      const node = {id: hostName(dataCentre, number), zone: dataCentre};
      nodes.set(node.id, node);
      platform.put(`hosts/${node.id}`, createHostObject(node));
    }
  }
  nodes.forEach((_node, id) => startHost(id));
  runtime.at(SILENCE_CHECK_MS, closeSilentLinks);

  return {
    runtime,
    network,
    platform,
    endpoints,
    hosts,
    hostIds: [...nodes.keys()],
    runFor: ms => runtime.runUntil(runtime.now() + ms),
    killHost: id => {
      hosts.get(id)!.kill();
      platform.setHost(id, null);
    },
    restartHost: id => {
      hosts.get(id)!.kill();
      platform.setHost(id, createHostObject(nodes.get(id)!));
      const host = startHost(id);
      runtime.runUntil(runtime.now());
      return host;
    },
    openCaller: (host, options) =>
      openFakeCaller(hosts.get(host)!, runtime, options),
    readGroup: id => platform.find(`groups/${id}`)!.value as GroupObject,
    readTable: service =>
      platform.find(`tables/${service}`)!.value as TableObject,
  };
}
