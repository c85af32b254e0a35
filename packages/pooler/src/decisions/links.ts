/** Selects the hosts that a host keeps connections to. */

import {orderByRendezvous} from '@lacewingroad/core';
import type {HostId} from '@lacewingroad/core';
import {listMembers} from '../model/ownership.js';
import type {HostEntry, Ownership} from '../model/ownership.js';

/**
 * Minimum number of connections to remote hosts: enough to distinguish a
 * network partition from the failure of those hosts.
 */
const MIN_REMOTE_LINKS = 4;

/**
 * Returns the hosts in other data centres, or all others if there is only one.
 */
export function listRemoteHosts(
  self: HostEntry,
  hosts: readonly HostEntry[],
): readonly HostEntry[] {
  const others = hosts.filter(({host}) => host !== self.host);
  const remote = others.filter(
    ({dataCentre}) => dataCentre !== self.dataCentre,
  );
  return remote.length > 0 ? remote : others;
}

/**
 * Orders remote hosts by preference for the connections that detect a network
 * partition. Hashes every host: call it only when the list of hosts changes.
 */
export function orderRemoteHosts(
  self: HostEntry,
  remote: readonly HostEntry[],
): readonly HostId[] {
  return orderByRendezvous(
    self.host,
    remote.map(({host}) => host),
  );
}

/**
 * Chooses the hosts to keep connections to: all owners, which run statements;
 * the owner and deputies of each group that this host is a member of, for
 * promises and consents; and `candidates`. If fewer than MIN_REMOTE_LINKS of
 * these are remote, the first of `remoteHosts` are added. The number of
 * connections grows with the number of groups, not of hosts.
 */
export function chooseLinks(
  self: HostEntry,
  remoteHosts: readonly HostId[],
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
  const remoteCount = remoteHosts.filter(host => needed.has(host)).length;
  const missing = Math.max(0, MIN_REMOTE_LINKS - remoteCount);
  remoteHosts
    .filter(host => !needed.has(host))
    .slice(0, missing)
    .forEach(host => needed.add(host));
  needed.delete(self.host);
  return [...needed];
}
