/** Measures the cost of client connections and statements in real daemons. */

import type {Connection} from 'mysql2/promise';
import {createSystemRuntime, waitUntil} from '@lacewingroad/runtime';
import type {Runtime} from '@lacewingroad/runtime';
import {CALLER_ACCOUNT, launchSite, openMysql} from '@lacewingroad/standins';
import type {Site} from '@lacewingroad/standins';
import {printFit, printLine} from './report.js';
import {readProcessStats} from './process_stats.js';

const MS_PER_SECOND = 1_000;
const DATA_CENTRES = ['a', 'b', 'c'];
const SETTLE_MS = 10_000;
const OPEN_BATCH_SIZE = 50;
const STEPS = 4;
const SERVICE = 'shop';
const ENTRY = 'a-1';
const SPAN_MS = 20_000;
const READ_SQL = "SELECT id, note FROM lists WHERE id = 1 /*kind='gallery'*/";
const WRITE_SQL = "UPDATE lists SET note = 'b' WHERE id = 1";

/** Returns the processor time of every daemon, in milliseconds. */
function readCpuMs(site: Site): readonly number[] {
  return site.plan.entries.map(
    ({id}) => readProcessStats(site.processes.pid(id)).cpuMs,
  );
}

function openClient(site: Site): Promise<Connection> {
  const entry = site.plan.entries.find(({id}) => id === ENTRY)!;
  return openMysql({
    to: entry.caller,
    user: CALLER_ACCOUNT.user,
    password: CALLER_ACCOUNT.password,
    database: SERVICE,
    connectTimeoutMs: 30_000,
  });
}

async function openClients(
  site: Site,
  clients: Connection[],
  count: number,
): Promise<void> {
  while (clients.length < count) {
    const batch = Math.min(OPEN_BATCH_SIZE, count - clients.length);
    const opened = await Promise.all(
      Array.from({length: batch}, () => openClient(site)),
    );
    clients.push(...opened);
  }
}

/** Sends statements at a steady rate; returns how many succeeded. */
async function sendAtRate(
  runtime: Runtime,
  clients: readonly Connection[],
  sql: string,
  rate: number,
  spanMs: number,
): Promise<number> {
  const count = Math.floor((rate * spanMs) / MS_PER_SECOND);
  const startedAt = runtime.now();
  let done = 0;
  const runs: Promise<void>[] = [];
  for (let index = 0; index < count; index++) {
    await waitUntil(runtime, startedAt + (index * MS_PER_SECOND) / rate);
    const run = clients[index % clients.length]!.query(sql).then(
      () => {
        done++;
      },
      () => undefined,
    );
    runs.push(run);
  }
  await Promise.all(runs);
  return done;
}

/** Prints the processor time that each daemon needs per statement. */
async function measureStatements(
  site: Site,
  runtime: Runtime,
  clients: readonly Connection[],
  sql: string,
  rate: number,
): Promise<void> {
  const idleBefore = readCpuMs(site);
  const idleAt = runtime.now();
  await waitUntil(runtime, idleAt + SPAN_MS);
  const idle = readCpuMs(site).map(
    (ms, index) => (ms - idleBefore[index]!) / (runtime.now() - idleAt),
  );
  const before = readCpuMs(site);
  const startedAt = runtime.now();
  const done = await sendAtRate(runtime, clients, sql, rate, SPAN_MS);
  const spanMs = runtime.now() - startedAt;
  const micros = readCpuMs(site).map(
    (ms, index) =>
      ((ms - before[index]! - idle[index]! * spanMs) * 1_000) / done,
  );
  const ids = site.plan.entries.map(({id}) => id);
  printLine(
    `${sql}: ${done} done at ${rate}/s; idle share of a core ${JSON.stringify(
      idle.map((share, index) => [ids[index], share.toFixed(4)]),
    )}; us per statement ${JSON.stringify(
      micros.map((value, index) => [ids[index], value.toFixed(0)]),
    )}`,
  );
}

/** Measures connections and statements at the daemon `a-1`. */
export async function printClientSlopes(
  count: number,
  rate: number,
): Promise<void> {
  const runtime = createSystemRuntime();
  const site = await launchSite({
    dataCentres: DATA_CENTRES,
    entriesPerDataCentre: 1,
    slots: 8,
    maxConnections: 64,
  });
  const clients: Connection[] = [];
  try {
    await waitUntil(runtime, runtime.now() + SETTLE_MS);
    const pid = site.processes.pid(ENTRY);
    const points = [{size: 0, cost: readProcessStats(pid).rssKb}];
    const cpu = [{size: 0, cost: 0}];
    for (let step = 1; step <= STEPS; step++) {
      const size = (count * step) / STEPS;
      const opened = size - clients.length;
      const before = readProcessStats(pid).cpuMs;
      await openClients(site, clients, size);
      const openMs = readProcessStats(pid).cpuMs - before;
      await waitUntil(runtime, runtime.now() + SETTLE_MS);
      points.push({size, cost: readProcessStats(pid).rssKb});
      cpu.push({size: opened, cost: (openMs * MS_PER_SECOND) / opened});
    }
    printFit('memory of the daemon against connections', 'KiB', points);
    printLine(
      `us to open one: ${cpu
        .slice(1)
        .map(({cost}) => cost.toFixed(0))
        .join(', ')}`,
    );
    await clients[0]!.query(
      'CREATE TABLE lists (id INT PRIMARY KEY, note VARCHAR(20))',
    );
    await clients[0]!.query("INSERT INTO lists VALUES (1, 'a')");
    await measureStatements(site, runtime, clients, READ_SQL, rate);
    await measureStatements(site, runtime, clients, WRITE_SQL, rate);
  } finally {
    clients.forEach(client => client.destroy());
    await site.close();
  }
}
