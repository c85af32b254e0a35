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
 * Calls back once the input that has arrived was read, also that of connections
 * which wait to be accepted: one turn of the event loop accepts them, and the
 * next one reads. The first immediate may end a turn that began before.
 */
export function callAfterInput(then: () => void): void {
  setImmediate(() => setImmediate(() => setImmediate(then)));
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
