/** Tests of the decisions about order and admission under overload. */

import {describe, expect, it} from 'vitest';
import {
  CHECK_SHARE,
  computeRetryAfterMs,
  decideAdmission,
  estimateWaitMs,
  findHopeless,
  HELD_SHARE,
  needsReview,
} from '../../decisions/admission.js';
import type {
  Capacity,
  QueuedJob,
  QueueLoad,
} from '../../decisions/admission.js';
import {createArrivalRates, NO_WORK} from '../../decisions/arrival_rates.js';
import {
  createTurnQueue,
  DUE_SHARE,
  MAX_SKIPS_DUE,
  orderJobs,
} from '../../decisions/queue_order.js';
import {createSlotUse, RECENT_MS} from '../../decisions/slot_use.js';
import {
  createServiceTimes,
  getWorkKind,
} from '../../decisions/service_times.js';

const CAPACITY: Capacity = {primary: 6, all: 18, outageMs: 700};
const isNeverOver = (): boolean => false;

function createJob(order: number, parts: Partial<QueuedJob> = {}): QueuedJob {
  return {
    order,
    priority: 1,
    workspace: null,
    isInTx: false,
    receivedAt: 0,
    targetAt: 400,
    deadline: 4_000,
    expectedMs: 33,
    needsPrimary: false,
    ...parts,
  };
}

function createJobs(
  count: number,
  parts: Partial<QueuedJob> = {},
): readonly QueuedJob[] {
  return Array.from({length: count}, (_, order) => createJob(order, parts));
}

function createLoad(parts: Partial<QueueLoad> = {}): QueueLoad {
  return {
    capacity: CAPACITY,
    rates: createArrivalRates(),
    isOverShare: isNeverOver,
    now: 0,
    ...parts,
  };
}

/** Rates of a rank whose arrivals keep `slots` in use. */
function createRates(rank: number, slots: number, now: number) {
  const rates = createArrivalRates();
  for (let at = now - 20_000; at < now; at += 10) {
    rates.add(rank, {primary: 0, any: slots * 10}, at);
  }
  return rates;
}

describe('the share of slot time of a workspace', () => {
  /** Lets workspaces use slot time at a steady rate, in slots. */
  function useSteadily(
    use: ReturnType<typeof createSlotUse>,
    slots: Readonly<Record<string, number>>,
    from: number,
    to: number,
  ): void {
    for (let now = from; now < to; now += 10) {
      for (const [workspace, count] of Object.entries(slots)) {
        use.add(1, workspace, count * 10, now);
      }
    }
  }

  it('is exceeded by the one that surges, not by a large one at its usual rate', () => {
    const use = createSlotUse(0);
    const small = Array.from({length: 7}, (_, n) => [`small${n}`, 1]);
    const usual = {large: 8, small: 1, other: 1, ...Object.fromEntries(small)};
    useSteadily(use, usual, 0, 20_000);
    expect(use.isOverShare(1, 'large', 20_000)).toBe(false);
    useSteadily(use, {...usual, small: 6}, 20_000, 22_000);
    expect(use.isOverShare(1, 'small', 22_000)).toBe(true);
    expect(use.isOverShare(1, 'large', 22_000)).toBe(false);
    expect(use.isOverShare(1, 'other', 22_000)).toBe(false);
  });

  it('is within limits again soon after the surge', () => {
    const use = createSlotUse(0);
    const usual = {small: 1, other: 1};
    useSteadily(use, usual, 0, 20_000);
    useSteadily(use, {...usual, small: 6}, 20_000, 22_000);
    const end = 22_000 + 3 * RECENT_MS;
    useSteadily(use, usual, 22_000, end);
    expect(use.isOverShare(1, 'small', end)).toBe(false);
  });

  it('is counted for each rank by itself', () => {
    const use = createSlotUse(0);
    useSteadily(use, {small: 9, other: 1}, 0, 1_000);
    use.add(0, 'small', 1, 1_000);
    use.add(0, 'other', 1, 1_000);
    expect(use.isOverShare(1, 'small', 1_000)).toBe(true);
    expect(use.isOverShare(0, 'small', 1_000)).toBe(false);
  });

  it('is not exceeded where callers have no workspaces', () => {
    const use = createSlotUse(0);
    use.add(1, null, 100_000, 0);
    expect(use.isOverShare(1, null, 0)).toBe(false);
  });
});

