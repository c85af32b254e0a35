/** Registration of endpoint owners in the group object. */

import {REGISTER_INTERVAL_MS, STALE_VIEW_MS} from './constants.js';
import {isWriteOwner} from './control_status.js';
import {isAvailable} from './membership.js';
import {
  canUpdateGroup,
  createAttemptId,
  setEndpoints,
  updateGroup,
} from './updates.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Context} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';
import type {EndpointId, HostId, Instant} from '../model/ids.js';

/** Registers a host as owner of an endpoint by a conditional update. */
export function registerOwner(
  board: Blackboard,
  group: GroupObject,
  endpoint: EndpointId,
  host: HostId,
  ctx: Context,
): Change {
  if (group.fence !== null || !canUpdateGroup(board, group.id, ctx.now)) {
    return unchanged(board);
  }
  const value: GroupObject = {
    ...group,
    owners: {...group.owners, [endpoint]: host},
  };
  return updateGroup(
    board,
    value,
    'register',
    createAttemptId(board, ctx),
    ctx,
  );
}

/** Asks the write owner to register this host as owner of an endpoint. */
function askForRegistration(
  board: Blackboard,
  group: GroupObject,
  endpoint: EndpointId,
): Change {
  const writer = group.owners[group.primary];
  if (writer === undefined) {
    return unchanged(board);
  }
  return unchanged(board, {
    type: 'send',
    host: writer,
    msg: {type: 'register', group: group.id, endpoint},
  });
}

function mayRegister(
  board: Blackboard,
  endpoint: EndpointId,
  now: Instant,
): boolean {
  const at = board.endpoints.nextRegistrationAt.get(endpoint) ?? -Infinity;
  return now >= at && board.view.freshAt !== null;
}

function delayNextRegistration(
  board: Blackboard,
  endpoint: EndpointId,
  now: Instant,
): Blackboard {
  const {nextRegistrationAt} = board.endpoints;
  return setEndpoints(board, {
    nextRegistrationAt: nextRegistrationAt.set(
      endpoint,
      now + REGISTER_INTERVAL_MS,
    ),
  });
}

/**
 * Registers this host as owner of an endpoint. Only the registration of a
 * primary without an available owner is updated directly; others are requested
 * from the write owner.
 */
export function register(
  board: Blackboard,
  group: GroupObject,
  endpoint: EndpointId,
  ctx: Context,
): Change {
  if (!mayRegister(board, endpoint, ctx.now)) {
    return unchanged(board);
  }
  const next = delayNextRegistration(board, endpoint, ctx.now);
  const writer = group.owners[group.primary];
  const isVacant = writer === undefined || !isAvailable(board, writer, ctx.now);
  return endpoint === group.primary && isVacant
    ? registerOwner(next, group, endpoint, board.self.host, ctx)
    : askForRegistration(next, group, endpoint);
}

/**
 * Returns whether this host is stopping as write owner and should register its
 * successor. Hosts of other data centres do not know that it is stopping. While
 * the platform is unavailable, no host could be registered.
 */
export function shouldHandOver(
  board: Blackboard,
  group: GroupObject,
  endpoint: EndpointId,
  now: Instant,
): boolean {
  const {self, view, failovers} = board;
  return (
    self.drainDeadline !== null &&
    endpoint === group.primary &&
    isWriteOwner(board, group) &&
    !failovers.planned.has(group.id) &&
    now - (view.freshAt ?? -Infinity) <= STALE_VIEW_MS
  );
}

/** Registers the chosen host as owner of the primary in place of this host. */
export function handOver(
  board: Blackboard,
  group: GroupObject,
  chosen: HostId | null,
  ctx: Context,
): Change {
  const {primary} = group;
  if (chosen === null || !mayRegister(board, primary, ctx.now)) {
    return unchanged(board);
  }
  const next = delayNextRegistration(board, primary, ctx.now);
  return registerOwner(next, group, primary, chosen, ctx);
}
