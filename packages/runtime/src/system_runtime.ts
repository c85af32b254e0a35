/** The runtime interface on the system clock. */

import type {Runtime} from './runtime.js';

/** Longest delay of a Node.js timer, in ms; it fires at once beyond it. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/**
 * Calls `fn` at or after an instant. A Node.js timer counts whole milliseconds
 * from the start of the event loop turn that sets it, so it may fire early; it
 * is then set again.
 */
function setTimer(at: number, fn: () => void): () => void {
  let timer: NodeJS.Timeout;
  const arm = (): void => {
    const delayMs = Math.max(0, Math.ceil(at - performance.now()));
    timer = setTimeout(fire, Math.min(delayMs, MAX_DELAY_MS));
  };
  const fire = (): void => {
    if (performance.now() < at) {
      arm();
      return;
    }
    fn();
  };
  arm();
  return () => clearTimeout(timer);
}

/**
 * Calls back after a whole turn of the event loop, in which each socket with
 * input is read. The first of two immediates may end a turn that began before.
 */
export function callAfterInput(then: () => void): void {
  setImmediate(() => setImmediate(then));
}

/** Creates the runtime for daemons and tools. */
export function createSystemRuntime(): Runtime {
  return {
    now: () => performance.now(),
    wallNow: () => Date.now(),
    at: setTimer,
    random: () => Math.random(),
  };
}
