/**
 * Measures the cost of one hop with real processes on loopback: the latency of
 * the same statement over a direct connection and through an entry host,
 * alternating within one run, and the statements that one entry host serves
 * per second of processor time. Both paths pass through the fault proxy once,
 * so its latency cancels out.
 */

import {createSystemRuntime} from '@lacewingroad/runtime';
import {
  CALLER_ACCOUNT,
  LINKS,
  launchSite,
  openMysql,
} from '@lacewingroad/standins';
import type {ClientOptions, Site} from '@lacewingroad/standins';
import {MAX_HOP_MEDIAN_MS, MAX_HOP_P99_MS, atMost} from './goals.js';
import type {Goal} from './goals.js';
import {createHistogram, getPercentileMs, recordMs} from './samples.js';

/** Latency of one path. */
interface PathLatency {
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Cost of one hop. */
export interface OverheadFigures {
  readonly direct: PathLatency;
  readonly hop: PathLatency;
  readonly goals: readonly Goal[];
  /** Throughput of the entry host with all connections in use. */
  readonly statementsPerSecond: number;
  /** Statements per second of the entry host's processor time. */
  readonly statementsPerCoreSecond: number;
}

/** Extent of the measurement. */
export interface OverheadOptions {
  readonly statements: number;
  readonly connections: number;
  readonly saturationMs: number;
  readonly onProgress: (text: string) => void;
}

type Client = Awaited<ReturnType<typeof openMysql>>;

const SERVICE = 'bench';
const GROUP = 'g1';
const DATA_CENTRE = 'a';
const SQL = "/*kind='probe'*/ SELECT id FROM ledger WHERE id = 'x'";
const WARM_UP_STATEMENTS = 500;
const CPU_METRIC = /^process_cpu_seconds_total\S* (\S+)/m;
const MS_PER_SECOND = 1_000;
const MEDIAN = 50;
const P99 = 99;

async function launchSingleHostSite(connections: number): Promise<Site> {
  const row = {
    kind: '*',
    rank: 'urgent',
    worth: 1,
    targetMs: 1_000,
    timeoutMs: 5_000,
    maxStalenessMs: null,
    connectionLimit: connections,
  } as const;
  return launchSite({
    dataCentres: [DATA_CENTRE],
    entriesPerDataCentre: 1,
    groups: [GROUP],
    services: [{service: SERVICE, group: GROUP, rows: [row]}],
    slots: connections,
    maxConnections: 2 * connections,
    connectMs: 0,
    serviceMs: 0,
  });
}

async function readCpuSeconds(site: Site): Promise<number> {
  const {host, port} = site.plan.entries[0]!.operator;
  const res = await fetch(`http://${host}:${port}/metrics`);
  const match = CPU_METRIC.exec(await res.text());
  if (match === null) {
    throw new Error('the entry host exports no process_cpu_seconds_total');
  }
  return Number(match[1]);
}

async function timeStatement(client: Client): Promise<number> {
  const runtime = createSystemRuntime();
  const from = runtime.now();
  await client.query(SQL);
  return runtime.now() - from;
}

async function compareLatency(
  direct: Client,
  hop: Client,
  statements: number,
): Promise<{readonly direct: PathLatency; readonly hop: PathLatency}> {
  const paths = [
    {client: direct, histogram: createHistogram()},
    {client: hop, histogram: createHistogram()},
  ] as const;
  for (let index = -WARM_UP_STATEMENTS; index < statements; index += 1) {
    for (const {client, histogram} of paths) {
      const latencyMs = await timeStatement(client);
      if (index >= 0) {
        recordMs(histogram, latencyMs);
      }
    }
  }
  const toLatency = (index: 0 | 1): PathLatency => ({
    p50Ms: getPercentileMs(paths[index].histogram, MEDIAN),
    p99Ms: getPercentileMs(paths[index].histogram, P99),
  });
  return {direct: toLatency(0), hop: toLatency(1)};
}

/** Runs statements on all connections at once for `spanMs`. */
async function saturate(
  clients: readonly Client[],
  spanMs: number,
): Promise<{readonly statements: number; readonly spanMs: number}> {
  const runtime = createSystemRuntime();
  const from = runtime.now();
  let statements = 0;
  const sendUntilEnd = async (client: Client): Promise<void> => {
    while (runtime.now() < from + spanMs) {
      await client.query(SQL);
      statements += 1;
    }
  };
  await Promise.all(clients.map(sendUntilEnd));
  return {statements, spanMs: runtime.now() - from};
}

async function measureSite(
  site: Site,
  options: OverheadOptions,
): Promise<OverheadFigures> {
  const entry = site.plan.entries[0]!;
  const endpoint = site.plan.endpoints[0]!;
  const toEntry: ClientOptions = {
    to: entry.caller,
    ...CALLER_ACCOUNT,
    database: SERVICE,
  };
  const direct = await openMysql({
    to: site.proxyAddress(LINKS.endpoint(endpoint.id)),
    from: entry.address,
    user: 'ledger',
    password: 'ledger-secret',
  });
  await direct.query('CREATE TABLE ledger (id VARCHAR(64) PRIMARY KEY)');
  const hop = await openMysql(toEntry);
  options.onProgress(`comparing ${options.statements} statements on each path`);
  const compared = await compareLatency(direct, hop, options.statements);
  options.onProgress(`saturating with ${options.connections} connections`);
  const clients = await Promise.all(
    Array.from({length: options.connections}, () => openMysql(toEntry)),
  );
  await saturate(clients, options.saturationMs / 4);
  const cpuBefore = await readCpuSeconds(site);
  const saturated = await saturate(clients, options.saturationMs);
  const cpuSeconds = (await readCpuSeconds(site)) - cpuBefore;
  [direct, hop, ...clients].forEach(client => client.destroy());
  return {
    ...compared,
    goals: [
      atMost(
        'one hop, median',
        compared.hop.p50Ms - compared.direct.p50Ms,
        MAX_HOP_MEDIAN_MS,
        'ms',
      ),
      atMost(
        'one hop, p99',
        compared.hop.p99Ms - compared.direct.p99Ms,
        MAX_HOP_P99_MS,
        'ms',
      ),
    ],
    statementsPerSecond:
      (saturated.statements * MS_PER_SECOND) / saturated.spanMs,
    statementsPerCoreSecond: saturated.statements / cpuSeconds,
  };
}

/** Starts a site with one entry host and measures the cost of a hop. */
export async function measureOverhead(
  options: OverheadOptions,
): Promise<OverheadFigures> {
  const site = await launchSingleHostSite(options.connections);
  try {
    return await measureSite(site, options);
  } finally {
    await site.close();
  }
}
