/**
 * Which hosts are there: the platform's lagging list, corrected by what this
 * host and its relays observe.
 */

import {
  LAST_HEARD_RESOLUTION_MS,
  SYNC_INTERVAL_MS,
  UNREACHABLE_MS,
} from './constants.js';
import {orderByRendezvous} from './rendezvous.js';
import {indexHosts} from './view_index.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Feature, Handler} from '../engine/engine.js';
import type {GroupEndpoint, GroupObject} from '../model/group.js';
import type {DataCentreId, HostId, Instant} from '../model/ids.js';
import type {PeerMessage} from '../model/message.js';

/** Tells whether a host answers, as far as is known. */
export function isReachable(
  board: Blackboard,
  host: HostId,
  now: Instant,
): boolean {
  if (host === board.self.host) {
    return true;
  }
  return now >= (board.membership.unreachableUntil.get(host) ?? -Infinity);
}

/** Tells whether a host takes new work: listed, reachable, not leaving. */
export function isAvailable(
  board: Blackboard,
  host: HostId,
  now: Instant,
): boolean {
  if (host === board.self.host) {
    return board.self.drainDeadline === null;
  }
  const listed = board.view.hosts.get(host)?.value;
  return (
    listed?.state === 'live' &&
    !board.membership.draining.has(host) &&
    !board.membership.stopping.has(host) &&
    isReachable(board, host, now)
  );
}

/** Returns the hosts of a data centre that take new work, in order of id. */
export function listAvailableHosts(
  board: Blackboard,
  dataCentre: DataCentreId | null,
  now: Instant,
): readonly HostId[] {
  const hosts = indexHosts(board.view.hosts);
  const listed =
    dataCentre === null ? hosts.all : hosts.byDataCentre.get(dataCentre);
  return (listed?.ids ?? []).filter(host => isAvailable(board, host, now));
}

/** Takes the first of some hosts in the order of a data centre's relays. */
function takeRelays(
  dataCentre: DataCentreId,
  hosts: readonly HostId[],
  count: number,
): readonly HostId[] {
  return orderByRendezvous(`relay:${dataCentre}`, hosts).slice(0, count);
}

/** Returns the relays of a data centre, the preferred one first. */
export function listRelays(
  board: Blackboard,
  dataCentre: DataCentreId,
  count: number,
  now: Instant,
): readonly HostId[] {
  const hosts = new Set(listAvailableHosts(board, dataCentre, now));
  if (dataCentre === board.self.dataCentre) {
    hosts.add(board.self.host);
  }
  return takeRelays(dataCentre, [...hosts], count);
}

/**
 * Returns the hosts of a data centre that would be its relays if all of them
 * could be reached.
 */
export function listPreferredRelays(
  board: Blackboard,
  dataCentre: DataCentreId,
  count: number,
): readonly HostId[] {
  const listed = indexHosts(board.view.hosts).byDataCentre.get(dataCentre);
  const live = (listed?.ids ?? []).filter(
    host => board.view.hosts.get(host)?.value?.state === 'live',
  );
  return takeRelays(dataCentre, live, count);
}

/**
 * Returns the host of a data centre that takes new work and comes first in the
 * order of a key. Orders are kept: keys name endpoints or groups.
 */
export function chooseNear(
  board: Blackboard,
  dataCentre: DataCentreId,
  key: string,
  now: Instant,
): HostId | null {
  const listed = indexHosts(board.view.hosts).byDataCentre.get(dataCentre);
  const order = listed?.orderFor(key) ?? [];
  return order.find(host => isAvailable(board, host, now)) ?? null;
}

/**
 * Returns the host that should own an endpoint: one of its data centre, or of
 * the next in the endpoint's order of data centres that has any left.
 */
export function chooseOwner(
  board: Blackboard,
  endpoint: GroupEndpoint,
  now: Instant,
): HostId | null {
  const key = `owner:${endpoint.id}`;
  const near = chooseNear(board, endpoint.dataCentre, key, now);
  if (near !== null) {
    return near;
  }
  const {places} = indexHosts(board.view.hosts);
  for (const place of places.orderFor(key)) {
    const host = chooseNear(board, place, key, now);
    if (host !== null) {
      return host;
    }
  }
  return null;
}

