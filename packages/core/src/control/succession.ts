/**
 * Promises of a write owner to its predecessor. A stopping host hands its
 * registration over at once, while transactions are still open in its pool.
 * Until they end, it requests promises from the next write owner not to change
 * the primary without a fence. A fence appears in the view before the primary
 * changes, so these promises and a fresh view are evidence together.
 */

import {EVIDENCE_LAPSE_MS} from './constants.js';
import {hasWriteEvidence, readGroup} from './control_status.js';
import {hasRecentRound, startPromiseRound} from './promise_round.js';
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

/** Returns whether this host handed a group over and still runs writes in it. */
function hasWorkLeft(board: Blackboard, group: GroupObject): boolean {
  const writer = board.failovers.writers.get(group.id);
  return (
    writer?.isRegistered === false &&
    writer.term === group.term &&
    group.fence === null &&
    hasRunningWrites(board, group.primary)
  );
}

/** Requests a promise from the next write owner of a group when one is due. */
function requestSuccessorPromise(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): Change {
  const successor = findWriteOwner(group);
  const isDue = !hasRecentRound(board, group.id, now);
  return successor !== null && isDue && hasWorkLeft(board, group)
    ? startPromiseRound(board, group, [successor], now, {isHandedOver: true})
    : unchanged(board);
}

/** Requests promises for all groups with work left after a handover. */
export function reviewSuccessors(board: Blackboard, now: Instant): Change {
  const steps = [...board.failovers.writers.entries()]
    .filter(([, writer]) => !writer.isRegistered)
    .map(([id]) => readGroup(board, id))
    .filter(group => group !== null)
    .map(
      group => (current: Blackboard) =>
        requestSuccessorPromise(current, group, now),
    );
  return chain(board, ...steps);
}

/**
 * Returns whether this write owner may promise an earlier one not to change the
 * primary without a fence: it has evidence for the term, does not suspect the
 * primary, and has no change in progress.
 */
function mayPromisePredecessor(
  board: Blackboard,
  msg: PromiseMessage,
  now: Instant,
): boolean {
  const {inquiries, pendingUpdates, planned} = board.failovers;
  const purpose = pendingUpdates.get(msg.group)?.purpose ?? 'register';
  return (
    purpose === 'register' &&
    !planned.has(msg.group) &&
    !inquiries.has(msg.group) &&
    hasWriteEvidence(board, msg.group, msg.term, now)
  );
}

/** Answers a promise request of an earlier write owner of the term. */
export function answerPredecessor(
  board: Blackboard,
  host: HostId,
  msg: PromiseMessage,
  now: Instant,
): Change {
  const {ask, group, term} = msg;
  const granted = mayPromisePredecessor(board, msg, now);
  const {predecessorPromiseUntil} = board.failovers;
  const next = granted
    ? setFailovers(board, {
        predecessorPromiseUntil: predecessorPromiseUntil.set(
          group,
          now + EVIDENCE_LAPSE_MS,
        ),
      })
    : board;
  return unchanged(next, {
    type: 'send',
    host,
    msg: {type: 'promised', ask, group, term, granted},
  });
}

/** Records a promise of the next write owner. */
export function recordSuccessorPromise(
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
 * counts while the view names its author as write owner, and only up to the time
 * of the view: a write owner that registers later cannot change the primary
 * before evidence from that time has expired.
 */
export function readHandoverEvidenceAsOf(
  board: Blackboard,
  id: GroupId,
  writer: WriterState,
  freshAt: Instant,
): Instant | null {
  const group = readGroup(board, id);
  const {successorPromise, evidenceAsOf} = writer;
  const isCurrent =
    successorPromise !== null &&
    group?.term === writer.term &&
    findWriteOwner(group) === successorPromise.from;
  return isCurrent
    ? Math.max(
        evidenceAsOf ?? -Infinity,
        Math.min(freshAt, successorPromise.askedAt),
      )
    : evidenceAsOf;
}