describe('the turns of waiting statements', () => {
  const listOrder = (
    jobs: readonly QueuedJob[],
    now: number,
    isOverShare: (rank: number, workspace: string | null) => boolean,
  ): readonly number[] =>
    orderJobs(jobs, new Map(), now, isOverShare).map(({order}) => order);
  const isSurgeOver = (_rank: number, workspace: string | null): boolean =>
    workspace === 'surge';

  it('let a workspace within its share pass one that is over it', () => {
    const jobs = [
      createJob(1, {workspace: 'surge', targetAt: 400}),
      createJob(2, {workspace: 'calm', receivedAt: 150, targetAt: 550}),
    ];
    expect(listOrder(jobs, 150, isSurgeOver)).toEqual([2, 1]);
    expect(listOrder(jobs, 150, isNeverOver)).toEqual([1, 2]);
  });

  it('keep the order of ranks for a workspace over its share', () => {
    const jobs = [
      createJob(1, {workspace: 'calm', priority: 2}),
      createJob(2, {workspace: 'surge'}),
    ];
    expect(listOrder(jobs, 0, isSurgeOver)).toEqual([2, 1]);
  });

  it('put a statement that cannot meet its target behind the others', () => {
    const jobs = [createJob(1, {targetAt: 20}), createJob(2, {targetAt: 900})];
    expect(listOrder(jobs, 0, isNeverOver)).toEqual([2, 1]);
  });

  it('serve a statement that is due first, and its rank more often', () => {
    const now = 4_000 * DUE_SHARE;
    const due = createJob(1, {priority: 2});
    const fresh = createJob(2, {priority: 2, deadline: 9_000, targetAt: 8_000});
    const urgent = createJob(3, {deadline: 9_000, targetAt: 8_000});
    expect(listOrder([fresh, due, urgent], now, isNeverOver)).toEqual([
      3, 1, 2,
    ]);
    const queue = createTurnQueue(
      [fresh, due, urgent],
      now,
      isNeverOver,
      () => null,
    );
    expect(queue.take(new Map([[2, MAX_SKIPS_DUE]]))).toBe(due);
  });

  it('leave out the statements that wait for a blocked resource', () => {
    const jobs = [
      createJob(1, {needsPrimary: true}),
      createJob(2, {needsPrimary: true}),
      createJob(3),
    ];
    const queue = createTurnQueue(jobs, 0, isNeverOver, ({needsPrimary}) =>
      needsPrimary ? 'primary' : null,
    );
    expect(queue.take(new Map())?.order).toBe(1);
    queue.block('primary');
    expect(queue.take(new Map())?.order).toBe(3);
    expect(queue.take(new Map())).toBeNull();
  });

  it('agree with a sort of all statements, whatever their number', () => {
    const jobs = Array.from({length: 300}, (_, n) =>
      createJob(n, {
        priority: (n * 7) % 3,
        isInTx: n % 11 === 0,
        targetAt: 200 + ((n * 37) % 101),
      }),
    );
    const expected = [...jobs]
      .sort(
        (a, b) =>
          a.priority - b.priority ||
          Number(b.isInTx) - Number(a.isInTx) ||
          a.targetAt - b.targetAt ||
          a.order - b.order,
      )
      .map(({order}) => order);
    expect(listOrder(jobs, 0, isNeverOver)).toEqual(expected);
  });

  it('compare a number of statements that does not grow with the square', () => {
    const countReads = (count: number): number => {
      let reads = 0;
      const jobs = Array.from({length: count}, (_, order) => {
        const job = createJob(order);
        return Object.defineProperty({...job}, 'targetAt', {
          get: () => {
            reads++;
            return 400 + ((order * 7_919) % 1_009);
          },
        });
      });
      createTurnQueue(jobs, 0, isNeverOver, () => 'reads').take(new Map());
      return reads;
    };
    expect(countReads(4_000)).toBeLessThan(5 * countReads(1_000));
  });
});

describe('the rate of arriving work', () => {
  it('is that of a flood within seconds, and ends soon after it', () => {
    const rates = createRates(1, 18, 0);
    expect(rates.read(1, 0).any).toBeGreaterThan(17);
    expect(rates.readMoreUrgent(2, 0).any).toBeGreaterThan(17);
    expect(rates.readMoreUrgent(1, 0).any).toBe(0);
    expect(rates.read(1, 2_000).any).toBeLessThan(3);
  });

  it('takes no burst for a flood', () => {
    // Guards against refusing late work that a calm queue could still serve.
    const rates = createArrivalRates();
    rates.add(1, {primary: 0, any: 6_000}, 0);
    expect(rates.read(1, 0).any).toBe(2);
  });
});

