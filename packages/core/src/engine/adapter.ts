/** Adapters: the connections between the engine and external systems. */

import type {Observable} from 'rxjs';
import type {Action, ActionOf} from './action.js';
import type {Event} from './event.js';

/** Functions that perform actions, by type of action. */
export type Performers<T extends Action['type']> = {
  readonly [K in T]: (action: ActionOf<K>) => void;
};

/** Connects the engine to one kind of external system. */
export interface Adapter<T extends Action['type']> {
  /** Events of the external system; hot, never errors, completes on close. */
  readonly events$: Observable<Event>;
  /** Performs actions; returns at once, results come as events. */
  readonly performers: Performers<T>;
  /** Releases sockets and timers; resolves once all are closed. */
  readonly close: () => Promise<void>;
}
