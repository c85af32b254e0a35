/**
 * Replays seeded arrivals at one group of deployment B in virtual time, under
 * the scheduling policy and under simpler ones, and computes an upper bound.
 */

import {createVirtualRuntime} from '@lacewingroad/runtime';
import {
  decideAdmission,
  findHopeless,
  needsReview,
} from '../decisions/admission.js';
import type {QueuedJob, QueueLoad} from '../decisions/admission.js';
import {createArrivalRates, toWork} from '../decisions/arrival_rates.js';
import {
  createTurnQueue,
  orderJobs,
  updateSkipCounts,
} from '../decisions/queue_order.js';
import type {SkipCounts} from '../decisions/queue_order.js';
import {createSlotUse} from '../decisions/slot_use.js';
import {createServiceTimes} from '../decisions/service_times.js';

interface Kind {
  readonly rank: number;
  readonly perSecond: number;
  readonly workMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly inTime: number;
  readonly late: number;
  /** Share of writes and transactions, which only the primary runs. */
  readonly atPrimary: number;
}

/** Requests of deployment B, see docs/design/hard-load.md; all groups. */
const KINDS: readonly Kind[] = [
  {
    rank: 0,
    perSecond: 101,
    workMs: 11,
    targetMs: 201,
    deadlineMs: 4_011,
    inTime: 3.5,
    late: 0.43,
    atPrimary: 0.6,
  },
  {
    rank: 1,
    perSecond: 475,
    workMs: 33,
    targetMs: 401,
    deadlineMs: 4_005,
    inTime: 1.9,
    late: 0.28,
    atPrimary: 0.24,
  },
  {
    rank: 2,
    perSecond: 177,
    workMs: 55,
    targetMs: 1_501,
    deadlineMs: 12_004,
    inTime: 0.47,
    late: 0.21,
    atPrimary: 0.1,
  },
];
const GROUPS = 6;
const PRIMARY_SLOTS = 6;
const SLOTS = 18;
const WORKSPACES = 75;
/** The workspace that surges; it is the fourth largest. */
export const SURGING = 'w3';
const SURGE_FACTOR = 6;
const MAX_RETRIES = 2;
/** Time after which a refused caller returns at the earliest, in ms. */
const MIN_RETRY_MS = 20;
/** Interval of the pool's reviews while it has work, in ms. */
const TICK_MS = 20;
const MAX_JOBS = 400;

/** When what surges, in ms. */
const LEAST_URGENT_FLOOD = {from: 3_000, to: 10_000, factor: 2.5};
const MOST_URGENT_FLOOD = {from: 10_000, to: 14_000, factor: 1.8};
const SURGE = {from: 7_000, to: 13_000};
const END_MS = 20_000;

/** A request of a caller. */
export interface Arrival {
  readonly at: number;
  readonly kind: Kind;
  readonly workspace: string;
  readonly needsPrimary: boolean;
  readonly workMs: number;
}

/** Returns the weight of each workspace's rate; a few are large. */
function listWeights(): readonly number[] {
  const raw = Array.from({length: WORKSPACES}, (_, n) => 1 / (n + 2));
  const sum = raw.reduce((total, weight) => total + weight, 0);
  return raw.map(weight => weight / sum);
}

function isWithin(at: number, span: {from: number; to: number}): boolean {
  return at >= span.from && at < span.to;
}

function getFactor(kind: Kind, workspace: string, at: number): number {
  const ofKind =
    kind.rank === 2 && isWithin(at, LEAST_URGENT_FLOOD)
      ? LEAST_URGENT_FLOOD.factor
      : kind.rank === 0 && isWithin(at, MOST_URGENT_FLOOD)
        ? MOST_URGENT_FLOOD.factor
        : 1;
  const surges = workspace === SURGING && isWithin(at, SURGE);
  return ofKind * (surges ? SURGE_FACTOR : 1);
}