describe('the expected wait', () => {
  const ahead = (primary: number, any: number) => ({
    total: {primary, any},
    sameRank: {primary, any},
  });

  it('counts only the slots that can run a statement', () => {
    expect(estimateWaitMs(false, ahead(0, 1_800), CAPACITY, NO_WORK)).toBe(100);
    expect(estimateWaitMs(true, ahead(1_800, 0), CAPACITY, NO_WORK)).toBe(300);
    // Reads pass writes that wait for the primary.
    expect(estimateWaitMs(false, ahead(1_800, 0), CAPACITY, NO_WORK)).toBe(0);
  });

  it('leaves out the slots that more urgent arrivals keep in use', () => {
    const taken = {primary: 0, any: 9};
    expect(estimateWaitMs(false, ahead(0, 1_800), CAPACITY, taken)).toBe(200);
  });

  it('leaves a rank its floor under any flood of more urgent work', () => {
    const taken = {primary: 30, any: 90};
    const waitMs = estimateWaitMs(false, ahead(0, 1_800), CAPACITY, taken);
    expect(waitMs).toBeCloseTo(1_100);
  });

  it('is that of the outage while no endpoint can run a statement', () => {
    const none = {...CAPACITY, primary: 0};
    expect(estimateWaitMs(true, ahead(0, 0), none, NO_WORK)).toBe(700);
    expect(estimateWaitMs(false, ahead(0, 0), none, NO_WORK)).toBe(0);
  });

  it('is learned for each kind of work', () => {
    const times = createServiceTimes(() => null);
    const record = (kind: string, tookMs: number): void =>
      times.record({
        endpoint: 'e',
        kind,
        tookMs,
        running: 0,
        slots: 4,
        showsSpeed: true,
        at: 0,
      });
    const light = getWorkKind('light', 'read');
    const heavy = getWorkKind('heavy', 'read');
    expect(times.expectMs(heavy)).toBe(15);
    for (let count = 0; count < 100; count++) {
      record(light, 11);
      record(heavy, 55);
    }
    expect(times.expectMs(light)).toBeCloseTo(11);
    expect(times.expectMs(heavy)).toBeCloseTo(55);
    expect(times.expectMs(getWorkKind('heavy', 'write'))).toBeCloseTo(33);
  });
});

describe('admission', () => {
  it('counts the work that waits, not the number of statements', () => {
    const job = createJob(999);
    const light = createJobs(400, {expectedMs: 11});
    const heavy = createJobs(400, {expectedMs: 110});
    expect(decideAdmission(job, light, createLoad(), 0)).toBeNull();
    const refusal = decideAdmission(job, heavy, createLoad(), 0);
    expect(refusal?.waitMs).toBeCloseTo((400 * 110) / 18);
  });

  it('admits everything while nothing waits', () => {
    // Guards against refusing all work by an estimate that nothing corrects.
    const job = createJob(1, {expectedMs: 60_000});
    expect(decideAdmission(job, [], createLoad(), 0)).toBeNull();
  });

  it('admits what can be served late', () => {
    const job = createJob(1, {targetAt: 10});
    const waiting = createJobs(100);
    expect(decideAdmission(job, waiting, createLoad(), 0)).toBeNull();
  });

  it('refuses late work while arrivals of its rank fill all slots', () => {
    const job = createJob(1, {targetAt: 10});
    const rates = createRates(1, 18, 0);
    const waiting = createJobs(100);
    const refusal = decideAdmission(job, waiting, createLoad({rates}), 0);
    expect(refusal?.waitMs).toBeGreaterThan(1_000);
  });

  it('is not affected by less urgent work', () => {
    const job = createJob(1, {priority: 0});
    const rates = createRates(2, 100, 0);
    const waiting = createJobs(400, {priority: 2});
    expect(decideAdmission(job, waiting, createLoad({rates}), 0)).toBeNull();
  });

  it('is not affected by the surge of another workspace', () => {
    const waiting = createJobs(400, {workspace: 'surge'});
    const load = createLoad({
      isOverShare: (_rank, workspace) => workspace === 'surge',
    });
    const calm = createJob(1, {workspace: 'calm'});
    const surge = createJob(2, {workspace: 'surge'});
    expect(decideAdmission(calm, waiting, load, 0)).toBeNull();
    const rates = createRates(1, 18, 0);
    expect(decideAdmission(surge, waiting, {...load, rates}, 0)).not.toBeNull();
  });

  it('waits for the end of an outage that is expected before the deadline', () => {
    const load = createLoad({capacity: {primary: 0, all: 12, outageMs: 700}});
    const write = {needsPrimary: true, targetAt: 100};
    const patient = createJob(1, {...write, deadline: 1_200});
    const hasty = createJob(2, {...write, deadline: 600});
    expect(decideAdmission(patient, [], load, 0)).toBeNull();
    expect(decideAdmission(hasty, [], load, 0)?.waitMs).toBe(700);
  });

  it('tells refused callers to return at different times', () => {
    const job = createJob(1);
    const times = [0, 0.5, 0.99].map(random =>
      computeRetryAfterMs(job, 1_000, random),
    );
    expect(new Set(times).size).toBe(3);
    expect(Math.min(...times)).toBeGreaterThanOrEqual(700);
    expect(Math.max(...times)).toBeLessThanOrEqual(2_000);
    expect(computeRetryAfterMs(job, Infinity, 0.99)).toBeLessThanOrEqual(2_000);
  });
});

