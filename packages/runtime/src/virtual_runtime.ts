/** The runtime interface under virtual time, for tests, fuzzing and the bench. */

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {Instant, Runtime} from './runtime.js';

interface Timer {
  readonly at: Instant;
  readonly order: number;
  /** Null once the timer is cancelled. */
  fn: (() => void) | null;
}

/** Timers that may run at one instant; more indicate an endless loop. */
const MAX_TIMERS_PER_INSTANT = 1_000_000;

/** A runtime whose clock advances only in `runUntil`. */
export interface VirtualRuntime extends Runtime {
  /**
   * Runs every timer due up to the instant `until`, in order.
   *
   * @throws Error if timers at one instant keep setting new ones.
   */
  readonly runUntil: (until: Instant) => void;
  /** Returns the instant of the next timer, or null when none is set. */
  readonly nextAt: () => Instant | null;
}

/** Orders timers by instant, then by the order in which they were set. */
function isEarlier(a: Timer, b: Timer): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** Creates a virtual runtime; runs with equal seeds are identical. */
export function createVirtualRuntime(seed: number): VirtualRuntime {
  const rng = xoroshiro128plus(seed);
  const heap: Timer[] = [];
  let clock: Instant = 0;
  let order = 0;
  let timersAtClock = 0;

  const push = (timer: Timer): void => {
    heap.push(timer);
    let child = heap.length - 1;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if (!isEarlier(heap[child]!, heap[parent]!)) {
        return;
      }
      [heap[child], heap[parent]] = [heap[parent]!, heap[child]!];
      child = parent;
    }
  };

  const pop = (): Timer => {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) {
      return first;
    }
    heap[0] = last;
    let parent = 0;
    for (;;) {
      const left = 2 * parent + 1;
      const right = left + 1;
      let earliest = parent;
      if (left < heap.length && isEarlier(heap[left]!, heap[earliest]!)) {
        earliest = left;
      }
      if (right < heap.length && isEarlier(heap[right]!, heap[earliest]!)) {
        earliest = right;
      }
      if (earliest === parent) {
        return first;
      }
      [heap[earliest], heap[parent]] = [heap[parent]!, heap[earliest]!];
      parent = earliest;
    }
  };

  const dropCancelled = (): void => {
    while (heap.length > 0 && heap[0]!.fn === null) {
      pop();
    }
  };

  return {
    now: () => clock,
    wallNow: () => clock,
    at: (at, fn) => {
      const timer: Timer = {at: Math.max(at, clock), order: order++, fn};
      push(timer);
      return () => {
        timer.fn = null;
      };
    },
    random: () => uniformFloat64(rng),
    nextAt: () => {
      dropCancelled();
      return heap[0]?.at ?? null;
    },
    runUntil: until => {
      dropCancelled();
      while (heap.length > 0 && heap[0]!.at <= until) {
        const timer = pop();
        timersAtClock = timer.at === clock ? timersAtClock + 1 : 0;
        if (timersAtClock > MAX_TIMERS_PER_INSTANT) {
          throw new Error(
            `Virtual time is stuck at ${clock} ms: a timer keeps setting itself again without delay.`,
          );
        }
        clock = timer.at;
        timer.fn?.();
        dropCancelled();
      }
      clock = Math.max(clock, until);
    },
  };
}
