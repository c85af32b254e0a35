/**
 * The runtime interface: the only source of clock readings, timers and random
 * numbers. It is injected into the decision library and the adapters, so that
 * tests and the bench can run the same code under virtual time.
 */

/** Removes a registration; calling it again does nothing. */
export type Unregister = () => void;

/** An instant of one process's monotonic clock, in milliseconds. */
export type Instant = number;

/** Clock, timers and random numbers of one process. */
export interface Runtime {
  /** Returns the monotonic clock in milliseconds, with fractions. */
  readonly now: () => Instant;
  /** Returns the wall clock in milliseconds since the Unix epoch. */
  readonly wallNow: () => number;
  /** Calls `fn` once, at or after the instant `at`. */
  readonly at: (at: Instant, fn: () => void) => Unregister;
  /** Returns a uniform random number in [0, 1). */
  readonly random: () => number;
}

/** Resolves at or after the instant `at`. */
export function waitUntil(runtime: Runtime, at: Instant): Promise<void> {
  return new Promise(resolve => {
    runtime.at(at, resolve);
  });
}
