/** Limits the statements that an endpoint runs at once; others wait in order. */

/** Slots of an endpoint. */
export interface Slots {
  /** Resolves with a function that gives the slot back. */
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
  const once = (): (() => void) => {
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
        return once();
      }
      await new Promise<void>(resolve => queue.push(resolve));
      return once();
    },
    busy: () => busy,
    waiting: () => queue.length,
  };
}
