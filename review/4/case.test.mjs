/**
 * Another writer puts an entry for each service into the list of backends,
 * whose address has no valid port. Checks that the processes keep running.
 */

import {fileURLToPath} from 'node:url';
import {SERVICE, ZONES, runCase} from '../lib/case.mjs';
import {sleep} from '../lib/net.mjs';
import {startClients} from '../lib/traffic.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const SERVICES = [SERVICE, 'libro-2'];
const CLIENTS = 6;
const CALM_MS = 3_000;
const WATCH_MS = 20_000;
/** Ends of its own that make a process count. */
const MAX_ENDS = 3;
/** Hosts with that many ends that make the day count 0. */
const MIN_HOSTS = 2;

await runCase(
  FOLDER,
  () => ({}),
  async ({hasTrouble, platform, fleet, recorder}) => {
    let nextId = 1;
    const clients = startClients({
      fleet,
      recorder,
      database: 'pago',
      count: CLIENTS,
      operate: async (session, number) => {
        await session.ask(`w${nextId++}`, `PUT item${number} data`);
        await sleep(50);
      },
    });
    await sleep(CALM_MS);
    if (hasTrouble) {
      SERVICES.forEach((service, index) => {
        const spec = {
          Service: service,
          Addr: '127.0.0.1:70000',
          Zone: ZONES[0],
          Version: '1',
          Slots: 2,
          State: 'ready',
          ColdLeftMs: 0,
          Seq: 1,
          DbRole: 'replica',
          born: 1,
        };
        recorder.add('ENTRY', `of another writer: ${JSON.stringify(spec)}`);
        platform.put('servers', `i-other-writer-${index}`, spec);
      });
    }
    await sleep(WATCH_MS);
    await clients.stop();
    const counts = fleet.hosts.map(({name, exits}) => [name, exits.length]);
    const ended = counts.filter(([, count]) => count >= MAX_ENDS);
    const listed = counts.map(pair => pair.join(': ')).join(', ');
    recorder.add('CHECK', `ends of processes by themselves: ${listed}`);
    return ended.length < MIN_HOSTS
      ? []
      : [
          `FAULT: the processes of ${ended.length} hosts ended by themselves ${MAX_ENDS} times or more (${listed})`,
        ];
  },
  SERVICES,
);
