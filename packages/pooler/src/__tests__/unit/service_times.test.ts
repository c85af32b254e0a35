import {describe, expect, it} from 'vitest';
import {
  createServiceTimes,
  getWorkKind,
} from '../../decisions/service_times.js';
import type {ServiceTimes} from '../../decisions/service_times.js';
import {createRandom} from '../random.js';

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
function createRun(
  seed: number,
  noise: 'small' | 'exponential' = 'small',
  times = createServiceTimes(),
): Run {
  const random = createRandom(seed);
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

  // Guards against a jump to one of two levels instead of the present speed.
  it.each(SEEDS)('follows a drift (seed %i)', seed => {
    const {times, feed} = createRun(seed);
    feed(10, EQUAL);
    const drift = (_: number, at: number): number =>
      1 + (3 * (at - 10_000)) / 20_000;
    const now = feed(20, {a: NORMAL, b: NORMAL, c: drift});
    expect(times.readFactor('c', now)).toBeGreaterThan(3);
    expect(times.readFactor('c', now)).toBeLessThan(5);
  });

  // Guards against an endpoint that is avoided because of chance.
  it.each(SEEDS)('takes noise for normal mostly (seed %i)', seed => {
    const {times, feed} = createRun(seed, 'exponential');
    let far = 0;
    for (let step = 0; step < 100; step++) {
      const now = feed(0.2, EQUAL);
      far += Object.keys(EQUAL).filter(
        id => times.readFactor(id, now) >= 2,
      ).length;
    }
    expect(far).toBeLessThanOrEqual(3);
  });

  // Guards against one statement that moves the reads of a whole endpoint.
  it.each(SEEDS)('ignores one slow statement (seed %i)', seed => {
    const {times, feed} = createRun(seed);
    const at = feed(10, EQUAL);
    times.record({
      endpoint: 'c',
      kind: SHORT,
      tookMs: 900,
      running: 1,
      slots: SLOTS,
      showsSpeed: true,
      at,
    });
    expect(times.readFactor('c', at)).toBeLessThan(1.25);
    expect(times.readLimit('c', SLOTS, at)).toBe(SLOTS);
  });

  // Guards against limits that are derived from a handful of statements.
  it.each(SEEDS)('leaves a load too small to measure alone (seed %i)', seed => {
    const {times, feed} = createRun(seed, 'exponential');
    for (let step = 0; step < 30; step++) {
      const now = feed(2, EQUAL, 0.5);
      for (const id of Object.keys(EQUAL)) {
        expect(times.readFactor(id, now)).toBeLessThan(2);
        expect(times.readLimit(id, SLOTS, now)).toBe(SLOTS);
      }
    }
  });

  // Guards against recovery that is seen late or never, and against flapping.
  it('returns to normal without work, and tries with one statement', () => {
    const {times, feed} = createRun(1);
    feed(10, EQUAL);
    const end = feed(3, {a: NORMAL, b: NORMAL, c: SLOW});
    expect(times.readFactor('c', end + 1_000)).toBeGreaterThan(4);
    expect(times.readLimit('c', SLOTS, end + 1_500)).toBe(1);
    const later = feed(5, {a: NORMAL, b: NORMAL});
    expect(times.readFactor('c', later)).toBeLessThan(2);
    expect(times.readFactor('c', later + 10_000)).toBe(1);
    expect(times.readFactor('a', later)).toBe(1);
  });

  // Guards against a cold endpoint that gets its whole share at once.
  it('starts a cold endpoint with a higher factor that decays', () => {
    const times = createServiceTimes(id => (id === 'cold' ? 3_000 : null));
    expect(times.readFactor('cold', 0)).toBe(2);
    expect(times.readFactor('cold', 1_000)).toBeLessThan(2);
    expect(times.readFactor('cold', 3_000)).toBe(1);
    expect(times.readFactor('warm', 0)).toBe(1);
  });

  // Guards against estimates of an owner that outlive its ownership.
  it('starts anew with each owner', () => {
    const first = createRun(1);
    const end = first.feed(10, {a: NORMAL, b: NORMAL, c: SLOW});
    const second = createRun(2);
    expect(second.times.readFactor('c', end)).toBe(1);
    const now = second.feed(2, {a: SLOW, b: NORMAL, c: NORMAL});
    expect(second.times.readFactor('a', now)).toBeGreaterThan(3);
    expect(second.times.readFactor('c', now)).toBe(1);
    // The first owner gets the group back after a time.
    expect(first.times.readFactor('c', end + 20_000)).toBe(1);
  });

  // Guards against writes, which wait for replicas, that make a primary slow.
  it('learns no speed from statements that wait for replicas', () => {
    const {times, feed} = createRun(1);
    const start = feed(5, EQUAL);
    const kind = getWorkKind('short', 'write');
    for (let at = start; at < start + 2_000; at += 10) {
      const tookMs = at < start + 1_000 ? 10 : 60;
      const sample = {endpoint: 'a', kind, tookMs, running: 1, slots: SLOTS};
      times.record({...sample, showsSpeed: false, at});
    }
    expect(times.readFactor('a', start + 2_000)).toBe(1);
    expect(times.expectMs(kind)).toBeGreaterThan(30);
  });
});

describe('the concurrency limit', () => {
  const overloaded = (running: number): number =>
    running + 1 > 2 ? (running + 1) ** 2 / 2 : 1;

  // Guards against a limit above the number that an endpoint runs well.
  it.each(SEEDS)('finds where throughput falls (seed %i)', seed => {
    const {times, feed} = createRun(seed);
    const now = feed(15, {a: NORMAL, b: NORMAL, c: overloaded});
    expect(times.readLimit('c', SLOTS, now)).toBe(2);
    expect(times.readLimit('a', SLOTS, now)).toBe(SLOTS);
    // It is tried again after a time without statements beyond the limit.
    expect(times.readLimit('c', SLOTS, now + 900)).toBe(2);
    const sample = {endpoint: 'c', kind: SHORT, tookMs: 11, slots: SLOTS};
    for (let at = now; at < now + 6_000; at += 20) {
      times.record({...sample, running: (at / 20) & 1, showsSpeed: true, at});
    }
    expect(times.readLimit('c', SLOTS, now + 6_000)).toBe(3);
  });

  // Guards against slots of a slow endpoint that are closed without a gain.
  it.each(SEEDS)('is kept by an endpoint that is only slow (seed %i)', seed => {
    const {times, feed} = createRun(seed);
    feed(10, EQUAL);
    const now = feed(10, {a: NORMAL, b: NORMAL, c: SLOW});
    expect(times.readLimit('c', SLOTS, now)).toBe(SLOTS);
  });

  // Guards against limits by chance, and against a limit of none.
  it.each(SEEDS)('is mostly the slots with noise (seed %i)', seed => {
    const {times, feed} = createRun(seed, 'exponential');
    let lowered = 0;
    for (let step = 0; step < 100; step++) {
      const now = feed(0.2, EQUAL);
      for (const id of Object.keys(EQUAL)) {
        const limit = times.readLimit(id, SLOTS, now);
        expect(limit).toBeGreaterThanOrEqual(1);
        expect(limit).toBeLessThanOrEqual(SLOTS);
        lowered += Number(limit < SLOTS);
      }
    }
    expect(lowered).toBeLessThanOrEqual(15);
  });
});
