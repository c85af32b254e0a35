/**
 * Named sessions: the caller sends only a name, and holders in up to three data
 * centres store the session's positions. Read and write quorums overlap: of
 * three holders, two must store a write's position before it is acknowledged,
 * and two must answer before a replica serves a read. Without a quorum a read
 * runs at the primary.
 *
 * A holder counts for a read only with a position in the group that is read,
 * and a write stores only its own position. A restarted holder therefore counts
 * only after a later write in the group, which covers all earlier ones.
 */

import {Map as ImmutableMap} from 'immutable';
import {
  createErrorReply,
  finishStatement,
  readCaller,
  updateCaller,
} from './callers.js';
import {createOutcomeError} from './error.js';
import {chooseHolders, getReadQuorum, getWriteQuorum} from './holder_choice.js';
import {
  SESSION_ANSWER_TIMEOUT_MS,
  SESSION_EXTRA_WAIT_MS,
  SESSION_STORE_TIMEOUT_MS,
} from './constants.js';
import type {
  Caller,
  PendingFetch,
  PendingSessionOp,
  PendingStore,
} from './state.js';
import {isReachable} from '../control/membership.js';
import type {Action, Reply} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import {createMessageHandler} from '../engine/message_handlers.js';
import type {Change, Feature, Handler} from '../engine/engine.js';
import type {GroupId, HostId, Instant, RequestId} from '../model/ids.js';
import type {PeerMessage, SessionMessage} from '../model/message.js';
import {mergePositions, setSessions} from './sessions.js';

function startOp(
  board: Blackboard,
  op: PendingSessionOp,
  hosts: readonly HostId[],
  create: (ask: number) => PeerMessage,
  deadline: Instant,
): Change {
  const id = board.relay.nextAsk;
  const next = setSessions(
    {...board, relay: {...board.relay, nextAsk: id + 1}},
    {pendingOps: board.sessions.pendingOps.set(id, op)},
  );
  const sends = hosts.map((host): Action => ({
    type: 'send',
    host,
    msg: create(id),
  }));
  return unchanged(next, ...sends, {
    type: 'set_timer',
    at: deadline,
    timer: {name: 'session_ask', ask: id},
  });
}

/** Stores a session's position in a group with its holders, then replies. */
export function storeThenReply(
  board: Blackboard,
  caller: Caller,
  write: {readonly group: GroupId; readonly request: RequestId},
  reply: Reply,
  now: Instant,
): Change {
  const {group, request} = write;
  const holders = chooseHolders(board, caller.session);
  if (holders.length === 0 || caller.servingSeq === null) {
    return finishStatement(board, caller.id, reply);
  }
  const reachable = holders.filter(host => isReachable(board, host, now));
  const needed = getWriteQuorum(holders.length);
  const op: PendingStore = {
    type: 'store',
    caller: caller.id,
    request,
    seq: caller.servingSeq,
    reply,
    waitingFor: reachable.length >= needed ? reachable : holders,
    stored: 0,
    needed,
    deadline: now + SESSION_STORE_TIMEOUT_MS,
  };
  const positions = caller.positions.filter((_, id) => id === group).toObject();
  return startOp(
    board,
    op,
    holders,
    id => ({
      type: 'put_session',
      ask: id,
      session: caller.session,
      positions,
    }),
    op.deadline,
  );
}

const SESSION_NOT_KEPT = {type: 'unknown', reason: 'session_not_kept'} as const;

/** Group and target time of a read. */
interface FetchOptions {
  /** The group to read from; null where the service is unknown. */
  readonly group: GroupId | null;
  /** Time to the read's target, in milliseconds. */
  readonly targetMs: number;
}

/**
 * Fetches a session's positions from its holders. Takes at most half of the
 * time to the read's target, so that the primary can still meet the target.
 */
export function fetchPositions(
  board: Blackboard,
  caller: Caller,
  {group, targetMs}: FetchOptions,
  now: Instant,
): Change {
  const holders = chooseHolders(board, caller.session);
  const reachable = holders.filter(host => isReachable(board, host, now));
  const needed = getReadQuorum(holders.length);
  if (reachable.length < needed) {
    return continueWithoutProof(board, caller);
  }
  const deadline = now + Math.min(SESSION_ANSWER_TIMEOUT_MS, targetMs / 2);
  const op: PendingFetch = {
    type: 'fetch',
    caller: caller.id,
    group,
    waitingFor: reachable,
    positions: ImmutableMap(),
    positionsAt: 0,
    answered: 0,
    needed,
    deadline,
  };
  const {session} = caller;
  return startOp(
    board,
    op,
    reachable,
    id => ({type: 'get_session', ask: id, session}),
    deadline,
  );
}

/** Continues a read at the primary, because too few holders can answer. */
function continueWithoutProof(board: Blackboard, caller: Caller): Change {
  return unchanged(updateCaller(board, caller.id, {proof: 'missing'}), {
    type: 'emit',
    event: {type: 'session_known', caller: caller.id},
  });
}

function removeOp(board: Blackboard, id: number): Blackboard {
  return setSessions(board, {pendingOps: board.sessions.pendingOps.delete(id)});
}

