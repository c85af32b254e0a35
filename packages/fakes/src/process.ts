/** A simulated process; while it is paused, events and timers wait. */

import type {Runtime, Unregister} from '@lacewingroad/runtime';

/** A simulated process. */
export interface FakeProcess {
  readonly isPaused: () => boolean;
  readonly isDead: () => boolean;
  /** Returns when the process was paused, or null if it is not paused. */
  readonly pausedAt: () => number | null;
  /** Handles input from a socket: now, or after the process resumes. */
  readonly receive: (fn: () => void) => void;
  /** Calls `fn` at a time, or after the process resumes. */
  readonly at: (at: number, fn: () => void) => Unregister;
  readonly pause: () => void;
  readonly resume: () => void;
  readonly kill: () => void;
}

/** Creates a running process. */
export function createFakeProcess(runtime: Runtime): FakeProcess {
  let pausedAt: number | null = null;
  let isDead = false;
  let pausedEvents: (() => void)[] = [];
  let pausedTimers: (() => void)[] = [];

  /** Runs `fn`, holds it until the process resumes, or drops it if dead. */
  const runOrHold = (trigger: 'arrived' | 'due', fn: () => void): void => {
    if (isDead) {
      return;
    }
    if (pausedAt !== null) {
      (trigger === 'due' ? pausedTimers : pausedEvents).push(fn);
      return;
    }
    fn();
  };

  return {
    isPaused: () => pausedAt !== null,
    pausedAt: () => pausedAt,
    isDead: () => isDead,
    receive: fn => runOrHold('arrived', fn),
    at: (at, fn) => {
      let isActive = true;
      const unregister = runtime.at(at, () =>
        runOrHold('due', () => {
          if (isActive) {
            fn();
          }
        }),
      );
      return () => {
        isActive = false;
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
      const runsTimersFirst = runtime.random() < 0.5;
      const queues = runsTimersFirst
        ? [pausedTimers, pausedEvents]
        : [pausedEvents, pausedTimers];
      pausedTimers = [];
      pausedEvents = [];
      queues.flat().forEach(fn => runOrHold('arrived', fn));
    },
    kill: () => {
      isDead = true;
      pausedTimers = [];
      pausedEvents = [];
    },
  };
}
