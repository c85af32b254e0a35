/**
 * Ownership of endpoint pools. The registered owner of an endpoint owns its pool
 * while it is available. Otherwise the first host in rendezvous order serves the
 * pool and registers itself. A write owner registers itself, and its successor
 * when it stops. It also registers the owners of replicas, so that it always
 * knows which hosts may promote one.
 */

import {OWNERSHIP_INTERVAL_MS, REBALANCE_AFTER_MS} from './constants.js';
import {isConfirmedWriter} from './confirmation.js';
import {readGroup} from './control_status.js';
import {chooseOwner, isAvailable} from './membership.js';
import {
  handOver,
  register,
  registerOwner,
  shouldHandOver,
} from './registration.js';
import {setEndpoints} from './updates.js';
import {indexEndpoints, indexHosts} from './view_index.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {chain, unchanged} from '../engine/engine.js';
import type {Change, Context, Feature, Handler} from '../engine/engine.js';
import {findEndpoint} from '../model/group.js';
import type {GroupEndpoint, GroupObject} from '../model/group.js';
import type {EndpointId, GroupId, HostId, Instant} from '../model/ids.js';

/** Returns whether this host should serve an endpoint's pool. */
function shouldOwn(
  board: Blackboard,
  group: GroupObject,
  endpoint: GroupEndpoint,
  chosen: HostId | null,
  now: Instant,
): boolean {
  const registered = group.owners[endpoint.id];
  if (registered === board.self.host) {
    return true;
  }
  if (registered !== undefined && isAvailable(board, registered, now)) {
    return false;
  }
  return chosen === board.self.host;
}

function setOwned(
  board: Blackboard,
  group: GroupObject,
  endpoint: EndpointId,
  isOwner: boolean,
): Change {
  const wasOwner = board.endpoints.owned.has(endpoint);
  if (wasOwner === isOwner) {
    return unchanged(board);
  }
  const owned = isOwner
    ? board.endpoints.owned.set(endpoint, group.id)
    : board.endpoints.owned.delete(endpoint);
  return unchanged(
    setEndpoints(board, {owned}),
    {type: 'emit', event: {type: 'ownership_changed', endpoint, isOwner}},
    {
      type: 'record',
      level: 'info',
      event: isOwner ? 'pool_owned' : 'pool_given_up',
      fields: {group: group.id, endpoint},
    },
  );
}

/** Returns whether this host should take over the registration now. */
function shouldRegister(
  board: Blackboard,
  group: GroupObject,
  endpoint: GroupEndpoint,
  chosen: HostId | null,
  now: Instant,
): boolean {
  const registered = group.owners[endpoint.id];
  const isChosen = chosen === board.self.host;
  if (registered === board.self.host || !isChosen) {
    return false;
  }
  if (registered === undefined || !isAvailable(board, registered, now)) {
    return true;
  }
  const betterSince = board.endpoints.betterSince.get(endpoint.id);
  return betterSince !== undefined && now - betterSince >= REBALANCE_AFTER_MS;
}

/** Tracks since when this host is a better owner than the registered one. */
function trackBetterOwner(
  board: Blackboard,
  group: GroupObject,
  endpoint: GroupEndpoint,
  chosen: HostId | null,
  now: Instant,
): Blackboard {
  const {betterSince} = board.endpoints;
  const registered = group.owners[endpoint.id];
  const isBetter = chosen === board.self.host && registered !== board.self.host;
  if (isBetter === betterSince.has(endpoint.id)) {
    return board;
  }
  return setEndpoints(board, {
    betterSince: isBetter
      ? betterSince.set(endpoint.id, now)
      : betterSince.delete(endpoint.id),
  });
}

function reviewEndpoint(
  board: Blackboard,
  group: GroupObject,
  endpoint: GroupEndpoint,
  ctx: Context,
): Change {
  const chosen = chooseOwner(board, endpoint, ctx.now);
  const next = trackBetterOwner(board, group, endpoint, chosen, ctx.now);
  const isOwner = shouldOwn(next, group, endpoint, chosen, ctx.now);
  return chain(
    next,
    current => setOwned(current, group, endpoint.id, isOwner),
    current =>
      shouldRegister(current, group, endpoint, chosen, ctx.now)
        ? register(current, group, endpoint.id, ctx)
        : unchanged(current),
    current =>
      shouldHandOver(current, group, endpoint.id, ctx.now)
        ? handOver(current, group, chosen, ctx)
        : unchanged(current),
  );
}

