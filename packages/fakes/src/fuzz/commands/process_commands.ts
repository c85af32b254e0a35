/** Process faults: hosts and endpoints are killed, paused, restarted or lag. */

import fc from 'fast-check';
import {createCommand, gap, groupId, index} from './command.js';
import type {CommandArbitrary} from './command.js';

const DRAIN_MS = 3_000;
const MAX_LAG_MS = 120_000;

const killHost = fc
  .tuple(gap, index)
  .map(([ms, hostIndex]) =>
    createCommand(`kill host ${hostIndex % 6}`, ms, world =>
      world.site.killHost(world.hostId(hostIndex)),
    ),
  );

const restartHost = fc.tuple(gap, index).map(([ms, hostIndex]) =>
  createCommand(`restart host ${hostIndex % 6}`, ms, world => {
    world.site.restartHost(world.hostId(hostIndex));
  }),
);

/** Restarts the owner of one of a group's endpoints. */
const restartOwner = fc
  .tuple(gap, groupId, index)
  .map(([ms, id, endpointIndex]) =>
    createCommand(`restart owner ${endpointIndex} of ${id}`, ms, world => {
      const {site} = world;
      const {endpoints, owners} = site.readGroup(id);
      const owner = owners[endpoints[endpointIndex % endpoints.length]!.id];
      if (owner !== undefined) {
        site.restartHost(owner);
      }
    }),
  );

const pauseHost = fc
  .tuple(gap, index)
  .map(([ms, hostIndex]) =>
    createCommand(`pause host ${hostIndex % 6}`, ms, world =>
      world.site.hosts.get(world.hostId(hostIndex))!.process.pause(),
    ),
  );

const resumeHosts = gap.map(ms =>
  createCommand('resume hosts', ms, world =>
    world.site.hosts.forEach(host => host.process.resume()),
  ),
);

const drainHost = fc.tuple(gap, index).map(([ms, hostIndex]) =>
  createCommand(`drain host ${hostIndex % 6}`, ms, world => {
    const {site} = world;
    const deadline = site.runtime.now() + DRAIN_MS;
    site.hosts.get(world.hostId(hostIndex))!.push({type: 'drain', deadline});
  }),
);

const controlEndpoint = fc
  .tuple(
    gap,
    index,
    fc.constantFrom('kill', 'kill', 'freeze', 'unfreeze', 'restart'),
  )
  .map(([ms, endpointIndex, operation]) =>
    createCommand(`${operation} endpoint ${endpointIndex % 5}`, ms, world => {
      const endpoint = world.endpoint(endpointIndex);
      const isDead = endpoint.process().isDead();
      const operations: Readonly<Record<string, () => void>> = {
        kill: endpoint.kill,
        freeze: endpoint.freeze,
        unfreeze: endpoint.unfreeze,
        restart: () => (isDead ? endpoint.restart() : undefined),
      };
      operations[operation]!();
    }),
  );

const killPrimary = fc.tuple(gap, groupId).map(([ms, id]) =>
  createCommand(`kill primary of ${id}`, ms, world => {
    const {site} = world;
    site.endpoints.get(site.readGroup(id).primary)!.kill();
  }),
);

const setLag = fc
  .tuple(gap, index, fc.constantFrom(0, 0, 20, 200, 3_000, MAX_LAG_MS))
  .map(([ms, endpointIndex, lagMs]) =>
    createCommand(`lag endpoint ${endpointIndex % 5} ${lagMs}`, ms, world =>
      world.endpoint(endpointIndex).setLag(lagMs),
    ),
  );

/** Process faults; repeated entries are drawn more often. */
export const PROCESS_COMMANDS: readonly CommandArbitrary[] = [
  ...Array.from({length: 2}, () => resumeHosts),
  ...Array.from({length: 2}, () => restartHost),
  ...Array.from({length: 3}, () => controlEndpoint),
  restartOwner,
  killHost,
  pauseHost,
  pauseHost,
  drainHost,
  killPrimary,
  setLag,
];
