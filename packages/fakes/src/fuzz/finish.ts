/** The end of a run: clears all faults, then checks recovery and data. */

import {checkPlannedStop} from './planned_stop.js';
import type {FuzzWorld} from './world.js';
import {formatInsert} from '../statements.js';

/** Writes must succeed again within this time, in milliseconds. */
const WRITE_RECOVERY_MS = 12_000;
/** Every live host must apply the newest tables within this time, in ms. */
const TABLE_APPLY_MS = 5_000;
/** Upper limit for the delay of a platform update, in ms. */
export const MAX_UPDATE_DELAY_MS = 2_500;
const STEP_MS = 250;
/** Every statement must be answered within this time, in milliseconds. */
const ANSWER_TIMEOUT_MS = 8_000;
const MAX_READ_ATTEMPTS = 60;

/** Clears the leaving mark of all endpoints. */
function clearLeavingMarks({site}: FuzzWorld): void {
  for (const id of ['g', 'h']) {
    const group = site.readGroup(id);
    if (group.endpoints.some(endpoint => endpoint.leaving)) {
      const endpoints = group.endpoints.map(one => ({...one, leaving: false}));
      site.platform.put(`groups/${id}`, {...group, endpoints});
    }
  }
}

/** Clears all faults and lets delayed updates take effect. */
function healAll(world: FuzzWorld): void {
  const {site, log} = world;
  log('--- clearing all faults');
  site.network.heal();
  world.setServiceTime(1);
  Object.assign(site.platform.faults, {
    mode: 'up',
    slowMs: 0,
    loseAnswers: 0,
    lateUpdates: 0,
  });
  site.endpoints.forEach(endpoint => {
    endpoint.unfreeze();
    if (endpoint.process().isDead()) {
      endpoint.restart();
    }
    endpoint.setLag(0);
  });
  world.updatePlatformAccess();
  site.hostIds.forEach(id => {
    const host = site.hosts.get(id)!;
    host.process.resume();
    const needsRestart =
      host.process.isDead() ||
      host.engine.getBoard().self.drainDeadline !== null;
    if (needsRestart) {
      site.restartHost(id);
    }
  });
  site.runFor(MAX_UPDATE_DELAY_MS);
  clearLeavingMarks(world);
}

/** Checks that every host has applied the newest tables. */
function checkTables(
  world: FuzzWorld,
  expectedVersions: ReadonlyMap<string, number>,
): void {
  const {site, oracle} = world;
  site.hosts.forEach((host, id) => {
    expectedVersions.forEach((version, service) => {
      const table = host.engine.getBoard().view.tables.get(service);
      if ((table?.version ?? 0) < version) {
        oracle.fail(
          `${id} applies version ${table?.version} of ${service} ${TABLE_APPLY_MS} ms after all faults were cleared, not ${version}`,
        );
      }
    });
  });
}

/** Checks that all groups accept writes again and tables are applied. */
function checkWrites(world: FuzzWorld): void {
  const {site, oracle} = world;
  const services = [...getTableVersions(world)];
  const hasWritten = new Set<string>();
  const deadline = site.runtime.now() + WRITE_RECOVERY_MS;
  const tableCheckAt = site.runtime.now() + TABLE_APPLY_MS;
  let hasCheckedTables = false;
  let step = 0;
  const isDone = (): boolean =>
    hasCheckedTables && hasWritten.size === services.length;
  while (site.runtime.now() < deadline && !isDone()) {
    const host = world.hostId(step++);
    for (const [service] of services) {
      if (hasWritten.has(service)) {
        continue;
      }
      const caller = site.openCaller(host, {service});
      const sql = formatInsert(`end.${service}${step}`, "/*kind='payment'*/ ");
      caller.send(sql, ({reply}) => {
        if (reply?.type === 'result') {
          hasWritten.add(service);
        }
        caller.close();
      });
    }
    site.runFor(STEP_MS);
    if (!hasCheckedTables && site.runtime.now() >= tableCheckAt) {
      hasCheckedTables = true;
      checkTables(world, new Map(services));
    }
  }
  for (const [service] of services) {
    if (!hasWritten.has(service)) {
      oracle.fail(
        `no write of ${service} succeeded within ${WRITE_RECOVERY_MS} ms after all faults were cleared`,
      );
    }
  }
}

function getTableVersions(world: FuzzWorld): ReadonlyMap<string, number> {
  const {platform} = world.site;
  return new Map(
    ['sg', 'sh'].map(service => [
      service,
      platform.find(`tables/${service}`)!.version,
    ]),
  );
}

/** Checks that all clients have their answers and read their own writes. */
function checkClients(world: FuzzWorld): void {
  const {site, oracle, clients, flood} = world;
  const deadline = site.runtime.now() + ANSWER_TIMEOUT_MS;
  const isWaiting = (): boolean =>
    flood.pendingCount() > 0 || clients.some(one => one.pendingCount() > 0);
  while (site.runtime.now() < deadline && isWaiting()) {
    site.runFor(STEP_MS);
  }
  if (flood.pendingCount() > 0) {
    oracle.fail(`${flood.pendingCount()} statements of floods have no answer`);
  }
  clients.forEach((client, index) => {
    if (client.pendingCount() > 0) {
      oracle.fail(
        `client c${index} has ${client.pendingCount()} statements without an answer`,
      );
    }
    for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
      if (!client.isOpen()) {
        client.roam(world.hostId(index));
      }
      client.read('session_read');
      site.runFor(STEP_MS);
      if (client.hasRead()) {
        return;
      }
    }
    oracle.fail(`client c${index} cannot read after all faults were cleared`);
  });
}

/** Clears all faults, then checks recovery and the surviving rows. */
export function finishRun(world: FuzzWorld): void {
  const {site, oracle} = world;
  healAll(world);
  checkWrites(world);
  checkClients(world);
  checkPlannedStop(world);
  for (const id of ['g', 'h']) {
    const {primary} = site.readGroup(id);
    const {entries} = site.endpoints.get(primary)!.ledger;
    const rows = entries.flatMap(entry =>
      entry.ops.flatMap(op => (op.type === 'row' ? [op.id] : [])),
    );
    oracle.checkEnd(id, rows);
  }
  world.check();
}
