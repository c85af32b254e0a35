/** The statement that is being served for a caller. */

import type {ClassifiedStatement} from './sql.js';
import type {Caller, WaitingStatement} from './state.js';
import type {Context} from '../engine/engine.js';

/** Input of a statement handler. */
export interface ActiveStatement {
  readonly caller: Caller;
  readonly current: WaitingStatement;
  readonly classified: ClassifiedStatement;
  readonly ctx: Context;
}