/** Returns whether this host owns an endpoint or may become its owner. */
function isRelevantEndpoint(
  board: Blackboard,
  group: GroupObject,
  endpoint: GroupEndpoint,
): boolean {
  return (
    endpoint.dataCentre === board.self.dataCentre ||
    group.owners[endpoint.id] === board.self.host ||
    board.endpoints.owned.has(endpoint.id) ||
    !indexHosts(board.view.hosts).byDataCentre.has(endpoint.dataCentre)
  );
}

function reviewGroup(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  const steps = group.endpoints
    .filter(endpoint => isRelevantEndpoint(board, group, endpoint))
    .map(
      endpoint => (current: Blackboard) =>
        reviewEndpoint(current, group, endpoint, ctx),
    );
  return chain(board, ...steps);
}

/** Returns the groups with an endpoint that this host owns or may own. */
function listRelevantGroups(board: Blackboard): ReadonlySet<GroupId> {
  const {byDataCentre, byOwner} = indexEndpoints(board.view.groups);
  const hostsByDataCentre = indexHosts(board.view.hosts).byDataCentre;
  const relevant = new Set<GroupId>(board.endpoints.owned.values());
  byOwner.get(board.self.host)?.forEach(group => relevant.add(group));
  for (const [dataCentre, endpoints] of byDataCentre) {
    const isLocal = dataCentre === board.self.dataCentre;
    if (isLocal || !hostsByDataCentre.has(dataCentre)) {
      endpoints.forEach(({group}) => relevant.add(group));
    }
  }
  return relevant;
}

function reviewAll(board: Blackboard, ctx: Context): Change {
  const steps = [...listRelevantGroups(board)]
    .map(id => readGroup(board, id))
    .filter(group => group !== null)
    .map(group => (current: Blackboard) => reviewGroup(current, group, ctx));
  return chain(board, ...steps);
}

const handleStarted: Handler<'started'> = (board, _event, ctx) =>
  unchanged(board, {
    type: 'set_timer',
    at: ctx.now + OWNERSHIP_INTERVAL_MS,
    timer: {name: 'ownership'},
  });

const handleTimer: Handler<'timer'> = (board, event, ctx) => {
  if (event.timer.name !== 'ownership' || board.self.isDrained) {
    return unchanged(board);
  }
  const change = reviewAll(board, ctx);
  const timer: Action = {
    type: 'set_timer',
    at: ctx.now + OWNERSHIP_INTERVAL_MS,
    timer: {name: 'ownership'},
  };
  return {board: change.board, actions: [...change.actions, timer]};
};

const handleGroupChanged: Handler<'group_changed'> = (board, event, ctx) => {
  const group = readGroup(board, event.group);
  return group === null ? unchanged(board) : reviewGroup(board, group, ctx);
};

const handleHostObserved = (
  board: Blackboard,
  _event: unknown,
  ctx: Context,
): Change => reviewAll(board, ctx);

/** Registers the sender as owner unless a planned change is in progress. */
const handlePeerMessage: Handler<'peer_message'> = (board, event, ctx) => {
  const {msg, host} = event;
  if (msg.type !== 'register') {
    return unchanged(board);
  }
  const group = readGroup(board, msg.group);
  if (
    group === null ||
    board.failovers.planned.has(group.id) ||
    findEndpoint(group, msg.endpoint) === null ||
    !isConfirmedWriter(board, group, ctx.now)
  ) {
    return unchanged(board);
  }
  return registerOwner(board, group, msg.endpoint, host, ctx);
};

/** Decides which endpoint pools this host owns. */
export const ownershipFeature: Feature = {
  name: 'ownership',
  handlers: {
    started: handleStarted,
    timer: handleTimer,
    group_changed: handleGroupChanged,
    host_observed: handleHostObserved,
    drain: handleHostObserved,
    peer_message: handlePeerMessage,
  },
};
