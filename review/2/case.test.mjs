/**
 * A host gets SIGTERM while clients use their open sessions without a pause.
 * Checks that no request that it has taken ends without an answer.
 */

import {fileURLToPath} from 'node:url';
import {ROUTES, runCase} from '../lib/case.mjs';
import {sleep} from '../lib/net.mjs';
import {openSession} from '../lib/session.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const CLIENTS = 6;
const DATABASE = 'galeria';
/** Pause of a client between an answer and its next request, in ms. */
const PAUSE_MS = 20;
const CALM_MS = 4_000;
/** Time that is watched after the signal, in ms: past the grace period. */
const WATCH_MS = 8_000;
const GRACE_MS = 6_000;
/** `LossSlackMs` of the deployment. */
const LOSS_SLACK_MS = 200;
/** Requests sent later than this after SIGTERM have no excuse, in ms. */
const EXCUSED_MS = 3_000;

const taken = new Set();

await runCase(
  FOLDER,
  () => ({onTaken: id => taken.add(id)}),
  async ({hasTrouble, platform, fleet, recorder}) => {
    // A host that does not own the group: its stop moves no group.
    const owner = platform.findOwner('libro-1');
    const host = fleet.hosts.find(({name}) => name !== owner);
    const faults = [];
    let isOver = false;
    let signalledAt = Infinity;
    let nextId = 1;

    const judge = (id, sentAt, closedAt) => {
      const wasPassedOn = taken.has(id);
      const isLate = closedAt - sentAt > LOSS_SLACK_MS;
      const isInGrace = closedAt - signalledAt <= GRACE_MS + 1_000;
      const isExcused =
        sentAt - signalledAt <= EXCUSED_MS ||
        closedAt - sentAt >= ROUTES[DATABASE].TimeoutMs;
      if ((wasPassedOn || isLate) && isInGrace && !isExcused) {
        const passed = wasPassedOn ? 'passed on to a backend' : 'not passed on';
        faults.push(
          `LOST: ${id} was sent ${Math.round(sentAt - signalledAt)} ms after SIGTERM, ${passed}, and its connection ended ${Math.round(closedAt - sentAt)} ms later without an answer`,
        );
      }
    };

    const runClient = async () => {
      const session = await openSession(host, DATABASE, recorder);
      while (!isOver && session?.isClosed() === false) {
        const id = `r${nextId++}`;
        const sentAt = performance.now();
        const {word} = await session.ask(id, `FETCH item${nextId % 50}`);
        if (word === 'closed' && !isOver) {
          judge(id, sentAt, performance.now());
          return;
        }
        await sleep(PAUSE_MS);
      }
      session?.close();
    };

    const clients = Array.from({length: CLIENTS}, runClient);
    await sleep(CALM_MS);
    if (hasTrouble) {
      signalledAt = performance.now();
      fleet.signal(host, 'SIGTERM');
    }
    await sleep(WATCH_MS);
    isOver = true;
    await Promise.race([Promise.all(clients), sleep(3_000)]);
    return faults;
  },
);
