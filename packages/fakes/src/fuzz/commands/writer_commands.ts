/** Commands that strike the write owner of a group while it writes. */

import fc from 'fast-check';
import type {GroupObject} from '@lacewingroad/core';
import type {FakeHost} from '../../host.js';
import {MAX_LATE_MS} from '../finish.js';
import {FUZZ_DATA_CENTRES} from '../world.js';
import type {FuzzWorld} from '../world.js';
import {
  PLATFORM,
  createCommand,
  divide,
  gap,
  groupId,
  hostSet,
  pathState,
  setPaths,
  writeFor,
} from './command.js';
import type {CommandArbitrary} from './command.js';

/** Time after which writes are at their endpoint, in milliseconds. */
const WRITE_ON_ITS_WAY_MS = 2;
/** Time for which writes go on after restarts, in milliseconds. */
const AFTER_RESTART_MS = 4_000;

/** Clients that go to a write owner before it is supplanted, of each group. */
const SUPPLANTED_CLIENTS = [0, 3] as const;

/** A group's write owner, and what the platform holds of the group. */
export interface Writer {
  readonly host: FakeHost;
  readonly group: GroupObject;
}

/** Returns the write owner of a group, or null. */
export function findWriter(world: FuzzWorld, id: string): Writer | null {
  const {site} = world;
  const group = site.readGroup(id);
  const host = site.hosts.get(group.owners[group.primary] ?? '');
  return host === undefined ? null : {host, group};
}

/** Makes a command that needs the write owner of a group. */
export function createStrike(
  name: string,
  gapMs: number,
  id: string,
  act: (world: FuzzWorld, writer: Writer) => void,
): ReturnType<typeof createCommand> {
  return createCommand(name, gapMs, world => {
    const writer = findWriter(world, id);
    if (writer !== null) {
      act(world, writer);
    }
  });
}

/** Pauses the write owner while it runs writes, for about L or longer. */
const pauseWriter = fc
  .tuple(gap, groupId, fc.integer({min: 500, max: 9_000}))
  .map(([ms, id, pausedMs]) =>
    createStrike(
      `pause writer of ${id} for ${pausedMs}`,
      ms,
      id,
      (world, {host}) => {
        world.clients.forEach(client => client.write('payment', false));
        world.site.runFor(WRITE_ON_ITS_WAY_MS);
        host.process.pause();
        world.site.runFor(pausedMs);
        host.process.resume();
      },
    ),
  );

/** Cuts the write owner's data centre off while its callers go on. */
const isolateWriter = fc
  .tuple(gap, groupId, fc.integer({min: 500, max: 9_000}))
  .map(([ms, id, cutMs]) =>
    createStrike(
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
 * Cuts the write owner and some other hosts from the platform, so that its
 * evidence rests on promises, and the primary from the hosts that remain.
 */
const strandWriter = fc
  .tuple(gap, groupId, hostSet, fc.integer({min: 2_000, max: 12_000}))
  .map(([ms, id, set, cutMs]) =>
    createStrike(
      `strand writer of ${id} with hosts ${set.toString(2)} for ${cutMs}`,
      ms,
      id,
      (world, {host, group}) => {
        const writer = host.node.id;
        const [company, others] = divide(world.site.hostIds, set);
        const stranded = [...new Set([writer, ...company])];
        const left = others.filter(other => other !== writer);
        setPaths(world, stranded, [PLATFORM], 'silent');
        setPaths(world, left, [group.primary], 'silent');
        writeFor(world, cutMs);
        setPaths(world, stranded, [PLATFORM], 'up');
        setPaths(world, left, [group.primary], 'up');
      },
    ),
  );

/**
 * Cuts the write owner from the platform and from its neighbours, which take
 * the primary over within the term, and later the primary from all others.
 * Its callers go on, and it still reaches the hosts that may promote.
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
    createStrike(
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
        const away = [PLATFORM, ...neighbours];
        SUPPLANTED_CLIENTS.forEach(at => world.clients[at]!.roam(writer));
        setPaths(world, [writer], away, state);
        writeFor(world, takeoverMs);
        setPaths(world, others, [group.primary], state);
        writeFor(world, changeMs);
        setPaths(world, [writer], away, 'up');
        setPaths(world, others, [group.primary], 'up');
      },
    ),
  );

/**
 * Restarts a write owner while the update of its planned change is on its way,
 * and no neighbour can take its place before that.
 */
const restartMidChange = fc
  .tuple(
    gap,
    groupId,
    fc.integer({min: 500, max: MAX_LATE_MS - 500}),
    fc.integer({min: 100, max: 1_200}),
  )
  .map(([ms, id, lateMs, restartMs]) =>
    createStrike(
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
 * restarts all hosts of the others, while the platform does not answer.
 */
const restartOthers = fc
  .tuple(gap, groupId, fc.integer({min: 600, max: 2_000}))
  .map(([ms, id, cutMs]) =>
    createStrike(
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

/** Faults of write owners, each as often as its share of a run. */
export const WRITER_COMMANDS: readonly CommandArbitrary[] = [
  pauseWriter,
  isolateWriter,
  strandWriter,
  supplantWriter,
  restartMidChange,
  restartOthers,
];
