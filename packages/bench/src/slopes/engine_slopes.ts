/** Measures the decision library in one process under virtual time. */

import {printColumns, printLine, printTallies} from './report.js';
import type {Column} from './report.js';
import {
  measureChanges,
  measureLostDataCentre,
  measureSpan,
  measureStart,
  startHost,
} from './scenarios.js';
import type {SpanCost, Role} from './scenarios.js';
import {createFleet} from './fleet_objects.js';
import type {FleetSize} from './fleet_objects.js';

const SPAN_MS = 10_000;
const MS_PER_SECOND = 1_000;
const MAX_TALLIES = 6;
const CHANGES = 10;
const ROLES: readonly Role[] = ['follower', 'relay'];

/** Cost of one role at one fleet size. */
interface RoleCost {
  readonly size: FleetSize;
  readonly idle: SpanCost;
  readonly outage: SpanCost;
  readonly lostDataCentre: SpanCost;
  readonly changeMicros: number;
  readonly changeBytes: number;
}

function measureRole(size: FleetSize, role: Role): RoleCost {
  const fleet = createFleet(size);
  const harness = startHost(fleet, role);
  const idle = measureSpan(harness, SPAN_MS);
  const change = measureChanges(harness, size, CHANGES);
  const lostDataCentre = measureLostDataCentre(harness, fleet, SPAN_MS / 2);
  harness.setPlatformUp(false);
  harness.run(SPAN_MS / 2);
  const outage = measureSpan(harness, SPAN_MS);
  return {
    size,
    idle,
    outage,
    lostDataCentre,
    changeMicros: change.cpuMicros,
    changeBytes: change.objectBytes,
  };
}

function printCost(name: string, cost: SpanCost): void {
  const seconds = SPAN_MS / MS_PER_SECOND;
  printTallies(`${name} cpu us`, cost.cpu, seconds, MAX_TALLIES);
  printTallies(`${name} sent B`, cost.sent, seconds, MAX_TALLIES);
  printTallies(`${name} received B`, cost.received, seconds, MAX_TALLIES);
}

const COLUMNS: readonly Column<RoleCost>[] = [
  {name: 'idle cpu', unit: 'us/s', read: m => m.idle.cpuPerSecond},
  {name: 'idle sent', unit: 'B/s', read: m => m.idle.sentPerSecond},
  {name: 'idle received', unit: 'B/s', read: m => m.idle.receivedPerSecond},
  {
    name: 'platform reads',
    unit: '1/s',
    read: m => m.idle.platformReadsPerSecond,
  },
  {name: 'outage cpu', unit: 'us/s', read: m => m.outage.cpuPerSecond},
  {name: 'outage sent', unit: 'B/s', read: m => m.outage.sentPerSecond},
  {
    name: 'lost data centre cpu',
    unit: 'us/s',
    read: m => m.lostDataCentre.cpuPerSecond,
  },
  {name: 'table change cpu', unit: 'us', read: m => m.changeMicros},
];

/** Measures each role at each fleet size; prints points, fits and tallies. */
export function printEngineSlopes(sizes: readonly FleetSize[]): void {
  for (const role of ROLES) {
    const all = sizes.map(size => measureRole(size, role));
    const last = all.at(-1)!;
    const columns = COLUMNS.map(column => ({
      ...column,
      name: `${role} ${column.name}`,
      read: (measured: RoleCost) => Math.max(0, column.read(measured)),
    }));
    printColumns(all, ({size}) => size.hosts, columns);
    printLine(`${role} at ${JSON.stringify(last.size)}`);
    printCost('idle', last.idle);
    printCost('outage', last.outage);
    printLine(`  one changed table: ${last.changeBytes} B`);
  }
}

/** Measures a host's start at each fleet size; prints points and fits. */
export function printStartSlopes(sizes: readonly FleetSize[]): void {
  const all = sizes.map(size => ({size, ...measureStart(size)}));
  printColumns(all, ({size}) => size.hosts, [
    {name: 'start cpu', unit: 'us', read: cost => cost.cpuMicros},
    {name: 'whole view', unit: 'B', read: cost => cost.viewBytes},
    {name: 'view heap', unit: 'KiB', read: cost => cost.viewKb},
  ]);
}
