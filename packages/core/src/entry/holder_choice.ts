/** Which hosts hold a named session, and how many of them make a proof. */

import {SESSION_HOLDERS, SESSION_MIN_HOLDERS} from './constants.js';
import {chooseByRendezvous, orderByRendezvous} from '../control/rendezvous.js';
import {indexHosts} from '../control/view_index.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {HostId, SessionId} from '../model/ids.js';

/**
 * Returns the holders of a session: one host in each of the data centres that
 * come first, or two hosts where there is one data centre. They come from the
 * platform's list alone: hosts that reach different hosts must agree, or a
 * write would be stored with some and looked for with others.
 */
export function chooseHolders(
  board: Blackboard,
  session: SessionId,
): readonly HostId[] {
  const key = `session:${session}`;
  const {live} = indexHosts(board.view.hosts);
  const places = orderByRendezvous(key, [...live.keys()])
    .slice(0, SESSION_HOLDERS)
    .map(place => live.get(place) ?? []);
  const [first] = places;
  if (first !== undefined && places.length === 1) {
    return orderByRendezvous(key, first).slice(0, SESSION_MIN_HOLDERS);
  }
  return places
    .map(hosts => chooseByRendezvous(key, hosts))
    .filter(host => host !== null);
}

/** Returns how many of some holders must tell what they hold to prove a read. */
export function countForRead(holders: number): number {
  return Math.max(SESSION_MIN_HOLDERS, Math.floor(holders / 2) + 1);
}

/** Returns how many must have a position, so that every proof includes one. */
export function countForWrite(holders: number): number {
  return Math.max(1, holders + 1 - countForRead(holders));
}
