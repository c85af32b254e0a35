/** A process that may be paused: what reaches it waits until it goes on. */

import type {Runtime, Unregister} from '@lacewingroad/runtime';

/** A process. */
export interface FakeProcess {
  readonly isPaused: () => boolean;
  readonly isDead: () => boolean;
  /** Since when it is paused, or null. */
  readonly pausedAt: () => number | null;
  /** Handles what arrived on a socket: now, or once it goes on. */
  readonly receive: (fn: () => void) => void;
  /** Calls `fn` at an instant, or once it goes on. */
  readonly at: (at: number, fn: () => void) => Unregister;
  readonly pause: () => void;
  readonly resume: () => void;
  readonly kill: () => void;
}

/** Creates a running process. */
export function createFakeProcess(runtime: Runtime): FakeProcess {
  let pausedAt: number | null = null;
  let isDead = false;
  let arrived: (() => void)[] = [];
  let due: (() => void)[] = [];

  const run = (waiting: 'arrived' | 'due', fn: () => void): void => {
    if (isDead) {
      return;
    }
    if (pausedAt !== null) {
      (waiting === 'due' ? due : arrived).push(fn);
      return;
    }
    fn();
  };

  return {
    isPaused: () => pausedAt !== null,
    pausedAt: () => pausedAt,
    isDead: () => isDead,
    receive: fn => run('arrived', fn),
    at: (at, fn) => {
      let isWanted = true;
      const unregister = runtime.at(at, () =>
        run('due', () => {
          if (isWanted) {
            fn();
          }
        }),
      );
      return () => {
        isWanted = false;
        unregister();
      };
    },
    pause: () => {
      pausedAt ??= runtime.now();
    },
    resume: () => {
      if (pausedAt === null) {
        return;
      }
      pausedAt = null;
      const isTimersFirst = runtime.random() < 0.5;
      const queues = isTimersFirst ? [due, arrived] : [arrived, due];
      due = [];
      arrived = [];
      queues.flat().forEach(fn => run('arrived', fn));
    },
    kill: () => {
      isDead = true;
      due = [];
      arrived = [];
    },
  };
}
