/** Which hosts a host keeps connections to. */

import {orderByRendezvous} from '@lacewingroad/core';
import type {HostId} from '@lacewingroad/core';
import {listMembers} from '../model/ownership.js';
import type {HostEntry, Ownership} from '../model/ownership.js';

/** Connections to far hosts at least: enough to tell a cut from their loss. */
const FAR_LINKS = 4;

/** Returns the hosts of other data centres, or all others where there is one. */
export function listFarHosts(
  self: HostEntry,
  hosts: readonly HostEntry[],
): readonly HostEntry[] {
  const others = hosts.filter(({host}) => host !== self.host);
  const far = others.filter(({dataCentre}) => dataCentre !== self.dataCentre);
  return far.length > 0 ? far : others;
}

/**
 * Orders the far hosts, for those whose silence tells a cut from the loss of
 * one host. Costs a hash of each: call it when the list of hosts changes.
 */
export function orderWitnesses(
  self: HostEntry,
  far: readonly HostEntry[],
): readonly HostId[] {
  return orderByRendezvous(
    self.host,
    far.map(({host}) => host),
  );
}

/**
 * Chooses the hosts to keep connections to: owners, since statements go there;
 * for groups that this host owns or stands in for, their deputies, who promise
 * and consent; and `candidates` for its groups. Where few of these are far away,
 * witnesses fill up. Their number grows with the groups, not with the hosts.
 */
export function chooseLinks(
  self: HostEntry,
  witnesses: readonly HostId[],
  candidates: readonly HostId[],
  ownerships: readonly Ownership[],
): readonly HostId[] {
  const needed = new Set(candidates);
  for (const ownership of ownerships) {
    const members = listMembers(ownership).map(({host}) => host);
    needed.add(ownership.owner.host);
    if (members.includes(self.host)) {
      members.forEach(host => needed.add(host));
    }
  }
  const known = witnesses.filter(host => needed.has(host)).length;
  const missing = Math.max(0, FAR_LINKS - known);
  witnesses
    .filter(host => !needed.has(host))
    .slice(0, missing)
    .forEach(host => needed.add(host));
  needed.delete(self.host);
  return [...needed];
}
