/** Reads this process's processor time and memory. */

const KB = 1_024;

/** Returns the processor time that this process has used, in microseconds. */
export function readCpuMicros(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}

/**
 * Returns the heap in use after a full collection, in KiB.
 *
 * @throws Error when node runs without `--expose-gc`.
 */
export function readHeapKb(): number {
  if (globalThis.gc === undefined) {
    throw new Error('Start node with --expose-gc to measure memory.');
  }
  globalThis.gc();
  globalThis.gc();
  const {heapUsed, external} = process.memoryUsage();
  return (heapUsed + external) / KB;
}
