/** Checks that no earlier write owner of a term can still acknowledge writes. */

import {EVIDENCE_LAPSE_MS} from './constants.js';
import {isWriteOwner} from './control_status.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {GroupObject} from '../model/group.js';
import type {Instant} from '../model/ids.js';

/**
 * Returns whether no earlier write owner of the term can still hold evidence.
 * This holds once a promoter, which grants promises to the registered write
 * owner only, has known this host as such for EVIDENCE_LAPSE_MS.
 */
export function isConfirmedWriter(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): boolean {
  const writer = board.failovers.writers.get(group.id);
  if (!isWriteOwner(board, group) || writer?.term !== group.term) {
    return false;
  }
  const {confirmedAt} = writer;
  return confirmedAt !== null && now - confirmedAt >= EVIDENCE_LAPSE_MS;
}

/**
 * Returns whether this host may change the primary without a fence: it is
 * confirmed, and its promises to earlier write owners of the term have expired.
 */
export function mayChangePrimary(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): boolean {
  const promisedUntil =
    board.failovers.predecessorPromiseUntil.get(group.id) ?? -Infinity;
  return isConfirmedWriter(board, group, now) && now >= promisedUntil;
}
