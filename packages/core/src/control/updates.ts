/**
 * Conditional updates of group objects. At most one update per group is in
 * progress at a time. An update with unknown result stays pending until the
 * object has a newer version, since it may still be applied.
 */

import {
  PLATFORM_TIMEOUT_MS,
  RELAY_COUNT,
  UPDATE_RETRY_MS,
} from './constants.js';
import {listRelays} from './membership.js';
import {chooseByRendezvous} from './rendezvous.js';
import {describePlatformCall} from './platform_calls.js';
import {applyChanges} from './view.js';
import {indexHosts} from './view_index.js';
import type {
  EndpointsSlice,
  FailoversSlice,
  PendingUpdate,
  UpdatePurpose,
} from './state.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {chain, unchanged} from '../engine/engine.js';
import type {Change, Context, Feature, Handler} from '../engine/engine.js';
import type {EventOf} from '../engine/event.js';
import type {GroupObject} from '../model/group.js';
import type {GroupId, HostId, Instant} from '../model/ids.js';
import type {ObjectChange} from '../model/message.js';

/** Replaces fields of the failovers slice. */
export function setFailovers(
  board: Blackboard,
  parts: Partial<FailoversSlice>,
): Blackboard {
  return {...board, failovers: {...board.failovers, ...parts}};
}

/** Replaces fields of the endpoints slice. */
export function setEndpoints(
  board: Blackboard,
  parts: Partial<EndpointsSlice>,
): Blackboard {
  return {...board, endpoints: {...board.endpoints, ...parts}};
}

/** Returns an id for an update attempt, unique across hosts and restarts. */
export function createAttemptId(board: Blackboard, ctx: Context): string {
  const salt = Math.floor(ctx.random() * Number.MAX_SAFE_INTEGER);
  return `${board.self.host}.${board.self.incarnation}.${salt.toString(36)}`;
}

/** Returns whether an update of a group may be sent now. */
export function canUpdateGroup(
  board: Blackboard,
  group: GroupId,
  now: Instant,
): boolean {
  const pending = board.failovers.pendingUpdates.get(group);
  return (
    pending === undefined || (!pending.isInFlight && now >= pending.deadline)
  );
}

/**
 * Sends a conditional update of a group. While an earlier update has an unknown
 * result, that one is sent again with the same base version instead, until the
 * view shows a newer version of the object.
 */
export function updateGroup(
  board: Blackboard,
  value: GroupObject,
  purpose: UpdatePurpose,
  attempt: string,
  ctx: Context,
): Change {
  const stored = board.view.groups.get(value.id);
  if (stored === undefined || !canUpdateGroup(board, value.id, ctx.now)) {
    return unchanged(board);
  }
  const unresolved = board.failovers.pendingUpdates.get(value.id);
  const update: PendingUpdate =
    unresolved === undefined
      ? {
          purpose,
          attempt,
          baseVersion: stored.version,
          value,
          mayBeApplied: false,
          isInFlight: true,
          deadline: ctx.now + PLATFORM_TIMEOUT_MS,
        }
      : {
          ...unresolved,
          isInFlight: true,
          deadline: ctx.now + PLATFORM_TIMEOUT_MS,
        };
  return sendUpdate(board, update);
}

/**
 * Cancels an update with unknown result by an update with the same base version
 * that changes nothing: only the first of the two to arrive is applied. A
 * registration is sent again instead, since the host that it names may promote
 * as soon as it is applied.
 */
export function cancelUpdate(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  const unresolved = board.failovers.pendingUpdates.get(group.id);
  if (unresolved === undefined || !canUpdateGroup(board, group.id, ctx.now)) {
    return unchanged(board);
  }
  const resent: PendingUpdate = {
    ...unresolved,
    isInFlight: true,
    deadline: ctx.now + PLATFORM_TIMEOUT_MS,
  };
  if (unresolved.purpose === 'register') {
    return sendUpdate(board, resent);
  }
  const attempt = createAttemptId(board, ctx);
  return sendUpdate(board, {
    ...resent,
    purpose: 'cancel',
    attempt,
    value: group,
  });
}

function sendUpdate(board: Blackboard, update: PendingUpdate): Change {
  const {purpose, attempt, baseVersion, value, deadline} = update;
  return unchanged(
    setFailovers(board, {
      pendingUpdates: board.failovers.pendingUpdates.set(value.id, update),
    }),
    {
      type: 'update_platform',
      key: `groups/${value.id}`,
      attempt,
      baseVersion,
      value,
      deadline,
    },
    describePlatformCall('update'),
    {
      type: 'record',
      level: 'info',
      event: 'group_update_sent',
      fields: {
        group: value.id,
        purpose,
        attempt,
        base_version: baseVersion,
      },
    },
  );
}

