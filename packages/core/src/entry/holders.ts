/**
 * Named sessions: hosts of different data centres, three where there are, hold
 * the positions of a session that its caller only names. A write is answered
 * once enough of them have its position that any enough to prove a read include
 * one; two of three for either. Without proof a read runs at the primary.
 *
 * A holder proves something of a group only by a position in that group, and is
 * only ever told the position of the write just done. So one that has restarted
 * proves nothing until a later write of the group, which covers all before it.
 */

import {Map as ImmutableMap} from 'immutable';
import {
  createErrorReply,
  finishStatement,
  readCaller,
  updateCaller,
} from './callers.js';
import {createOutcomeError} from './error.js';
import {chooseHolders, countForRead, countForWrite} from './holder_choice.js';
import {
  SESSION_ANSWER_MS,
  SESSION_REST_MS,
  SESSION_STORE_MS,
} from './constants.js';
import type {Caller, FetchAsk, SessionAsk, StoreAsk} from './state.js';
import {isReachable} from '../control/membership.js';
import type {Action, Reply} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import {createMessageHandler} from '../engine/message_handlers.js';
import type {Change, Feature, Handler} from '../engine/engine.js';
import type {GroupId, HostId, Instant, RequestId} from '../model/ids.js';
import type {PeerMessage, SessionMessage} from '../model/message.js';
import {mergePositions, setSessions} from './sessions.js';

function openAsk(
  board: Blackboard,
  ask: SessionAsk,
  hosts: readonly HostId[],
  create: (ask: number) => PeerMessage,
  wakeAt: Instant,
): Change {
  const id = board.relay.nextAsk;
  const next = setSessions(
    {...board, relay: {...board.relay, nextAsk: id + 1}},
    {asks: board.sessions.asks.set(id, ask)},
  );
  const sends = hosts.map((host): Action => ({
    type: 'send',
    host,
    msg: create(id),
  }));
  return unchanged(next, ...sends, {
    type: 'set_timer',
    at: wakeAt,
    timer: {name: 'session_ask', ask: id},
  });
}

/** Stores a session's position in a group, then answers the caller. */
export function storeThenReply(
  board: Blackboard,
  caller: Caller,
  write: {readonly group: GroupId; readonly request: RequestId},
  reply: Reply,
  now: Instant,
): Change {
  const {group, request} = write;
  const holders = chooseHolders(board, caller.session);
  if (holders.length === 0 || caller.serving === null) {
    return finishStatement(board, caller.id, reply);
  }
  const reachable = holders.filter(host => isReachable(board, host, now));
  const needed = countForWrite(holders.length);
  const ask: StoreAsk = {
    type: 'store',
    caller: caller.id,
    request,
    seq: caller.serving,
    reply,
    waitingFor: reachable.length >= needed ? reachable : holders,
    stored: 0,
    needed,
    deadline: now + SESSION_STORE_MS,
  };
  const positions = caller.positions.filter((_, id) => id === group).toObject();
  return openAsk(
    board,
    ask,
    holders,
    id => ({
      type: 'put_session',
      ask: id,
      session: caller.session,
      positions,
    }),
    ask.deadline,
  );
}

const SESSION_NOT_KEPT = {type: 'unknown', reason: 'session_not_kept'} as const;

/** What a read needs to know of its session. */
interface PositionsWanted {
  /** The group that is read from; null where the service is not known. */
  readonly group: GroupId | null;
  /** Time to the read's target, in milliseconds. */
  readonly targetMs: number;
}

/**
 * Asks the holders for a session's positions. Of the time to the read's target
 * it takes half at most, so that the primary can serve the read in the rest.
 */
export function fetchPositions(
  board: Blackboard,
  caller: Caller,
  {group, targetMs}: PositionsWanted,
  now: Instant,
): Change {
  const holders = chooseHolders(board, caller.session);
  const reachable = holders.filter(host => isReachable(board, host, now));
  const needed = countForRead(holders.length);
  if (reachable.length < needed) {
    return endWithoutProof(board, caller);
  }
  const deadline = now + Math.min(SESSION_ANSWER_MS, targetMs / 2);
  const ask: FetchAsk = {
    type: 'fetch',
    caller: caller.id,
    group,
    waitingFor: reachable,
    positions: ImmutableMap(),
    positionsAt: 0,
    told: 0,
    needed,
    deadline,
  };
  const {session} = caller;
  return openAsk(
    board,
    ask,
    reachable,
    id => ({type: 'get_session', ask: id, session}),
    deadline,
  );
}

/** Lets a read go on at the primary, because too few holders can answer. */
function endWithoutProof(board: Blackboard, caller: Caller): Change {
  return unchanged(updateCaller(board, caller.id, {proof: 'missing'}), {
    type: 'emit',
    event: {type: 'session_known', caller: caller.id},
  });
}

function closeAsk(board: Blackboard, id: number): Blackboard {
  return setSessions(board, {asks: board.sessions.asks.delete(id)});
}