describe('the review of the queue', () => {
  const readRandom = (): number => 0;
  const listHopeless = (
    jobs: readonly QueuedJob[],
    load: QueueLoad,
  ): readonly number[] =>
    findHopeless(jobs, load, readRandom).map(({job}) => job.order);

  const LONG = {targetAt: 90_000, deadline: 90_000};
  /** Urgent work, and work of rank 1 that its floor takes 3.7 s to do. */
  const createAhead = (urgentMs: number): readonly QueuedJob[] => [
    ...createJobs(900, {priority: 0, expectedMs: urgentMs, ...LONG}),
    ...createJobs(60, {expectedMs: 100, ...LONG}),
  ];

  it('refuses what more urgent work overtakes, and keeps what can wait', () => {
    const overtaken = createJob(1_000, {priority: 1, deadline: 1_500});
    const patient = createJob(1_001, {priority: 1, deadline: 9_000});
    const jobs = [...createAhead(40), overtaken, patient];
    expect(listHopeless(jobs, createLoad())).toEqual([1_000]);
  });

  it('refuses nothing that was held for over half of its time', () => {
    const jobs = [...createAhead(400), createJob(1_000)];
    const before = createLoad({now: 4_000 * HELD_SHARE - 1});
    const after = createLoad({now: 4_000 * HELD_SHARE});
    expect(listHopeless(jobs, before)).toContain(1_000);
    expect(listHopeless(jobs, after)).not.toContain(1_000);
    expect(HELD_SHARE).toBeLessThan(0.5);
  });

  it('decides before that time whether a statement can be kept', () => {
    // A wait of 2.3 s ends before the deadline, but too late to be kept.
    const jobs = [...createAhead(40), createJob(1_000)];
    const early = createLoad({now: 4_000 * CHECK_SHARE - 1});
    const check = createLoad({now: 4_000 * CHECK_SHARE});
    expect(listHopeless(jobs, early)).not.toContain(1_000);
    expect(listHopeless(jobs, check)).toContain(1_000);
  });

  it('refuses no statement of an open transaction', () => {
    const last = createJob(1_000);
    const listWith = (job: QueuedJob): readonly number[] =>
      listHopeless([...createAhead(400), job], createLoad({now: 1_000}));
    expect(listWith(last)).toContain(1_000);
    expect(listWith({...last, isInTx: true})).not.toContain(1_000);
  });

  it('moves up what is behind a statement that it refuses', () => {
    const huge = createJob(1_000, {expectedMs: 90_000, deadline: 1_500});
    const behind = createJob(1_001, {deadline: 3_000});
    const listWith = (job: QueuedJob): readonly number[] =>
      listHopeless([...createAhead(40), job, behind], createLoad());
    expect(listWith(huge)).toEqual([1_000]);
    expect(listWith({...huge, ...LONG})).toEqual([1_001]);
  });

  it('is left out while the queue is soon done', () => {
    const waiting = createJobs(20);
    expect(needsReview(waiting, createLoad())).toBe(false);
    expect(needsReview(waiting, createLoad({now: 2_000}))).toBe(true);
    expect(needsReview(createJobs(900), createLoad())).toBe(true);
  });
});
