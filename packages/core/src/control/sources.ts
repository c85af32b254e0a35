/** Whom a host asks for the platform's objects. */

import {RELAY_COUNT} from './constants.js';
import {
  listAvailableHosts,
  listPreferredRelays,
  listRelays,
} from './membership.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {HostId, Instant} from '../model/ids.js';

/** Hosts that a host without a view asks. */
const MAX_FIRST_SOURCES = 8;

/**
 * Returns the hosts to ask: the relays of the data centre, and hosts of any
 * while this one has no view at all. The preferred relays are asked also while
 * they seem unreachable: two hosts that are each other's relays would else never
 * learn that they can reach each other again.
 */
export function listSources(
  board: Blackboard,
  now: Instant,
): readonly HostId[] {
  const {dataCentre} = board.self;
  const near = new Set([
    ...listRelays(board, dataCentre, RELAY_COUNT, now),
    ...listPreferredRelays(board, dataCentre, RELAY_COUNT),
  ]);
  if (board.view.freshAt !== null) {
    return [...near];
  }
  const others = listAvailableHosts(board, null, now);
  return [...new Set([...near, ...others])].slice(0, MAX_FIRST_SOURCES);
}

/**
 * Returns the hosts that a regular question goes to: half of them in turns, so
 * that each relay is asked half as often. A host always asks itself, which costs
 * no message.
 */
export function chooseInTurn(
  board: Blackboard,
  sources: readonly HostId[],
): readonly HostId[] {
  const others = sources.filter(host => host !== board.self.host);
  if (others.length < 2 || board.view.freshAt === null) {
    return sources;
  }
  const turn = board.relay.turns % 2;
  const asked = new Set(others.filter((_host, at) => at % 2 === turn));
  return sources.filter(host => host === board.self.host || asked.has(host));
}
