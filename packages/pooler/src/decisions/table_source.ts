/**
 * Where a host learns of changes to the routing table. In a fleet of hundreds
 * of hosts, a watch of the store by each of them uses up the store's call rate.
 * In a large data centre, two relays therefore watch the table, and the other
 * hosts ask the relays. A host without recent proof that its table is current
 * watches the store itself.
 */

import {orderByRendezvous} from '@lacewingroad/core';
import type {HostId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import type {HostEntry} from '../model/ownership.js';

/** Relays that each host asks: one may fail without a gap. */
const RELAY_COUNT = 2;
/** Size from which a data centre has relays; a smaller one saves no calls. */
const MIN_HOSTS_FOR_RELAYS = 6;
/**
 * Age of a relay's proof from which a host watches the store itself, in ms. It
 * leaves a second of the three in which a changed table must be in force.
 */
export const MAX_PROOF_AGE_MS = 2_000;
/** Time for which a host remains a relay after a request, in ms. */
export const RELAY_LINGER_MS = 3_000;

/**
 * Where a host learns of changes:
 * - `watch`: a watch of the store, in a data centre without relays;
 * - `relay_watch`: a watch with short waits, so that its age proves the table
 *   to be current; of a relay, or of a host that relays leave without proof;
 * - `relays`: only the relays.
 */
export type TableSource = 'watch' | 'relay_watch' | 'relays';

/** What a host knows when it chooses its source. */
export interface TableSourceState {
  readonly self: HostId;
  /** Reachable relays; empty in a data centre without relays. */
  readonly relays: readonly HostId[];
  /** When another host last asked this one for its table. */
  readonly askedAt: Instant;
  /** When the table was last current, as proved by a relay. */
  readonly provenAt: Instant;
}

/** Returns the hosts of a data centre in the order in which they are relays. */
export function orderRelays(
  self: HostEntry,
  hosts: readonly HostEntry[],
): readonly HostId[] {
  const near = hosts.filter(({dataCentre}) => dataCentre === self.dataCentre);
  return near.length < MIN_HOSTS_FOR_RELAYS
    ? []
    : orderByRendezvous(
        self.dataCentre,
        near.map(({host}) => host),
      );
}

/** How well a host is known to be reachable. */
export type Reachability = 'linked' | 'untried' | 'unreachable';

/** Relays of a host. */
export interface RelayChoice {
  /** Reachable relays, which are asked for the table. */
  readonly linked: readonly HostId[];
  /** Relays that come before these, but to which there is no link yet. */
  readonly untried: readonly HostId[];
}

/**
 * Chooses the first reachable hosts of the order. Hosts that come before them
 * are tried again beside them, so that a lost relay causes no gap.
 */
export function chooseRelays(
  ordered: readonly HostId[],
  readReachability: (host: HostId) => Reachability,
): RelayChoice {
  const linked: HostId[] = [];
  const untried: HostId[] = [];
  for (const host of ordered) {
    if (linked.length === RELAY_COUNT) {
      break;
    }
    const reachability = readReachability(host);
    if (reachability === 'linked') {
      linked.push(host);
    } else if (reachability === 'untried' && untried.length < RELAY_COUNT) {
      untried.push(host);
    }
  }
  return {linked, untried};
}

/** Returns where a host should learn of changes from now on. */
export function chooseTableSource(
  {self, relays, askedAt, provenAt}: TableSourceState,
  now: Instant,
): TableSource {
  if (relays.length === 0) {
    return 'watch';
  }
  const isRelay = relays.includes(self) || now - askedAt < RELAY_LINGER_MS;
  const isProven = now - provenAt < MAX_PROOF_AGE_MS;
  return isProven && !isRelay ? 'relays' : 'relay_watch';
}
