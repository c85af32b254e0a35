/** Measures the cost of links between entry hosts in one real daemon. */

import {once} from 'node:events';
import {WebSocket} from 'ws';
import {encodeFrame} from '@lacewingroad/peer';
import {createSystemRuntime, waitUntil} from '@lacewingroad/runtime';
import type {Runtime} from '@lacewingroad/runtime';
import {formatHostPort, launchSite} from '@lacewingroad/standins';
import type {Site} from '@lacewingroad/standins';
import {printColumns, printLine} from './report.js';
import type {Column} from './report.js';
import {readProcessStats} from './process_stats.js';

const MS_PER_SECOND = 1_000;
const SETTLE_MS = 8_000;
const SPAN_MS = 15_000;
const ENTRY = 'a-1';
const DATA_CENTRES = ['a', 'b', 'c'];
const STAMP = '0000000000001.000000';

/** A link that this process opened in the role of another entry host. */
interface FakeLink {
  readonly socket: WebSocket;
  /** Pings received from the daemon. */
  pings: number;
}

async function openLink(address: string, host: string): Promise<FakeLink> {
  const socket = new WebSocket(`ws://${address}`, {perMessageDeflate: false});
  const link = {socket, pings: 0};
  socket.on('ping', () => {
    link.pings++;
  });
  socket.on('error', () => undefined);
  await once(socket, 'open');
  const incarnation = 'slopes';
  socket.send(encodeFrame({type: 'hello', host, incarnation, stamp: STAMP}));
  await once(socket, 'message');
  return link;
}

/** Sends a message without an answer on every link, spread over a second. */
async function sendRounds(
  runtime: Runtime,
  links: readonly FakeLink[],
  rounds: number,
): Promise<void> {
  const msgs = [{type: 'cancel', request: 'none'}] as const;
  const frame = encodeFrame({type: 'batch', stamp: STAMP, msgs});
  const startedAt = runtime.now();
  for (let index = 0; index < rounds * links.length; index++) {
    await waitUntil(
      runtime,
      startedAt + (index * MS_PER_SECOND) / links.length,
    );
    links[index % links.length]!.socket.send(frame);
  }
}

/** Cost of a number of links; processor time and pings are per second. */
interface LinkCost {
  readonly links: number;
  readonly rssKb: number;
  readonly quietCpuMs: number;
  readonly usedCpuMs: number;
  readonly quietPings: number;
  readonly usedPings: number;
}

async function measureLinkUse(
  site: Site,
  runtime: Runtime,
  links: readonly FakeLink[],
  isUsed: boolean,
): Promise<{readonly cpuMs: number; readonly pings: number}> {
  const pid = site.processes.pid(ENTRY);
  const countPings = (): number =>
    links.reduce((sum, {pings}) => sum + pings, 0);
  const before = readProcessStats(pid).cpuMs;
  const pingsBefore = countPings();
  const startedAt = runtime.now();
  if (isUsed && links.length > 0) {
    await sendRounds(runtime, links, SPAN_MS / MS_PER_SECOND);
  } else {
    await waitUntil(runtime, startedAt + SPAN_MS);
  }
  const seconds = (runtime.now() - startedAt) / MS_PER_SECOND;
  return {
    cpuMs: (readProcessStats(pid).cpuMs - before) / seconds,
    pings: (countPings() - pingsBefore) / seconds,
  };
}

const COLUMNS: readonly Column<LinkCost>[] = [
  {name: 'memory against links', unit: 'KiB', read: cost => cost.rssKb},
  {name: 'cpu, links quiet', unit: 'ms/s', read: cost => cost.quietCpuMs},
  {
    name: 'cpu, a message a second each',
    unit: 'ms/s',
    read: cost => cost.usedCpuMs,
  },
  {name: 'pings, links quiet', unit: '1/s', read: cost => cost.quietPings},
  {
    name: 'pings, a message a second',
    unit: '1/s',
    read: cost => cost.usedPings,
  },
];

/** Measures links to the daemon `a-1`; prints points and fits. */
export async function printLinkSlopes(
  counts: readonly number[],
): Promise<void> {
  const runtime = createSystemRuntime();
  const site = await launchSite({
    dataCentres: DATA_CENTRES,
    entriesPerDataCentre: 1,
  });
  const links: FakeLink[] = [];
  const all: LinkCost[] = [];
  try {
    const entry = site.plan.entries.find(({id}) => id === ENTRY)!;
    const address = formatHostPort(entry.peer);
    for (const count of counts) {
      while (links.length < count) {
        links.push(await openLink(address, `fake-${links.length}`));
      }
      await waitUntil(runtime, runtime.now() + SETTLE_MS);
      const quiet = await measureLinkUse(site, runtime, links, false);
      const used = await measureLinkUse(site, runtime, links, true);
      const {rssKb} = readProcessStats(site.processes.pid(ENTRY));
      const cost: LinkCost = {
        links: count,
        rssKb,
        quietCpuMs: quiet.cpuMs,
        usedCpuMs: used.cpuMs,
        quietPings: quiet.pings,
        usedPings: used.pings,
      };
      printLine(JSON.stringify(cost));
      all.push(cost);
    }
  } finally {
    links.forEach(({socket}) => socket.terminate());
    await site.close();
  }
  printColumns(all, cost => cost.links, COLUMNS);
}