/** Creates the arrivals at one group, with `scale` times the page's load. */
export function createArrivals(
  seed: number,
  scale: number,
): readonly Arrival[] {
  const {random} = createVirtualRuntime(seed);
  const drawExponential = (mean: number): number =>
    -mean * Math.log(1 - random());
  const weights = listWeights();
  const arrivals: Arrival[] = [];
  for (const kind of KINDS) {
    weights.forEach((weight, n) => {
      const workspace = `w${n}`;
      const peak = 2.5 * SURGE_FACTOR;
      const perMs = (kind.perSecond * scale * weight) / GROUPS / 1_000;
      // Poisson arrivals of a varying rate, by thinning those of its maximum.
      for (let at = 0; ;) {
        at += drawExponential(1 / (perMs * peak));
        if (at >= END_MS) {
          return;
        }
        if (random() * peak < getFactor(kind, workspace, at)) {
          // Half of the work is constant, half is exponential.
          const workMs = kind.workMs / 2 + drawExponential(kind.workMs / 2);
          const needsPrimary = random() < kind.atPrimary;
          arrivals.push({at, kind, workspace, needsPrimary, workMs});
        }
      }
    });
  }
  return arrivals.sort((a, b) => a.at - b.at);
}

/** A request at the pool, in one of its attempts. */
interface ReplayJob extends QueuedJob {
  readonly arrival: Arrival;
  readonly attempt: number;
}

/** A policy under replay. */
interface Policy {
  /** Returns after how many ms the caller should return, or null to admit. */
  readonly admit: (job: ReplayJob, now: number) => number | null;
  /** Returns the waiting statements to refuse, and when they should return. */
  readonly review: (now: number) => readonly [ReplayJob, number][];
  /** Removes and returns the next one that can run, or null. */
  readonly take: (now: number, isPrimaryFree: boolean) => ReplayJob | null;
  readonly onStart: (job: ReplayJob, now: number) => void;
  readonly onEnd: (job: ReplayJob, now: number) => void;
}

interface Setting {
  readonly waiting: Set<ReplayJob>;
  readonly random: () => number;
  /** Returns the mean service time of all kinds, in ms. */
  readonly readMeanMs: () => number;
}

type CreatePolicy = (setting: Setting) => Policy;

/** Creates a policy that holds statements until their deadline. */
function createSimple(
  compare: (
    used: ReadonlyMap<string, number>,
  ) => (a: ReplayJob, b: ReplayJob) => number,
): CreatePolicy {
  return ({waiting}) => {
    const used = new Map<string, number>();
    const order = compare(used);
    return {
      admit: () => null,
      review: now =>
        [...waiting]
          .filter(({deadline}) => now >= deadline)
          .map(job => [job, 0]),
      take: (now, isPrimaryFree) => {
        let best: ReplayJob | null = null;
        for (const job of waiting) {
          const canRun =
            now < job.deadline && (isPrimaryFree || !job.needsPrimary);
          if (canRun && (best === null || order(job, best) < 0)) {
            best = job;
          }
        }
        return best;
      },
      onStart: job => {
        const key = job.workspace!;
        used.set(key, (used.get(key) ?? 0) + job.expectedMs);
      },
      onEnd: () => undefined,
    };
  };
}

/** Largest share of its time left for which a statement was let wait before. */
const EARLIER_WAIT_SHARE = 0.9;

/**
 * The rules that the built ones replaced: rank with a skip count, earliest
 * target first, admission by one mean service time.
 */
const createEarlier: CreatePolicy = ({waiting, readMeanMs}) => {
  let skipCounts: SkipCounts = new Map();
  const isOverShare = (): boolean => false;
  const {review} = createSimple(() => () => 0)({
    waiting,
    readMeanMs,
    random: () => 0,
  });
  return {
    admit: (job, now) => {
      const ahead = [...waiting].filter(
        ({priority}) => priority <= job.priority,
      );
      const waitMs = (ahead.length * readMeanMs()) / SLOTS;
      const isAdmitted =
        waiting.size < MAX_JOBS &&
        waitMs <= (job.deadline - now) * EARLIER_WAIT_SHARE;
      return isAdmitted ? null : 0;
    },
    review,
    take: (now, isPrimaryFree) => {
      const open = [...waiting].filter(
        ({needsPrimary, deadline}) =>
          now < deadline && (isPrimaryFree || !needsPrimary),
      );
      const queue = createTurnQueue(open, now, isOverShare, () => null);
      return queue.take(skipCounts);
    },
    onStart: job => {
      const ranks = new Set([...waiting].map(({priority}) => priority));
      skipCounts = updateSkipCounts(skipCounts, job.priority, [...ranks]);
    },
    onEnd: () => undefined,
  };
};

