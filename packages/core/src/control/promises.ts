/**
 * Promises: while the platform does not answer, a write owner extends its
 * evidence by requesting a promise from every host that could change the
 * primary not to do so for a limited time. If one of them refuses or does not
 * answer, the evidence expires. Promises only extend unexpired evidence.
 */

import {EVIDENCE_LAPSE_MS, EVIDENCE_MS, STALE_VIEW_MS} from './constants.js';
import {
  isWriteOwner,
  readEvidenceExpiry,
  readGroup,
  readPromoters,
} from './control_status.js';
import {hasRecentRound, startPromiseRound} from './promise_round.js';
import {answerPredecessor, recordSuccessorPromise} from './succession.js';
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
function listReplicaOwners(group: GroupObject): readonly HostId[] {
  return group.endpoints
    .filter(({id}) => id !== group.primary)
    .map(({id}) => group.owners[id])
    .filter(host => host !== undefined);
}

/**
 * Returns the hosts whose promises are required: the promoters in the known
 * object, and those in an update whose result is unknown. The next write owner
 * in such an update is not one of them, since it changes no primary before it
 * is confirmed.
 */
function listRequiredPromoters(
  board: Blackboard,
  group: GroupObject,
): readonly HostId[] {
  const pending = board.failovers.pendingUpdates.get(group.id);
  const hosts = new Set(readPromoters(group, board.self.host));
  if (pending !== undefined) {
    listReplicaOwners(pending.value).forEach(host => hosts.add(host));
    hosts.delete(board.self.host);
  }
  return [...hosts].sort();
}

/** Returns whether this host needs promises as write owner of a group. */
function needsPromises(
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

/** Requests promises if the evidence for a group needs them. */
export function reviewPromises(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): Change {
  if (
    hasRecentRound(board, group.id, now) ||
    !needsPromises(board, group, now)
  ) {
    return unchanged(board);
  }
  const promoters = listRequiredPromoters(board, group);
  return promoters.length === 0
    ? unchanged(board)
    : startPromiseRound(board, group, promoters, now);
}

/**
 * Returns whether the view is newer than this host's start. A restart loses the
 * promises and confirmations given before, so only the current state of the
 * platform identifies the write owner, not an older view of another host.
 */
function hasReadSinceStart(board: Blackboard): boolean {
  const {freshAt} = board.view;
  return freshAt !== null && freshAt >= board.self.startedAt;
}

/**
 * Returns whether this host may promise not to promote a group. It need not be
 * registered as a promoter yet: while the result of its registration is unknown,
 * the write owner requires its promise too.
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
  const isBusy = board.failovers.pendingUpdates.has(group.id);
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
      givenPromises: board.failovers.givenPromises.set(msg.group, {
        to: host,
        until,
      }),
    }),
    answer,
  );
}

/**
 * Records that a registered promoter knows this write owner. A promoter that is
 * not registered yet does not count, since an earlier write owner does not need
 * its promise.
 */
function recordConfirmation(
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
  const round = board.failovers.promiseRounds.get(msg.group);
  if (round?.ask !== msg.ask || !msg.granted) {
    return unchanged(board);
  }
  const writer = board.failovers.writers.get(msg.group);
  if (writer?.isRegistered === false) {
    return unchanged(recordSuccessorPromise(board, host, msg, round.sentAt));
  }
  const confirmed = recordConfirmation(board, host, msg, now);
  const waitingFor = round.waitingFor.filter(other => other !== host);
  if (waitingFor.length > 0) {
    return unchanged(
      setFailovers(confirmed, {
        promiseRounds: confirmed.failovers.promiseRounds.set(msg.group, {
          ...round,
          waitingFor,
        }),
      }),
    );
  }
  return unchanged(extendEvidence(confirmed, msg, round.sentAt, now));
}

/** Extends unexpired evidence, counted from when the requests were sent. */
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

/** Grants and collects promises not to change a primary. */
export const promisesFeature: Feature = {
  name: 'promises',
  handlers: {peer_message: handlePeerMessage},
};
