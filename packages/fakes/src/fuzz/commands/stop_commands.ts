/** Commands that drain a write owner while transactions are open on it. */

import fc from 'fast-check';
import {FUZZ_DATA_CENTRES} from '../world.js';
import type {FuzzWorld} from '../world.js';
import {PLATFORM, gap, groupId, setPaths, writeFor} from './command.js';
import type {CommandArbitrary} from './command.js';
import {createWriterCommand, findWriter} from './writer_commands.js';
import type {Writer} from './writer_commands.js';

/** Time until the deadline of a drain, in milliseconds. */
const STOP_MS = 20_000;
/** Rows inserted by each transaction. */
const TX_ROWS = 2;
/** Time for the transactions to start, in milliseconds. */
const TX_START_MS = 40;
/** Time for the transactions to end after the last fault, in milliseconds. */
const TX_END_MS = 2_000;

type StopFault = (world: FuzzWorld, writer: Writer, faultMs: number) => void;

/** Faults that occur while a draining write owner finishes its transactions. */
const STOP_FAULTS: Readonly<Record<string, StopFault>> = {
  none: (world, _writer, ms) => writeFor(world, ms),
  killPrimary: (world, {group}, ms) => {
    world.site.endpoints.get(group.primary)!.kill();
    writeFor(world, ms);
  },
  cutPrimary: (world, {host, group}, ms) => {
    const others = world.site.hostIds.filter(id => id !== host.node.id);
    setPaths(world, [group.primary], others, 'silent');
    writeFor(world, ms);
  },
  pauseStopped: (world, {host}, ms) => {
    host.process.pause();
    writeFor(world, ms);
    host.process.resume();
  },
  cutStopped: (world, {host}, ms) => {
    setPaths(
      world,
      [host.node.id],
      [PLATFORM, ...world.site.hostIds],
      'silent',
    );
    writeFor(world, ms);
  },
  isolate: (world, {host}, ms) => {
    const {zone} = host.node;
    const others = [...FUZZ_DATA_CENTRES, PLATFORM].filter(o => o !== zone);
    setPaths(world, [zone], others, 'silent');
    writeFor(world, ms);
  },
  outage: (world, _writer, ms) => {
    world.site.platform.faults.mode = 'down';
    writeFor(world, ms);
    world.site.platform.faults.mode = 'up';
  },
  stopNext: (world, {group}, ms) => {
    const next = findWriter(world, group.id);
    const deadline = world.site.runtime.now() + STOP_MS;
    next?.host.push({type: 'drain', deadline});
    writeFor(world, ms);
  },
  restartNext: (world, {group}, ms) => {
    const next = world.site.readGroup(group.id).owners[group.primary];
    if (next !== undefined) {
      world.site.restartHost(next);
    }
    writeFor(world, ms);
  },
};

/** Drains the write owner during transactions that may outlast its evidence. */
const stopWriter = fc
  .tuple(
    gap,
    groupId,
    fc.integer({min: 500, max: 7_500}),
    fc.integer({min: 0, max: 5_000}),
    fc.constantFrom(...Object.keys(STOP_FAULTS)),
    fc.constantFrom(...Object.keys(STOP_FAULTS)),
    fc.integer({min: 100, max: 5_000}),
  )
  .map(([ms, id, openMs, waitMs, firstFault, secondFault, faultMs]) =>
    createWriterCommand(
      `stop writer of ${id} open ${openMs} wait ${waitMs} ${firstFault} ${secondFault} ${faultMs}`,
      ms,
      id,
      (world, writer) => {
        const thinkMs = openMs / (TX_ROWS + 1);
        world.clients.forEach(client =>
          client.runTx(TX_ROWS, 'COMMIT', thinkMs),
        );
        world.site.runFor(TX_START_MS);
        const deadline = world.site.runtime.now() + STOP_MS;
        writer.host.push({type: 'drain', deadline});
        writeFor(world, waitMs);
        STOP_FAULTS[firstFault]!(world, writer, faultMs);
        STOP_FAULTS[secondFault]!(world, writer, faultMs);
        world.clients.forEach(client => client.write('payment', false));
        world.site.runFor(TX_END_MS);
      },
    ),
  );

/** Drains of write owners; repeated entries are drawn more often. */
export const STOP_COMMANDS: readonly CommandArbitrary[] = [
  stopWriter,
  stopWriter,
];
