/** Performs `set_timer`; each timer that fires becomes an event. */

import type {Event, Performers} from '@lacewingroad/core';
import type {Runtime, Unregister} from '@lacewingroad/runtime';

/** Timers of one entry host. */
export interface Timers {
  readonly performers: Performers<'set_timer'>;
  /** Cancels all timers that have not fired. */
  readonly close: () => void;
}

/** Creates the timers; `push` receives an event for each that fires. */
export function createTimers(
  runtime: Runtime,
  push: (event: Event) => void,
): Timers {
  const registered = new Set<Unregister>();
  return {
    performers: {
      set_timer: ({at, timer}) => {
        const unregister = runtime.at(at, () => {
          registered.delete(unregister);
          push({type: 'timer', timer});
        });
        registered.add(unregister);
      },
    },
    close: () => {
      registered.forEach(unregister => unregister());
      registered.clear();
    },
  };
}
