/** Event loop of an entry host: dispatches events and performs the actions. */

import type {Action, Engine, Event, Performers} from '@lacewingroad/core';
import type {Runtime} from '@lacewingroad/runtime';

/** Actions performed by adapters; the engine handles `emit` itself. */
export type ExternalAction = Exclude<Action['type'], 'emit'>;

/** Configuration of the event loop. */
export interface EventLoopConfig {
  readonly engine: Engine;
  readonly runtime: Runtime;
  readonly performers: Performers<ExternalAction>;
  /** Called with an error of a handler or performer, which is a defect. */
  readonly onFatal: (err: unknown) => void;
}

/** Handles events one at a time, in the order of their arrival. */
export interface EventLoop {
  /** Handles an event now, or after those already in progress or queued. */
  readonly push: (event: Event) => void;
  /** Drops queued events and ignores all further ones. */
  readonly stop: () => void;
}

type AnyPerformer = (action: Action) => void;

/** Creates the event loop. */
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