/** Returns the host to ask for an endpoint: the registered owner if it can. */
export function findOwner(
  board: Blackboard,
  group: GroupObject,
  endpoint: GroupEndpoint,
  now: Instant,
): HostId | null {
  const registered = group.owners[endpoint.id];
  if (
    registered !== undefined &&
    isReachable(board, registered, now) &&
    !board.membership.stopping.has(registered)
  ) {
    return registered;
  }
  return chooseOwner(board, endpoint, now);
}

/**
 * Notes that a host refused work because it stops. Nothing more is sent to it,
 * since what is on its way when it ends would be of unknown outcome.
 */
function markStopping(board: Blackboard, host: HostId): Blackboard {
  const {membership} = board;
  return {
    ...board,
    membership: {
      ...membership,
      stopping: membership.stopping.set(host, true),
    },
  };
}

/** Tells whether a message refuses work because its sender stops. */
function isStopRefusal(msg: PeerMessage): boolean {
  return (
    msg.type === 'ran' &&
    msg.outcome.type === 'not_run' &&
    msg.outcome.reason === 'draining'
  );
}

/** Marks a host as unreachable for a while. */
function markUnreachable(
  board: Blackboard,
  host: HostId,
  now: Instant,
): Change {
  const wasReachable = isReachable(board, host, now);
  const next: Blackboard = {
    ...board,
    membership: {
      ...board.membership,
      unreachableUntil: board.membership.unreachableUntil.set(
        host,
        now + UNREACHABLE_MS,
      ),
    },
  };
  if (!wasReachable) {
    return unchanged(next);
  }
  return unchanged(
    next,
    {type: 'emit', event: {type: 'host_observed', host, isReachable: false}},
    {type: 'record', level: 'warn', event: 'host_unreachable', fields: {host}},
  );
}

/** Notes a sign of life of a host. */
function markHeard(board: Blackboard, host: HostId, now: Instant): Change {
  const {lastHeard, unreachableUntil} = board.membership;
  const isKnownDown = unreachableUntil.has(host);
  const heardAt = lastHeard.get(host) ?? -Infinity;
  if (!isKnownDown && now - heardAt < LAST_HEARD_RESOLUTION_MS) {
    return unchanged(board);
  }
  const next: Blackboard = {
    ...board,
    membership: {
      ...board.membership,
      lastHeard: lastHeard.set(host, now),
      unreachableUntil: unreachableUntil.delete(host),
    },
  };
  if (!isKnownDown) {
    return unchanged(next);
  }
  return unchanged(
    next,
    {type: 'emit', event: {type: 'host_observed', host, isReachable: true}},
    {type: 'record', level: 'info', event: 'host_reachable', fields: {host}},
  );
}

/** Applies what a relay says of the hosts of the data centre. */
export function applyRelayObservations(
  board: Blackboard,
  silent: readonly HostId[],
  draining: readonly HostId[],
  now: Instant,
): Change {
  const known = board.membership.draining;
  const isSame =
    known.size === draining.length && draining.every(host => known.has(host));
  let next: Blackboard = isSame
    ? board
    : {
        ...board,
        membership: {
          ...board.membership,
          draining: known
            .clear()
            .withMutations(map =>
              draining.forEach(host => map.set(host, true)),
            ),
        },
      };
  const actions = [];
  for (const host of silent) {
    const heardAt = board.membership.lastHeard.get(host) ?? -Infinity;
    if (host === board.self.host || now - heardAt < SYNC_INTERVAL_MS) {
      continue;
    }
    const change = markUnreachable(next, host, now);
    next = change.board;
    actions.push(...change.actions);
  }
  return {board: next, actions};
}

const handlePeerUp: Handler<'peer_up'> = (board, event, ctx) =>
  markHeard(board, event.host, ctx.now);

const handlePeerDown: Handler<'peer_down'> = (board, event, ctx) => {
  const {membership} = board;
  const stopping = membership.stopping.delete(event.host);
  const next = {...board, membership: {...membership, stopping}};
  return markUnreachable(next, event.host, ctx.now);
};

const handlePeerMessage: Handler<'peer_message'> = (board, event, ctx) => {
  const {host, msg} = event;
  if (host === board.self.host) {
    return unchanged(board);
  }
  const noted = isStopRefusal(msg) ? markStopping(board, host) : board;
  return markHeard(noted, host, ctx.now);
};

/** Keeps track of which hosts are reachable. */
export const membershipFeature: Feature = {
  name: 'membership',
  handlers: {
    peer_up: handlePeerUp,
    peer_down: handlePeerDown,
    peer_message: handlePeerMessage,
  },
};
