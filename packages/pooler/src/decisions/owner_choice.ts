/** Which hosts own a group's pool, and which may follow. */

import {orderByRendezvous} from '@lacewingroad/core';
import type {GroupId, HostId} from '@lacewingroad/core';
import type {HostEntry, Ownership} from '../model/ownership.js';

/** Deputies of an owner: the loss of one of three leaves enough for either. */
const DEPUTY_COUNT = 3;

/**
 * Load of a group that a host stands in for, in owned groups: spreads deputies
 * over hosts alike, and leaves a large host that owns a group before a small one.
 */
const DEPUTY_LOAD = 0.25;

/** Counts the groups that hosts own, and a part of those they stand in for. */
function readLoads(
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

/** Returns each host's load with the group, in groups for a processor core. */
function readCosts(
  group: GroupId,
  hosts: readonly HostEntry[],
  ownerships: Iterable<Ownership>,
  deputyLoad: number,
): ReadonlyMap<HostId, number> {
  const loads = readLoads(ownerships, group, deputyLoad);
  return new Map(
    hosts.map(({host, cpuShare}) => [
      host,
      ((loads.get(host) ?? 0) + 1) / Math.max(0.1, cpuShare),
    ]),
  );
}

/**
 * Orders hosts for a group, the best first: those with the fewest groups for
 * their processor, then by rendezvous hashing, so that all hosts agree.
 */
export function orderHosts(
  group: GroupId,
  hosts: readonly HostEntry[],
  ownerships: Iterable<Ownership>,
): readonly HostEntry[] {
  const costs = readCosts(group, hosts, ownerships, DEPUTY_LOAD);
  const byId = new Map(hosts.map(entry => [entry.host, entry]));
  const ranked = orderByRendezvous(group, [...byId.keys()]);
  return ranked
    .map((host, rank) => ({host, rank, cost: costs.get(host)!}))
    .sort((a, b) => a.cost - b.cost || a.rank - b.rank)
    .map(({host}) => byId.get(host)!);
}

/**
 * How many times better off another host has to be before a group moves there:
 * a move leaves the group without an owner for about a fifth of a second, and
 * two hosts that differ less would not gain that back.
 */
const MOVE_FACTOR = 2;

/**
 * Returns the host that a group should move to, or null. It answers what a loss
 * of many hosts leaves behind: several groups on one small host, which cannot
 * keep up once the load is back, while large ones stand idle.
 */
export function findBetterHost(
  group: GroupId,
  owner: HostEntry,
  reachable: readonly HostEntry[],
  ownerships: readonly Ownership[],
): HostEntry | null {
  const hosts = [owner, ...reachable.filter(({host}) => host !== owner.host)];
  // Standing in for others is no load that a move would take off.
  const costs = readCosts(group, hosts, ownerships, 0);
  const isBetter = ({host}: HostEntry): boolean =>
    costs.get(owner.host)! / costs.get(host)! >= MOVE_FACTOR;
  if (!hosts.some(isBetter)) {
    // Ordering costs a hash of every host: none while all is well.
    return null;
  }
  const [best] = orderHosts(group, hosts, ownerships);
  return isBetter(best!) ? best! : null;
}

/**
 * Shares groups out among hosts that start together: each group in the order
 * of its name takes the best host that none before it took.
 */
export function assignGroups(
  groups: readonly GroupId[],
  hosts: readonly HostEntry[],
): ReadonlyMap<GroupId, HostId> {
  const assigned = new Map<GroupId, HostId>();
  const taken: Ownership[] = [];
  for (const group of [...groups].sort()) {
    const [best] = orderHosts(group, hosts, taken);
    if (best === undefined) {
      break;
    }
    assigned.set(group, best.host);
    taken.push({
      group,
      owner: best,
      incarnation: '',
      generation: 0,
      deputies: [],
      renewals: 0,
    });
  }
  return assigned;
}

/**
 * Chooses deputies among hosts that can be reached, each in another data centre
 * and the owner's own last: then the loss of one data centre leaves enough of
 * them to promise, or to consent where the owner was in it.
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
  const used = new Set([owner.dataCentre]);
  for (const entry of ordered) {
    if (chosen.length < DEPUTY_COUNT && !used.has(entry.dataCentre)) {
      chosen.push(entry);
      used.add(entry.dataCentre);
    }
  }
  const ownLast = [...ordered].sort(
    (a, b) =>
      Number(b.dataCentre === owner.dataCentre) -
      Number(a.dataCentre === owner.dataCentre),
  );
  for (const entry of ownLast) {
    if (chosen.length < DEPUTY_COUNT && !chosen.includes(entry)) {
      chosen.push(entry);
    }
  }
  return chosen;
}
