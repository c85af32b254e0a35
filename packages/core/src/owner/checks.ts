/**
 * Checks whether a pool may run or acknowledge a request.
 *
 * Write evidence is this host's proof, valid for a limited time, that the
 * endpoint is still the primary of a term; see hasWriteEvidence.
 */

import type {GroupObject} from '../model/group.js';
import type {RunMessage} from '../model/message.js';
import type {NotRunReason, UnknownReason} from '../model/outcome.js';
import type {LogPosition} from '../model/position.js';
import {hasReached, getPositionStatus} from '../model/position.js';
import {
  hasWriteEvidence,
  isWriteHeld,
  mayAcknowledge,
  readPrimaryCurrentAsOf,
} from '../control/control_status.js';
import {getEndpoint, getGroup} from './turn.js';
import type {Turn} from './turn.js';
import type {Pool} from './state.js';

/**
 * Returns whether a request needs write evidence. A read outside of a
 * transaction needs it if it names a term.
 */
function needsEvidence(pool: Pool, msg: RunMessage): boolean {
  if (msg.mode === 'rollback') {
    return false;
  }
  if (msg.mode === 'commit') {
    return msg.tx !== null && (pool.txs.get(msg.tx)?.hasWritten ?? false);
  }
  return msg.isWrite || (msg.term !== null && msg.mode !== 'in_tx');
}

/** Returns `not_primary` unless the endpoint is the primary of the term. */
function findTermFault(
  group: GroupObject | null,
  pool: Pool,
  term: number | null,
): NotRunReason | null {
  if (group === null || term === null) {
    return 'not_primary';
  }
  return group.term === term && group.primary === pool.endpoint
    ? null
    : 'not_primary';
}

/**
 * Returns why new work may not begin, or null: a planned change of primary
 * holds back new writes, or this host is not the write owner with valid
 * evidence. Work that has begun may continue, even after this host handed the
 * primary over.
 */
function findNewWorkFault(
  turn: Turn,
  pool: Pool,
  msg: RunMessage,
  term: number,
): NotRunReason | null {
  const board = turn.board();
  if (msg.isWrite && isWriteHeld(board, pool.group, turn.now)) {
    return 'fenced';
  }
  return hasWriteEvidence(board, pool.group, term, turn.now)
    ? null
    : 'no_evidence';
}

/** Returns whether a request begins new work at the endpoint. */
function isNewWork(msg: RunMessage): boolean {
  return msg.mode === 'autocommit' || msg.mode === 'begin';
}

/** Returns why write evidence does not allow a request to begin, or null. */
export function findStartFault(
  turn: Turn,
  pool: Pool,
  msg: RunMessage,
): NotRunReason | null {
  const fault = findEvidenceFault(turn, pool, msg);
  if (fault !== null || !needsEvidence(pool, msg) || !isNewWork(msg)) {
    return fault;
  }
  return findNewWorkFault(turn, pool, msg, msg.term!);
}

/** Returns why write evidence does not allow a request to continue, or null. */
export function findEvidenceFault(
  turn: Turn,
  pool: Pool,
  msg: RunMessage,
): NotRunReason | null {
  if (!needsEvidence(pool, msg)) {
    return null;
  }
  const group = getGroup(turn, pool);
  const fault = findTermFault(group, pool, msg.term);
  if (fault !== null) {
    return fault;
  }
  const term = msg.term!;
  if (term <= pool.stoppedTerm || (group!.fence?.term ?? 0) >= term) {
    return 'fenced';
  }
  return mayAcknowledge(turn.board(), pool.group, term, turn.now)
    ? null
    : 'no_evidence';
}

/** Returns why an answer may not be acknowledged, or null. */
export function findAckFault(
  turn: Turn,
  pool: Pool,
  msg: RunMessage,
): UnknownReason | null {
  const fault = findEvidenceFault(turn, pool, msg);
  if (fault === null) {
    return null;
  }
  return fault === 'not_primary' ? 'replaced_primary' : 'evidence_expired';
}

/** Returns whether the endpoint has provably reached a position. */
export function isPositionReached(
  turn: Turn,
  pool: Pool,
  position: LogPosition,
): boolean {
  const group = getGroup(turn, pool);
  const status = turn.board().endpoints.views.get(pool.endpoint)?.status;
  if (group === null || !status) {
    return false;
  }
  const isPrimary =
    group.primary === pool.endpoint &&
    status.role === 'primary' &&
    status.position.term === group.term;
  if (isPrimary) {
    const status = getPositionStatus(position, group.term, group.starts);
    return position.term <= group.term && status !== 'lost';
  }
  return hasReached(status.position, position, group.starts);
}

/** Returns whether the endpoint's data is recent enough for a read. */
function isFreshEnough(
  turn: Turn,
  pool: Pool,
  maxStalenessMs: number | null,
): boolean {
  if (maxStalenessMs === null) {
    return true;
  }
  const view = turn.board().endpoints.views.get(pool.endpoint);
  const asOf = view?.dataAsOf ?? null;
  const currentAsOf = readPrimaryCurrentAsOf(turn.board(), pool.group);
  if (asOf === null || currentAsOf === null) {
    return false;
  }
  return Math.min(asOf, currentAsOf) >= turn.now - maxStalenessMs;
}

/** Returns whether the endpoint meets a read's position and staleness limit. */
export function isReadable(turn: Turn, pool: Pool, msg: RunMessage): boolean {
  if (msg.minPosition !== null) {
    if (!isPositionReached(turn, pool, msg.minPosition)) {
      return false;
    }
  }
  return isFreshEnough(turn, pool, msg.maxStalenessMs);
}

/** Returns whether the endpoint takes no new work: it is leaving or unknown. */
export function isLeaving(turn: Turn, pool: Pool): boolean {
  return getEndpoint(turn, pool)?.leaving ?? true;
}
