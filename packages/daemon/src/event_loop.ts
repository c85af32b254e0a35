/** The one loop of an entry host: each event, then the actions it leads to. */

import type {Action, Engine, Event, Performers} from '@lacewingroad/core';
import type {Runtime} from '@lacewingroad/runtime';

/** Actions that reach the outside; the engine handles the others itself. */
export type OutsideAction = Exclude<Action['type'], 'emit'>;

/** What the loop needs. */
export interface EventLoopConfig {
  readonly engine: Engine;
  readonly runtime: Runtime;
  readonly performers: Performers<OutsideAction>;
  /** Called with an error of a handler or performer; a defect. */
  readonly onFatal: (err: unknown) => void;
}

/** Handles events one after the other. */
export interface EventLoop {
  /** Handles an event, after those that are being handled. */
  readonly push: (event: Event) => void;
  /** Ignores all further events. */
  readonly stop: () => void;
}

type AnyPerformer = (action: Action) => void;

/** Creates the loop. */
export function createEventLoop(cfg: EventLoopConfig): EventLoop {
  const {engine, runtime} = cfg;
  const performers = cfg.performers as unknown as Readonly<
    Record<string, AnyPerformer>
  >;
  let pending: Event[] = [];
  let isRunning = false;
  let isStopped = false;

  const handle = (event: Event): void => {
    const actions = engine.dispatch(event, {
      now: runtime.now(),
      random: runtime.random,
    });
    for (const action of actions) {
      performers[action.type]!(action);
    }
  };

  const run = (): void => {
    while (pending.length > 0) {
      const events = pending;
      pending = [];
      for (const event of events) {
        if (isStopped) {
          return;
        }
        handle(event);
      }
    }
  };

  return {
    push: event => {
      pending.push(event);
      if (isRunning || isStopped) {
        return;
      }
      isRunning = true;
      try {
        run();
      } catch (err) {
        isStopped = true;
        cfg.onFatal(err);
      } finally {
        isRunning = false;
      }
    },
    stop: () => {
      isStopped = true;
      pending = [];
    },
  };
}
