import {describe, expect, it} from 'vitest';
import {
  createServiceTimes,
  getWorkKind,
} from '../../decisions/service_times.js';
import type {ServiceTimes} from '../../decisions/service_times.js';

/** A generator of reproducible numbers from 0 to 1 (mulberry32). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

const SHORT = getWorkKind('short', 'read');
const LONG = getWorkKind('long', 'read');
const KIND_MS: Readonly<Record<string, number>> = {[SHORT]: 11, [LONG]: 55};
const SLOTS = 4;

interface Run {
  readonly times: ServiceTimes;
  /** Completes statements at random endpoints and returns the time after. */
  readonly feed: (
    seconds: number,
    speeds: Readonly<Record<string, (running: number, at: number) => number>>,
    perSecond?: number,
  ) => number;
}

/** Draws completions: two kinds, exponentially distributed or nearly fixed. */
function createRun(seed: number, noise: 'small' | 'exponential'): Run {
  const random = createRandom(seed);
  const times = createServiceTimes();
  let at = 0;
  return {
    times,
    feed: (seconds, speeds, perSecond = 120) => {
      const end = at + seconds * 1_000;
      const names = Object.keys(speeds);
      for (; at < end; at += 1_000 / perSecond) {
        const endpoint = names[Math.floor(random() * names.length)]!;
        const kind = random() < 0.5 ? SHORT : LONG;
        const running = Math.floor(random() * SLOTS);
        const spread =
          noise === 'small' ? 0.85 + 0.3 * random() : -Math.log(1 - random());
        times.record({
          endpoint,
          kind,
          tookMs: KIND_MS[kind]! * spread * speeds[endpoint]!(running, at),
          running,
          slots: SLOTS,
          showsSpeed: true,
          at,
        });
      }
      return at;
    },
  };
}

const NORMAL = (): number => 1;
const SLOW = (): number => 5;
const EQUAL = {a: NORMAL, b: NORMAL, c: NORMAL};
const SEEDS = Array.from({length: 20}, (_, seed) => seed + 1);

describe('estimated service times', () => {
  // Guards against one mean for kinds that differ by a factor of five.
  it.each(SEEDS)('tells kinds apart (seed %i)', seed => {
    const {times, feed} = createRun(seed, 'exponential');
    feed(20, {a: NORMAL, b: NORMAL, c: SLOW});
    expect(times.expectMs(SHORT)).toBeGreaterThan(7);
    expect(times.expectMs(SHORT)).toBeLessThan(16);
    expect(times.expectMs(LONG)).toBeGreaterThan(35);
    expect(times.expectMs(LONG)).toBeLessThan(80);
  });

  // Guards against an endpoint that stays fully used for seconds after it
  // slowed down, and against one that is avoided after it recovered.
  it.each(SEEDS)('follows a step within a second (seed %i)', seed => {
    const {times, feed} = createRun(seed, 'small');
    feed(10, EQUAL);
    const slow = feed(1, {a: NORMAL, b: NORMAL, c: SLOW});
    expect(times.readFactor('c', slow)).toBeGreaterThan(3);
    expect(times.readFactor('a', slow)).toBe(1);
    feed(5, {a: NORMAL, b: NORMAL, c: SLOW});
    const well = feed(1, EQUAL);
    expect(times.readFactor('c', well)).toBeLessThan(1.6);
  });
});
