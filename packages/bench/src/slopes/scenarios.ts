/** What a host goes through while its cost is measured. */

import type {HostId, ObjectChange} from '@lacewingroad/core';
import {readCpuMicros, readHeapKb} from './cpu_time.js';
import {countMessageBytes} from './message_bytes.js';
import {createLoneHost} from './lone_host.js';
import type {LoneHost} from './lone_host.js';
import type {Tally} from './meter.js';
import {createFleet, createTable, listObjects} from './site_objects.js';
import type {Fleet, FleetSize} from './site_objects.js';

/** Time between two questions of a follower to one of its two relays. */
const ASK_INTERVAL_MS = 1_000;
const WARM_UP_MS = 8_000;
const MS_PER_SECOND = 1_000;

/** What a host does for others. */
export type Role = 'follower' | 'relay';

/** What a span of virtual time cost. */
export interface Cost {
  /** Processor time in microseconds per second. */
  readonly cpuPerSecond: number;
  readonly sentPerSecond: number;
  readonly receivedPerSecond: number;
  readonly platformReadsPerSecond: number;
  /** Processor time by type of event, the most expensive first. */
  readonly cpu: readonly (readonly [string, Tally])[];
  readonly sent: readonly (readonly [string, Tally])[];
  readonly received: readonly (readonly [string, Tally])[];
}

/** Finds a host of the first data centre that is, or is not, its relay. */
function chooseSelf(fleet: Fleet, role: Role): HostId {
  const place = fleet.hosts[0]!.dataCentre;
  const near = fleet.hosts.filter(host => host.dataCentre === place);
  const first = createLoneHost(fleet, near[0]!.id);
  first.push({type: 'started'});
  first.run(WARM_UP_MS);
  const targets = new Set<HostId>();
  if (first.engine.getBoard().relay.clients.has(near[0]!.id)) {
    targets.add(near[0]!.id);
  }
  first.syncTargets().forEach(host => targets.add(host));
  const isRelay = (id: HostId): boolean => targets.has(id);
  const owns = (id: HostId): number =>
    fleet.groups.filter(group => Object.values(group.owners).includes(id))
      .length;
  const wanted = near.filter(({id}) => isRelay(id) === (role === 'relay'));
  const mean = (3 * fleet.groups.length) / fleet.hosts.length;
  const distance = (id: HostId): number => Math.abs(owns(id) - mean);
  const sorted = wanted.sort((a, b) => distance(a.id) - distance(b.id));
  return (sorted[0] ?? near[0]!).id;
}

/** Lets the other hosts of the data centre ask this one as their relay. */
function startFollowers(lone: LoneHost, fleet: Fleet): void {
  const place = fleet.hosts.find(host => host.id === lone.host)!.dataCentre;
  const near = fleet.hosts.filter(
    host => host.dataCentre === place && host.id !== lone.host,
  );
  near.forEach(({id}, at) => {
    let since = 0;
    const readRevision = (): number => lone.engine.getBoard().view.revision;
    const ask = (): void => {
      const msg = {type: 'sync', ask: 1, since, isDraining: false} as const;
      lone.receive(id, msg);
      since = readRevision();
      lone.runtime.at(lone.runtime.now() + ASK_INTERVAL_MS, ask);
    };
    lone.runtime.at(1 + (at * ASK_INTERVAL_MS) / near.length, ask);
  });
}

/** Starts a host of a fleet and lets it come to rest. */
export function startHost(fleet: Fleet, role: Role): LoneHost {
  const lone = createLoneHost(fleet, chooseSelf(fleet, role));
  lone.push({type: 'started'});
  if (role === 'relay') {
    startFollowers(lone, fleet);
  }
  lone.run(WARM_UP_MS);
  return lone;
}

/** Forgets what was counted. */
export function resetMeters(lone: LoneHost): void {
  [lone.cpu, lone.sent, lone.received, lone.platform, lone.replies].forEach(
    meter => meter.reset(),
  );
}

