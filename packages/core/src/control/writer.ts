/** Tracks this host's registrations as owner of primaries. */

import {isWriteOwner, readGroup, readPromoters} from './control_status.js';
import {stopAcknowledging} from './stop_acknowledging.js';
import {readHandoverEvidenceAsOf} from './succession.js';
import {setFailovers} from './updates.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Feature, Handler} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';
import type {GroupId, Instant} from '../model/ids.js';

/**
 * Starts this host's time as write owner of a term. It needs no confirmation if
 * the group has no promoters, since then no promoter could extend the evidence
 * of an earlier write owner.
 */
function startWriterTerm(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): Change {
  const {failovers} = board;
  const hasPromoters = readPromoters(group, board.self.host).length > 0;
  const next = setFailovers(board, {
    writers: failovers.writers.set(group.id, {
      term: group.term,
      confirmedAt: hasPromoters ? null : now,
      evidenceAsOf: null,
      successorPromise: null,
      isRegistered: true,
    }),
    promisedUntil: failovers.promisedUntil.delete(group.id),
    promiseRounds: failovers.promiseRounds.delete(group.id),
  });
  return unchanged(next, {
    type: 'record',
    level: 'info',
    event: 'write_owner',
    fields: {group: group.id, term: group.term, primary: group.primary},
  });
}

/** Stops acknowledgements in a term that was fenced or replaced. */
function stopWriting(
  board: Blackboard,
  group: GroupId,
  term: number,
  reason: string,
): Change {
  const change = stopAcknowledging(board, {id: group, term});
  if (change.board === board) {
    return change;
  }
  const record: Action = {
    type: 'record',
    level: 'warn',
    event: 'writes_stopped',
    fields: {group, term, reason},
  };
  return {board: change.board, actions: [...change.actions, record]};
}

/** Records that another host took the registration over within the term. */
function markHandedOver(board: Blackboard, group: GroupObject): Change {
  const {failovers} = board;
  const writer = failovers.writers.get(group.id);
  if (writer === undefined || !writer.isRegistered) {
    return unchanged(board);
  }
  return unchanged(
    setFailovers(board, {
      writers: failovers.writers.set(group.id, {
        ...writer,
        isRegistered: false,
      }),
      promiseRounds: failovers.promiseRounds.delete(group.id),
    }),
    {
      type: 'record',
      level: 'info',
      event: 'write_owner_handed_over',
      fields: {
        group: group.id,
        term: group.term,
        to: group.owners[group.primary] ?? null,
      },
    },
  );
}

/** Records the version at which this process first sees a group. */
function recordFirstVersion(board: Blackboard, group: GroupId): Blackboard {
  const {firstVersions} = board.failovers;
  const stored = board.view.groups.get(group);
  if (stored === undefined || firstVersions.has(group)) {
    return board;
  }
  return setFailovers(board, {
    firstVersions: firstVersions.set(group, stored.version),
  });
}

const handleGroupChanged: Handler<'group_changed'> = (board, event, ctx) => {
  const group = readGroup(board, event.group);
  if (group === null) {
    return unchanged(board);
  }
  const writer = board.failovers.writers.get(group.id);
  const actions: Action[] = [];
  let next = recordFirstVersion(board, group.id);
  if (writer !== undefined && writer.term < group.term) {
    const change = stopWriting(next, group.id, writer.term, 'replaced');
    next = change.board;
    actions.push(...change.actions);
  }
  if (!isWriteOwner(next, group)) {
    const change = markHandedOver(next, group);
    return {board: change.board, actions: [...actions, ...change.actions]};
  }
  if (writer?.term !== group.term || !writer.isRegistered) {
    const change = startWriterTerm(next, group, ctx.now);
    next = change.board;
    actions.push(...change.actions);
  }
  if (group.fence !== null) {
    const change = stopWriting(next, group.id, group.term, 'fenced');
    next = change.board;
    actions.push(...change.actions);
  }
  return {board: next, actions};
};

/** Updates the instants from which this host's evidence counts. */
export function updateWriterEvidence(board: Blackboard): Blackboard {
  const {freshAt} = board.view;
  if (freshAt === null) {
    return board;
  }
  const writers = board.failovers.writers.map((writer, id) => {
    const evidenceAsOf = writer.isRegistered
      ? freshAt
      : readHandoverEvidenceAsOf(board, id, writer, freshAt);
    return writer.evidenceAsOf === evidenceAsOf
      ? writer
      : {...writer, evidenceAsOf};
  });
  return writers.equals(board.failovers.writers)
    ? board
    : setFailovers(board, {writers});
}

/** Keeps this host's state as write owner in line with the view. */
export const writerFeature: Feature = {
  name: 'writer',
  handlers: {group_changed: handleGroupChanged},
};
