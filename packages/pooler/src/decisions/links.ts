/** Which hosts a host keeps connections to. */

import {orderByRendezvous} from '@lacewingroad/core';
import type {HostId} from '@lacewingroad/core';
import type {HostEntry, Ownership} from '../model/ownership.js';

/** Hosts beside owners and deputies: enough to tell a cut from their loss. */
const WITNESS_COUNT = 4;

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
 * Chooses a few of the far hosts, whose silence tells a cut from the loss of
 * one host. Costs a hash of each: call it when the list of hosts changes.
 */
export function chooseWitnesses(
  self: HostEntry,
  far: readonly HostEntry[],
): readonly HostId[] {
  return orderByRendezvous(
    self.host,
    far.map(({host}) => host),
  ).slice(0, WITNESS_COUNT);
}

/**
 * Chooses the hosts to keep connections to: owners, since statements go there,
 * the deputies of groups that this host owns, its witnesses, and `candidates`
 * for its groups. Their number grows with the groups, not with the hosts.
 */
export function chooseLinks(
  self: HostEntry,
  witnesses: readonly HostId[],
  candidates: readonly HostId[],
  ownerships: readonly Ownership[],
): readonly HostId[] {
  const needed = ownerships.flatMap(({owner, deputies}) =>
    owner.host === self.host ? deputies.map(({host}) => host) : [owner.host],
  );
  return [...new Set([...needed, ...witnesses, ...candidates])].filter(
    host => host !== self.host,
  );
}
