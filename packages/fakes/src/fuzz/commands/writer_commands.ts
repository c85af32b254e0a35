/** Faults of a group's write owner while it runs writes. */

import fc from 'fast-check';
import type {GroupObject} from '@lacewingroad/core';
import type {FakeHost} from '../../host.js';
import {MAX_UPDATE_DELAY_MS} from '../finish.js';
import {FUZZ_DATA_CENTRES} from '../world.js';
import type {FuzzWorld} from '../world.js';
import {
  PLATFORM,
  createCommand,
  partition,
  gap,
  groupId,
  hostMask,
  pathState,
  setPaths,
  writeFor,
} from './command.js';
import type {CommandArbitrary} from './command.js';

/** Time for writes to reach their endpoint, in milliseconds. */
const WRITE_DELIVERY_MS = 2;
/** Time for which clients write after the restarts, in milliseconds. */
const AFTER_RESTART_MS = 4_000;

/** One client of each group, which moves to the write owner beforehand. */
const SUPPLANT_CLIENT_INDEXES = [0, 3] as const;

/** A group's write owner, and the group's object on the platform. */
export interface Writer {
  readonly host: FakeHost;
  readonly group: GroupObject;
}

/** Returns the write owner of a group, or null if none is registered. */
export function findWriter(world: FuzzWorld, id: string): Writer | null {
  const {site} = world;
  const group = site.readGroup(id);
  const host = site.hosts.get(group.owners[group.primary] ?? '');
  return host === undefined ? null : {host, group};
}

/** Creates a command on a group's write owner; does nothing without one. */
export function createWriterCommand(
  name: string,
  gapMs: number,
  id: string,
  execute: (world: FuzzWorld, writer: Writer) => void,
): ReturnType<typeof createCommand> {
  return createCommand(name, gapMs, world => {
    const writer = findWriter(world, id);
    if (writer !== null) {
      execute(world, writer);
    }
  });
}

/** Pauses the write owner during writes; its evidence may expire. */
const pauseWriter = fc
  .tuple(gap, groupId, fc.integer({min: 500, max: 9_000}))
  .map(([ms, id, pausedMs]) =>
    createWriterCommand(
      `pause writer of ${id} for ${pausedMs}`,
      ms,
      id,
      (world, {host}) => {
        world.clients.forEach(client => client.write('payment', false));
        world.site.runFor(WRITE_DELIVERY_MS);
        host.process.pause();
        world.site.runFor(pausedMs);
        host.process.resume();
      },
    ),
  );

/** Isolates the write owner's data centre while its callers continue. */
const isolateWriter = fc
  .tuple(gap, groupId, fc.integer({min: 500, max: 9_000}))
  .map(([ms, id, cutMs]) =>
    createWriterCommand(
      `isolate writer of ${id} for ${cutMs}`,
      ms,
      id,
      (world, {host}) => {
        const {zone} = host.node;
        const others = [...FUZZ_DATA_CENTRES, PLATFORM].filter(
          other => other !== zone,
        );
        setPaths(world, [zone], others, 'silent');
        writeFor(world, cutMs);
        setPaths(world, [zone], others, 'up');
      },
    ),
  );

/**
 * Separates the write owner and some other hosts from the platform, so that its
 * evidence depends on promises, and the remaining hosts from the primary.
 */
const strandWriter = fc
  .tuple(gap, groupId, hostMask, fc.integer({min: 2_000, max: 12_000}))
  .map(([ms, id, mask, cutMs]) =>
    createWriterCommand(
      `strand writer of ${id} with hosts ${mask.toString(2)} for ${cutMs}`,
      ms,
      id,
      (world, {host, group}) => {
        const writer = host.node.id;
        const [companions, others] = partition(world.site.hostIds, mask);
        const stranded = [...new Set([writer, ...companions])];
        const remaining = others.filter(other => other !== writer);
        setPaths(world, stranded, [PLATFORM], 'silent');
        setPaths(world, remaining, [group.primary], 'silent');
        writeFor(world, cutMs);
        setPaths(world, stranded, [PLATFORM], 'up');
        setPaths(world, remaining, [group.primary], 'up');
      },
    ),
  );

