/** Selects the owner of a group's pool and its deputies. */

import {orderByRendezvous} from '@lacewingroad/core';
import type {GroupId, HostId} from '@lacewingroad/core';
import type {HostEntry, Ownership} from '../model/ownership.js';

/**
 * Deputies per owner: two of three can still promise, or consent to a takeover.
 */
const DEPUTY_COUNT = 3;

/**
 * Load of being a deputy, relative to owning a group. Spreads deputies evenly
 * over hosts, and still prefers a large host that owns a group to a small host.
 */
const DEPUTY_LOAD = 0.25;

/**
 * Returns each host's load: groups that it owns, and `deputyLoad` per group as
 * deputy.
 */
function countLoads(
  ownerships: Iterable<Ownership>,
  except: GroupId,
  deputyLoad: number,
): ReadonlyMap<HostId, number> {
  const loads = new Map<HostId, number>();
  const add = (host: HostId, share: number): void => {
    loads.set(host, (loads.get(host) ?? 0) + share);
  };
  for (const {group, owner, deputies} of ownerships) {
    if (group !== except) {
      add(owner.host, 1);
      deputies.forEach(({host}) => add(host, deputyLoad));
    }
  }
  return loads;
}

/** Returns each host's load including `group`, in groups per processor core. */
function computeCosts(
  group: GroupId,
  hosts: readonly HostEntry[],
  ownerships: Iterable<Ownership>,
  deputyLoad: number,
): ReadonlyMap<HostId, number> {
  const loads = countLoads(ownerships, group, deputyLoad);
  return new Map(
    hosts.map(({host, cpuShare}) => [
      host,
      ((loads.get(host) ?? 0) + 1) / Math.max(0.1, cpuShare),
    ]),
  );
}

/**
 * Orders hosts for a group, best first: by the load per processor core, then by
 * rendezvous hashing. All hosts compute the same order.
 */
export function orderHosts(
  group: GroupId,
  hosts: readonly HostEntry[],
  ownerships: Iterable<Ownership>,
): readonly HostEntry[] {
  const costs = computeCosts(group, hosts, ownerships, DEPUTY_LOAD);
  const byId = new Map(hosts.map(entry => [entry.host, entry]));
  const ranked = orderByRendezvous(group, [...byId.keys()]);
  return ranked
    .map((host, rank) => ({host, rank, cost: costs.get(host)!}))
    .sort((a, b) => a.cost - b.cost || a.rank - b.rank)
    .map(({host}) => byId.get(host)!);
}

/**
 * Minimum ratio between the loads of two hosts for a group to move. A move
 * leaves the group without an owner for about 200 ms; a smaller difference does
 * not make up for that.
 */
const MIN_MOVE_RATIO = 2;

/**
 * Returns the host that a group should move to, or null. After the loss of many
 * hosts, several groups may be on one small host, which is overloaded once
 * traffic returns, while larger hosts are idle.
 */
export function findBetterHost(
  group: GroupId,
  owner: HostEntry,
  reachable: readonly HostEntry[],
  ownerships: readonly Ownership[],
): HostEntry | null {
  const hosts = [owner, ...reachable.filter(({host}) => host !== owner.host)];
  // The load of being a deputy does not count: a move would not reduce it.
  const costs = computeCosts(group, hosts, ownerships, 0);
  const isBetter = ({host}: HostEntry): boolean =>
    costs.get(owner.host)! / costs.get(host)! >= MIN_MOVE_RATIO;
  if (!hosts.some(isBetter)) {
    // Ordering hashes every host, so it is skipped when no move is needed.
    return null;
  }
  const [best] = orderHosts(group, hosts, ownerships);
  return isBetter(best!) ? best! : null;
}

/**
 * Distributes groups over hosts that start together: each group, in the order
 * of names, gets the best host given the groups assigned before it.
 */
export function assignGroups(
  groups: readonly GroupId[],
  hosts: readonly HostEntry[],
): ReadonlyMap<GroupId, HostId> {
  const assigned = new Map<GroupId, HostId>();
  const ownerships: Ownership[] = [];
  for (const group of [...groups].sort()) {
    const [best] = orderHosts(group, hosts, ownerships);
    if (best === undefined) {
      break;
    }
    assigned.set(group, best.host);
    ownerships.push({
      group,
      owner: best,
      incarnation: '',
      generation: 0,
      deputies: [],
      renewals: 0,
      lineage: null,
    });
  }
  return assigned;
}

/**
 * Chooses deputies among reachable hosts, each in a different data centre, and
 * in the owner's own only after all others. The loss of one data centre then
 * leaves enough deputies to promise, or to consent if the owner was in it.
 */
export function chooseDeputies(
  group: GroupId,
  owner: HostEntry,
  reachable: readonly HostEntry[],
  ownerships: Iterable<Ownership>,
): readonly HostEntry[] {
  const others = reachable.filter(({host}) => host !== owner.host);
  const ordered = orderHosts(group, others, ownerships);
  const chosen: HostEntry[] = [];
  const usedDataCentres = new Set([owner.dataCentre]);
  for (const entry of ordered) {
    if (
      chosen.length < DEPUTY_COUNT &&
      !usedDataCentres.has(entry.dataCentre)
    ) {
      chosen.push(entry);
      usedDataCentres.add(entry.dataCentre);
    }
  }
  const ownCentreFirst = [...ordered].sort(
    (a, b) =>
      Number(b.dataCentre === owner.dataCentre) -
      Number(a.dataCentre === owner.dataCentre),
  );
  for (const entry of ownCentreFirst) {
    if (chosen.length < DEPUTY_COUNT && !chosen.includes(entry)) {
      chosen.push(entry);
    }
  }
  return chosen;
}
