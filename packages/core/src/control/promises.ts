/**
 * Promises: while the platform does not answer, a write owner stays sure that
 * nobody changes the primary by asking every host that could to promise not to
 * for a while. One that refuses, or is silent, ends the evidence. A chain of
 * promises only extends evidence that has not expired.
 */

import {EVIDENCE_LAPSE_MS, EVIDENCE_MS, STALE_VIEW_MS} from './constants.js';
import {
  isWriteOwner,
  readEvidenceExpiry,
  readGroup,
  readPromoters,
} from './facts.js';
import {hasJustAsked, startRound} from './promise_round.js';
import {answerPredecessor, noteSuccessorPromise} from './succession.js';
import {setFailovers} from './updates.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Feature, Handler} from '../engine/engine.js';
import {findWriteOwner} from '../model/group.js';
import type {GroupObject} from '../model/group.js';
import type {HostId, Instant} from '../model/ids.js';
import type {PromisedMessage, PromiseMessage} from '../model/message.js';

/** Returns the owners of a group's replicas. */
function readReplicaOwners(group: GroupObject): readonly HostId[] {
  return group.endpoints
    .filter(({id}) => id !== group.primary)
    .map(({id}) => group.owners[id])
    .filter(host => host !== undefined);
}

/**
 * Returns the hosts whose promises are needed: the promoters of the object as
 * known, and those of a change whose end is not known yet. The next write owner
 * of such a change is none of them: it changes no primary before it is confirmed.
 */
function listNeededPromoters(
  board: Blackboard,
  group: GroupObject,
): readonly HostId[] {
  const pending = board.failovers.pending.get(group.id);
  const hosts = new Set(readPromoters(group, board.self.host));
  if (pending !== undefined) {
    readReplicaOwners(pending.value).forEach(host => hosts.add(host));
    hosts.delete(board.self.host);
  }
  return [...hosts].sort();
}

/** Tells whether promises are wanted now. */
function wantsPromises(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): boolean {
  const writer = board.failovers.writers.get(group.id);
  if (!isWriteOwner(board, group) || writer === undefined) {
    return false;
  }
  if (group.fence !== null || board.view.freshAt === null) {
    return false;
  }
  const isStale = now - board.view.freshAt > STALE_VIEW_MS;
  const expiry = readEvidenceExpiry(board, group.id) ?? -Infinity;
  return writer.confirmedAt === null || (isStale && now < expiry);
}

/** Asks for promises where the evidence of a group needs them. */
export function reviewPromises(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): Change {
  if (hasJustAsked(board, group.id, now) || !wantsPromises(board, group, now)) {
    return unchanged(board);
  }
  const promoters = listNeededPromoters(board, group);
  return promoters.length === 0
    ? unchanged(board)
    : startRound(board, group, promoters, now);
}

/**
 * Tells whether the view is from after this host's start. A restarted host has
 * forgotten what it promised and whom it confirmed; only the platform tells it
 * who is write owner now, not the older view of another host.
 */
function hasReadSinceStart(board: Blackboard): boolean {
  const {freshAt} = board.view;
  return freshAt !== null && freshAt >= board.self.startedAt;
}

/**
 * Tells whether this host may promise not to promote a group. It need not be
 * registered as a promoter yet: the write owner may have asked the platform to
 * register it, and must then count on both outcomes.
 */
function mayPromise(
  board: Blackboard,
  host: HostId,
  msg: PromiseMessage,
): boolean {
  const group = readGroup(board, msg.group);
  if (group === null || !hasReadSinceStart(board)) {
    return false;
  }
  const isBusy = board.failovers.pending.has(group.id);
  return (
    !isBusy &&
    group.term === msg.term &&
    group.fence === null &&
    findWriteOwner(group) === host
  );
}

function answerPromise(
  board: Blackboard,
  host: HostId,
  msg: PromiseMessage,
  now: Instant,
): Change {
  const granted = mayPromise(board, host, msg);
  const answer: Action = {
    type: 'send',
    host,
    msg: {
      type: 'promised',
      ask: msg.ask,
      group: msg.group,
      term: msg.term,
      granted,
    },
  };
  if (!granted) {
    return unchanged(board, answer);
  }
  const until = now + EVIDENCE_LAPSE_MS;
  return unchanged(
    setFailovers(board, {
      given: board.failovers.given.set(msg.group, {to: host, until}),
    }),
    answer,
  );
}

/**
 * Notes that a registered promoter knows of this write owner. One that is not
 * registered yet does not count: an earlier write owner need not ask it.
 */
function noteConfirmation(
  board: Blackboard,
  host: HostId,
  msg: PromisedMessage,
  now: Instant,
): Blackboard {
  const writer = board.failovers.writers.get(msg.group);
  if (writer?.term !== msg.term || writer.confirmedAt !== null) {
    return board;
  }
  const group = readGroup(board, msg.group);
  const promoters = group === null ? [] : readPromoters(group, board.self.host);
  if (!promoters.includes(host)) {
    return board;
  }
  return setFailovers(board, {
    writers: board.failovers.writers.set(msg.group, {
      ...writer,
      confirmedAt: now,
    }),
  });
}

function applyPromised(
  board: Blackboard,
  host: HostId,
  msg: PromisedMessage,
  now: Instant,
): Change {
  const round = board.failovers.rounds.get(msg.group);
  if (round?.ask !== msg.ask || !msg.granted) {
    return unchanged(board);
  }
  const writer = board.failovers.writers.get(msg.group);
  if (writer?.isRegistered === false) {
    return unchanged(noteSuccessorPromise(board, host, msg, round.sentAt));
  }
  const confirmed = noteConfirmation(board, host, msg, now);
  const waitingFor = round.waitingFor.filter(other => other !== host);
  if (waitingFor.length > 0) {
    return unchanged(
      setFailovers(confirmed, {
        rounds: confirmed.failovers.rounds.set(msg.group, {
          ...round,
          waitingFor,
        }),
      }),
    );
  }
  return unchanged(extendEvidence(confirmed, msg, round.sentAt, now));
}

/** Extends unexpired evidence from the instant the questions were sent. */
function extendEvidence(
  board: Blackboard,
  msg: PromisedMessage,
  sentAt: Instant,
  now: Instant,
): Blackboard {
  const expiry = readEvidenceExpiry(board, msg.group) ?? -Infinity;
  const {promisedUntil} = board.failovers;
  const isExpired = now >= expiry;
  return setFailovers(board, {
    promisedUntil: isExpired
      ? promisedUntil
      : promisedUntil.set(msg.group, sentAt + EVIDENCE_MS),
  });
}

const handlePeerMessage: Handler<'peer_message'> = (board, event, ctx) => {
  const {msg, host} = event;
  if (msg.type === 'promise') {
    const answer = msg.isHandedOver ? answerPredecessor : answerPromise;
    return answer(board, host, msg, ctx.now);
  }
  return msg.type === 'promised'
    ? applyPromised(board, host, msg, ctx.now)
    : unchanged(board);
};

/** Gives and collects promises not to change a primary. */
export const promisesFeature: Feature = {
  name: 'promises',
  handlers: {peer_message: handlePeerMessage},
};
