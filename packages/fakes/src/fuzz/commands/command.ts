/** Types, argument arbitraries and helpers of the fuzz commands. */

import fc from 'fast-check';
import type {Command} from 'fast-check';
import type {PathState} from '../../network.js';
import {FUZZ_DATA_CENTRES} from '../world.js';
import type {FuzzWorld} from '../world.js';

/** Model state of fast-check; empty, as the oracles track expected results. */
export type NoModel = Readonly<Record<string, never>>;
/** A fuzz command. */
export type FuzzCommand = Command<NoModel, FuzzWorld>;
/** An arbitrary that generates commands. */
export type CommandArbitrary = fc.Arbitrary<FuzzCommand>;

/** Node id and zone of the platform. */
export const PLATFORM = 'platform';
const WRITE_INTERVAL_MS = 100;

type CommandBody = (world: FuzzWorld) => void;

/** Creates a command that runs `execute` and then lets `gapMs` pass. */
export function createCommand(
  name: string,
  gapMs: number,
  execute: CommandBody,
): FuzzCommand {
  const text = `${name} +${gapMs}`;
  return {
    check: () => true,
    run: (_model, world) => {
      world.log(`>>> ${text}`);
      execute(world);
      world.updatePlatformAccess();
      world.site.runFor(gapMs);
      world.check();
    },
    toString: () => text,
  };
}

/** Time that passes after a command, in milliseconds. */
export const gap = fc.oneof(
  {weight: 4, arbitrary: fc.integer({min: 0, max: 5})},
  {weight: 4, arbitrary: fc.integer({min: 5, max: 150})},
  {weight: 1, arbitrary: fc.integer({min: 150, max: 1_500})},
);
/** Index of a client, host or endpoint; taken modulo their number. */
export const index = fc.nat({max: 11});
/** Bit mask over the six hosts; never empty. */
export const hostMask = fc.integer({min: 1, max: 2 ** 6 - 1});
/** Id of a group. */
export const groupId = fc.constantFrom('g', 'h');
/** One end of a path: a data centre, the platform, or everything. */
export const pathScope = fc.constantFrom(...FUZZ_DATA_CENTRES, PLATFORM, '*');
/** Fault of a path. */
export const pathState = fc.constantFrom<PathState>('cut', 'silent', 'silent');

/** Lets all clients write at a constant rate for `ms` milliseconds. */
export function writeFor(world: FuzzWorld, ms: number): void {
  const {site, clients} = world;
  const until = site.runtime.now() + ms;
  while (site.runtime.now() < until) {
    clients.forEach(client => client.write('payment', false));
    site.runFor(WRITE_INTERVAL_MS);
  }
}

/** Sets the paths in both directions between two sets of nodes or zones. */
export function setPaths(
  world: FuzzWorld,
  nodes: readonly string[],
  others: readonly string[],
  state: PathState,
): void {
  for (const one of nodes) {
    for (const other of others) {
      world.site.network.setPath(one, other, state);
      world.site.network.setPath(other, one, state);
    }
  }
}

/** Returns the items whose bits are set in the mask, and the others. */
export function partition(
  items: readonly string[],
  mask: number,
): readonly [readonly string[], readonly string[]] {
  const isSelected = (bit: number): boolean => (mask & (1 << bit)) !== 0;
  return [
    items.filter((_, bit) => isSelected(bit)),
    items.filter((_, bit) => !isSelected(bit)),
  ];
}
