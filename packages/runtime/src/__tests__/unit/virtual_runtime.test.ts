import {describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';

describe('createVirtualRuntime', () => {
  it('runs timers in order of instant, then of registration', () => {
    const runtime = createVirtualRuntime(1);
    const seen: string[] = [];
    runtime.at(20, () => seen.push('c'));
    runtime.at(10, () => seen.push('a'));
    runtime.at(10, () => seen.push('b'));
    runtime.runUntil(15);
    expect(seen).toEqual(['a', 'b']);
    expect(runtime.now()).toBe(15);
    expect(runtime.nextAt()).toBe(20);
  });

  it('does not run a timer that was unregistered', () => {
    const runtime = createVirtualRuntime(1);
    const seen: string[] = [];
    const unregister = runtime.at(10, () => seen.push('a'));
    unregister();
    runtime.runUntil(100);
    expect(seen).toEqual([]);
  });

  it('throws when timers at one instant keep setting new ones', () => {
    const runtime = createVirtualRuntime(1);
    const reschedule = (): void => {
      runtime.at(10, reschedule);
    };
    runtime.at(10, reschedule);
    expect(() => runtime.runUntil(20)).toThrow('is stuck at 10 ms');
  });

  it('repeats the same random numbers for the same seed', () => {
    const first = createVirtualRuntime(7);
    const second = createVirtualRuntime(7);
    expect(first.random()).toBe(second.random());
  });
});
