/** What the commands of the fuzz share: their form, and common arguments. */

import fc from 'fast-check';
import type {Command} from 'fast-check';
import type {PathState} from '../../network.js';
import {FUZZ_DATA_CENTRES} from '../world.js';
import type {FuzzWorld} from '../world.js';

/** The model of the runs: none; the oracle knows what must hold. */
export type NoModel = Readonly<Record<string, never>>;
/** A command of the fuzz. */
export type FuzzCommand = Command<NoModel, FuzzWorld>;
/** What makes commands at random. */
export type CommandArbitrary = fc.Arbitrary<FuzzCommand>;

/** The place of the platform. */
export const PLATFORM = 'platform';
const WRITE_INTERVAL_MS = 100;

type Act = (world: FuzzWorld) => void;

/** Makes a command of its name, what it does, and the time that follows. */
export function createCommand(
  name: string,
  gapMs: number,
  act: Act,
): FuzzCommand {
  const text = `${name} +${gapMs}`;
  return {
    check: () => true,
    run: (_model, world) => {
      world.log(`>>> ${text}`);
      act(world);
      world.look();
      world.site.runFor(gapMs);
      world.check();
    },
    toString: () => text,
  };
}

/** Time after a command, in milliseconds. */
export const gap = fc.oneof(
  {weight: 4, arbitrary: fc.integer({min: 0, max: 5})},
  {weight: 4, arbitrary: fc.integer({min: 5, max: 150})},
  {weight: 1, arbitrary: fc.integer({min: 150, max: 1_500})},
);
/** A number that names a client, a host or an endpoint. */
export const index = fc.nat({max: 11});
/** A set of hosts: one bit for each. */
export const hostSet = fc.integer({min: 1, max: 2 ** 6 - 1});
/** A group. */
export const groupId = fc.constantFrom('g', 'h');
/** A place that paths lead to. */
export const place = fc.constantFrom(...FUZZ_DATA_CENTRES, PLATFORM, '*');
/** What becomes of a path. */
export const pathState = fc.constantFrom<PathState>('cut', 'silent', 'silent');

/** Lets all clients write at a steady pace for a while. */
export function writeFor(world: FuzzWorld, ms: number): void {
  const {site, clients} = world;
  const until = site.runtime.now() + ms;
  while (site.runtime.now() < until) {
    clients.forEach(client => client.write('payment', false));
    site.runFor(WRITE_INTERVAL_MS);
  }
}

/** Sets both directions between two sets of nodes or zones. */
export function setPaths(
  world: FuzzWorld,
  side: readonly string[],
  others: readonly string[],
  state: PathState,
): void {
  for (const one of side) {
    for (const other of others) {
      world.site.network.setPath(one, other, state);
      world.site.network.setPath(other, one, state);
    }
  }
}

/** Returns the items whose bits are set, and the others. */
export function divide(
  items: readonly string[],
  set: number,
): readonly [readonly string[], readonly string[]] {
  const isIn = (at: number): boolean => (set & (1 << at)) !== 0;
  return [
    items.filter((_, at) => isIn(at)),
    items.filter((_, at) => !isIn(at)),
  ];
}
