/**
 * Host membership: the platform's host list, which lags, combined with what
 * this host and its relays observe.
 */

import {
  LAST_CONTACT_RESOLUTION_MS,
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

/** Returns whether a host is reachable as far as this host knows. */
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

/** Returns whether a host takes new work: listed, reachable and not draining. */
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

/**
 * Returns the hosts that take new work in a data centre, or in all of them for
 * null, in order of id.
 */
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

/** Returns the first `count` hosts in a data centre's rendezvous order. */
function takeRelays(
  dataCentre: DataCentreId,
  hosts: readonly HostId[],
  count: number,
): readonly HostId[] {
  return orderByRendezvous(`relay:${dataCentre}`, hosts).slice(0, count);
}

/** Returns the relays of a data centre in order of preference. */
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
 * Returns the hosts of a data centre that are its relays when all of its hosts
 * are reachable.
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
 * Returns the first host of a data centre, in the rendezvous order of a key,
 * that takes new work, or null. Orders are cached per key, so keys must come
 * from a bounded set such as endpoints or groups.
 */
export function chooseHostInDataCentre(
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
 * Returns the host that should own an endpoint: one of its data centre, or
 * else of the first data centre, in the endpoint's rendezvous order, that has
 * an available host.
 */
export function chooseOwner(
  board: Blackboard,
  endpoint: GroupEndpoint,
  now: Instant,
): HostId | null {
  const key = `owner:${endpoint.id}`;
  const localHost = chooseHostInDataCentre(
    board,
    endpoint.dataCentre,
    key,
    now,
  );
  if (localHost !== null) {
    return localHost;
  }
  const {dataCentres} = indexHosts(board.view.hosts);
  for (const dataCentre of dataCentres.orderFor(key)) {
    const host = chooseHostInDataCentre(board, dataCentre, key, now);
    if (host !== null) {
      return host;
    }
  }
  return null;
}

/**
 * Returns the host to send an endpoint's requests to: the registered owner
 * while it is reachable and not stopping, or else the host that should own it.
 */
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
 * Marks a host that refused work because it is stopping. It is sent no more
 * work, since requests in transit at its exit would have an unknown outcome.
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

/** Returns whether a message refuses work because its sender is stopping. */
function isStopRefusal(msg: PeerMessage): boolean {
  return (
    msg.type === 'ran' &&
    msg.outcome.type === 'not_run' &&
    msg.outcome.reason === 'draining'
  );
}

/** Marks a host as unreachable for UNREACHABLE_MS. */
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

/** Records contact with a host and marks it as reachable. */
function markContact(board: Blackboard, host: HostId, now: Instant): Change {
  const {lastContactAt, unreachableUntil} = board.membership;
  const wasUnreachable = unreachableUntil.has(host);
  const contactAt = lastContactAt.get(host) ?? -Infinity;
  if (!wasUnreachable && now - contactAt < LAST_CONTACT_RESOLUTION_MS) {
    return unchanged(board);
  }
  const next: Blackboard = {
    ...board,
    membership: {
      ...board.membership,
      lastContactAt: lastContactAt.set(host, now),
      unreachableUntil: unreachableUntil.delete(host),
    },
  };
  if (!wasUnreachable) {
    return unchanged(next);
  }
  return unchanged(
    next,
    {type: 'emit', event: {type: 'host_observed', host, isReachable: true}},
    {type: 'record', level: 'info', event: 'host_reachable', fields: {host}},
  );
}

/** Applies a relay's lists of silent and draining hosts of the data centre. */
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
    const contactAt = board.membership.lastContactAt.get(host) ?? -Infinity;
    if (host === board.self.host || now - contactAt < SYNC_INTERVAL_MS) {
      continue;
    }
    const change = markUnreachable(next, host, now);
    next = change.board;
    actions.push(...change.actions);
  }
  return {board: next, actions};
}

const handlePeerUp: Handler<'peer_up'> = (board, event, ctx) =>
  markContact(board, event.host, ctx.now);

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
  const next = isStopRefusal(msg) ? markStopping(board, host) : board;
  return markContact(next, host, ctx.now);
};

/** Tracks which hosts are reachable. */
export const membershipFeature: Feature = {
  name: 'membership',
  handlers: {
    peer_up: handlePeerUp,
    peer_down: handlePeerDown,
    peer_message: handlePeerMessage,
  },
};
