/** This host's standing as registered owner of primaries. */

import {isWriteOwner, readGroup, readPromoters} from './facts.js';
import {stopAcknowledging} from './stop.js';
import {readSuccessionAsOf} from './succession.js';
import {setFailovers} from './updates.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Feature, Handler} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';
import type {GroupId, Instant} from '../model/ids.js';

/**
 * Begins a registration. Without promoters it needs no confirmation: an earlier
 * write owner finds nobody either who could extend its evidence.
 */
function beginWriting(
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
      sureAsOf: null,
      successorPromise: null,
      isRegistered: true,
    }),
    promisedUntil: failovers.promisedUntil.delete(group.id),
    rounds: failovers.rounds.delete(group.id),
  });
  return unchanged(next, {
    type: 'record',
    level: 'info',
    event: 'write_owner',
    fields: {group: group.id, term: group.term, primary: group.primary},
  });
}

/** Ends acknowledgements of a term that was fenced or replaced. */
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

/** Notes that another host took the registration over within the term. */
function handOver(board: Blackboard, group: GroupObject): Change {
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
      rounds: failovers.rounds.delete(group.id),
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

/** Notes the version of a group as this process first sees it. */
function noteFirstVersion(board: Blackboard, group: GroupId): Blackboard {
  const {firstVersions} = board.failovers;
  const standing = board.view.groups.get(group);
  if (standing === undefined || firstVersions.has(group)) {
    return board;
  }
  return setFailovers(board, {
    firstVersions: firstVersions.set(group, standing.version),
  });
}

const handleGroupChanged: Handler<'group_changed'> = (board, event, ctx) => {
  const group = readGroup(board, event.group);
  if (group === null) {
    return unchanged(board);
  }
  const writer = board.failovers.writers.get(group.id);
  const actions: Action[] = [];
  let next = noteFirstVersion(board, group.id);
  if (writer !== undefined && writer.term < group.term) {
    const change = stopWriting(next, group.id, writer.term, 'replaced');
    next = change.board;
    actions.push(...change.actions);
  }
  if (!isWriteOwner(next, group)) {
    const change = handOver(next, group);
    return {board: change.board, actions: [...actions, ...change.actions]};
  }
  if (writer?.term !== group.term || !writer.isRegistered) {
    const change = beginWriting(next, group, ctx.now);
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

/** Notes up to when the registrations of this host are known to stand. */
export function noteRegistrations(board: Blackboard): Blackboard {
  const {freshAt} = board.view;
  if (freshAt === null) {
    return board;
  }
  const writers = board.failovers.writers.map((writer, id) => {
    const sureAsOf = writer.isRegistered
      ? freshAt
      : readSuccessionAsOf(board, id, writer, freshAt);
    return writer.sureAsOf === sureAsOf ? writer : {...writer, sureAsOf};
  });
  return writers.equals(board.failovers.writers)
    ? board
    : setFailovers(board, {writers});
}

/** Keeps this host's standing as write owner in line with the view. */
export const writerFeature: Feature = {
  name: 'writer',
  handlers: {group_changed: handleGroupChanged},
};
