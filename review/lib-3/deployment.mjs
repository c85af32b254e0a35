/**
 * A small deployment: three zones with a host each; services with a database
 * server in each zone; three routes to each service. Times and sizes are those
 * of the settings that the pages show.
 */

import {appendFileSync, readFileSync, writeFileSync} from 'node:fs';
import {startHosts, askReady} from './hosts.mjs';
import {startService} from './databases.mjs';
import {startStore} from './store.mjs';

/** Zones of the deployment. */
const ZONES = ['ragusa-ibla', 'modica-alta', 'vittoria-nord'];
const START_TIMEOUT_MS = 30_000;

/** Waits for a number of milliseconds. */
export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until a condition holds; returns whether it did in time. */
async function waitFor(isMet, timeoutMs) {
  const deadline = performance.now() + timeoutMs;
  while (!(await isMet())) {
    if (performance.now() > deadline) {
      return false;
    }
    await sleep(20);
  }
  return true;
}

/** Returns a function that appends lines to a record, with the time in ms. */
export function createRecord(path) {
  const startedAt = performance.now();
  writeFileSync(path, '');
  return line => {
    const ms = Math.round(performance.now() - startedAt);
    appendFileSync(path, `${String(ms).padStart(6)} ${line}\n`);
  };
}

/** Returns the routes of a service; their databases end in `suffix`. */
export function listRoutes(service, suffix = '') {
  const common = {PathPrefix: '/', Service: service, Attempts: 2};
  return [
    {
      ...common,
      Name: `r-lutto${suffix}`,
      Host: `lutto${suffix}`,
      Type: 'primary',
      TimeoutMs: 800,
      SloMs: 100,
      Priority: 0,
    },
    {
      ...common,
      Name: `r-liste${suffix}`,
      Host: `liste${suffix}`,
      Type: 'bounded_stale',
      TimeoutMs: 1_500,
      SloMs: 800,
      Priority: 2,
      MaxStalenessMs: 1_500,
    },
    {
      ...common,
      Name: `r-bozza${suffix}`,
      Host: `bozza${suffix}`,
      Type: 'read_your_writes',
      TimeoutMs: 800,
      SloMs: 200,
      Priority: 1,
      MaxStalenessMs: 2_500,
    },
  ];
}

/** Writes a desired state. */
export function putConfig(store, version, routes, services) {
  store.put('config', 'main', {
    Version: version,
    Routes: routes,
    Services: services.map(name => ({
      Name: name,
      HealthPath: '/health',
      MaxConns: 30,
      Proto: 'h1',
      Tls: false,
      SyncReplicas: 1,
    })),
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 262_144,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
      TxIdleMs: 3_000,
    },
  });
}

/** Returns the resident memory of a host's process in MiB; 0 if it is down. */
export function readMemoryMb({child}) {
  try {
    const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1_024;
  } catch {
    return 0;
  }
}

/**
 * Starts the deployment and waits until each host takes callers; null if that
 * takes too long. `openStore` may put a proxy before the store.
 */
export async function startDeployment({
  log,
  onRun,
  openStore,
  names = ['registro'],
}) {
  const services = [];
  const store = await startStore(
    (name, id) => services.find(one => one.name === name)?.promote(id) ?? false,
  );
  for (const name of names) {
    const started = await startService(name, ZONES, {onRun});
    started.register(store);
    services.push(started);
  }
  const [service] = services;
  const routes = names.flatMap((name, index) =>
    listRoutes(name, index === 0 ? '' : String(index + 1)),
  );
  putConfig(store, 7, routes, names);
  const address = `127.0.0.1:${store.port}`;
  const fleet = await startHosts({
    zones: ZONES,
    control: address,
    openStore: openStore?.bind(null, store.port) ?? (() => address),
    log,
  });
  const deployment = {
    store,
    service,
    hosts: fleet.hosts,
    findOwner: () => {
      const name = store.read('poolowners', service.name)?.spec.owner.host;
      return fleet.hosts.find(host => host.name === name) ?? null;
    },
    close: async () => {
      await fleet.close();
      services.forEach(one => one.close());
      store.close();
    },
  };
  const isServing = async () => {
    const ready = await Promise.all(fleet.hosts.map(askReady));
    const owned = names.every(
      name => store.read('poolowners', name) !== undefined,
    );
    return ready.every(Boolean) && owned;
  };
  if (await waitFor(isServing, START_TIMEOUT_MS)) {
    log('all hosts take callers');
    return deployment;
  }
  await deployment.close();
  return null;
}
