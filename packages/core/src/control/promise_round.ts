/** Rounds of promise requests, at most one at a time per group. */

import {PROMISE_INTERVAL_MS} from './constants.js';
import {setFailovers} from './updates.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Change} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';
import type {GroupId, HostId, Instant} from '../model/ids.js';
import type {PromiseMessage} from '../model/message.js';

/** Returns whether the last round of a group is too recent to start another. */
export function hasRecentRound(
  board: Blackboard,
  group: GroupId,
  now: Instant,
): boolean {
  const round = board.failovers.promiseRounds.get(group);
  return round !== undefined && now - round.sentAt < PROMISE_INTERVAL_MS;
}

/** Requests promises for a group from hosts, and replaces the previous round. */
export function startPromiseRound(
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
      promiseRounds: board.failovers.promiseRounds.set(group.id, {
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
