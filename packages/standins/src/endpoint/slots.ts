/**
 * Limits the statements that an endpoint runs concurrently; the others wait in
 * FIFO order.
 */

/** Execution slots of an endpoint. */
export interface Slots {
  /** Waits for a slot; resolves with a function that releases it. */
  readonly acquire: () => Promise<() => void>;
  readonly busy: () => number;
  readonly waiting: () => number;
}

/** Creates `limit` slots. */
export function createSlots(limit: number): Slots {
  const queue: (() => void)[] = [];
  let busy = 0;
  const release = (): void => {
    const next = queue.shift();
    if (next === undefined) {
      busy -= 1;
      return;
    }
    next();
  };
  const createRelease = (): (() => void) => {
    let isReleased = false;
    return () => {
      if (!isReleased) {
        isReleased = true;
        release();
      }
    };
  };
  return {
    acquire: async () => {
      if (busy < limit) {
        busy += 1;
        return createRelease();
      }
      await new Promise<void>(resolve => queue.push(resolve));
      return createRelease();
    },
    busy: () => busy,
    waiting: () => queue.length,
  };
}
