/** Scenarios in which the cost of a host is measured. */

import type {HostId, ObjectChange} from '@lacewingroad/core';
import {readCpuMicros, readHeapKb} from './cpu_time.js';
import {countMessageBytes} from './message_bytes.js';
import {createHostHarness} from './host_harness.js';
import type {HostHarness} from './host_harness.js';
import type {Tally} from './meter.js';
import {createFleet, createTable, listObjects} from './fleet_objects.js';
import type {Fleet, FleetSize} from './fleet_objects.js';

/** Interval between two syncs of a client with one of its two relays. */
const SYNC_INTERVAL_MS = 1_000;
const WARM_UP_MS = 8_000;
const MS_PER_SECOND = 1_000;

/**
 * Role of a host in its data centre: a 'relay' forwards changes to its clients,
 * a 'follower' is such a client. Figures are printed under these names.
 */
export type Role = 'follower' | 'relay';

/** Cost of a span of virtual time. Rates are per second. */
export interface SpanCost {
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

/**
 * Finds a host of the first data centre with the given role, preferably one
 * that owns an average number of endpoints.
 */
function chooseMeasuredHost(fleet: Fleet, role: Role): HostId {
  const dataCentre = fleet.hosts[0]!.dataCentre;
  const localHosts = fleet.hosts.filter(host => host.dataCentre === dataCentre);
  const probe = createHostHarness(fleet, localHosts[0]!.id);
  probe.push({type: 'started'});
  probe.run(WARM_UP_MS);
  const relays = new Set<HostId>();
  if (probe.engine.getBoard().relay.clients.has(localHosts[0]!.id)) {
    relays.add(localHosts[0]!.id);
  }
  probe.lastSyncTargets().forEach(host => relays.add(host));
  const isRelay = (id: HostId): boolean => relays.has(id);
  const countOwned = (id: HostId): number =>
    fleet.groups.filter(group => Object.values(group.owners).includes(id))
      .length;
  const candidates = localHosts.filter(
    ({id}) => isRelay(id) === (role === 'relay'),
  );
  const meanOwned = (3 * fleet.groups.length) / fleet.hosts.length;
  const distance = (id: HostId): number => Math.abs(countOwned(id) - meanOwned);
  const sorted = candidates.sort((a, b) => distance(a.id) - distance(b.id));
  return (sorted[0] ?? localHosts[0]!).id;
}

/** Makes the other hosts of the data centre sync from this one. */
function startRelayClients(harness: HostHarness, fleet: Fleet): void {
  const dataCentre = fleet.hosts.find(
    host => host.id === harness.host,
  )!.dataCentre;
  const clients = fleet.hosts.filter(
    host => host.dataCentre === dataCentre && host.id !== harness.host,
  );
  clients.forEach(({id}, index) => {
    let since = 0;
    const readRevision = (): number => harness.engine.getBoard().view.revision;
    const sendSync = (): void => {
      const msg = {type: 'sync', ask: 1, since, isDraining: false} as const;
      harness.receive(id, msg);
      since = readRevision();
      harness.runtime.at(harness.runtime.now() + SYNC_INTERVAL_MS, sendSync);
    };
    harness.runtime.at(
      1 + (index * SYNC_INTERVAL_MS) / clients.length,
      sendSync,
    );
  });
}

/** Starts a host of a fleet and runs it through its warm-up. */
export function startHost(fleet: Fleet, role: Role): HostHarness {
  const harness = createHostHarness(fleet, chooseMeasuredHost(fleet, role));
  harness.push({type: 'started'});
  if (role === 'relay') {
    startRelayClients(harness, fleet);
  }
  harness.run(WARM_UP_MS);
  return harness;
}

/** Resets all meters of a host. */
export function resetMeters(harness: HostHarness): void {
  [
    harness.cpu,
    harness.sent,
    harness.received,
    harness.platform,
    harness.replies,
  ].forEach(meter => meter.reset());
}

/** Measures a span of virtual time. */
export function measureSpan(harness: HostHarness, spanMs: number): SpanCost {
  resetMeters(harness);
  harness.run(spanMs);
  const seconds = spanMs / MS_PER_SECOND;
  return {
    cpuPerSecond: harness.cpu.total() / seconds,
    sentPerSecond: harness.sent.total() / seconds,
    receivedPerSecond: harness.received.total() / seconds,
    platformReadsPerSecond: harness.platform.read('read').count / seconds,
    cpu: harness.cpu.entries(),
    sent: harness.sent.entries(),
    received: harness.received.entries(),
  };
}

/** Cost to a host of a change of one table. */
export interface ChangeCost {
  /** Additional processor time in microseconds. */
  readonly cpuMicros: number;
  /** Bytes of the changed object within a message. */
  readonly objectBytes: number;
}

/** Events in which a host receives changes or passes them on. */
const CHANGE_EVENTS = [
  'message sync',
  'message synced',
  'message changed',
  'platform_read',
];

/** Returns the processor time of the events that carry changes. */
function sumChangeMicros(harness: HostHarness): number {
  return CHANGE_EVENTS.reduce(
    (sum, type) => sum + harness.cpu.read(type).sum,
    0,
  );
}

/** Measures the cost of table changes beyond that of an idle host. */
export function measureChanges(
  harness: HostHarness,
  size: FleetSize,
  count: number,
): ChangeCost {
  resetMeters(harness);
  harness.run(count * MS_PER_SECOND);
  const idleMicros = sumChangeMicros(harness);
  resetMeters(harness);
  for (let index = 0; index < count; index++) {
    const table = createTable(index % size.groups, size, `changed-${index}`);
    harness.changeObject(`tables/${table.service}`, table);
    harness.run(MS_PER_SECOND);
  }
  const busyMicros = sumChangeMicros(harness) - idleMicros;
  const table = createTable(0, size, 'changed');
  const changes = [
    {key: `tables/${table.service}`, version: 2, revision: 2, value: table},
  ];
  return {
    cpuMicros: busyMicros / count,
    objectBytes: countMessageBytes({type: 'changed', changes, forward: false}),
  };
}

/** Measures a span after all hosts of another data centre were removed. */
export function measureLostDataCentre(
  harness: HostHarness,
  fleet: Fleet,
  spanMs: number,
): SpanCost {
  const {dataCentre} = harness.engine.getBoard().self;
  const lost = fleet.hosts.find(host => host.dataCentre !== dataCentre)!;
  fleet.hosts
    .filter(host => host.dataCentre === lost.dataCentre)
    .forEach(({id}) => harness.changeObject(`hosts/${id}`, null));
  harness.run(2 * MS_PER_SECOND);
  return measureSpan(harness, spanMs);
}

/** Cost of a host's start. */
export interface StartCost {
  readonly cpuMicros: number;
  /** Bytes of a `synced` message that carries the whole view. */
  readonly viewBytes: number;
  /** Heap that the view holds, in KiB. */
  readonly viewKb: number;
}

/** Gives an engine the whole view, and keeps no reference to the parsed list. */
function loadWholeView(harness: HostHarness, text: string): void {
  const changes = JSON.parse(text) as readonly ObjectChange[];
  const revision = changes.length;
  harness.push({type: 'platform_read', sentAt: 0, revision, changes});
}

/** Measures how a host without a view loads the whole one. */
export function measureStart(size: FleetSize): StartCost {
  const fleet = createFleet(size);
  const text = JSON.stringify(listObjects(fleet));
  const harness = createHostHarness(fleet, fleet.hosts[0]!.id);
  harness.push({type: 'started'});
  const heapBefore = readHeapKb();
  const begin = readCpuMicros();
  loadWholeView(harness, text);
  const cpuMicros = readCpuMicros() - begin;
  const viewKb = readHeapKb() - heapBefore;
  resetMeters(harness);
  const msg = {type: 'sync', ask: 1, since: 0, isDraining: false} as const;
  harness.receive(fleet.hosts[1]!.id, msg);
  return {cpuMicros, viewBytes: harness.sent.read('synced').sum, viewKb};
}
