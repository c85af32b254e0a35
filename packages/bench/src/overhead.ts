/**
 * What one hop costs, with real processes on loopback: the same statement over
 * a direct connection and through an entry host, in turns within one run, and
 * the statements that one entry host serves per second of processor time.
 * Both ways cross the fault proxy once, so that it cancels out.
 */

import {createSystemRuntime} from '@lacewingroad/runtime';
import {
  CALLER_ACCOUNT,
  LINKS,
  launchSite,
  openMysql,
} from '@lacewingroad/standins';
import type {ClientOptions, Site} from '@lacewingroad/standins';
import {HOP_MEDIAN_MS, HOP_P99_MS, atMost} from './goals.js';
import type {Goal} from './goals.js';
import {createHistogram, readPercentileMs, recordMs} from './recorder.js';

/** Figures of one way. */
interface WayFigures {
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** What one hop costs. */
export interface OverheadFigures {
  readonly direct: WayFigures;
  readonly hop: WayFigures;
  readonly goals: readonly Goal[];
  /** Through the entry host, by connections in use at once. */
  readonly statementsPerSecond: number;
  /** Per second of the entry host's processor time. */
  readonly statementsPerCoreSecond: number;
}

/** How much is measured. */
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

async function launch(connections: number): Promise<Site> {
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
    throw new Error('the entry host states no process_cpu_seconds_total');
  }
  return Number(match[1]);
}

async function timeStatement(client: Client): Promise<number> {
  const runtime = createSystemRuntime();
  const from = runtime.now();
  await client.query(SQL);
  return runtime.now() - from;
}

async function compare(
  direct: Client,
  hop: Client,
  statements: number,
): Promise<{readonly direct: WayFigures; readonly hop: WayFigures}> {
  const ways = [
    {client: direct, histogram: createHistogram()},
    {client: hop, histogram: createHistogram()},
  ] as const;
  for (let at = -WARM_UP_STATEMENTS; at < statements; at += 1) {
    for (const {client, histogram} of ways) {
      const latencyMs = await timeStatement(client);
      if (at >= 0) {
        recordMs(histogram, latencyMs);
      }
    }
  }
  const read = (at: 0 | 1): WayFigures => ({
    p50Ms: readPercentileMs(ways[at].histogram, MEDIAN),
    p99Ms: readPercentileMs(ways[at].histogram, P99),
  });
  return {direct: read(0), hop: read(1)};
}

/** Runs statements on many connections at once until an instant. */
async function saturate(
  clients: readonly Client[],
  spanMs: number,
): Promise<{readonly statements: number; readonly spanMs: number}> {
  const runtime = createSystemRuntime();
  const from = runtime.now();
  let statements = 0;
  const loop = async (client: Client): Promise<void> => {
    while (runtime.now() < from + spanMs) {
      await client.query(SQL);
      statements += 1;
    }
  };
  await Promise.all(clients.map(loop));
  return {statements, spanMs: runtime.now() - from};
}

async function measure(
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
  options.onProgress(`comparing ${options.statements} statements each way`);
  const compared = await compare(direct, hop, options.statements);
  options.onProgress(`saturating with ${options.connections} connections`);
  const clients = await Promise.all(
    Array.from({length: options.connections}, () => openMysql(toEntry)),
  );
  await saturate(clients, options.saturationMs / 4);
  const cpuBefore = await readCpuSeconds(site);
  const run = await saturate(clients, options.saturationMs);
  const cpu = (await readCpuSeconds(site)) - cpuBefore;
  [direct, hop, ...clients].forEach(client => client.destroy());
  return {
    ...compared,
    goals: [
      atMost(
        'one hop, median',
        compared.hop.p50Ms - compared.direct.p50Ms,
        HOP_MEDIAN_MS,
        'ms',
      ),
      atMost(
        'one hop, p99',
        compared.hop.p99Ms - compared.direct.p99Ms,
        HOP_P99_MS,
        'ms',
      ),
    ],
    statementsPerSecond: (run.statements * MS_PER_SECOND) / run.spanMs,
    statementsPerCoreSecond: run.statements / cpu,
  };
}

/** Starts a site of one entry host and measures it. */
export async function measureOverhead(
  options: OverheadOptions,
): Promise<OverheadFigures> {
  const site = await launch(options.connections);
  try {
    return await measure(site, options);
  } finally {
    await site.close();
  }
}
