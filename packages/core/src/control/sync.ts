/**
 * Learning the platform's objects: each host asks the two relays of its data
 * centre in turns, and whoever is asked reads the platform on behalf of all.
 * Questions double as heartbeats.
 */

import {
  HOST_SILENT_MS,
  PLATFORM_READ_INTERVAL_MS,
  PLATFORM_TIMEOUT_MS,
  RELAY_IDLE_MS,
  SYNC_INTERVAL_MS,
  SYNC_MIN_INTERVAL_MS,
} from './constants.js';
import {describeView, hasPaused} from './facts.js';
import {applyRelayObservations} from './membership.js';
import {describePlatformCall} from './platform_calls.js';
import {chooseInTurn, listSources} from './sources.js';
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

/** Questions that are kept while they wait for an answer. */
const MAX_OPEN_ASKS = 64;

function setRelay(board: Blackboard, relay: Partial<RelaySlice>): Blackboard {
  return {...board, relay: {...board.relay, ...relay}};
}

/** Asks the relays whose turn it is. */
function askInTurn(board: Blackboard, now: Instant): Change {
  const sources = listSources(board, now);
  const turned = setRelay(board, {turns: board.relay.turns + 1});
  return ask(turned, sources, chooseInTurn(board, sources), now);
}

/** Asks all relays now. */
function askRelays(board: Blackboard, now: Instant): Change {
  const sources = listSources(board, now);
  return ask(board, sources, sources, now);
}

/** Sends questions to some of the hosts that may be asked. */
function ask(
  board: Blackboard,
  sources: readonly HostId[],
  asked: readonly HostId[],
  now: Instant,
): Change {
  // Having asked itself before it knew the others, it need not read for itself.
  const followers = sources.includes(board.self.host)
    ? board.relay.followers
    : board.relay.followers.delete(board.self.host);
  const resumedAt = hasPaused(board, now) ? now : board.relay.resumedAt;
  let next = setRelay(board, {lastAskedAt: now, resumedAt, followers});
  const actions: Action[] = [];
  for (const host of asked) {
    const id = next.relay.nextAsk;
    const asks = next.relay.asks.set(id, now);
    next = setRelay(next, {
      nextAsk: id + 1,
      asks: asks.size > MAX_OPEN_ASKS ? asks.delete(id - MAX_OPEN_ASKS) : asks,
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
  const change = askRelays(board, ctx.now);
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
  const change = askInTurn(board, ctx.now);
  const timer: Action = {
    type: 'set_timer',
    at: ctx.now + SYNC_INTERVAL_MS,
    timer: {name: 'sync'},
  };
  return {board: change.board, actions: [...change.actions, timer]};
};

/** Asks the relays out of turn, but not too often. */
const handleSyncWanted = (
  board: Blackboard,
  _event: unknown,
  ctx: Context,
): Change =>
  ctx.now - board.relay.lastAskedAt < SYNC_MIN_INTERVAL_MS
    ? unchanged(board)
    : askRelays(board, ctx.now);

/** Tells whether a host asks this one regularly: it is of its data centre. */
function isFollower(board: Blackboard, host: HostId): boolean {
  const listed = board.view.hosts.get(host)?.value;
  return listed === undefined || listed.dataCentre === board.self.dataCentre;
}

/**
 * Returns the followers that have not asked lately. One that asked before it
 * was listed, and is listed elsewhere by now, asks the relays there.
 */
function listSilentFollowers(board: Blackboard, now: Instant): HostId[] {
  const silent: HostId[] = [];
  board.relay.followers.forEach((follower, host) => {
    const isSilent = now - follower.lastAskedAt > HOST_SILENT_MS;
    if (isSilent && isFollower(board, host)) {
      silent.push(host);
    }
  });
  return silent;
}

function listDrainingFollowers(board: Blackboard): HostId[] {
  const draining: HostId[] = [];
  board.relay.followers.forEach((follower, host) => {
    if (follower.isDraining && isFollower(board, host)) {
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
  const follower = {lastAskedAt: now, isDraining: msg.isDraining};
  const {followers} = board.relay;
  const noted = isFollower(board, host)
    ? setRelay(board, {followers: followers.set(host, follower)})
    : board;
  const {freshAt} = noted.view;
  const answer: Action = {
    type: 'send',
    host,
    msg: {
      type: 'synced',
      ask: msg.ask,
      revision: noted.view.revision,
      // Whole milliseconds are shorter; a larger age claims less.
      ageMs: freshAt === null ? null : Math.max(0, Math.ceil(now - freshAt)),
      changes: listChangesSince(noted.view, msg.since),
      silentHosts: listSilentFollowers(noted, now),
      drainingHosts: listDrainingFollowers(noted),
    },
  };
  const read = startReading(noted, now);
  return {board: read.board, actions: [answer, ...read.actions]};
}

/** Begins to read the platform if no read is in progress or due. */
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
  const lastAskedAt = board.relay.followers
    .valueSeq()
    .map(follower => follower.lastAskedAt)
    .max();
  if (lastAskedAt === undefined || now - lastAskedAt > RELAY_IDLE_MS) {
    return unchanged(
      setRelay(board, {
        readDeadline: null,
        nextReadAt: null,
        followers: board.relay.followers.clear(),
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

/** Plans the next read one interval after the last one began. */
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

/** Notes that reads of the platform succeed again. */
function noteRegained(board: Blackboard, now: Instant): Change {
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

/** Notes that a read of the platform failed; tells the first of a row. */
function noteLost(
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
    current => noteRegained(current, ctx.now),
    current => applyChanges(current, event.changes, ctx.now),
    current =>
      unchanged(markFresh(current, event.revision, event.sentAt, ctx.now)),
    current => planNextRead(current, event.sentAt, ctx.now),
  );

const handleReadFailed: Handler<'platform_read_failed'> = (board, event, ctx) =>
  chain(
    board,
    current => noteLost(current, event, ctx.now),
    current => planNextRead(current, event.sentAt, ctx.now),
  );

function applySynced(
  board: Blackboard,
  msg: SyncedMessage,
  now: Instant,
): Change {
  const sentAt = board.relay.asks.get(msg.ask);
  if (sentAt === undefined) {
    return unchanged(board);
  }
  const freshAt = msg.ageMs === null ? null : sentAt - msg.ageMs;
  return chain(
    setRelay(board, {asks: board.relay.asks.delete(msg.ask)}),
    current => applyChanges(current, msg.changes, now),
    current => unchanged(markFresh(current, msg.revision, freshAt, now)),
    current =>
      applyRelayObservations(current, msg.silentHosts, msg.drainingHosts, now),
  );
}

/** Passes a change of a group on to the hosts that ask this relay. */
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
  const sends: Action[] = board.relay.followers
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

/** Keeps the view up to date, and serves other hosts as their relay. */
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
