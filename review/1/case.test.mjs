/**
 * A replica receives nothing for a while, the primary crashes meanwhile, and
 * the hosts lose power at that moment. Checks that the backend which is
 * promoted has every commit that was acknowledged.
 */

import {fileURLToPath} from 'node:url';
import {runCase} from '../lib/case.mjs';
import {sleep, waitFor} from '../lib/net.mjs';
import {startClients} from '../lib/traffic.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
/** Clients that write, and clients that read. */
const WRITERS = 6;
const READERS = 16;
/** The disruption comes up to this many times, until the rule is broken. */
const ROUNDS = 6;
/** Calm traffic before each of them, in ms. */
const CALM_MS = 1_000;
/** Time for which the replica receives nothing, in ms. */
const DEAF_MS = 6_000;
/** Time from then until the primary crashes, in ms. */
const CRASH_AFTER_MS = 1_000;
/** Age of the primary's last ping at which it crashes, in ms. */
const PING_AGE_MS = 1_100;
/** Time from the crash until the hosts lose power, in ms. */
const POWER_OFF_AFTER_MS = 250;
/** Time without power, in ms. */
const POWER_DOWN_MS = 2_000;
/** Time until the primary starts again, in ms. */
const PRIMARY_DOWN_MS = 5_000;
/** Time for the next primary to lead, after the hosts are back, in ms. */
const PROMOTION_TIMEOUT_MS = 12_000;
/** Time from the start of the old primary to the next round, in ms. */
const CATCH_UP_MS = 1_500;

/** Ids of the writes that clients were told of, by the item written. */
const acknowledged = new Map();
const faults = [];
let promotions = 0;

async function crashOnce({database, platform, fleet}) {
  const primary = database.findLeader();
  const deaf = database.backends.find(backend => backend !== primary);
  const promotionsBefore = promotions;
  database.setDeaf(deaf, true);
  void sleep(DEAF_MS).then(() => database.setDeaf(deaf, false));
  await sleep(CRASH_AFTER_MS);
  await waitFor(() => platform.getPingAge(primary) >= PING_AGE_MS, 3_000);
  database.crash(primary);
  const started = sleep(PRIMARY_DOWN_MS).then(() => database.start(primary));
  await sleep(POWER_OFF_AFTER_MS);
  await fleet.powerOff(fleet.hosts, POWER_DOWN_MS);
  await waitFor(() => promotions > promotionsBefore, PROMOTION_TIMEOUT_MS);
  await started;
  await sleep(CATCH_UP_MS);
}

await runCase(
  FOLDER,
  ({recorder}) => ({
    onPromoted: backend => {
      promotions++;
      const held = new Set(backend.log.map(({id}) => id));
      const missing = [...acknowledged.keys()].filter(id => !held.has(id));
      recorder.add(
        'CHECK',
        `${backend.id} lacks ${missing.length} of ${acknowledged.size} acknowledged commits`,
      );
      if (missing.length > 0) {
        faults.push(
          `LOST: ${backend.id} was promoted without ${missing.length} acknowledged commits: ${missing.slice(0, 5).join(' ')}`,
        );
      }
    },
  }),
  async context => {
    const {hasTrouble, fleet, recorder} = context;
    let nextId = 1;
    const writers = startClients({
      fleet,
      recorder,
      database: 'pago',
      count: WRITERS,
      operate: async (session, number) => {
        const id = `w${nextId++}`;
        const {word} = await session.ask(id, `PUT item${number} data-${id}`);
        if (word === 'DONE') {
          acknowledged.set(id, number);
        }
        await sleep(20);
      },
    });
    const readers = startClients({
      fleet,
      recorder,
      database: 'galeria',
      count: READERS,
      operate: async (session, number) => {
        await session.ask(`r${nextId++}`, `FETCH item${number % WRITERS}`);
      },
    });
    for (let round = 0; round < ROUNDS && faults.length === 0; round++) {
      recorder.add('ROUND', String(round + 1));
      await sleep(CALM_MS);
      if (hasTrouble) {
        await crashOnce(context);
      }
    }
    await Promise.all([writers.stop(), readers.stop()]);
    return faults;
  },
);
