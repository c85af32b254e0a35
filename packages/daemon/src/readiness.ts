/** Whether this host takes callers. */

import type {Blackboard} from '@lacewingroad/core';

/** Whether callers may be sent here, and why not. */
export interface Readiness {
  readonly ready: boolean;
  readonly reason: string | null;
}

/** Reads the readiness from the blackboard. */
export function readReadiness(
  board: Blackboard,
  isDraining: boolean,
): Readiness {
  if (isDraining || board.self.drainDeadline !== null) {
    return {ready: false, reason: 'draining: this host is being stopped'};
  }
  if (board.view.freshAt === null) {
    const reason =
      'no view yet: neither the platform nor a peer has told this host its configuration';
    return {ready: false, reason};
  }
  return {ready: true, reason: null};
}
