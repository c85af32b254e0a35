/**
 * Aligns the role of each owned endpoint with its group object: the named
 * primary is promoted, and every other endpoint follows it.
 */

import {
  COMMAND_RETRY_MS,
  COMMAND_SETTLE_MS,
  COMMAND_TIMEOUT_MS,
} from './constants.js';
import {readEndpointView, readOwnedEndpoint} from './control_status.js';
import {setEndpointView} from './probes.js';
import type {SentCommand} from './state.js';
import type {EndpointCommand} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Feature, Handler} from '../engine/engine.js';
import type {EndpointStatus, EventOf} from '../engine/event.js';
import {findEndpoint} from '../model/group.js';
import type {GroupObject} from '../model/group.js';
import type {EndpointId, Instant} from '../model/ids.js';

/** Returns the index of the last entry before a group's current term. */
function getStartIndex(group: GroupObject): number {
  return group.starts.find(start => start.term === group.term)?.index ?? 0;
}

function chooseCommand(
  group: GroupObject,
  endpoint: EndpointId,
  status: EndpointStatus,
): EndpointCommand | null {
  const {term, primary} = group;
  const startIndex = getStartIndex(group);
  if (status.position.term > term) {
    return null;
  }
  const isCurrentTerm = status.position.term === term;
  if (endpoint === primary) {
    return status.role === 'primary' && isCurrentTerm
      ? null
      : {type: 'promote', term, startIndex};
  }
  if (
    status.role === 'replica' &&
    isCurrentTerm &&
    status.follows === primary
  ) {
    return null;
  }
  const source = findEndpoint(group, primary);
  return source === null
    ? null
    : {
        type: 'follow',
        primary,
        address: source.address,
        port: source.port,
        term,
        startIndex,
      };
}

function reviewRole(
  board: Blackboard,
  endpoint: EndpointId,
  now: Instant,
): Change {
  const owned = readOwnedEndpoint(board, endpoint);
  const {
    status,
    command: last,
    failingSince,
  } = readEndpointView(board, endpoint);
  if (owned === null || status === null || failingSince !== null) {
    return unchanged(board);
  }
  if (last?.term === owned.group.term && now < last.retryAt) {
    return unchanged(board);
  }
  const command = chooseCommand(owned.group, endpoint, status);
  if (command === null) {
    return unchanged(board);
  }
  const deadline = now + COMMAND_TIMEOUT_MS;
  return unchanged(
    setEndpointView(board, endpoint, {
      command: {term: command.term, retryAt: deadline},
    }),
    {
      type: 'command_endpoint',
      endpoint,
      address: owned.endpoint.address,
      port: owned.endpoint.port,
      command,
      deadline,
    },
    {
      type: 'record',
      level: 'info',
      event: 'endpoint_command_sent',
      fields: {
        group: owned.group.id,
        endpoint,
        command: command.type,
        term: command.term,
      },
    },
  );
}

const handleObserved: Handler<'endpoint_observed'> = (board, event, ctx) =>
  reviewRole(board, event.endpoint, ctx.now);

const handleGroupChanged: Handler<'group_changed'> = (board, event, ctx) => {
  const owned = [...board.endpoints.owned.entries()]
    .filter(([, group]) => group === event.group)
    .map(([endpoint]) => endpoint);
  let next = board;
  const actions = [];
  for (const endpoint of owned) {
    const change = reviewRole(next, endpoint, ctx.now);
    next = change.board;
    actions.push(...change.actions);
  }
  return {board: next, actions};
};

/** Returns the last command with the instant from which another may be sent. */
function planRetry(
  board: Blackboard,
  event: EventOf<'endpoint_commanded'>,
  now: Instant,
): SentCommand | null {
  const {command} = readEndpointView(board, event.endpoint);
  const waitMs = event.ok ? COMMAND_SETTLE_MS : COMMAND_RETRY_MS;
  return command === null ? null : {...command, retryAt: now + waitMs};
}

const handleCommanded: Handler<'endpoint_commanded'> = (board, event, ctx) =>
  unchanged(
    setEndpointView(board, event.endpoint, {
      command: planRetry(board, event, ctx.now),
    }),
    {
      type: 'record',
      level: event.ok ? 'info' : 'warn',
      event: 'endpoint_command_ended',
      fields: {
        endpoint: event.endpoint,
        ok: event.ok,
        detail: event.detail,
      },
    },
    {type: 'emit', event: {type: 'probe_wanted', endpoint: event.endpoint}},
  );

/** Keeps the roles of owned endpoints in line with their group objects. */
export const rolesFeature: Feature = {
  name: 'roles',
  handlers: {
    endpoint_observed: handleObserved,
    group_changed: handleGroupChanged,
    endpoint_commanded: handleCommanded,
  },
};
