/** Whether a write owner may count on no earlier one of its term. */

import {EVIDENCE_LAPSE_MS} from './constants.js';
import {isWriteOwner} from './facts.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {GroupObject} from '../model/group.js';
import type {Instant} from '../model/ids.js';

/**
 * Tells whether no earlier write owner of the term can hold evidence: this
 * host has been registered, and known as such to a promoter that refuses all
 * others, for as long as evidence lasts.
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
 * Tells whether this host may change the primary at once: it is confirmed, and
 * no promise to an earlier write owner of the term stands.
 */
export function mayChangePrimary(
  board: Blackboard,
  group: GroupObject,
  now: Instant,
): boolean {
  const until = board.failovers.predecessorUntil.get(group.id) ?? -Infinity;
  return isConfirmedWriter(board, group, now) && now >= until;
}
