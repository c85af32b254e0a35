/** Positions in a group's log, ordered by term and index. */

/** A position in a group's log: the term that wrote it and its index. */
export interface LogPosition {
  readonly term: number;
  /** Index of the last entry, counted from 1 over all terms. */
  readonly index: number;
}

/** The index of the last entry that precedes the first write of a term. */
export interface TermStart {
  readonly term: number;
  readonly index: number;
}

/** Whether a position is still part of the log in a later term. */
export type PositionStatus = 'survives' | 'lost' | 'unknown';

/**
 * Returns whether a position is part of the log in `currentTerm`. A position of
 * an older term survives up to the lowest start of all following terms: a later
 * term may start below an earlier one, from a replica that was behind. Beyond
 * that start the write was lost in a change of primary.
 */
export function getPositionStatus(
  position: LogPosition,
  currentTerm: number,
  starts: readonly TermStart[],
): PositionStatus {
  if (position.term === currentTerm) {
    return 'survives';
  }
  if (position.term > currentTerm) {
    return 'unknown';
  }
  const following = starts
    .filter(({term}) => term > position.term && term <= currentTerm)
    .map(({index}) => index);
  if (following.length === 0) {
    return 'unknown';
  }
  return position.index <= Math.min(...following) ? 'survives' : 'lost';
}

/**
 * Returns whether an endpoint at `current` has provably reached `wanted`. An
 * endpoint in an older term than the wanted position proves nothing.
 */
export function hasReached(
  current: LogPosition,
  wanted: LogPosition,
  starts: readonly TermStart[],
): boolean {
  if (current.term < wanted.term) {
    return false;
  }
  return (
    getPositionStatus(wanted, current.term, starts) === 'survives' &&
    current.index >= wanted.index
  );
}

/** Returns the later of two positions; a higher term is later. */
export function latestPosition(a: LogPosition, b: LogPosition): LogPosition {
  if (a.term !== b.term) {
    return a.term > b.term ? a : b;
  }
  return a.index >= b.index ? a : b;
}
