/** Rounds of questions for promises, one at a time for each group. */

import {PROMISE_INTERVAL_MS} from './constants.js';
import {setFailovers} from './updates.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Change} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';
import type {GroupId, HostId, Instant} from '../model/ids.js';
import type {PromiseMessage} from '../model/message.js';

/** Tells whether promises for a group were asked for too recently to repeat. */
export function hasJustAsked(
  board: Blackboard,
  group: GroupId,
  now: Instant,
): boolean {
  const round = board.failovers.rounds.get(group);
  return round !== undefined && now - round.sentAt < PROMISE_INTERVAL_MS;
}

/** Asks hosts for promises about a group; replaces the round before. */
export function startRound(
  board: Blackboard,
  group: GroupObject,
  hosts: readonly HostId[],
  now: Instant,
  flags: Pick<PromiseMessage, 'isHandedOver'> = {},
): Change {
  const ask = board.relay.nextAsk;
  const next = setFailovers(
    {...board, relay: {...board.relay, nextAsk: ask + 1}},
    {
      rounds: board.failovers.rounds.set(group.id, {
        ask,
        sentAt: now,
        waitingFor: hosts,
      }),
    },
  );
  const actions = hosts.map((host): Action => ({
    type: 'send',
    host,
    msg: {type: 'promise', ask, group: group.id, term: group.term, ...flags},
  }));
  return {board: next, actions};
}