/** Scheduling and admission control as the pool has them. */
const createBuilt: CreatePolicy = ({waiting, random}) => {
  const rates = createArrivalRates();
  const use = createSlotUse(0);
  let skipCounts: SkipCounts = new Map();
  const createLoad = (now: number): QueueLoad => ({
    capacity: {primary: PRIMARY_SLOTS, all: SLOTS, outageMs: 0},
    rates,
    isOverShare: (rank, workspace) => use.isOverShare(rank, workspace, now),
    now,
  });
  return {
    admit: (job, now) => {
      const list = [...waiting];
      const count = list.filter(other => other.priority <= job.priority).length;
      if (count >= MAX_JOBS) {
        return job.targetAt - now;
      }
      const refusal = decideAdmission(job, list, createLoad(now), random());
      if (refusal === null) {
        const work = toWork(job.needsPrimary, job.expectedMs);
        rates.add(job.priority, work, now);
      }
      return refusal?.retryAfterMs ?? null;
    },
    review: now => {
      const load = createLoad(now);
      const list = [...waiting];
      if (!needsReview(list, load)) {
        return [];
      }
      const ordered = orderJobs(list, skipCounts, now, load.isOverShare);
      return findHopeless(ordered, load, random).map(({job, refusal}) => [
        job,
        refusal.retryAfterMs,
      ]);
    },
    take: (now, isPrimaryFree) => {
      const {isOverShare} = createLoad(now);
      const turns = createTurnQueue([...waiting], now, isOverShare, job =>
        job.needsPrimary ? 'primary' : 'any',
      );
      if (!isPrimaryFree) {
        turns.block('primary');
      }
      for (;;) {
        const job = turns.take(skipCounts);
        if (job === null || now < job.deadline) {
          return job;
        }
      }
    },
    onStart: (job, now) => {
      use.add(job.priority, job.workspace, job.expectedMs, now);
      const ranks = new Set([...waiting].map(({priority}) => priority));
      skipCounts = updateSkipCounts(skipCounts, job.priority, [...ranks]);
    },
    onEnd: (job, now) => {
      const extraMs = job.arrival.workMs - job.expectedMs;
      use.add(job.priority, job.workspace, extraMs, now);
    },
  };
};

/** Policies by name; `built` is the pool's, `earlier` what it replaced. */
export const POLICIES: Readonly<Record<string, CreatePolicy>> = {
  first_come: createSimple(() => (a, b) => a.order - b.order),
  strict_priority: createSimple(
    () => (a, b) => a.priority - b.priority || a.order - b.order,
  ),
  equal_shares: createSimple(
    used => (a, b) =>
      (used.get(a.workspace!) ?? 0) - (used.get(b.workspace!) ?? 0) ||
      a.order - b.order,
  ),
  earlier: createEarlier,
  built: createBuilt,
};

/** What a replay gave. */
export interface ReplayResult {
  readonly value: number;
  /** Share of the offered value, by rank. */
  readonly shares: ReadonlyMap<number, number>;
  /** The same for the surging workspace, and for the others. */
  readonly surgingShare: number;
  readonly othersShare: number;
  readonly inTime: number;
  readonly late: number;
  readonly refusals: number;
  /** Refusals after more than a quarter of the target. */
  readonly lateRefusals: number;
  /** Refusals after more than half of the time until the deadline. */
  readonly heldRefusals: number;
}

