/**
 * Synchronization of the platform's objects. Each host sends `sync` requests to
 * the two relays of its data centre in turn, and the relays read the platform
 * for all hosts. The requests also serve as heartbeats.
 */

import {
  HOST_SILENT_MS,
  PLATFORM_READ_INTERVAL_MS,
  PLATFORM_TIMEOUT_MS,
  RELAY_IDLE_MS,
  SYNC_INTERVAL_MS,
  SYNC_MIN_INTERVAL_MS,
} from './constants.js';
import {describeView, hasPaused} from './control_status.js';
import {applyRelayObservations} from './membership.js';
import {describePlatformCall} from './platform_calls.js';
import {chooseRoundRobin, listSources} from './sources.js';
import {
  applyChanges,
  dropLapsedHost,
  listChangesSince,
  markFresh,
} from './view.js';
import type {RelaySlice} from './state.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {chain, unchanged} from '../engine/engine.js';
import {createMessageHandler} from '../engine/message_handlers.js';
import type {Change, Context, Feature, Handler} from '../engine/engine.js';
import type {EventOf} from '../engine/event.js';
import type {HostId, Instant} from '../model/ids.js';
import type {
  ChangedMessage,
  SyncedMessage,
  SyncMessage,
} from '../model/message.js';

/** Maximum number of unanswered `sync` requests that are tracked. */
const MAX_PENDING_SYNCS = 64;

function setRelay(board: Blackboard, relay: Partial<RelaySlice>): Blackboard {
  return {...board, relay: {...board.relay, ...relay}};
}

/** Sends regular `sync` requests, alternating between the relays. */
function syncRoundRobin(board: Blackboard, now: Instant): Change {
  const sources = listSources(board, now);
  const next = setRelay(board, {syncRounds: board.relay.syncRounds + 1});
  return sendSyncs(next, sources, chooseRoundRobin(board, sources), now);
}

/** Sends `sync` requests to all relays. */
function syncWithAllRelays(board: Blackboard, now: Instant): Change {
  const sources = listSources(board, now);
  return sendSyncs(board, sources, sources, now);
}

/** Sends `sync` requests to some of the sources. */
function sendSyncs(
  board: Blackboard,
  sources: readonly HostId[],
  targets: readonly HostId[],
  now: Instant,
): Change {
  // A host may have synced from itself before it knew the relays. Once it is no
  // longer a source, it must not keep reading the platform for itself.
  const clients = sources.includes(board.self.host)
    ? board.relay.clients
    : board.relay.clients.delete(board.self.host);
  const resumedAt = hasPaused(board, now) ? now : board.relay.resumedAt;
  let next = setRelay(board, {lastSyncAt: now, resumedAt, clients});
  const actions: Action[] = [];
  for (const host of targets) {
    const id = next.relay.nextAsk;
    const pendingSyncs = next.relay.pendingSyncs.set(id, now);
    next = setRelay(next, {
      nextAsk: id + 1,
      pendingSyncs:
        pendingSyncs.size > MAX_PENDING_SYNCS
          ? pendingSyncs.delete(id - MAX_PENDING_SYNCS)
          : pendingSyncs,
    });
    actions.push({
      type: 'send',
      host,
      msg: {
        type: 'sync',
        ask: id,
        since: board.view.revision,
        isDraining: board.self.drainDeadline !== null,
      },
    });
  }
  return {board: next, actions};
}

const handleStarted: Handler<'started'> = (board, _event, ctx) => {
  const change = syncWithAllRelays(board, ctx.now);
  return {
    board: change.board,
    actions: [
      ...change.actions,
      {
        type: 'set_timer',
        at: ctx.now + SYNC_INTERVAL_MS,
        timer: {name: 'sync'},
      },
    ],
  };
};

const handleTimer: Handler<'timer'> = (board, event, ctx) => {
  if (event.timer.name === 'platform_poll') {
    return readPlatform(board, ctx.now);
  }
  if (event.timer.name === 'host_lapsed') {
    return dropLapsedHost(board, event.timer.host, ctx.now);
  }
  if (event.timer.name !== 'sync' || board.self.isDrained) {
    return unchanged(board);
  }
  const change = syncRoundRobin(board, ctx.now);
  const timer: Action = {
    type: 'set_timer',
    at: ctx.now + SYNC_INTERVAL_MS,
    timer: {name: 'sync'},
  };
  return {board: change.board, actions: [...change.actions, timer]};
};