/** Ends a question for positions; the waiting statement goes on. */
function endFetch(board: Blackboard, id: number, ask: FetchAsk): Change {
  const caller = readCaller(board, ask.caller);
  const closed = closeAsk(board, id);
  if (caller === null) {
    return unchanged(closed);
  }
  const isComplete = ask.told >= ask.needed;
  const positions = mergePositions(caller.positions, ask.positions);
  const isNews = !positions.equals(caller.positions);
  const next = updateCaller(closed, ask.caller, {
    positions,
    positionsAt: isNews
      ? Math.max(ask.positionsAt, caller.positionsAt)
      : caller.positionsAt,
    proof: isComplete ? 'complete' : 'missing',
  });
  return unchanged(next, {
    type: 'emit',
    event: {type: 'session_known', caller: ask.caller},
  });
}

function endStore(board: Blackboard, id: number, ask: StoreAsk): Change {
  const closed = closeAsk(board, id);
  const caller = readCaller(closed, ask.caller);
  if (caller?.serving !== ask.seq) {
    return unchanged(closed);
  }
  // An error, of a write that was lost, must reach the caller in any case.
  if (ask.stored >= ask.needed || ask.reply.type === 'error') {
    return finishStatement(closed, ask.caller, ask.reply);
  }
  // Another host could not know of the write, and would serve older data.
  const error = createOutcomeError(SESSION_NOT_KEPT, ask.request);
  const reply = createErrorReply(caller, error);
  const change = finishStatement(closed, ask.caller, reply);
  return {
    board: change.board,
    actions: [
      ...change.actions,
      {
        type: 'record',
        level: 'warn',
        event: 'session_not_stored',
        fields: {
          request: ask.request,
          session: caller.session,
          stored: ask.stored,
          needed: ask.needed,
          missing: ask.waitingFor.join(),
        },
      },
    ],
  };
}

/**
 * Goes on waiting for the other holders, only briefly once there are enough:
 * all answers together outlast the loss of a holder.
 */
function awaitRest(
  board: Blackboard,
  id: number,
  ask: SessionAsk,
  hasEnough: boolean,
  now: Instant,
): Change {
  const deadline = hasEnough
    ? Math.min(ask.deadline, now + SESSION_REST_MS)
    : ask.deadline;
  const asks = board.sessions.asks.set(id, {...ask, deadline});
  const next = setSessions(board, {asks});
  return deadline === ask.deadline
    ? unchanged(next)
    : unchanged(next, {
        type: 'set_timer',
        at: deadline,
        timer: {name: 'session_ask', ask: id},
      });
}

function noteStored(
  board: Blackboard,
  host: HostId,
  id: number,
  now: Instant,
): Change {
  const ask = board.sessions.asks.get(id);
  if (ask?.type !== 'store') {
    return unchanged(board);
  }
  const noted: StoreAsk = {
    ...ask,
    stored: ask.stored + 1,
    waitingFor: ask.waitingFor.filter(other => other !== host),
  };
  const hasEnough = noted.stored >= noted.needed;
  return hasEnough && noted.waitingFor.length === 0
    ? endStore(board, id, noted)
    : awaitRest(board, id, noted, hasEnough, now);
}

function noteFetched(
  board: Blackboard,
  host: HostId,
  id: number,
  {positions, ageMs}: SessionMessage,
  now: Instant,
): Change {
  const ask = board.sessions.asks.get(id);
  if (ask?.type !== 'fetch') {
    return unchanged(board);
  }
  const isProof = ask.group !== null && positions?.[ask.group] !== undefined;
  const noted: FetchAsk = {
    ...ask,
    told: ask.told + (isProof ? 1 : 0),
    positions: mergePositions(ask.positions, ImmutableMap(positions ?? {})),
    positionsAt: Math.max(ask.positionsAt, now - ageMs),
    waitingFor: ask.waitingFor.filter(other => other !== host),
  };
  return noted.waitingFor.length === 0
    ? endFetch(board, id, noted)
    : awaitRest(board, id, noted, noted.told >= noted.needed, now);
}

const handlePeerMessage = createMessageHandler({
  session_stored: (board, host, msg, {now}) =>
    noteStored(board, host, msg.ask, now),
  session: (board, host, msg, {now}) =>
    noteFetched(board, host, msg.ask, msg, now),
});

/** Ends a question whose time is over. */
function handleAskTimer(board: Blackboard, id: number, now: Instant): Change {
  const ask = board.sessions.asks.get(id);
  if (ask === undefined || now < ask.deadline) {
    return unchanged(board);
  }
  return ask.type === 'fetch'
    ? endFetch(board, id, ask)
    : endStore(board, id, ask);
}

const handleTimer: Handler<'timer'> = (board, event, ctx) =>
  event.timer.name === 'session_ask'
    ? handleAskTimer(board, event.timer.ask, ctx.now)
    : unchanged(board);

/** Stores positions of named sessions with their holders, and fetches them. */
export const holdersFeature: Feature = {
  name: 'session_holders',
  handlers: {peer_message: handlePeerMessage, timer: handleTimer},
};
