/** Slopes of the decision library in one process under virtual time. */

import {printColumns, printLine, printTallies} from './report.js';
import type {Column} from './report.js';
import {
  measureChanges,
  measureLostPlace,
  measureSpan,
  measureStart,
  startHost,
} from './scenarios.js';
import type {Cost, Role} from './scenarios.js';
import {createFleet} from './site_objects.js';
import type {FleetSize} from './site_objects.js';

const SPAN_MS = 10_000;
const MS_PER_SECOND = 1_000;
const TALLIES = 6;
const CHANGES = 10;
const ROLES: readonly Role[] = ['follower', 'relay'];

/** Cost of one role at one size. */
interface Measured {
  readonly size: FleetSize;
  readonly idle: Cost;
  readonly outage: Cost;
  readonly lostPlace: Cost;
  readonly changeMicros: number;
  readonly changeBytes: number;
}

function measureRole(size: FleetSize, role: Role): Measured {
  const fleet = createFleet(size);
  const lone = startHost(fleet, role);
  const idle = measureSpan(lone, SPAN_MS);
  const change = measureChanges(lone, size, CHANGES);
  const lostPlace = measureLostPlace(lone, fleet, SPAN_MS / 2);
  lone.setPlatform(false);
  lone.run(SPAN_MS / 2);
  const outage = measureSpan(lone, SPAN_MS);
  return {
    size,
    idle,
    outage,
    lostPlace,
    changeMicros: change.cpuMicros,
    changeBytes: change.objectBytes,
  };
}

function printCost(name: string, cost: Cost): void {
  const seconds = SPAN_MS / MS_PER_SECOND;
  printTallies(`${name} cpu us`, cost.cpu, seconds, TALLIES);
  printTallies(`${name} sent B`, cost.sent, seconds, TALLIES);
  printTallies(`${name} received B`, cost.received, seconds, TALLIES);
}

const COLUMNS: readonly Column<Measured>[] = [
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
    read: m => m.lostPlace.cpuPerSecond,
  },
  {name: 'table change cpu', unit: 'us', read: m => m.changeMicros},
];

/** Measures each role at each size; prints points, fits and tallies. */
export function printEngineSlopes(sizes: readonly FleetSize[]): void {
  for (const role of ROLES) {
    const all = sizes.map(size => measureRole(size, role));
    const last = all.at(-1)!;
    const columns = COLUMNS.map(column => ({
      ...column,
      name: `${role} ${column.name}`,
      read: (measured: Measured) => Math.max(0, column.read(measured)),
    }));
    printColumns(all, ({size}) => size.hosts, columns);
    printLine(`${role} at ${JSON.stringify(last.size)}`);
    printCost('idle', last.idle);
    printCost('outage', last.outage);
    printLine(`  one changed table: ${last.changeBytes} B`);
  }
}

/** Measures a start at each size; prints points and fits. */
export function printStartSlopes(sizes: readonly FleetSize[]): void {
  const all = sizes.map(size => ({size, ...measureStart(size)}));
  printColumns(all, ({size}) => size.hosts, [
    {name: 'start cpu', unit: 'us', read: cost => cost.cpuMicros},
    {name: 'whole view', unit: 'B', read: cost => cost.viewBytes},
    {name: 'view heap', unit: 'KiB', read: cost => cost.viewKb},
  ]);
}