/** Measures a span of virtual time. */
export function measureSpan(lone: LoneHost, spanMs: number): Cost {
  resetMeters(lone);
  lone.run(spanMs);
  const seconds = spanMs / MS_PER_SECOND;
  return {
    cpuPerSecond: lone.cpu.total() / seconds,
    sentPerSecond: lone.sent.total() / seconds,
    receivedPerSecond: lone.received.total() / seconds,
    platformReadsPerSecond: lone.platform.read('read').count / seconds,
    cpu: lone.cpu.entries(),
    sent: lone.sent.entries(),
    received: lone.received.entries(),
  };
}

/** What a change of one table costs a host. */
export interface ChangeCost {
  /** Additional processor time in microseconds. */
  readonly cpuMicros: number;
  /** Bytes of the changed object within a message. */
  readonly objectBytes: number;
}

/** Events through which a host learns of changes and passes them on. */
const CHANGE_EVENTS = [
  'message sync',
  'message synced',
  'message changed',
  'platform_read',
];

/** Returns the processor time of the events that carry changes. */
function readChangeMicros(lone: LoneHost): number {
  return CHANGE_EVENTS.reduce((sum, type) => sum + lone.cpu.read(type).sum, 0);
}

/** Measures what changes of tables cost besides the idle load. */
export function measureChanges(
  lone: LoneHost,
  size: FleetSize,
  count: number,
): ChangeCost {
  resetMeters(lone);
  lone.run(count * MS_PER_SECOND);
  const idleMicros = readChangeMicros(lone);
  resetMeters(lone);
  for (let at = 0; at < count; at++) {
    const table = createTable(at % size.groups, size, `changed-${at}`);
    lone.change(`tables/${table.service}`, table);
    lone.run(MS_PER_SECOND);
  }
  const busyMicros = readChangeMicros(lone) - idleMicros;
  const table = createTable(0, size, 'changed');
  const changes = [
    {key: `tables/${table.service}`, version: 2, revision: 2, value: table},
  ];
  return {
    cpuMicros: busyMicros / count,
    objectBytes: countMessageBytes({type: 'changed', changes, forward: false}),
  };
}

/** Measures the time after the hosts of another data centre left the list. */
export function measureLostPlace(
  lone: LoneHost,
  fleet: Fleet,
  spanMs: number,
): Cost {
  const {dataCentre} = lone.engine.getBoard().self;
  const lost = fleet.hosts.find(host => host.dataCentre !== dataCentre)!;
  fleet.hosts
    .filter(host => host.dataCentre === lost.dataCentre)
    .forEach(({id}) => lone.change(`hosts/${id}`, null));
  lone.run(2 * MS_PER_SECOND);
  return measureSpan(lone, spanMs);
}

/** What a start of a host costs. */
export interface StartCost {
  readonly cpuMicros: number;
  /** Bytes of an answer that carries the whole view. */
  readonly viewBytes: number;
  /** Heap that the view holds, in KiB. */
  readonly viewKb: number;
}

/** Lets an engine read the whole platform; keeps nothing of what it parsed. */
function readAll(lone: LoneHost, text: string): void {
  const changes = JSON.parse(text) as readonly ObjectChange[];
  const revision = changes.length;
  lone.push({type: 'platform_read', sentAt: 0, revision, changes});
}

/** Measures how a host that knows nothing takes the whole view. */
export function measureStart(size: FleetSize): StartCost {
  const fleet = createFleet(size);
  const text = JSON.stringify(listObjects(fleet));
  const lone = createLoneHost(fleet, fleet.hosts[0]!.id);
  lone.push({type: 'started'});
  const heapBefore = readHeapKb();
  const begin = readCpuMicros();
  readAll(lone, text);
  const cpuMicros = readCpuMicros() - begin;
  const viewKb = readHeapKb() - heapBefore;
  resetMeters(lone);
  const msg = {type: 'sync', ask: 1, since: 0, isDraining: false} as const;
  lone.receive(fleet.hosts[1]!.id, msg);
  return {cpuMicros, viewBytes: lone.sent.read('synced').sum, viewKb};
}
