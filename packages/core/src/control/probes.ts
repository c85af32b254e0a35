/**
 * Probes: the owner of an endpoint queries its status. The owners of replicas
 * also probe the primary, so that several data centres observe it.
 */

import {
  LAGGING_REPLICA_MS,
  PRIMARY_PROBE_INTERVAL_MS,
  PROBE_INTERVAL_MS,
  PROBE_TIMEOUT_MS,
  REPLICA_PROBE_INTERVAL_MS,
} from './constants.js';
import {
  readEndpointView,
  readGroup,
  readOwnedEndpoint,
} from './control_status.js';
import type {EndpointView} from './state.js';
import {indexEndpoints} from './view_index.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {chain, unchanged} from '../engine/engine.js';
import type {Change, Context, Feature, Handler} from '../engine/engine.js';
import {findEndpoint} from '../model/group.js';
import type {GroupEndpoint, GroupObject} from '../model/group.js';
import type {EndpointId, Instant} from '../model/ids.js';
import type {EndpointReport} from '../model/message.js';

/** Replaces fields of an endpoint's view. */
export function setEndpointView(
  board: Blackboard,
  endpoint: EndpointId,
  parts: Partial<EndpointView>,
): Blackboard {
  const view = {...readEndpointView(board, endpoint), ...parts};
  return {
    ...board,
    endpoints: {
      ...board.endpoints,
      views: board.endpoints.views.set(endpoint, view),
    },
  };
}

/** Applies the owner's report of an endpoint, unless it is out of date. */
export function applyReport(
  board: Blackboard,
  report: EndpointReport,
  now: Instant,
): Blackboard {
  const {endpoint, role, position, dataAgeMs, ageMs} = report;
  if (board.endpoints.owned.has(endpoint)) {
    return board;
  }
  const view = readEndpointView(board, endpoint);
  const statusAt = now - ageMs;
  if (view.statusAt !== null && view.statusAt >= statusAt) {
    return board;
  }
  const follows = view.status?.follows ?? null;
  return setEndpointView(board, endpoint, {
    status: {role, position, dataAgeMs, follows},
    statusAt,
    dataAsOf: now - dataAgeMs,
  });
}

/** Returns the groups in which this host owns an endpoint. */
export function listOwnGroups(board: Blackboard): readonly GroupObject[] {
  return [...new Set(board.endpoints.owned.values())]
    .map(id => readGroup(board, id))
    .filter(group => group !== null);
}

/** Returns whether a replica is healthy, in the current term, and keeps up. */
function isFollowing(
  board: Blackboard,
  group: GroupObject,
  replica: EndpointId,
): boolean {
  const {status, failingSince} = readEndpointView(board, replica);
  if (status === null || failingSince !== null) {
    return false;
  }
  return (
    status.role === 'replica' &&
    status.position.term === group.term &&
    status.dataAgeMs <= LAGGING_REPLICA_MS
  );
}

/** Returns the probe interval of an endpoint that this host owns, in ms. */
function getOwnProbeInterval(board: Blackboard, endpoint: EndpointId): number {
  const group = readOwnedEndpoint(board, endpoint)?.group;
  if (group === undefined || group.primary === endpoint) {
    return PROBE_INTERVAL_MS;
  }
  return isFollowing(board, group, endpoint)
    ? REPLICA_PROBE_INTERVAL_MS
    : PROBE_INTERVAL_MS;
}

/** Returns the probe interval of an endpoint in ms, or null for no probes. */
function getProbeInterval(
  board: Blackboard,
  endpoint: EndpointId,
): number | null {
  if (board.endpoints.owned.has(endpoint)) {
    return getOwnProbeInterval(board, endpoint);
  }
  const isPrimaryOfOwnGroup = listOwnGroups(board).some(
    group => group.primary === endpoint,
  );
  return isPrimaryOfOwnGroup ? PRIMARY_PROBE_INTERVAL_MS : null;
}

function locateEndpoint(
  board: Blackboard,
  endpoint: EndpointId,
): GroupEndpoint | null {
  const id =
    board.endpoints.owned.get(endpoint) ??
    indexEndpoints(board.view.groups).groupOf.get(endpoint);
  const group = id === undefined ? null : readGroup(board, id);
  return group === null ? null : findEndpoint(group, endpoint);
}

/** Sends a probe unless one is in progress. */
export function probeNow(
  board: Blackboard,
  endpoint: EndpointId,
  now: Instant,
): Change {
  const {probeDeadline} = readEndpointView(board, endpoint);
  const target = locateEndpoint(board, endpoint);
  if (target === null || (probeDeadline !== null && now <= probeDeadline)) {
    return unchanged(board);
  }
  const deadline = now + PROBE_TIMEOUT_MS;
  const next = setEndpointView(board, endpoint, {probeDeadline: deadline});
  return unchanged(next, {
    type: 'probe',
    endpoint,
    address: target.address,
    port: target.port,
    deadline,
  });
}

