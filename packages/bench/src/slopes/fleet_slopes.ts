/** Measures the cost of idle fleets of real daemons. */

import {createSystemRuntime, waitUntil} from '@lacewingroad/runtime';
import {LINKS, launchSite} from '@lacewingroad/standins';
import type {Site} from '@lacewingroad/standins';
import {printColumns, printLine} from './report.js';
import type {Column} from './report.js';
import {readProcessStats} from './process_stats.js';

const MS_PER_SECOND = 1_000;
const DATA_CENTRES = ['a', 'b', 'c'];
const SETTLE_MS = 15_000;

/** Counters of a whole site at one instant. */
interface Reading {
  readonly cpuMs: readonly number[];
  readonly rssKb: readonly number[];
  /** Bytes on the peer links, both ways. */
  readonly peerBytes: number;
  readonly platformCalls: number;
}

async function readSite(site: Site): Promise<Reading> {
  const stats = site.plan.entries.map(({id}) =>
    readProcessStats(site.processes.pid(id)),
  );
  const prefix = LINKS.peer('');
  const links = await site.fault.links();
  const calls = await site.platform.stats();
  return {
    cpuMs: stats.map(({cpuMs}) => cpuMs),
    rssKb: stats.map(({rssKb}) => rssKb),
    peerBytes: links
      .filter(({name}) => name.startsWith(prefix))
      .reduce((sum, {bytesUp, bytesDown}) => sum + bytesUp + bytesDown, 0),
    platformCalls: Object.values(calls).reduce((sum, n) => sum + n, 0),
  };
}

/** Resources of an idle fleet; time, bytes and calls are per second. */
interface IdleCost {
  readonly hosts: number;
  readonly meanCpuMs: number;
  readonly maxCpuMs: number;
  readonly meanRssKb: number;
  readonly peerBytes: number;
  readonly platformCalls: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

async function measureFleet(hosts: number, spanMs: number): Promise<IdleCost> {
  const runtime = createSystemRuntime();
  const site = await launchSite({
    dataCentres: DATA_CENTRES,
    entriesPerDataCentre: hosts / DATA_CENTRES.length,
    groups: ['g1', 'g2', 'g3'],
  });
  try {
    await waitUntil(runtime, runtime.now() + SETTLE_MS);
    const before = await readSite(site);
    const startedAt = runtime.now();
    await waitUntil(runtime, startedAt + spanMs);
    const after = await readSite(site);
    const seconds = (runtime.now() - startedAt) / MS_PER_SECOND;
    const cpu = after.cpuMs.map(
      (ms, index) => (ms - before.cpuMs[index]!) / seconds,
    );
    return {
      hosts,
      meanCpuMs: mean(cpu),
      maxCpuMs: Math.max(...cpu),
      meanRssKb: mean(after.rssKb),
      // Each byte is sent by one host and received by another.
      peerBytes: (2 * (after.peerBytes - before.peerBytes)) / seconds / hosts,
      platformCalls: (after.platformCalls - before.platformCalls) / seconds,
    };
  } finally {
    await site.close();
  }
}

const COLUMNS: readonly Column<IdleCost>[] = [
  {name: 'idle daemon cpu, mean', unit: 'ms/s', read: cost => cost.meanCpuMs},
  {name: 'idle daemon cpu, most', unit: 'ms/s', read: cost => cost.maxCpuMs},
  {name: 'idle daemon memory', unit: 'KiB', read: cost => cost.meanRssKb},
  {name: 'peer payload per daemon', unit: 'B/s', read: cost => cost.peerBytes},
  {
    name: 'platform calls of all',
    unit: '1/s',
    read: cost => cost.platformCalls,
  },
];

/** Measures idle fleets of several sizes; prints points and fits. */
export async function printFleetSlopes(
  sizes: readonly number[],
  seconds: number,
): Promise<void> {
  const all: IdleCost[] = [];
  for (const hosts of sizes) {
    const cost = await measureFleet(hosts, seconds * MS_PER_SECOND);
    printLine(JSON.stringify(cost));
    all.push(cost);
  }
  printColumns(all, cost => cost.hosts, COLUMNS);
}