/** Serves arrivals under a policy. */
export function replay(
  arrivals: readonly Arrival[],
  create: CreatePolicy,
  seed: number,
): ReplayResult {
  const runtime = createVirtualRuntime(seed);
  const waiting = new Set<ReplayJob>();
  const times = createServiceTimes(() => null);
  const recordTime = (kind: string, tookMs: number): void =>
    times.record({
      endpoint: 'e',
      kind,
      tookMs,
      running: 0,
      slots: SLOTS,
      showsSpeed: true,
      at: runtime.now(),
    });
  const policy = create({
    waiting,
    random: runtime.random,
    readMeanMs: () => times.expectMs('all'),
  });
  let freePrimary = PRIMARY_SLOTS;
  let freeOther = SLOTS - PRIMARY_SLOTS;
  let order = 0;
  let open = 0;
  const gained = new Map<string, number>();
  const counts = {
    inTime: 0,
    late: 0,
    refusals: 0,
    lateRefusals: 0,
    heldRefusals: 0,
  };
  const gain = ({kind, workspace}: Arrival, value: number): void => {
    const key = `${kind.rank} ${workspace === SURGING}`;
    gained.set(key, (gained.get(key) ?? 0) + value);
  };

  const refuse = (job: ReplayJob, retryAfterMs: number): void => {
    const now = runtime.now();
    const heldMs = now - job.receivedAt;
    waiting.delete(job);
    open--;
    counts.refusals++;
    counts.lateRefusals += heldMs > job.arrival.kind.targetMs / 4 ? 1 : 0;
    const limitMs = job.deadline - job.receivedAt;
    counts.heldRefusals += heldMs > limitMs / 2 ? 1 : 0;
    if (job.attempt < MAX_RETRIES) {
      open++;
      runtime.at(now + Math.max(MIN_RETRY_MS, retryAfterMs), () => {
        open--;
        arrive(job.arrival, job.attempt + 1);
      });
    }
  };

  const serve = (): void => {
    const now = runtime.now();
    while (waiting.size > 0 && freePrimary + freeOther > 0) {
      const job = policy.take(now, freePrimary > 0);
      // Reads leave the primary to the writes while a replica has a slot.
      const atPrimary = job?.needsPrimary === true || freeOther === 0;
      if (job === null || (atPrimary && freePrimary === 0)) {
        return;
      }
      waiting.delete(job);
      policy.onStart(job, now);
      freePrimary -= atPrimary ? 1 : 0;
      freeOther -= atPrimary ? 0 : 1;
      runtime.at(now + job.arrival.workMs, () => {
        freePrimary += atPrimary ? 1 : 0;
        freeOther += atPrimary ? 0 : 1;
        finish(job);
        serve();
      });
    }
  };

  const finish = (job: ReplayJob): void => {
    const {arrival} = job;
    const {kind} = arrival;
    open--;
    recordTime(String(kind.rank), arrival.workMs);
    recordTime('all', arrival.workMs);
    policy.onEnd(job, runtime.now());
    const tookMs = runtime.now() - arrival.at;
    if (tookMs <= kind.targetMs) {
      counts.inTime++;
      gain(arrival, kind.inTime);
    } else if (tookMs <= kind.deadlineMs) {
      counts.late++;
      gain(arrival, kind.late);
    }
  };

  const arrive = (arrival: Arrival, attempt: number): void => {
    const now = runtime.now();
    const {kind, workspace, needsPrimary} = arrival;
    const job: ReplayJob = {
      arrival,
      attempt,
      priority: kind.rank,
      workspace,
      isInTx: false,
      receivedAt: now,
      // Each attempt has its own target and deadline, as at a route.
      targetAt: now + kind.targetMs,
      deadline: now + kind.deadlineMs,
      expectedMs: times.expectMs(String(kind.rank)),
      order: ++order,
      needsPrimary,
    };
    open++;
    const retryAfterMs = policy.admit(job, now);
    if (retryAfterMs !== null) {
      refuse(job, retryAfterMs);
      return;
    }
    waiting.add(job);
    serve();
  };

  const tick = (): void => {
    for (const [job, retryAfterMs] of policy.review(runtime.now())) {
      refuse(job, retryAfterMs);
    }
    serve();
    if (runtime.now() < END_MS || open > 0) {
      runtime.at(runtime.now() + TICK_MS, tick);
    }
  };

  for (const arrival of arrivals) {
    runtime.at(arrival.at, () => arrive(arrival, 0));
  }
  tick();
  runtime.runUntil(10 * END_MS);

  const offered = new Map<string, number>();
  for (const {kind, workspace} of arrivals) {
    const key = `${kind.rank} ${workspace === SURGING}`;
    offered.set(key, (offered.get(key) ?? 0) + kind.inTime);
  }
  const sum = (map: ReadonlyMap<string, number>, part: string): number =>
    [...map]
      .filter(([key]) => key.includes(part))
      .reduce((total, [, value]) => total + value, 0);
  const share = (part: string): number =>
    sum(gained, part) / sum(offered, part);
  return {
    value: sum(gained, ''),
    shares: new Map(KINDS.map(({rank}) => [rank, share(`${rank} `)])),
    surgingShare: share('true'),
    othersShare: share('false'),
    ...counts,
  };
}

