/** Process faults: hosts and endpoints are killed, paused, restarted or lag. */

import fc from 'fast-check';
import {createCommand, gap, groupId, index} from './command.js';
import type {CommandArbitrary} from './command.js';

const DRAIN_MS = 3_000;
const MAX_LAG_MS = 120_000;

const killHost = fc
  .tuple(gap, index)
  .map(([ms, at]) =>
    createCommand(`kill host ${at % 6}`, ms, world =>
      world.site.killHost(world.hostId(at)),
    ),
  );

const restartHost = fc.tuple(gap, index).map(([ms, at]) =>
  createCommand(`restart host ${at % 6}`, ms, world => {
    world.site.restartHost(world.hostId(at));
  }),
);

/** Restarts the owner of one of a group's endpoints. */
const restartOwner = fc.tuple(gap, groupId, index).map(([ms, id, at]) =>
  createCommand(`restart owner ${at} of ${id}`, ms, world => {
    const {site} = world;
    const {endpoints, owners} = site.readGroup(id);
    const owner = owners[endpoints[at % endpoints.length]!.id];
    if (owner !== undefined) {
      site.restartHost(owner);
    }
  }),
);

const pauseHost = fc
  .tuple(gap, index)
  .map(([ms, at]) =>
    createCommand(`pause host ${at % 6}`, ms, world =>
      world.site.hosts.get(world.hostId(at))!.process.pause(),
    ),
  );

const resumeHosts = gap.map(ms =>
  createCommand('resume hosts', ms, world =>
    world.site.hosts.forEach(host => host.process.resume()),
  ),
);

const drainHost = fc.tuple(gap, index).map(([ms, at]) =>
  createCommand(`drain host ${at % 6}`, ms, world => {
    const {site} = world;
    const deadline = site.runtime.now() + DRAIN_MS;
    site.hosts.get(world.hostId(at))!.push({type: 'drain', deadline});
  }),
);

const controlEndpoint = fc
  .tuple(
    gap,
    index,
    fc.constantFrom('kill', 'kill', 'freeze', 'unfreeze', 'restart'),
  )
  .map(([ms, at, operation]) =>
    createCommand(`${operation} endpoint ${at % 5}`, ms, world => {
      const endpoint = world.endpoint(at);
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
  .map(([ms, at, lagMs]) =>
    createCommand(`lag endpoint ${at % 5} ${lagMs}`, ms, world =>
      world.endpoint(at).setLag(lagMs),
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
