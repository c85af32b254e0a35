/** Work of callers: statements, transactions, floods, changes of host. */

import fc from 'fast-check';
import type {FuzzWorld} from '../world.js';
import {createCommand, gap, groupId, index, writeFor} from './command.js';
import type {CommandArbitrary} from './command.js';

/** Time over which the bursts of a flood are sent, in milliseconds. */
const FLOOD_MS = 400;
/** Number of bursts in a flood. */
const FLOOD_BURSTS = 4;

const writeKind = fc.constantFrom('payment', 'payment', 'approval', 'durable');
const readKind = fc.constantFrom('session_read', 'aged_read', 'fresh_read');

function pickClient(
  world: FuzzWorld,
  clientIndex: number,
): FuzzWorld['clients'][number] {
  return world.clients[clientIndex % world.clients.length]!;
}

const write = fc
  .tuple(gap, index, writeKind, fc.boolean())
  .map(([ms, clientIndex, kind, isKeyed]) =>
    createCommand(
      `write c${clientIndex % 5} ${kind} keyed=${isKeyed}`,
      ms,
      world => pickClient(world, clientIndex).write(kind, isKeyed),
    ),
  );

const repeatKeyed = fc
  .tuple(gap, index)
  .map(([ms, clientIndex]) =>
    createCommand(`repeat c${clientIndex % 5}`, ms, world =>
      pickClient(world, clientIndex).repeatKeyed(),
    ),
  );

const read = fc
  .tuple(gap, index, readKind)
  .map(([ms, clientIndex, kind]) =>
    createCommand(`read c${clientIndex % 5} ${kind}`, ms, world =>
      pickClient(world, clientIndex).read(kind),
    ),
  );

const runTx = fc
  .tuple(
    gap,
    index,
    fc.integer({min: 1, max: 3}),
    fc.constantFrom<'COMMIT' | 'ROLLBACK'>('COMMIT', 'COMMIT', 'ROLLBACK'),
    fc.constantFrom(0, 0, 30, 400),
  )
  .map(([ms, clientIndex, count, end, thinkMs]) =>
    createCommand(
      `tx c${clientIndex % 5} ${count} ${end} think=${thinkMs}`,
      ms,
      world => pickClient(world, clientIndex).runTx(count, end, thinkMs),
    ),
  );

const roam = fc
  .tuple(gap, index, index)
  .map(([ms, clientIndex, to]) =>
    createCommand(`roam c${clientIndex % 5} to ${to % 6}`, ms, world =>
      pickClient(world, clientIndex).roam(world.hostId(to)),
    ),
  );

const wait = fc
  .oneof(
    fc.integer({min: 1, max: 400}),
    fc.integer({min: 400, max: 2_500}),
    fc.integer({min: 2_500, max: 5_000}),
  )
  .map(ms => createCommand('wait', ms, () => undefined));

/** All clients write for a while under the current faults. */
const keepWriting = fc
  .integer({min: 300, max: 6_000})
  .map(ms =>
    createCommand(`keep writing for ${ms}`, 0, world => writeFor(world, ms)),
  );

/**
 * Sends far more statements of one kind than its group has slots for, through
 * all hosts, while the clients continue with urgent writes.
 */
const flood = fc
  .tuple(
    gap,
    groupId,
    fc.constantFrom('bulk', 'bulk', 'payment'),
    fc.boolean(),
    fc.integer({min: 40, max: 160}),
    fc.constantFrom(10, 40),
  )
  .map(([ms, group, kind, isWrite, count, serviceMs]) =>
    createCommand(
      `flood ${group} with ${count} ${kind} write=${isWrite} service=${serviceMs}`,
      ms,
      world => {
        world.setServiceTime(serviceMs);
        for (let burst = 0; burst < FLOOD_BURSTS; burst++) {
          world.flood.send(group, kind, isWrite, count / FLOOD_BURSTS);
          writeFor(world, FLOOD_MS / FLOOD_BURSTS);
        }
        world.clients.forEach(client => client.read('session_read'));
      },
    ),
  );

/** Sets the service time back to its default. */
const resetServiceTime = gap.map(ms =>
  createCommand('reset service time', ms, world => world.setServiceTime(1)),
);

/** Work of callers; repeated entries are drawn more often. */
export const WORK_COMMANDS: readonly CommandArbitrary[] = [
  ...Array.from({length: 9}, () => write),
  ...Array.from({length: 5}, () => read),
  ...Array.from({length: 4}, () => runTx),
  ...Array.from({length: 3}, () => roam),
  ...Array.from({length: 3}, () => wait),
  ...Array.from({length: 2}, () => keepWriting),
  repeatKeyed,
  flood,
  resetServiceTime,
];
