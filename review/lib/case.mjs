/** Runs a case: sets up a small deployment, and judges what was seen. */

import {join} from 'node:path';
import {startDatabase} from './database.mjs';
import {startHosts} from './hosts.mjs';
import {sleep, waitFor} from './net.mjs';
import {startPlatform} from './platform.mjs';
import {createRecorder} from './recorder.mjs';

/** Exit codes of a case. */
const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;
/** Time after which a case ends in any event, in ms. */
const TIME_LIMIT_MS = 110_000;
/** Time from the start of the hosts to that of the traffic, in ms. */
const LEAD_MS = 12_000;

export const ZONES = ['lima-a', 'lima-b', 'lima-c'];
export const SERVICE = 'libro-1';
/** Prefix of the names of databases of a second service. */
const SECOND_PREFIX = 'otro-';

/** The routes of the deployment, by the name of their database. */
export const ROUTES = {
  pago: {
    Type: 'primary',
    TimeoutMs: 800,
    SloMs: 150,
    Priority: 0,
    MaxStalenessMs: 0,
  },
  galeria: {
    Type: 'bounded_stale',
    TimeoutMs: 2_000,
    SloMs: 1_000,
    Priority: 2,
    MaxStalenessMs: 1_500,
  },
  avance: {
    Type: 'read_your_writes',
    TimeoutMs: 800,
    SloMs: 250,
    Priority: 1,
    MaxStalenessMs: 2_500,
  },
};

/** Mean work of a statement, in ms, and its spread. */
const WORK_MS = {read: 30, write: 6, commit: 6};
const WORK_SPREAD = 0.7;
const MAX_WORK_MS = 220;
const SLOTS = 2;
const MAX_CONNS = 23;

/** Returns the work of a statement in ms, from a log-normal distribution. */
function drawWorkMs(access) {
  const [a, b] = [Math.random(), Math.random()];
  const normal = Math.sqrt(-2 * Math.log(1 - a)) * Math.cos(2 * Math.PI * b);
  const factor = Math.exp(WORK_SPREAD * normal - WORK_SPREAD ** 2 / 2);
  return Math.min(MAX_WORK_MS, WORK_MS[access] * factor);
}

function createRoutes(service) {
  const prefix = service === SERVICE ? '' : SECOND_PREFIX;
  return Object.entries(ROUTES).map(([name, route]) => ({
    Name: `route-${prefix}${name}`,
    Host: `${prefix}${name}`,
    Service: service,
    ...route,
  }));
}

function createTable(services) {
  return {
    Version: 17,
    Routes: services.flatMap(createRoutes),
    Services: services.map(service => ({
      Name: service,
      MaxConns: MAX_CONNS,
      SyncReplicas: 1,
    })),
    Limits: {TxIdleMs: 3_000},
  };
}

/**
 * Runs a case and ends this process.
 *
 * @param {string} folder Where `record.txt` is written.
 * @param {object} options Changes to the database, see `startDatabase`.
 * @param run Plays the case; resolves to a list of sentences, each of which
 *   says how the rule was broken. `hasTrouble` tells whether to disrupt.
 * @param services The services of the deployment.
 */
export async function runCase(folder, options, run, services = [SERVICE]) {
  const recorder = createRecorder();
  const hasTrouble = process.env.TROUBLE !== '0';
  const closers = [];
  let code = COULD_NOT_RUN;
  let hasFailed = false;
  const stopped = new Promise(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT']) {
      process.once(signal, () => {
        recorder.add('ERROR', `stopped by ${signal}`);
        resolve();
      });
    }
    // An error of a stand-in is no fault of the system.
    for (const event of ['uncaughtException', 'unhandledRejection']) {
      process.once(event, err => {
        hasFailed = true;
        recorder.add('ERROR', String(err?.stack ?? err));
        resolve();
      });
    }
  });

  const play = async () => {
    const platform = await startPlatform({recorder});
    closers.push(platform.close);
    platform.put('config', 'main', createTable(services));
    const context = {hasTrouble, platform, recorder};
    const databases = [];
    for (const service of services) {
      const database = await startDatabase({
        service,
        zones: ZONES,
        slots: SLOTS,
        maxConns: MAX_CONNS,
        sync: 1,
        lagMs: 8,
        promoteMs: 600,
        handshakeMs: 12,
        getWorkMs: drawWorkMs,
        recorder,
        ...options(context),
      });
      closers.push(database.close);
      platform.addDatabase(database, SLOTS);
      databases.push(database);
    }
    const [database] = databases;
    const fleet = await startHosts({
      platform,
      zones: ZONES,
      perZone: 2,
      recorder,
    });
    closers.push(fleet.close);
    await sleep(LEAD_MS);
    const isUp = await waitFor(
      () => fleet.listReady().length === fleet.hosts.length,
      10_000,
    );
    if (!isUp) {
      recorder.add('ERROR', 'the hosts are not ready');
      return;
    }
    recorder.add(
      'TRAFFIC',
      `begins; the disruption is ${hasTrouble ? 'on' : 'off'}`,
    );
    const faults = await run({...context, database, fleet});
    faults.forEach(fault => recorder.add('BROKEN', fault));
    if (!hasFailed) {
      code = faults.length === 0 ? HELD : BROKEN;
    }
  };

  const limit = new Promise(resolve => {
    setTimeout(() => {
      recorder.add('ERROR', 'the case took too long');
      resolve();
    }, TIME_LIMIT_MS).unref();
  });
  try {
    await Promise.race([play(), limit, stopped]);
  } catch (err) {
    code = COULD_NOT_RUN;
    recorder.add('ERROR', err.stack ?? String(err));
  }
  for (const close of closers.reverse()) {
    await close();
  }
  recorder.add(
    'RESULT',
    ['the rule held', 'the rule was broken', 'the case could not run'][code],
  );
  recorder.save(join(folder, 'record.txt'));
  process.exit(code);
}
