/** Choice of the hosts that a host syncs the platform's objects from. */

import {RELAY_COUNT} from './constants.js';
import {
  listAvailableHosts,
  listPreferredRelays,
  listRelays,
} from './membership.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {HostId, Instant} from '../model/ids.js';

/** Maximum number of hosts that a host without a view asks. */
const MAX_FIRST_SOURCES = 8;

/**
 * Returns the hosts to sync from: the relays of the data centre, and hosts of
 * any data centre while this host has no view. The preferred relays are included
 * even if marked unreachable. Otherwise two hosts that are each other's relays
 * would never learn that they can reach each other again.
 */
export function listSources(
  board: Blackboard,
  now: Instant,
): readonly HostId[] {
  const {dataCentre} = board.self;
  const relays = new Set([
    ...listRelays(board, dataCentre, RELAY_COUNT, now),
    ...listPreferredRelays(board, dataCentre, RELAY_COUNT),
  ]);
  if (board.view.freshAt !== null) {
    return [...relays];
  }
  const others = listAvailableHosts(board, null, now);
  return [...new Set([...relays, ...others])].slice(0, MAX_FIRST_SOURCES);
}

/**
 * Returns the hosts for a regular `sync` request: alternately one half of the
 * sources and the other, so that each relay gets half of the requests. A host
 * that is a source itself is always included, which costs no message.
 */
export function chooseRoundRobin(
  board: Blackboard,
  sources: readonly HostId[],
): readonly HostId[] {
  const others = sources.filter(host => host !== board.self.host);
  if (others.length < 2 || board.view.freshAt === null) {
    return sources;
  }
  const parity = board.relay.syncRounds % 2;
  const asked = new Set(others.filter((_host, at) => at % 2 === parity));
  return sources.filter(host => host === board.self.host || asked.has(host));
}
