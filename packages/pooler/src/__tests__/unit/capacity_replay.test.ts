/**
 * Replays the reads of one group in virtual time, with today's rule of the least
 * loaded endpoint beside the least expected completion time.
 */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {chooseForRead} from '../../decisions/placement.js';
import type {EndpointView} from '../../decisions/placement.js';
import {
  createServiceTimes,
  getWorkKind,
} from '../../decisions/service_times.js';
import {createRandom} from '../random.js';

interface Kind {
  readonly name: string;
  readonly perSecond: number;
  readonly workMs: number;
  readonly targetMs: number;
}

interface Deployment {
  readonly slots: number;
  /** Time to an endpoint in another data centre and back. */
  readonly roundTripMs: number;
  readonly kinds: readonly Kind[];
}

const GROUPS = 6;
/** The reads of one of six groups; figures of docs/design/hard-load.md. */
const A: Deployment = {
  slots: 4,
  roundTripMs: 1.8,
  kinds: [
    {name: 'strict', perSecond: 117 / GROUPS, workMs: 3.8, targetMs: 152},
    {name: 'bounded', perSecond: 180 / GROUPS, workMs: 19, targetMs: 402},
    {name: 'session', perSecond: 740 / GROUPS, workMs: 12, targetMs: 252},
  ],
};
const B: Deployment = {
  slots: 6,
  roundTripMs: 2.8,
  kinds: [
    {name: 'strict', perSecond: 81 / GROUPS, workMs: 11, targetMs: 201},
    {name: 'bounded', perSecond: 177 / GROUPS, workMs: 55, targetMs: 1_501},
    {name: 'session', perSecond: 418 / GROUPS, workMs: 33, targetMs: 401},
  ],
};

interface Read {
  readonly kind: Kind;
  readonly arrivedAt: number;
  /** Work relative to the mean of its kind. */
  readonly size: number;
}

interface Scenario {
  readonly deployment: Deployment;
  /** Arrivals relative to the figures of the deployment. */
  readonly load: number;
  /** Time that a statement takes at an endpoint relative to the normal one. */
  readonly slowness: (
    endpoint: number,
    concurrent: number,
    at: number,
  ) => number;
  readonly seconds: number;
  readonly seed: number;
}

interface Outcome {
  /** Mean time from arrival to the reply, by kind, in ms. */
  readonly meanMs: Readonly<Record<string, number>>;
  /** Share of reads that met their target, by kind. */
  readonly inTarget: Readonly<Record<string, number>>;
  /** Mean of all kinds, without the work itself, in ms. */
  readonly waitMs: number;
}

interface Running {
  readonly read: Read;
  readonly sentAt: number;
  leftMs: number;
}

const ENDPOINTS = [0, 1, 2];
const STEP_MS = 0.25;
/** Interval at which the pool looks at its queue without an event. */
const TICK_MS = 20;

function drawArrivals({deployment, load, seconds, seed}: Scenario): Read[] {
  const random = createRandom(seed);
  const reads: Read[] = [];
  for (const kind of deployment.kinds) {
    let at = 0;
    for (;;) {
      at -= (Math.log(1 - random()) * 1_000) / (kind.perSecond * load);
      if (at >= seconds * 1_000) {
        break;
      }
      reads.push({kind, arrivedAt: at, size: 0.5 + random()});
    }
  }
  return reads.sort((a, b) => a.arrivedAt - b.arrivedAt);
}

/** Serves the reads of a scenario first come, first served. */
function replay(scenario: Scenario, isLearning: boolean): Outcome {
  const {deployment, slowness} = scenario;
  const {slots, roundTripMs} = deployment;
  const times = createServiceTimes();
  const arrivals = drawArrivals(scenario);
  const total = arrivals.length;
  let hasChanged = false;
  const waiting: Read[] = [];
  const running: Running[][] = ENDPOINTS.map(() => []);
  const done: {read: Read; tookMs: number}[] = [];
  const getDelay = (endpoint: number): number =>
    endpoint === 0 ? 0 : roundTripMs;

  const view = (endpoint: number, at: number): EndpointView => {
    const id = String(endpoint);
    const learned = isLearning ? times.readLimit(id, slots, at) : slots;
    return {
      id,
      isPrimary: endpoint === 1,
      isUsable: true,
      running: running[endpoint]!.length,
      limit: learned >= slots ? slots + 1 : learned,
      hasConnection: true,
      applied: null,
      lagMs: 0,
      faultShare: 0,
      backoffUntil: 0,
      factor: isLearning ? times.readFactor(id, at) : 1,
      delayMs: isLearning ? getDelay(endpoint) : null,
      isNear: endpoint === 0,
    };
  };

  const start = (at: number): void => {
    while (waiting.length > 0) {
      const [read] = waiting;
      const chosen = chooseForRead(
        ENDPOINTS.map(endpoint => view(endpoint, at)),
        {required: null, requiredSince: null, avoided: []},
        at,
        isLearning
          ? {
              serviceMs: times.expectMs(getWorkKind(read!.kind.name, 'read')),
              countWaiting: () => waiting.length,
              waitedMs: at - read!.arrivedAt,
            }
          : undefined,
      );
      if (chosen === null) {
        return;
      }
      waiting.shift();
      const leftMs = read!.size * read!.kind.workMs;
      running[Number(chosen)]!.push({read: read!, sentAt: at, leftMs});
    }
  };

  const work = (endpoint: number, at: number): void => {
    const all = running[endpoint]!;
    const served = all.slice(0, slots);
    const speed = 1 / slowness(endpoint, served.length, at);
    served.forEach(item => (item.leftMs -= STEP_MS * speed));
    const finished = served.filter(({leftMs}) => leftMs <= 0);
    running[endpoint] = all.filter(item => !finished.includes(item));
    hasChanged ||= finished.length > 0;
    finished.forEach(({read, sentAt}, index) => {
      const delayMs = getDelay(endpoint);
      done.push({read, tookMs: at + delayMs - read.arrivedAt});
      times.record({
        endpoint: String(endpoint),
        kind: getWorkKind(read.kind.name, 'read'),
        tookMs: at - sentAt,
        running: all.length - 1 - index,
        slots,
        showsSpeed: true,
        at,
      });
    });
  };

  for (let at = 0; done.length < total; at += STEP_MS) {
    while (arrivals.length > 0 && arrivals[0]!.arrivedAt <= at) {
      waiting.push(arrivals.shift()!);
      hasChanged = true;
    }
    if (hasChanged || at % TICK_MS === 0) {
      hasChanged = false;
      start(at);
    }
    ENDPOINTS.forEach(endpoint => work(endpoint, at));
  }

  const average = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const byKind = (measure: (item: (typeof done)[number]) => number) =>
    Object.fromEntries(
      deployment.kinds.map(kind => [
        kind.name,
        average(done.filter(({read}) => read.kind === kind).map(measure)),
      ]),
    );
  return {
    meanMs: byKind(({tookMs}) => tookMs),
    inTarget: byKind(({read, tookMs}) => Number(tookMs <= read.kind.targetMs)),
    waitMs: average(
      done.map(({read, tookMs}) => tookMs - read.size * read.kind.workMs),
    ),
  };
}

