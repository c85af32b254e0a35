import {describe, expect, it} from 'vitest';
import {createSystemRuntime} from '../../index.js';

const TIMER_COUNT = 50;
const BUSY_MS = 3;
const DELAY_MS = 5;

describe('at', () => {
  it('never fires before its instant, even in a busy event loop turn', async () => {
    const runtime = createSystemRuntime();
    for (let count = 0; count < TIMER_COUNT; count += 1) {
      // A Node.js timer counts from the start of the turn that sets it.
      const busyUntil = runtime.now() + BUSY_MS;
      while (runtime.now() < busyUntil) {
        // Busy wait.
      }
      const at = runtime.now() + DELAY_MS;
      const firedAt = await new Promise<number>(resolve =>
        runtime.at(at, () => resolve(runtime.now())),
      );
      expect(firedAt).toBeGreaterThanOrEqual(at);
    }
  });

  it('does not fire once unregistered', async () => {
    const runtime = createSystemRuntime();
    const fired: string[] = [];
    const unregister = runtime.at(runtime.now() + 1, () => fired.push('first'));
    unregister();
    await new Promise<void>(resolve =>
      runtime.at(runtime.now() + 20, () => resolve()),
    );
    expect(fired).toEqual([]);
  });
});
