/** The end of a run: all faults heal, and what must hold then is checked. */

import {checkPlannedStop} from './planned_stop.js';
import type {FuzzWorld} from './world.js';
import {formatInsert} from '../statements.js';

/** Stated time within which writes succeed again, in milliseconds. */
const WRITES_MS = 12_000;
/** Stated time within which the newest table is in force, in ms. */
const TABLE_MS = 5_000;
/** Longest time by which an update may still take effect, in ms. */
export const MAX_LATE_MS = 2_500;
const STEP_MS = 250;
/** Time after which every statement has been answered, in milliseconds. */
const ANSWER_MS = 8_000;
const READ_TRIES = 60;

/** Takes the marks of all leaving endpoints away. */
function unmarkLeaving({site}: FuzzWorld): void {
  for (const id of ['g', 'h']) {
    const group = site.readGroup(id);
    if (group.endpoints.some(endpoint => endpoint.leaving)) {
      const endpoints = group.endpoints.map(one => ({...one, leaving: false}));
      site.platform.put(`groups/${id}`, {...group, endpoints});
    }
  }
}

/** Ends all faults and lets updates on their way take effect. */
function healAll(world: FuzzWorld): void {
  const {site, log} = world;
  log('--- all faults heal');
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
  world.look();
  site.hostIds.forEach(id => {
    const host = site.hosts.get(id)!;
    host.process.resume();
    const isGone =
      host.process.isDead() ||
      host.engine.getBoard().self.drainDeadline !== null;
    if (isGone) {
      site.restartHost(id);
    }
  });
  site.runFor(MAX_LATE_MS);
  unmarkLeaving(world);
}

/** Checks that every live host has the newest tables in force. */
function checkTables(
  world: FuzzWorld,
  wanted: ReadonlyMap<string, number>,
): void {
  const {site, oracle} = world;
  site.hosts.forEach((host, id) => {
    wanted.forEach((version, service) => {
      const table = host.engine.getBoard().view.tables.get(service);
      if ((table?.version ?? 0) < version) {
        oracle.fail(
          `${id} has version ${table?.version} of ${service} in force ${TABLE_MS} ms after all faults healed, not ${version}`,
        );
      }
    });
  });
}

/** Checks that writes succeed again on every group. */
function checkWrites(world: FuzzWorld): void {
  const {site, oracle} = world;
  const services = [...readTableVersions(world)];
  const hasWritten = new Set<string>();
  const endAt = site.runtime.now() + WRITES_MS;
  const tableAt = site.runtime.now() + TABLE_MS;
  let hasCheckedTables = false;
  let step = 0;
  const isOver = (): boolean =>
    hasCheckedTables && hasWritten.size === services.length;
  while (site.runtime.now() < endAt && !isOver()) {
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
    if (!hasCheckedTables && site.runtime.now() >= tableAt) {
      hasCheckedTables = true;
      checkTables(world, new Map(services));
    }
  }
  for (const [service] of services) {
    if (!hasWritten.has(service)) {
      oracle.fail(
        `no write of ${service} succeeded within ${WRITES_MS} ms after all faults healed`,
      );
    }
  }
}

function readTableVersions(world: FuzzWorld): ReadonlyMap<string, number> {
  const {platform} = world.site;
  return new Map(
    ['sg', 'sh'].map(service => [
      service,
      platform.find(`tables/${service}`)!.version,
    ]),
  );
}

/** Checks that each client was answered, and reads its own writes. */
function checkClients(world: FuzzWorld): void {
  const {site, oracle, clients, flood} = world;
  const answeredBy = site.runtime.now() + ANSWER_MS;
  const isWaiting = (): boolean =>
    flood.waiting() > 0 || clients.some(one => one.waiting() > 0);
  while (site.runtime.now() < answeredBy && isWaiting()) {
    site.runFor(STEP_MS);
  }
  if (flood.waiting() > 0) {
    oracle.fail(`callers of floods wait for ${flood.waiting()} answers`);
  }
  clients.forEach((client, index) => {
    if (client.waiting() > 0) {
      oracle.fail(`client c${index} waits for ${client.waiting()} answers`);
    }
    for (let tries = 0; tries < READ_TRIES; tries++) {
      if (!client.isOpen()) {
        client.roam(world.hostId(index));
      }
      client.read('session_read');
      site.runFor(STEP_MS);
      if (client.hasRead()) {
        return;
      }
    }
    oracle.fail(`client c${index} cannot read after all faults healed`);
  });
}

/** Heals everything and checks what must hold then. */
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