const SLOW_ENDPOINT = 2;
const EQUAL = (): number => 1;
const ONE_SLOW = (endpoint: number): number =>
  endpoint === SLOW_ENDPOINT ? 5 : 1;
/** One endpoint completes fewer statements per second beyond two at once. */
const ONE_OVERLOADED = (endpoint: number, concurrent: number): number =>
  endpoint === SLOW_ENDPOINT && concurrent > 2 ? concurrent ** 2 / 2 : 1;
const SLOW_FROM_MS = 8_000;
const SLOW_UNTIL_MS = 16_000;
const SLOW_FOR_A_TIME = (endpoint: number, _: number, at: number): number =>
  at >= SLOW_FROM_MS && at < SLOW_UNTIL_MS ? ONE_SLOW(endpoint) : 1;

/** Waits are multiples of the step, of which many are rounded alike. */
const TOLERANCE_MS = STEP_MS / 5;
const DEPLOYMENTS = {A, B};
const SEED = 1;

describe('a group with one slow endpoint of three', () => {
  const compare = (
    name: keyof typeof DEPLOYMENTS,
    load: number,
    slowness: Scenario['slowness'],
  ): readonly [today: Outcome, learning: Outcome] => {
    const deployment = DEPLOYMENTS[name];
    const scenario = {deployment, load, slowness, seconds: 20, seed: SEED};
    const outcomes = [replay(scenario, false), replay(scenario, true)] as const;
    if (process.env['SHOW_FIGURES'] !== undefined) {
      outcomes.forEach(({waitMs, meanMs, inTarget}) =>
        process.stdout.write(
          `${name} ${load} ${JSON.stringify({waitMs, meanMs, inTarget})}\n`,
        ),
      );
    }
    return outcomes;
  };

  // Guards against reads that are spread evenly over uneven endpoints.
  it.each([
    ['A', 1],
    ['A', 2.5],
    ['B', 1],
    ['B', 2.5],
  ] as const)('is served in half of the wait (%s, load %d)', (name, load) => {
    const [today, learning] = compare(name, load, ONE_SLOW);
    expect(learning.waitMs).toBeLessThan(today.waitMs / 2);
    for (const kind of DEPLOYMENTS[name].kinds) {
      expect(learning.meanMs[kind.name]).toBeLessThan(today.meanMs[kind.name]!);
      expect(learning.inTarget[kind.name]).toBeGreaterThanOrEqual(
        today.inTarget[kind.name]!,
      );
    }
  });

  // Guards against a slow endpoint whose slots stay unused near saturation.
  it.each(['A', 'B'] as const)('is not served later when full (%s)', name => {
    const [today, learning] = compare(name, 3, ONE_SLOW);
    expect(learning.waitMs).toBeLessThan(today.waitMs);
  });

  // Guards against more concurrent statements than an endpoint runs well.
  it.each([
    ['A', 2.5],
    ['B', 1],
  ] as const)('keeps it below its knee (%s, load %d)', (name, load) => {
    const [today, learning] = compare(name, load, ONE_OVERLOADED);
    expect(learning.waitMs).toBeLessThan(today.waitMs / 2);
  });

  // Guards against an endpoint that is avoided long after it recovered.
  it.each(['A', 'B'] as const)('follows it down and up again (%s)', name => {
    const [today, learning] = compare(name, 2, SLOW_FOR_A_TIME);
    expect(learning.waitMs).toBeLessThan(today.waitMs * 0.6);
  });
});

describe('a group of equal endpoints', () => {
  // Guards against noise of the estimates that makes reads wait.
  it('makes reads wait at most 5% longer', () => {
    fc.assert(
      fc.property(
        fc.constantFrom(A, B),
        fc.double({min: 0.5, max: 3.2, noNaN: true}),
        fc.integer({min: 1, max: 1_000}),
        (sites, load, seed) => {
          const deployment = {...sites, roundTripMs: 0};
          const run = {deployment, load, slowness: EQUAL, seconds: 8, seed};
          const today = replay(run, false).waitMs;
          const learning = replay(run, true).waitMs;
          expect(learning).toBeLessThanOrEqual(today * 1.05 + TOLERANCE_MS);
        },
      ),
      {numRuns: 20, seed: 31},
    );
  });
});
