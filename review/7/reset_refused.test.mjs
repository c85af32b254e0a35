/**
 * One database refuses a part of its requests as busy, while its health is good.
 * Clients with session values have left; then clients without any read. The rule
 * is broken if a statement runs with values that its client has not set.
 */

import {fileURLToPath} from 'node:url';
import {openSession} from '../lib-2/client.mjs';
import {startGroup} from '../lib-2/group.mjs';
import {
  createRecord,
  runCase,
  sleep,
  startPlatform,
  waitUntil,
} from '../lib-2/platform.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** `srv_grey` in the site files: `x`, a share of requests, and `for_s`. */
const BUSY_SHARE = 0.45;
const GREY_MS = 6_500;
/** Time without traffic, in ms, while clients think. */
const PAUSE_MS = 3_000;
/** The disruption comes again if nothing was broken. */
const WINDOWS = 3;
const BETWEEN_MS = 3_000;
const SESSIONS = 12;
const READS = 6;

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)));

await runCase(record, async () => {
  /** The values that each statement's client has set, by its id. */
  const expected = new Map();
  const broken = [];
  let isGrey = false;
  const used = await startGroup('g1', {
    findFault: (endpoint, word) => {
      const isBusy =
        isGrey && endpoint === greyEndpoint && Math.random() < BUSY_SHARE;
      if (isBusy) {
        record(`${endpoint.id} refuses ${word} with BUSY`);
      }
      return isBusy ? 'BUSY no slot is free' : null;
    },
    record: ({endpoint, conn, id, kind, values}) => {
      const found = JSON.stringify(values);
      const wanted = JSON.stringify(expected.get(id));
      record(
        `${endpoint} runs ${kind} ${id} on connection ${conn} with ${found}; its client has set ${wanted}`,
      );
      if (found !== wanted) {
        broken.push(id);
      }
    },
  });
  const greyEndpoint = used.endpoints[1];
  // Nine databases: one of them is less than the share of the site files.
  const others = await Promise.all(['g2', 'g3'].map(name => startGroup(name)));
  const platform = await startPlatform({groups: [used, ...others], record});
  const {hosts} = platform;
  if (!(await waitUntil(() => hosts.every(host => host.isReady), 20_000))) {
    throw new Error('the hosts did not become ready');
  }
  await sleep(2_000);

  let nextId = 1;
  /** Opens sessions that set a value, if any, and read a few times each. */
  const readWith = async createValue =>
    Promise.all(
      Array.from({length: SESSIONS}, async (_, at) => {
        const host = hosts[at % hosts.length];
        const session = await openSession(host.front, 'g1-bounded_stale');
        const value = createValue(at);
        const values = value === null ? {} : {region: value};
        if (value !== null) {
          const {word} = await session.ask(
            `${nextId++}`,
            `SET region ${value}`,
          );
          record(
            `client ${at} at ${host.name} sent SET region ${value}, got ${word}`,
          );
        }
        for (let turn = 0; turn < READS; turn++) {
          const id = `${nextId++}`.padStart(16, '0');
          expected.set(id, values);
          const {word} = await session.ask(id, 'FETCH 1a4');
          record(`client ${at} at ${host.name} sent FETCH ${id}, got ${word}`);
        }
        session.close();
      }),
    );

  for (let window = 1; window <= WINDOWS && broken.length === 0; window++) {
    await readWith(at => `r${at}`);
    isGrey = HAS_TROUBLE;
    const greyUntil = performance.now() + GREY_MS;
    if (HAS_TROUBLE) {
      record(`${greyEndpoint.id} refuses ${BUSY_SHARE} of its requests`);
    }
    await sleep(PAUSE_MS);
    await readWith(() => null);
    await readWith(at => `s${at}`);
    await sleep(Math.max(0, greyUntil - performance.now()));
    isGrey = false;
    record('the disruption has ended');
    await readWith(() => null);
    await sleep(BETWEEN_MS);
  }
  record(`statements that ran with other values: ${broken.length}`);
  await platform.close();
  return broken.length > 0;
});
