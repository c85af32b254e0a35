/** Commands that stop a write owner while transactions are open there. */

import fc from 'fast-check';
import {FUZZ_DATA_CENTRES} from '../world.js';
import type {FuzzWorld} from '../world.js';
import {PLATFORM, gap, groupId, setPaths, writeFor} from './command.js';
import type {CommandArbitrary} from './command.js';
import {createStrike, findWriter} from './writer_commands.js';
import type {Writer} from './writer_commands.js';

/** Time that a stopped host has to finish, in milliseconds. */
const STOP_MS = 20_000;
/** Rows of each transaction. */
const TX_ROWS = 2;
/** Time after which transactions are open, in milliseconds. */
const OPENED_MS = 40;
/** Time for transactions to end after the last fault, in milliseconds. */
const AFTER_MS = 2_000;

type Strike = (world: FuzzWorld, writer: Writer, strikeMs: number) => void;

/** Faults that come while a stopped write owner finishes transactions. */
const STOP_STRIKES: Readonly<Record<string, Strike>> = {
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

/** Stops the write owner while transactions are open for longer than L. */
const stopWriter = fc
  .tuple(
    gap,
    groupId,
    fc.integer({min: 500, max: 7_500}),
    fc.integer({min: 0, max: 5_000}),
    fc.constantFrom(...Object.keys(STOP_STRIKES)),
    fc.constantFrom(...Object.keys(STOP_STRIKES)),
    fc.integer({min: 100, max: 5_000}),
  )
  .map(([ms, id, openMs, waitMs, strike, again, strikeMs]) =>
    createStrike(
      `stop writer of ${id} open ${openMs} wait ${waitMs} ${strike} ${again} ${strikeMs}`,
      ms,
      id,
      (world, writer) => {
        const thinkMs = openMs / (TX_ROWS + 1);
        world.clients.forEach(client =>
          client.runTx(TX_ROWS, 'COMMIT', thinkMs),
        );
        world.site.runFor(OPENED_MS);
        const deadline = world.site.runtime.now() + STOP_MS;
        writer.host.push({type: 'drain', deadline});
        writeFor(world, waitMs);
        STOP_STRIKES[strike]!(world, writer, strikeMs);
        STOP_STRIKES[again]!(world, writer, strikeMs);
        world.clients.forEach(client => client.write('payment', false));
        world.site.runFor(AFTER_MS);
      },
    ),
  );

/** Stops of write owners, each as often as its share of a run. */
export const STOP_COMMANDS: readonly CommandArbitrary[] = [
  stopWriter,
  stopWriter,
];