/** Probes an endpoint unless a probe of it is scheduled or running. */
function startProbing(
  board: Blackboard,
  endpoint: EndpointId,
  now: Instant,
): Change {
  const {nextProbeAt, probeDeadline} = readEndpointView(board, endpoint);
  const isDue = nextProbeAt !== null && now <= nextProbeAt;
  const isRunning = probeDeadline !== null && now <= probeDeadline;
  return isDue || isRunning ? unchanged(board) : probeNow(board, endpoint, now);
}

function startMissingProbes(board: Blackboard, now: Instant): Change {
  const endpoints = new Set<EndpointId>(board.endpoints.owned.keys());
  listOwnGroups(board).forEach(group => endpoints.add(group.primary));
  const steps = [...endpoints].map(
    endpoint => (current: Blackboard) => startProbing(current, endpoint, now),
  );
  return chain(board, ...steps);
}

const handleOwnershipChanged = (
  board: Blackboard,
  _event: unknown,
  ctx: Context,
): Change => startMissingProbes(board, ctx.now);

const handleTimer: Handler<'timer'> = (board, event, ctx) => {
  const {timer} = event;
  if (timer.name !== 'probe') {
    return unchanged(board);
  }
  const {nextProbeAt} = readEndpointView(board, timer.endpoint);
  if (nextProbeAt === null || ctx.now < nextProbeAt) {
    return unchanged(board);
  }
  return getProbeInterval(board, timer.endpoint) === null
    ? unchanged(setEndpointView(board, timer.endpoint, {nextProbeAt: null}))
    : probeNow(board, timer.endpoint, ctx.now);
};

const handleProbeWanted: Handler<'probe_wanted'> = (board, event, ctx) =>
  probeNow(board, event.endpoint, ctx.now);

/**
 * Probes an endpoint at once when it resets or refuses a connection of its
 * pool. A failing endpoint is probed by timer only, so that consecutive refused
 * probes are some time apart.
 */
const handleConnClosed: Handler<'conn_closed'> = (board, event, ctx) => {
  const {endpoint, fault} = event;
  const {failingSince} = readEndpointView(board, endpoint);
  const isResetOrRefused = fault === 'reset' || fault === 'refused';
  return isResetOrRefused && failingSince === null
    ? probeNow(board, endpoint, ctx.now)
    : unchanged(board);
};

/** Returns the fields of an endpoint's view that a probe's result changes. */
function createProbeUpdate(
  view: EndpointView,
  event: Parameters<Handler<'probed'>>[1],
  now: Instant,
): Partial<EndpointView> {
  const {status, sentAt} = event;
  if (status === null) {
    const isRefused = event.fault === 'refused';
    return {
      lastFault: event.fault,
      failingSince: view.failingSince ?? now,
      refusals: isRefused ? view.refusals + 1 : view.refusals,
    };
  }
  return {
    status,
    statusAt: sentAt,
    dataAsOf: status.role === 'primary' ? sentAt : sentAt - status.dataAgeMs,
    lastFault: null,
    failingSince: null,
    refusals: 0,
  };
}

/** Returns log records for an endpoint that starts to fail or recovers. */
function describeHealth(
  view: EndpointView,
  event: Parameters<Handler<'probed'>>[1],
  now: Instant,
): readonly Action[] {
  const {endpoint, status, fault} = event;
  const {failingSince, statusAt} = view;
  if (status === null && failingSince === null) {
    const seenAgoMs = statusAt === null ? null : Math.round(now - statusAt);
    const fields = {endpoint, fault, seen_ago_ms: seenAgoMs};
    return [{type: 'record', level: 'warn', event: 'endpoint_lost', fields}];
  }
  if (status === null || failingSince === null) {
    return [];
  }
  const fields = {
    endpoint,
    endpoint_role: status.role,
    term: status.position.term,
    index: status.position.index,
    lost_ms: Math.round(now - failingSince),
  };
  return [{type: 'record', level: 'info', event: 'endpoint_regained', fields}];
}

const handleProbed: Handler<'probed'> = (board, event, ctx) => {
  const {endpoint, sentAt} = event;
  const view = readEndpointView(board, endpoint);
  const probed = setEndpointView(board, endpoint, {
    ...createProbeUpdate(view, event, ctx.now),
    probedAt: ctx.now,
    probeDeadline: null,
  });
  const interval = getProbeInterval(probed, endpoint);
  const nextProbeAt =
    interval === null ? null : Math.max(ctx.now + 1, sentAt + interval);
  const next = setEndpointView(probed, endpoint, {nextProbeAt});
  const change = unchanged(next, ...describeHealth(view, event, ctx.now), {
    type: 'emit',
    event: {type: 'endpoint_observed', endpoint},
  });
  if (nextProbeAt === null) {
    return change;
  }
  return {
    board: next,
    actions: [
      ...change.actions,
      {
        type: 'set_timer',
        at: nextProbeAt,
        timer: {name: 'probe', endpoint},
      },
    ],
  };
};

/** Keeps the views of endpoints up to date. */
export const probesFeature: Feature = {
  name: 'probes',
  handlers: {
    ownership_changed: handleOwnershipChanged,
    group_changed: handleOwnershipChanged,
    timer: handleTimer,
    probe_wanted: handleProbeWanted,
    probed: handleProbed,
    conn_closed: handleConnClosed,
  },
};
