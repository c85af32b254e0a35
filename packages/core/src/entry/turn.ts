/** What handlers of a caller's statement are given. */

import type {ClassifiedStatement} from './sql.js';
import type {Caller, WaitingStatement} from './state.js';
import type {Context} from '../engine/engine.js';

/** Everything that a handler of a statement needs. */
export interface Turn {
  readonly caller: Caller;
  readonly current: WaitingStatement;
  readonly classified: ClassifiedStatement;
  readonly ctx: Context;
}
