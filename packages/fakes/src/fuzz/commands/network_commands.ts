/** Network faults: between data centres, between nodes, and partitions. */

import fc from 'fast-check';
import {FUZZ_DATA_CENTRES} from '../world.js';
import type {FuzzWorld} from '../world.js';
import {
  PLATFORM,
  createCommand,
  partition,
  gap,
  groupId,
  hostMask,
  index,
  pathState,
  pathScope,
  setPaths,
  writeFor,
} from './command.js';
import type {CommandArbitrary} from './command.js';

/** Bit mask over all nodes, the platform first; neither empty nor complete. */
const nodeMask = fc.integer({min: 1, max: 2 ** 12 - 2});

function listNodes(world: FuzzWorld): readonly string[] {
  return [PLATFORM, ...world.site.hostIds, ...world.endpointIds];
}

/** Cuts or silences the path between two scopes, one way or both. */
const setPath = fc
  .tuple(
    gap,
    fc.constantFrom(...FUZZ_DATA_CENTRES),
    pathScope,
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

/** Cuts or silences the path from or to one host or endpoint. */
const setNodePath = fc
  .tuple(gap, index, fc.boolean(), pathScope, fc.boolean(), pathState)
  .map(([ms, nodeIndex, isHost, to, isInward, state]) =>
    createCommand(
      `${state} ${isHost ? 'host' : 'endpoint'} ${nodeIndex} ${isInward ? '<' : '>'}${to}`,
      ms,
      world => {
        const id = isHost
          ? world.hostId(nodeIndex)
          : world.endpoint(nodeIndex).node.id;
        const [from, target] = isInward ? [to, id] : [id, to];
        world.site.network.setPath(from, target, state);
      },
    ),
  );

/** Cuts or silences the path between two nodes, one way or both. */
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

/** Partitions all nodes in two, across data centres. */
const splitNodes = fc.tuple(gap, nodeMask, pathState).map(([ms, mask, state]) =>
  createCommand(`${state} split of nodes ${mask.toString(2)}`, ms, world => {
    const [side, others] = partition(listNodes(world), mask);
    setPaths(world, side, others, state);
  }),
);

/** Partitions all nodes while clients write, for a change of primary. */
const splitWhileWriting = fc
  .tuple(gap, nodeMask, pathState, fc.integer({min: 4_000, max: 12_000}))
  .map(([ms, mask, state, splitMs]) =>
    createCommand(
      `${state} split of nodes ${mask.toString(2)} for ${splitMs}`,
      ms,
      world => {
        const [side, others] = partition(listNodes(world), mask);
        setPaths(world, side, others, state);
        writeFor(world, splitMs);
        setPaths(world, side, others, 'up');
      },
    ),
  );

/** Separates some hosts from the platform only. */
const cutFromPlatform = fc
  .tuple(gap, hostMask, pathState)
  .map(([ms, mask, state]) =>
    createCommand(
      `${state} hosts ${mask.toString(2)} from the platform`,
      ms,
      world => {
        const [hosts] = partition(world.site.hostIds, mask);
        setPaths(world, hosts, [PLATFORM], state);
      },
    ),
  );

/** Separates some hosts from a primary only, as a broken route does. */
const cutFromPrimary = fc
  .tuple(gap, hostMask, groupId, pathState)
  .map(([ms, mask, id, state]) =>
    createCommand(
      `${state} hosts ${mask.toString(2)} from the primary of ${id}`,
      ms,
      world => {
        const {primary} = world.site.readGroup(id);
        const [hosts] = partition(world.site.hostIds, mask);
        setPaths(world, hosts, [primary], state);
      },
    ),
  );

/** Resets one connection between two nodes; one may detect it later. */
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

/** Network faults; repeated entries are drawn more often. */
export const NETWORK_COMMANDS: readonly CommandArbitrary[] = [
  ...Array.from({length: 3}, () => healNetwork),
  setPath,
  setPath,
  setNodePath,
  setPair,
  resetConn,
  resetConn,
  splitNodes,
  splitWhileWriting,
  splitWhileWriting,
  cutFromPlatform,
  cutFromPrimary,
];