/** Returns the value of all arrivals if each was served in time. */
export function sumOffered(arrivals: readonly Arrival[]): number {
  return arrivals.reduce((sum, {kind}) => sum + kind.inTime, 0);
}

/** Length of the time steps of the upper bound, in ms. */
const STEP_MS = 500;
/** Prices of a ms of slot time that are tried at first. */
const FIRST_PRICES = [0.002, 0.004, 0.006, 0.008, 0.01, 0.014, 0.02, 0.03];
/** Factors by which the price of a step is then changed. */
const PRICE_FACTORS = [0, 0.5, 0.8, 0.95, 1.05, 1.25, 2];
/** Price from which that of a free step is changed. */
const DEFAULT_PRICE = 0.004;
const BOUND_ROUNDS = 2;

/**
 * Returns a value that no policy can exceed. Work is divided over time steps as
 * if it could be interrupted and run at several slots at once. Any price per
 * time step gives a bound: the slots sold at that price, and what the requests
 * gain beyond it. The prices are improved step by step.
 */
export function computeUpperBound(arrivals: readonly Arrival[]): number {
  const steps = Math.ceil((END_MS + 12_500) / STEP_MS);
  const capacityMs = SLOTS * STEP_MS;
  const evaluate = (prices: readonly number[]): number => {
    let bound = prices.reduce((sum, price) => sum + price * capacityMs, 0);
    for (const {at, kind, workMs} of arrivals) {
      const from = Math.floor(at / STEP_MS);
      const inTimeEnd = Math.floor((at + kind.targetMs) / STEP_MS);
      const end = Math.floor((at + kind.deadlineMs) / STEP_MS);
      let gain = 0;
      for (let step = from; step <= end && step < steps; step++) {
        const value = step <= inTimeEnd ? kind.inTime : kind.late;
        gain = Math.max(gain, value - prices[step]! * workMs);
      }
      bound += gain;
    }
    return bound;
  };
  let prices = new Array<number>(steps).fill(0);
  let best = evaluate(prices);
  const tryPrices = (next: number[]): void => {
    const bound = evaluate(next);
    if (bound < best) {
      best = bound;
      prices = next;
    }
  };
  const start = Math.floor(LEAST_URGENT_FLOOD.from / STEP_MS);
  for (let end = start + 4; end < steps; end += 4) {
    for (const first of FIRST_PRICES) {
      const isPriced = (step: number): boolean => step >= start && step < end;
      tryPrices(prices.map((_, step) => (isPriced(step) ? first : 0)));
    }
  }
  for (let round = 0; round < BOUND_ROUNDS; round++) {
    for (let step = 0; step < steps; step++) {
      for (const factor of PRICE_FACTORS) {
        const price = (prices[step] ?? 0) || DEFAULT_PRICE;
        tryPrices(prices.with(step, price * factor));
      }
    }
  }
  return best;
}
