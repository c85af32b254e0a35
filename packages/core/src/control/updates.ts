/**
 * Conditional updates of group objects. One update per group is in progress at
 * a time; one whose answer was lost stays noted until the object has moved on,
 * since it may still take effect.
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

/** Replaces parts of the failovers slice. */
export function setFailovers(
  board: Blackboard,
  parts: Partial<FailoversSlice>,
): Blackboard {
  return {...board, failovers: {...board.failovers, ...parts}};
}

/** Replaces parts of the endpoints slice. */
export function setEndpoints(
  board: Blackboard,
  parts: Partial<EndpointsSlice>,
): Blackboard {
  return {...board, endpoints: {...board.endpoints, ...parts}};
}

/** Returns a name for an attempt, unique over hosts and restarts. */
export function createAttemptId(board: Blackboard, ctx: Context): string {
  const salt = Math.floor(ctx.random() * Number.MAX_SAFE_INTEGER);
  return `${board.self.host}.${board.self.incarnation}.${salt.toString(36)}`;
}

/** Tells whether an update of a group may begin now. */
export function canUpdateGroup(
  board: Blackboard,
  group: GroupId,
  now: Instant,
): boolean {
  const pending = board.failovers.pending.get(group);
  return (
    pending === undefined || (!pending.isInFlight && now >= pending.deadline)
  );
}

/**
 * Sends a conditional update of a group. After a lost answer the same update
 * is sent again from the same version, whatever is asked for now, until the
 * object is seen to have moved on.
 */
export function updateGroup(
  board: Blackboard,
  value: GroupObject,
  purpose: UpdatePurpose,
  attempt: string,
  ctx: Context,
): Change {
  const standing = board.view.groups.get(value.id);
  if (standing === undefined || !canUpdateGroup(board, value.id, ctx.now)) {
    return unchanged(board);
  }
  const unresolved = board.failovers.pending.get(value.id);
  const update: PendingUpdate =
    unresolved === undefined
      ? {
          purpose,
          attempt,
          baseVersion: standing.version,
          value,
          mayHaveLanded: false,
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
 * Cancels an update whose answer was lost, by an update from the same version
 * that changes nothing: whichever of the two comes first refuses the other. A
 * registration is sent again instead, as it names a host that may promote from
 * the moment it takes effect.
 */
export function cancelUpdate(
  board: Blackboard,
  group: GroupObject,
  ctx: Context,
): Change {
  const unresolved = board.failovers.pending.get(group.id);
  if (unresolved === undefined || !canUpdateGroup(board, group.id, ctx.now)) {
    return unchanged(board);
  }
  const again: PendingUpdate = {
    ...unresolved,
    isInFlight: true,
    deadline: ctx.now + PLATFORM_TIMEOUT_MS,
  };
  if (unresolved.purpose === 'register') {
    return sendUpdate(board, again);
  }
  const attempt = createAttemptId(board, ctx);
  return sendUpdate(board, {
    ...again,
    purpose: 'cancel',
    attempt,
    value: group,
  });
}

function sendUpdate(board: Blackboard, update: PendingUpdate): Change {
  const {purpose, attempt, baseVersion, value, deadline} = update;
  return unchanged(
    setFailovers(board, {
      pending: board.failovers.pending.set(value.id, update),
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
 * Tells relays and promoters of a change at once, ahead of their reading. One
 * relay of each data centre passes it on, another one for another group.
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
    // This host knows the change already and has nothing to pass on.
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
    pending: board.failovers.pending.delete(group),
  });
}

/** Notes that an update may have taken effect, or still may. */
function markUnresolved(
  board: Blackboard,
  pending: PendingUpdate,
  now: Instant,
): Blackboard {
  return setFailovers(board, {
    pending: board.failovers.pending.set(pending.value.id, {
      ...pending,
      mayHaveLanded: true,
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
  // The object has moved on, perhaps by this very update; until the view
  // shows how, the update stays noted.
  conflict: (board, pending, _event, ctx) =>
    unchanged(markUnresolved(board, pending, ctx.now), {
      type: 'emit',
      event: {type: 'sync_wanted'},
    }),
  refused: (board, pending, _event, ctx) =>
    unchanged(
      pending.mayHaveLanded
        ? markUnresolved(board, pending, ctx.now)
        : withoutPending(board, pending.value.id),
    ),
  unknown: (board, pending, _event, ctx) =>
    unchanged(markUnresolved(board, pending, ctx.now)),
};

const handleUpdated: Handler<'platform_updated'> = (board, event, ctx) => {
  const group = event.key.replace(/^groups\//, '');
  const pending = board.failovers.pending.get(group);
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

/** Forgets an update once the object has moved past its base version. */
const handleGroupChanged: Handler<'group_changed'> = (board, event) => {
  const pending = board.failovers.pending.get(event.group);
  const standing = board.view.groups.get(event.group);
  if (pending === undefined || standing === undefined) {
    return unchanged(board);
  }
  return standing.version > pending.baseVersion
    ? unchanged(withoutPending(board, event.group))
    : unchanged(board);
};

/** Keeps track of updates of group objects. */
export const updatesFeature: Feature = {
  name: 'updates',
  handlers: {
    platform_updated: handleUpdated,
    group_changed: handleGroupChanged,
  },
};
