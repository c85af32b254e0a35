/** Log positions of a group and the order that terms give them. */

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

/** How a position written in one term stands in the history that survived. */
export type PositionFate = 'survives' | 'lost' | 'unknown';

/**
 * Tells whether a position is part of the history at `currentTerm`. A position
 * of an older term survives up to the least start of all following terms: a
 * later term may start below an earlier one, from a replica that was behind.
 * Beyond it the write was lost in a change of primary.
 */
export function readPositionFate(
  position: LogPosition,
  currentTerm: number,
  starts: readonly TermStart[],
): PositionFate {
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
 * Tells whether an endpoint at `at` has provably reached `wanted`. An endpoint
 * still in an older term than the wanted position proves nothing.
 */
export function hasReached(
  at: LogPosition,
  wanted: LogPosition,
  starts: readonly TermStart[],
): boolean {
  if (at.term < wanted.term) {
    return false;
  }
  return (
    readPositionFate(wanted, at.term, starts) === 'survives' &&
    at.index >= wanted.index
  );
}

/** Returns the later of two positions; a higher term is later. */
export function latestPosition(a: LogPosition, b: LogPosition): LogPosition {
  if (a.term !== b.term) {
    return a.term > b.term ? a : b;
  }
  return a.index >= b.index ? a : b;
}