/** Syncs with all relays ahead of schedule, at a limited rate. */
const handleSyncWanted = (
  board: Blackboard,
  _event: unknown,
  ctx: Context,
): Change =>
  ctx.now - board.relay.lastSyncAt < SYNC_MIN_INTERVAL_MS
    ? unchanged(board)
    : syncWithAllRelays(board, ctx.now);

/**
 * Returns whether a host can be a client of this relay: it is of the same data
 * centre, or not listed yet.
 */
function isRelayClient(board: Blackboard, host: HostId): boolean {
  const listed = board.view.hosts.get(host)?.value;
  return listed === undefined || listed.dataCentre === board.self.dataCentre;
}

/**
 * Returns the clients that have sent no `sync` request lately. A client that is
 * now listed in another data centre is left out: it syncs from relays there.
 */
function listSilentClients(board: Blackboard, now: Instant): HostId[] {
  const silent: HostId[] = [];
  board.relay.clients.forEach((client, host) => {
    const isSilent = now - client.lastSyncAt > HOST_SILENT_MS;
    if (isSilent && isRelayClient(board, host)) {
      silent.push(host);
    }
  });
  return silent;
}

function listDrainingClients(board: Blackboard): HostId[] {
  const draining: HostId[] = [];
  board.relay.clients.forEach((client, host) => {
    if (client.isDraining && isRelayClient(board, host)) {
      draining.push(host);
    }
  });
  return draining;
}

function answerSync(
  board: Blackboard,
  host: HostId,
  msg: SyncMessage,
  now: Instant,
): Change {
  const client = {lastSyncAt: now, isDraining: msg.isDraining};
  const {clients} = board.relay;
  const next = isRelayClient(board, host)
    ? setRelay(board, {clients: clients.set(host, client)})
    : board;
  const {freshAt} = next.view;
  const answer: Action = {
    type: 'send',
    host,
    msg: {
      type: 'synced',
      ask: msg.ask,
      revision: next.view.revision,
      // Whole milliseconds keep messages short. Rounding up never overstates
      // freshness.
      ageMs: freshAt === null ? null : Math.max(0, Math.ceil(now - freshAt)),
      changes: listChangesSince(next.view, msg.since),
      silentHosts: listSilentClients(next, now),
      drainingHosts: listDrainingClients(next),
    },
  };
  const read = startReading(next, now);
  return {board: read.board, actions: [answer, ...read.actions]};
}

/** Reads the platform unless a read is in progress or scheduled. */
function startReading(board: Blackboard, now: Instant): Change {
  const {nextReadAt, readDeadline} = board.relay;
  const isReading = readDeadline !== null && now < readDeadline;
  const isDue = nextReadAt !== null && now < nextReadAt;
  return isReading || isDue ? unchanged(board) : readPlatform(board, now);
}

function readPlatform(board: Blackboard, now: Instant): Change {
  const {nextReadAt, readDeadline} = board.relay;
  const isBusy = readDeadline !== null && now < readDeadline;
  if (isBusy || (nextReadAt !== null && now < nextReadAt)) {
    return unchanged(board);
  }
  const lastSyncAt = board.relay.clients
    .valueSeq()
    .map(client => client.lastSyncAt)
    .max();
  if (lastSyncAt === undefined || now - lastSyncAt > RELAY_IDLE_MS) {
    return unchanged(
      setRelay(board, {
        readDeadline: null,
        nextReadAt: null,
        clients: board.relay.clients.clear(),
      }),
    );
  }
  const deadline = now + PLATFORM_TIMEOUT_MS;
  return unchanged(
    setRelay(board, {readDeadline: deadline, nextReadAt: null}),
    {type: 'read_platform', since: board.view.revision, deadline},
    describePlatformCall('read'),
  );
}