/** Ends a fetch of positions and continues the deferred statement. */
function endFetch(board: Blackboard, id: number, op: PendingFetch): Change {
  const caller = readCaller(board, op.caller);
  const closed = removeOp(board, id);
  if (caller === null) {
    return unchanged(closed);
  }
  const isComplete = op.answered >= op.needed;
  const positions = mergePositions(caller.positions, op.positions);
  const hasNewer = !positions.equals(caller.positions);
  const next = updateCaller(closed, op.caller, {
    positions,
    positionsAt: hasNewer
      ? Math.max(op.positionsAt, caller.positionsAt)
      : caller.positionsAt,
    proof: isComplete ? 'complete' : 'missing',
  });
  return unchanged(next, {
    type: 'emit',
    event: {type: 'session_known', caller: op.caller},
  });
}

function endStore(board: Blackboard, id: number, op: PendingStore): Change {
  const closed = removeOp(board, id);
  const caller = readCaller(closed, op.caller);
  if (caller?.servingSeq !== op.seq) {
    return unchanged(closed);
  }
  // An error about a lost write must reach the caller in any case.
  if (op.stored >= op.needed || op.reply.type === 'error') {
    return finishStatement(closed, op.caller, op.reply);
  }
  // Other hosts may not find the position, and could serve older data.
  const error = createOutcomeError(SESSION_NOT_KEPT, op.request);
  const reply = createErrorReply(caller, error);
  const change = finishStatement(closed, op.caller, reply);
  return {
    board: change.board,
    actions: [
      ...change.actions,
      {
        type: 'record',
        level: 'warn',
        event: 'session_not_stored',
        fields: {
          request: op.request,
          session: caller.session,
          stored: op.stored,
          needed: op.needed,
          missing: op.waitingFor.join(),
        },
      },
    ],
  };
}

/**
 * Waits for the remaining holders, but only briefly once enough have answered.
 * With all answers the positions survive the loss of a holder.
 */
function awaitRemaining(
  board: Blackboard,
  id: number,
  op: PendingSessionOp,
  hasEnough: boolean,
  now: Instant,
): Change {
  const deadline = hasEnough
    ? Math.min(op.deadline, now + SESSION_EXTRA_WAIT_MS)
    : op.deadline;
  const pendingOps = board.sessions.pendingOps.set(id, {...op, deadline});
  const next = setSessions(board, {pendingOps});
  return deadline === op.deadline
    ? unchanged(next)
    : unchanged(next, {
        type: 'set_timer',
        at: deadline,
        timer: {name: 'session_ask', ask: id},
      });
}

function recordStored(
  board: Blackboard,
  host: HostId,
  id: number,
  now: Instant,
): Change {
  const op = board.sessions.pendingOps.get(id);
  if (op?.type !== 'store') {
    return unchanged(board);
  }
  const updated: PendingStore = {
    ...op,
    stored: op.stored + 1,
    waitingFor: op.waitingFor.filter(other => other !== host),
  };
  const hasEnough = updated.stored >= updated.needed;
  return hasEnough && updated.waitingFor.length === 0
    ? endStore(board, id, updated)
    : awaitRemaining(board, id, updated, hasEnough, now);
}

function recordFetched(
  board: Blackboard,
  host: HostId,
  id: number,
  {positions, ageMs}: SessionMessage,
  now: Instant,
): Change {
  const op = board.sessions.pendingOps.get(id);
  if (op?.type !== 'fetch') {
    return unchanged(board);
  }
  const isProof = op.group !== null && positions?.[op.group] !== undefined;
  const updated: PendingFetch = {
    ...op,
    answered: op.answered + (isProof ? 1 : 0),
    positions: mergePositions(op.positions, ImmutableMap(positions ?? {})),
    positionsAt: Math.max(op.positionsAt, now - ageMs),
    waitingFor: op.waitingFor.filter(other => other !== host),
  };
  return updated.waitingFor.length === 0
    ? endFetch(board, id, updated)
    : awaitRemaining(
        board,
        id,
        updated,
        updated.answered >= updated.needed,
        now,
      );
}

const handlePeerMessage = createMessageHandler({
  session_stored: (board, host, msg, {now}) =>
    recordStored(board, host, msg.ask, now),
  session: (board, host, msg, {now}) =>
    recordFetched(board, host, msg.ask, msg, now),
});

/** Ends an operation that has passed its deadline. */
function handleOpTimer(board: Blackboard, id: number, now: Instant): Change {
  const op = board.sessions.pendingOps.get(id);
  if (op === undefined || now < op.deadline) {
    return unchanged(board);
  }
  return op.type === 'fetch'
    ? endFetch(board, id, op)
    : endStore(board, id, op);
}

const handleTimer: Handler<'timer'> = (board, event, ctx) =>
  event.timer.name === 'session_ask'
    ? handleOpTimer(board, event.timer.ask, ctx.now)
    : unchanged(board);

/** Stores positions of named sessions with their holders, and fetches them. */
export const holdersFeature: Feature = {
  name: 'session_holders',
  handlers: {peer_message: handlePeerMessage, timer: handleTimer},
};
