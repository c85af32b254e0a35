/** Commands of the network: cuts of data centres, of nodes, of parts. */

import fc from 'fast-check';
import {FUZZ_DATA_CENTRES} from '../world.js';
import type {FuzzWorld} from '../world.js';
import {
  PLATFORM,
  createCommand,
  divide,
  gap,
  groupId,
  hostSet,
  index,
  pathState,
  place,
  setPaths,
  writeFor,
} from './command.js';
import type {CommandArbitrary} from './command.js';

/** A set of nodes: one bit for each, the platform first. */
const nodeSet = fc.integer({min: 1, max: 2 ** 12 - 2});

function listNodes(world: FuzzWorld): readonly string[] {
  return [PLATFORM, ...world.site.hostIds, ...world.endpointIds];
}

/** Cuts or heals paths between two places, one way or both. */
const setPath = fc
  .tuple(
    gap,
    fc.constantFrom(...FUZZ_DATA_CENTRES),
    place,
    fc.boolean(),
    pathState,
  )
  .map(([ms, from, to, isOneWay, state]) =>
    createCommand(`${state} ${from}>${to} oneway=${isOneWay}`, ms, world => {
      world.site.network.setPath(from, to, state);
      if (!isOneWay) {
        world.site.network.setPath(to, from, state);
      }
    }),
  );

/** Cuts a host or an endpoint off from one place or all. */
const setNodePath = fc
  .tuple(gap, index, fc.boolean(), place, fc.boolean(), pathState)
  .map(([ms, at, isHost, to, isInward, state]) =>
    createCommand(
      `${state} ${isHost ? 'host' : 'endpoint'} ${at} ${isInward ? '<' : '>'}${to}`,
      ms,
      world => {
        const id = isHost ? world.hostId(at) : world.endpoint(at).node.id;
        const [from, target] = isInward ? [to, id] : [id, to];
        world.site.network.setPath(from, target, state);
      },
    ),
  );

/** Cuts two nodes from each other, one way or both. */
const setPair = fc
  .tuple(gap, index, index, fc.boolean(), pathState)
  .map(([ms, one, other, isOneWay, state]) =>
    createCommand(
      `${state} nodes ${one}>${other} oneway=${isOneWay}`,
      ms,
      world => {
        const nodes = listNodes(world);
        const [from, to] = [nodes[one]!, nodes[other]!];
        world.site.network.setPath(from, to, state);
        if (!isOneWay) {
          world.site.network.setPath(to, from, state);
        }
      },
    ),
  );

/** Splits all nodes in two, across data centres. */
const split = fc.tuple(gap, nodeSet, pathState).map(([ms, set, state]) =>
  createCommand(`${state} split of nodes ${set.toString(2)}`, ms, world => {
    const [side, others] = divide(listNodes(world), set);
    setPaths(world, side, others, state);
  }),
);

/** Splits all nodes in two while clients write, for a change of primary. */
const splitForChange = fc
  .tuple(gap, nodeSet, pathState, fc.integer({min: 4_000, max: 12_000}))
  .map(([ms, set, state, splitMs]) =>
    createCommand(
      `${state} split of nodes ${set.toString(2)} for ${splitMs}`,
      ms,
      world => {
        const [side, others] = divide(listNodes(world), set);
        setPaths(world, side, others, state);
        writeFor(world, splitMs);
        setPaths(world, side, others, 'up');
      },
    ),
  );

/** Takes the platform from some hosts alone; they reach all else. */
const cutFromPlatform = fc
  .tuple(gap, hostSet, pathState)
  .map(([ms, set, state]) =>
    createCommand(
      `${state} hosts ${set.toString(2)} from the platform`,
      ms,
      world => {
        const [side] = divide(world.site.hostIds, set);
        setPaths(world, side, [PLATFORM], state);
      },
    ),
  );

/** Takes the primary from some hosts alone, as a broken route does. */
const cutFromPrimary = fc
  .tuple(gap, hostSet, groupId, pathState)
  .map(([ms, set, id, state]) =>
    createCommand(
      `${state} hosts ${set.toString(2)} from the primary of ${id}`,
      ms,
      world => {
        const {primary} = world.site.readGroup(id);
        const [side] = divide(world.site.hostIds, set);
        setPaths(world, side, [primary], state);
      },
    ),
  );

/** Resets one connection between two nodes; one end learns of it later. */
const resetConn = fc
  .tuple(gap, index, index, fc.constantFrom(0, 2, 20, 900))
  .map(([ms, one, other, laterMs]) =>
    createCommand(`reset nodes ${one}>${other} later=${laterMs}`, ms, world => {
      const nodes = listNodes(world);
      world.site.network.resetOldest(nodes[one]!, nodes[other]!, laterMs);
    }),
  );

const healNetwork = gap.map(ms =>
  createCommand('heal network', ms, world => world.site.network.heal()),
);

/** Faults of the network, each as often as its share of a run. */
export const NETWORK_COMMANDS: readonly CommandArbitrary[] = [
  ...Array.from({length: 3}, () => healNetwork),
  setPath,
  setPath,
  setNodePath,
  setPair,
  resetConn,
  resetConn,
  split,
  splitForChange,
  splitForChange,
  cutFromPlatform,
  cutFromPrimary,
];
