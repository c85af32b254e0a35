/** Readiness of this host for callers. */

import type {Blackboard} from '@lacewingroad/core';

/** Whether this host is ready for callers, and the reason if not. */
export interface Readiness {
  readonly ready: boolean;
  readonly reason: string | null;
}

/** Computes the readiness from the blackboard. */
export function computeReadiness(
  board: Blackboard,
  isDraining: boolean,
): Readiness {
  if (isDraining || board.self.drainDeadline !== null) {
    return {ready: false, reason: 'draining: this host is being stopped'};
  }
  if (board.view.freshAt === null) {
    const reason =
      'no view yet: this host has received its configuration neither from the platform nor from a peer';
    return {ready: false, reason};
  }
  return {ready: true, reason: null};
}
