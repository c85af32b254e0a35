/** Updates of the sessions slice. */

import type {Positions, SessionsSlice} from './state.js';
import type {Blackboard} from '../engine/blackboard.js';
import {latestPosition} from '../model/position.js';

/** Replaces parts of the sessions slice. */
export function setSessions(
  board: Blackboard,
  parts: Partial<SessionsSlice>,
): Blackboard {
  return {...board, sessions: {...board.sessions, ...parts}};
}

/** Returns the later of the positions of each group. */
export function mergePositions(a: Positions, b: Positions): Positions {
  return a.mergeWith(latestPosition, b);
}