/** Schedules the next read one interval after the start of the last one. */
function planNextRead(
  board: Blackboard,
  sentAt: Instant,
  now: Instant,
): Change {
  const at = Math.max(now, sentAt + PLATFORM_READ_INTERVAL_MS);
  return unchanged(setRelay(board, {readDeadline: null, nextReadAt: at}), {
    type: 'set_timer',
    at,
    timer: {name: 'platform_poll'},
  });
}

/** Records that reads of the platform succeed again. */
function markPlatformRegained(board: Blackboard, now: Instant): Change {
  const {platformLostAt} = board.relay;
  if (platformLostAt === null) {
    return unchanged(board);
  }
  return unchanged(setRelay(board, {platformLostAt: null}), {
    type: 'record',
    level: 'info',
    event: 'platform_regained',
    fields: {lost_ms: Math.round(now - platformLostAt)},
  });
}

/** Records a failed read of the platform; logs only the first of a series. */
function markPlatformLost(
  board: Blackboard,
  event: EventOf<'platform_read_failed'>,
  now: Instant,
): Change {
  if (board.relay.platformLostAt !== null) {
    return unchanged(board);
  }
  return unchanged(setRelay(board, {platformLostAt: now}), {
    type: 'record',
    level: 'warn',
    event: 'platform_lost',
    fields: {
      kind: event.kind,
      detail: event.detail,
      ...describeView(board, now),
    },
  });
}

const handlePlatformRead: Handler<'platform_read'> = (board, event, ctx) =>
  chain(
    board,
    current => markPlatformRegained(current, ctx.now),
    current => applyChanges(current, event.changes, ctx.now),
    current =>
      unchanged(markFresh(current, event.revision, event.sentAt, ctx.now)),
    current => planNextRead(current, event.sentAt, ctx.now),
  );

const handleReadFailed: Handler<'platform_read_failed'> = (board, event, ctx) =>
  chain(
    board,
    current => markPlatformLost(current, event, ctx.now),
    current => planNextRead(current, event.sentAt, ctx.now),
  );

function applySynced(
  board: Blackboard,
  msg: SyncedMessage,
  now: Instant,
): Change {
  const sentAt = board.relay.pendingSyncs.get(msg.ask);
  if (sentAt === undefined) {
    return unchanged(board);
  }
  const freshAt = msg.ageMs === null ? null : sentAt - msg.ageMs;
  return chain(
    setRelay(board, {pendingSyncs: board.relay.pendingSyncs.delete(msg.ask)}),
    current => applyChanges(current, msg.changes, now),
    current => unchanged(markFresh(current, msg.revision, freshAt, now)),
    current =>
      applyRelayObservations(current, msg.silentHosts, msg.drainingHosts, now),
  );
}

/** Applies changes and, if requested, forwards them to this relay's clients. */
function forwardChanges(
  board: Blackboard,
  from: HostId,
  msg: ChangedMessage,
  now: Instant,
): Change {
  const change = applyChanges(board, msg.changes, now);
  if (change.board === board || !msg.forward) {
    return change;
  }
  const sends: Action[] = board.relay.clients
    .keySeq()
    .filter(host => host !== from && host !== board.self.host)
    .map((host): Action => ({
      type: 'send',
      host,
      msg: {...msg, forward: false},
    }))
    .toArray();
  return {board: change.board, actions: [...change.actions, ...sends]};
}

const handlePeerMessage = createMessageHandler({
  sync: (board, host, msg, ctx) => answerSync(board, host, msg, ctx.now),
  synced: (board, _host, msg, ctx) => applySynced(board, msg, ctx.now),
  changed: (board, host, msg, ctx) => forwardChanges(board, host, msg, ctx.now),
});

/** Keeps the view up to date and serves other hosts as a relay. */
export const syncFeature: Feature = {
  name: 'sync',
  handlers: {
    started: handleStarted,
    timer: handleTimer,
    sync_wanted: handleSyncWanted,
    drain: handleSyncWanted,
    peer_message: handlePeerMessage,
    platform_read: handlePlatformRead,
    platform_read_failed: handleReadFailed,
  },
};