/**
 * Returns messages that announce a change to relays and owners before their
 * next read. One relay per data centre, chosen by group, forwards it.
 */
function announceGroup(
  board: Blackboard,
  change: ObjectChange,
  group: GroupObject,
  now: Instant,
): readonly Action[] {
  const hosts = new Set([...Object.values(group.owners), board.self.host]);
  const forwarders = new Set<HostId>();
  for (const dataCentre of indexHosts(board.view.hosts).byDataCentre.keys()) {
    const relays = listRelays(board, dataCentre, RELAY_COUNT, now);
    relays.forEach(host => hosts.add(host));
    // This host has already applied the change, so it would not forward it.
    const others = relays.filter(host => host !== board.self.host);
    const chosen = chooseByRendezvous(`forward:${group.id}`, others);
    forwarders.add(chosen ?? board.self.host);
  }
  return [...hosts].map(host => ({
    type: 'send',
    host,
    msg: {type: 'changed', changes: [change], forward: forwarders.has(host)},
  }));
}

function withoutPending(board: Blackboard, group: GroupId): Blackboard {
  return setFailovers(board, {
    pendingUpdates: board.failovers.pendingUpdates.delete(group),
  });
}

/** Records that the result of an update is unknown. */
function markUnresolved(
  board: Blackboard,
  pending: PendingUpdate,
  now: Instant,
): Blackboard {
  return setFailovers(board, {
    pendingUpdates: board.failovers.pendingUpdates.set(pending.value.id, {
      ...pending,
      mayBeApplied: true,
      isInFlight: false,
      deadline: now + UPDATE_RETRY_MS,
    }),
  });
}

type UpdatedEvent = EventOf<'platform_updated'>;

type ResultHandlers = Readonly<
  Record<
    UpdatedEvent['result']['type'],
    (
      board: Blackboard,
      pending: PendingUpdate,
      event: UpdatedEvent,
      ctx: Context,
    ) => Change
  >
>;

const RESULT_HANDLERS: ResultHandlers = {
  updated: (board, pending, event, ctx) => {
    const group = pending.value;
    const result = event.result;
    if (result.type !== 'updated') {
      return unchanged(board);
    }
    const change: ObjectChange = {
      key: event.key,
      version: result.version,
      revision: result.revision,
      value: group,
    };
    return chain(
      withoutPending(board, group.id),
      current =>
        unchanged(current, ...announceGroup(current, change, group, ctx.now)),
      current => applyChanges(current, [change], ctx.now),
    );
  },
  // The object has a newer version, possibly from an earlier attempt of this
  // update. The update stays pending until the view shows that version.
  conflict: (board, pending, _event, ctx) =>
    unchanged(markUnresolved(board, pending, ctx.now), {
      type: 'emit',
      event: {type: 'sync_wanted'},
    }),
  refused: (board, pending, _event, ctx) =>
    unchanged(
      pending.mayBeApplied
        ? markUnresolved(board, pending, ctx.now)
        : withoutPending(board, pending.value.id),
    ),
  unknown: (board, pending, _event, ctx) =>
    unchanged(markUnresolved(board, pending, ctx.now)),
};

const handleUpdated: Handler<'platform_updated'> = (board, event, ctx) => {
  const group = event.key.replace(/^groups\//, '');
  const pending = board.failovers.pendingUpdates.get(group);
  if (pending?.attempt !== event.attempt) {
    return unchanged(board);
  }
  const handle = RESULT_HANDLERS[event.result.type];
  const change = handle(board, pending, event, ctx);
  return {
    board: change.board,
    actions: [
      {
        type: 'record',
        level: 'info',
        event: 'group_update_ended',
        fields: {
          group,
          purpose: pending.purpose,
          attempt: pending.attempt,
          result: event.result.type,
        },
      },
      ...change.actions,
    ],
  };
};

/** Drops a pending update once the object is newer than its base version. */
const handleGroupChanged: Handler<'group_changed'> = (board, event) => {
  const pending = board.failovers.pendingUpdates.get(event.group);
  const stored = board.view.groups.get(event.group);
  if (pending === undefined || stored === undefined) {
    return unchanged(board);
  }
  return stored.version > pending.baseVersion
    ? unchanged(withoutPending(board, event.group))
    : unchanged(board);
};

/** Tracks updates of group objects. */
export const updatesFeature: Feature = {
  name: 'updates',
  handlers: {
    platform_updated: handleUpdated,
    group_changed: handleGroupChanged,
  },
};
