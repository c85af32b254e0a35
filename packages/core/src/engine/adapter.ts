/** Adapters: the ports between the library and the outside. */

import type {Observable} from 'rxjs';
import type {Action, ActionOf} from './action.js';
import type {Event} from './event.js';

/** What performs each of some types of action. */
export type Performers<T extends Action['type']> = {
  readonly [K in T]: (action: ActionOf<K>) => void;
};

/** Connects the library to one kind of outside system. */
export interface Adapter<T extends Action['type']> {
  /** What the outside tells; hot, never errors, completes on close. */
  readonly events$: Observable<Event>;
  /** Performs actions; returns at once, results come as events. */
  readonly performers: Performers<T>;
  /** Releases sockets and timers; resolves once all are closed. */
  readonly close: () => Promise<void>;
}
