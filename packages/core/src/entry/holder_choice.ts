/** Chooses the holders of a named session, and their quorums. */

import {SESSION_HOLDERS, SESSION_MIN_HOLDERS} from './constants.js';
import {chooseByRendezvous, orderByRendezvous} from '../control/rendezvous.js';
import {indexHosts} from '../control/view_index.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {HostId, SessionId} from '../model/ids.js';

/**
 * Returns the holders of a session by rendezvous hashing: one host in each of
 * up to three data centres, or two hosts if there is only one data centre. The
 * choice depends only on the platform's list, not on reachability: otherwise
 * hosts could disagree, so that a write is stored with some holders and looked
 * up at others.
 */
export function chooseHolders(
  board: Blackboard,
  session: SessionId,
): readonly HostId[] {
  const key = `session:${session}`;
  const {live} = indexHosts(board.view.hosts);
  const hostsByDataCentre = orderByRendezvous(key, [...live.keys()])
    .slice(0, SESSION_HOLDERS)
    .map(dataCentre => live.get(dataCentre) ?? []);
  const [first] = hostsByDataCentre;
  if (first !== undefined && hostsByDataCentre.length === 1) {
    return orderByRendezvous(key, first).slice(0, SESSION_MIN_HOLDERS);
  }
  return hostsByDataCentre
    .map(hosts => chooseByRendezvous(key, hosts))
    .filter(host => host !== null);
}

/** Returns how many holders must answer to prove the positions for a read. */
export function getReadQuorum(holders: number): number {
  return Math.max(SESSION_MIN_HOLDERS, Math.floor(holders / 2) + 1);
}

/** Returns how many holders must store a position to meet every read quorum. */
export function getWriteQuorum(holders: number): number {
  return Math.max(1, holders + 1 - getReadQuorum(holders));
}
