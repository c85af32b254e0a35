/** Positions of named sessions that this host stores for other hosts. */

import {Map as ImmutableMap} from 'immutable';
import {SESSION_EXPIRY_INTERVAL_MS, SESSION_TTL_MS} from './constants.js';
import type {Positions} from './state.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import {createMessageHandler} from '../engine/message_handlers.js';
import type {Feature, Handler} from '../engine/engine.js';
import type {Instant, SessionId} from '../model/ids.js';
import {mergePositions, setSessions} from './sessions.js';

function holdSession(
  board: Blackboard,
  session: SessionId,
  positions: Positions,
  now: Instant,
): Blackboard {
  const held = board.sessions.held.get(session);
  const merged =
    held === undefined ? positions : mergePositions(held.positions, positions);
  return setSessions(board, {
    held: board.sessions.held.set(session, {
      positions: merged,
      expiresAt: now + SESSION_TTL_MS,
    }),
  });
}

const handlePeerMessage = createMessageHandler({
  put_session: (board, host, msg, {now}) =>
    unchanged(
      holdSession(board, msg.session, ImmutableMap(msg.positions), now),
      {type: 'send', host, msg: {type: 'session_stored', ask: msg.ask}},
    ),
  get_session: (board, host, msg, {now}) => {
    const held = board.sessions.held.get(msg.session);
    const isKnown = held !== undefined && now < held.expiresAt;
    const positions = isKnown ? held.positions.toObject() : null;
    const ageMs = isKnown ? now + SESSION_TTL_MS - held.expiresAt : 0;
    return unchanged(board, {
      type: 'send',
      host,
      msg: {type: 'session', ask: msg.ask, positions, ageMs},
    });
  },
});

function createExpiryTimer(now: Instant): Action {
  return {
    type: 'set_timer',
    at: now + SESSION_EXPIRY_INTERVAL_MS,
    timer: {name: 'session_expiry'},
  };
}

/** Removes expired sessions. */
const handleTimer: Handler<'timer'> = (board, event, ctx) => {
  if (event.timer.name !== 'session_expiry') {
    return unchanged(board);
  }
  const held = board.sessions.held.filter(
    session => ctx.now < session.expiresAt,
  );
  return unchanged(setSessions(board, {held}), createExpiryTimer(ctx.now));
};

const handleStarted: Handler<'started'> = (board, _event, ctx) =>
  unchanged(board, createExpiryTimer(ctx.now));

/** Stores positions of named sessions for other hosts. */
export const heldSessionsFeature: Feature = {
  name: 'held_sessions',
  handlers: {
    started: handleStarted,
    peer_message: handlePeerMessage,
    timer: handleTimer,
  },
};