/**
 * Separates the write owner from the platform and from the other hosts of its
 * data centre, one of which becomes owner of the primary within the term. Then
 * separates all other hosts from the primary. The first write owner's callers
 * continue, and it still reaches the hosts that may promote.
 */
const supplantWriter = fc
  .tuple(
    gap,
    groupId,
    pathState,
    fc.integer({min: 3_000, max: 8_000}),
    fc.integer({min: 2_000, max: 6_000}),
  )
  .map(([ms, id, state, takeoverMs, changeMs]) =>
    createWriterCommand(
      `supplant writer of ${id} (${state}) within ${takeoverMs}, then ${changeMs}`,
      ms,
      id,
      (world, {host, group}) => {
        const {hosts, hostIds} = world.site;
        const writer = host.node.id;
        const others = hostIds.filter(other => other !== writer);
        const neighbours = others.filter(
          other => hosts.get(other)!.node.zone === host.node.zone,
        );
        const blocked = [PLATFORM, ...neighbours];
        SUPPLANT_CLIENT_INDEXES.forEach(clientIndex =>
          world.clients[clientIndex]!.roam(writer),
        );
        setPaths(world, [writer], blocked, state);
        writeFor(world, takeoverMs);
        setPaths(world, others, [group.primary], state);
        writeFor(world, changeMs);
        setPaths(world, [writer], blocked, 'up');
        setPaths(world, others, [group.primary], 'up');
      },
    ),
  );

/**
 * Restarts a write owner while the update of its planned change is delayed. The
 * other hosts of its data centre are paused, so that none can replace it first.
 */
const restartMidChange = fc
  .tuple(
    gap,
    groupId,
    fc.integer({min: 500, max: MAX_UPDATE_DELAY_MS - 500}),
    fc.integer({min: 100, max: 1_200}),
  )
  .map(([ms, id, lateMs, restartMs]) =>
    createWriterCommand(
      `restart writer of ${id} after ${restartMs}, its change late by ${lateMs}`,
      ms,
      id,
      (world, {host, group}) => {
        const {site} = world;
        const to = group.endpoints.find(one => one.id !== group.primary)!.id;
        const neighbours = [...site.hosts.values()].filter(
          ({node}) => node.zone === host.node.zone && node !== host.node,
        );
        neighbours.forEach(({process}) => process.pause());
        Object.assign(site.platform.faults, {lateUpdates: 1, lateMs});
        host.push({type: 'operator_failover', ask: 1, group: id, to});
        site.runFor(restartMs);
        site.restartHost(host.node.id);
        writeFor(world, lateMs);
        neighbours.forEach(({process}) => process.resume());
      },
    ),
  );

/**
 * Isolates the write owner's data centre until the others begin a change, then
 * restarts all hosts of the others while no host can reach the platform.
 */
const restartOthers = fc
  .tuple(gap, groupId, fc.integer({min: 600, max: 2_000}))
  .map(([ms, id, cutMs]) =>
    createWriterCommand(
      `isolate writer of ${id} for ${cutMs}, then restart all others`,
      ms,
      id,
      (world, {host}) => {
        const {site} = world;
        const {zone} = host.node;
        const others = FUZZ_DATA_CENTRES.filter(other => other !== zone);
        setPaths(world, [zone], [...others, PLATFORM], 'cut');
        writeFor(world, cutMs);
        setPaths(world, FUZZ_DATA_CENTRES, [PLATFORM], 'cut');
        site.hostIds
          .filter(other => site.hosts.get(other)!.node.zone !== zone)
          .forEach(other => site.restartHost(other));
        setPaths(world, [zone], others, 'up');
        writeFor(world, AFTER_RESTART_MS);
        setPaths(world, FUZZ_DATA_CENTRES, [PLATFORM], 'up');
      },
    ),
  );

/** Faults of write owners. */
export const WRITER_COMMANDS: readonly CommandArbitrary[] = [
  pauseWriter,
  isolateWriter,
  strandWriter,
  supplantWriter,
  restartMidChange,
  restartOthers,
];
