/**
 * Promises of a write owner to the one before it. A host that stops hands its
 * registration over at once, while transactions are open in its pool. Until
 * they end it asks the next write owner not to change the primary without a
 * fence. A fence shows in its view in time, so that such promises together with
 * a fresh view are evidence that the primary was not replaced.
 */

import {EVIDENCE_LAPSE_MS} from './constants.js';
import {hasWriteEvidence, readGroup} from './facts.js';
import {hasJustAsked, startRound} from './promise_round.js';
import type {WriterState} from './state.js';
import {setFailovers} from './updates.js';
import type {Blackboard} from '../engine/blackboard.js';
import {chain, unchanged} from '../engine/engine.js';
import type {Change} from '../engine/engine.js';
import {findWriteOwner} from '../model/group.js';
import type {GroupObject} from '../model/group.js';
import type {GroupId, HostId, Instant} from '../model/ids.js';
import type {PromisedMessage, PromiseMessage} from '../model/message.js';
import {hasRunningWrites} from '../owner/pool_status.js';

/** Tells whether this host handed a group over and has work left there. */
function hasWorkLeft(board: Blackboard, group: GroupObject): boolean {
  const writer = board.failovers.writers.get(group.id);
  return (
    writer?.isRegistered === false &&
    writer.term === group.term &&
    group.fence === null &&
    hasRunningWrites(board, group.primary)
  );
}

/** Asks the next write owner of a group for a promise, unless just asked. */
function askSuccessor(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): Change {
  const successor = findWriteOwner(group);
  const isDue = !hasJustAsked(board, group.id, now);
  return successor !== null && isDue && hasWorkLeft(board, group)
    ? startRound(board, group, [successor], now, {isHandedOver: true})
    : unchanged(board);
}

/** Asks for promises wherever this host finishes work after a handover. */
export function reviewSuccessors(board: Blackboard, now: Instant): Change {
  const steps = [...board.failovers.writers.entries()]
    .filter(([, writer]) => !writer.isRegistered)
    .map(([id]) => readGroup(board, id))
    .filter(group => group !== null)
    .map(group => (current: Blackboard) => askSuccessor(current, group, now));
  return chain(board, ...steps);
}

/**
 * Tells whether this write owner may promise an earlier one not to change the
 * primary at once: it is sure of the term, has no reason to change the primary
 * and no change in progress.
 */
function mayPromisePredecessor(
  board: Blackboard,
  msg: PromiseMessage,
  now: Instant,
): boolean {
  const {inquiries, pending, planned} = board.failovers;
  const purpose = pending.get(msg.group)?.purpose ?? 'register';
  return (
    purpose === 'register' &&
    !planned.has(msg.group) &&
    !inquiries.has(msg.group) &&
    hasWriteEvidence(board, msg.group, msg.term, now)
  );
}

/** Answers an earlier write owner that finishes its work. */
export function answerPredecessor(
  board: Blackboard,
  host: HostId,
  msg: PromiseMessage,
  now: Instant,
): Change {
  const {ask, group, term} = msg;
  const granted = mayPromisePredecessor(board, msg, now);
  const {predecessorUntil} = board.failovers;
  const next = granted
    ? setFailovers(board, {
        predecessorUntil: predecessorUntil.set(group, now + EVIDENCE_LAPSE_MS),
      })
    : board;
  return unchanged(next, {
    type: 'send',
    host,
    msg: {type: 'promised', ask, group, term, granted},
  });
}

/** Notes a promise of the next write owner. */
export function noteSuccessorPromise(
  board: Blackboard,
  host: HostId,
  msg: PromisedMessage,
  askedAt: Instant,
): Blackboard {
  const {writers} = board.failovers;
  const writer = writers.get(msg.group);
  if (writer?.term !== msg.term) {
    return board;
  }
  const successorPromise = {from: host, askedAt};
  return setFailovers(board, {
    writers: writers.set(msg.group, {...writer, successorPromise}),
  });
}

/**
 * Returns the instant from which evidence counts after a handover. A promise
 * counts while the view names its author as write owner, and no longer than
 * the view is fresh: whoever registers later changes nothing before that.
 */
export function readSuccessionAsOf(
  board: Blackboard,
  id: GroupId,
  writer: WriterState,
  freshAt: Instant,
): Instant | null {
  const group = readGroup(board, id);
  const {successorPromise, sureAsOf} = writer;
  const isCurrent =
    successorPromise !== null &&
    group?.term === writer.term &&
    findWriteOwner(group) === successorPromise.from;
  return isCurrent
    ? Math.max(
        sureAsOf ?? -Infinity,
        Math.min(freshAt, successorPromise.askedAt),
      )
    : sureAsOf;
}
