/** The runtime port on the real clock of this process. */

import type {Runtime} from './runtime.js';

/**
 * Calls `fn` at or after an instant. A timer of Node.js counts whole
 * milliseconds from the start of the turn that sets it, so that it may fire
 * early; it is then set again.
 */
function setTimer(at: number, fn: () => void): () => void {
  let timer: NodeJS.Timeout;
  const arm = (): void => {
    const delayMs = Math.max(0, Math.ceil(at - performance.now()));
    timer = setTimeout(fire, delayMs);
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

/** Creates the runtime that daemons and tools use outside of tests. */
export function createSystemRuntime(): Runtime {
  return {
    now: () => performance.now(),
    wallNow: () => Date.now(),
    at: setTimer,
    random: () => Math.random(),
  };
}
