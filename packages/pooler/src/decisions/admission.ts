/**
 * Admission control under overload: a flood of one rank, or a surge of one
 * workspace, that exceeds the slots of a group. A statement that is not
 * expected to end in time is refused when it arrives, so that its caller can
 * return later and the queue stays short. Those that more urgent work overtakes
 * while they wait are refused as soon as they have become hopeless, and never
 * after they were held for over half of their time.
 *
 * The expected wait is the expected slot time of the statements that run
 * before, divided by the slots that can run them and that more urgent arrivals
 * leave over.
 */

import type {Instant} from '@lacewingroad/runtime';
import {addWork, NO_WORK, toWork} from './arrival_rates.js';
import type {ArrivalRates, Work} from './arrival_rates.js';
import {isDue, MAX_SKIPS} from './queue_order.js';
import type {IsOverShare, WaitingJob} from './queue_order.js';

/** A waiting statement with the endpoints that can run it. */
export interface QueuedJob extends WaitingJob {
  /** Whether only the primary can run it. */
  readonly needsPrimary: boolean;
}

/** The slots of the usable endpoints. */
export interface Capacity {
  /** Slots of the primary; 0 while there is none. */
  readonly primary: number;
  /** Slots of all endpoints, with the primary. */
  readonly all: number;
  /**
   * Expected time until an endpoint can run statements that now none can, in
   * ms.
   */
  readonly outageMs: number;
}

/** What the expected wait of statements depends on. */
export interface QueueLoad {
  readonly capacity: Capacity;
  readonly rates: ArrivalRates;
  readonly isOverShare: IsOverShare;
  readonly now: Instant;
}

/** Why a statement is refused, and when its caller should return. */
export interface Refusal {
  /** The expected wait that decided it, in ms; Infinity if without end. */
  readonly waitMs: number;
  readonly retryAfterMs: number;
}

/** Share of the slots that a rank gets at least while it has work. */
const FLOOR_SHARE = 1 / (MAX_SKIPS + 1);
/**
 * Share of the time until its target that a statement may be expected to need:
 * the rest is for the estimate's error.
 */
const TARGET_SHARE = 0.7;
/**
 * Share of the time until its deadline that a statement which will miss its
 * target may be expected to wait, without arrivals that go before it and while
 * they fill all slots. At 0.45 under full load the replay served hardly more,
 * and refused more than twice as many after holding them.
 */
const DEADLINE_SHARE_CALM = 0.6;
const DEADLINE_SHARE_FULL = 0.3;
/**
 * Share of its time after which a statement is refused unless it is expected to
 * be sent early: from HELD_SHARE on, a refusal would cost its caller the most.
 */
export const CHECK_SHARE = 0.38;
/** Share of its time from which a statement is not refused any more. */
export const HELD_SHARE = 0.48;
/** Largest expected wait at that check, as a share of its time. */
const CHECK_WAIT_SHARE = 0.25;
/** Smallest time after which a refused caller should return, in ms. */
const MIN_RETRY_AFTER_MS = 50;
/** Largest such time as a share of the time that the statement had. */
const MAX_RETRY_SHARE = 0.5;

/** Work that runs before a statement, in ms of slot time. */
export interface WorkAhead {
  readonly total: Work;
  /** The part of it that is of the same rank. */
  readonly sameRank: Work;
}

function divide(ms: number, slots: number): number {
  if (ms <= 0) {
    return 0;
  }
  return slots > 0 ? ms / slots : Infinity;
}

/** Returns the time in which slots do the work ahead of a statement, in ms. */
function drainMs(ahead: Work, slots: Work, needsPrimary: boolean): number {
  const all = slots.primary + slots.any;
  const sharedMs = divide(ahead.primary + ahead.any, Math.max(0, all));
  return needsPrimary
    ? Math.max(sharedMs, divide(ahead.primary, Math.max(0, slots.primary)))
    : // Reads leave the primary to the writes if these keep it busy for longer.
      Math.min(sharedMs, divide(ahead.any, Math.max(0, slots.any)));
}

function hasSlots(
  needsPrimary: boolean,
  {primary, all}: Pick<Capacity, 'primary' | 'all'>,
): boolean {
  return (needsPrimary ? primary : all) > 0;
}

/**
 * Returns the time that a statement is expected to wait for a slot, in ms,
 * while arrivals that go before it take the slots `taken`.
 */
export function estimateWaitMs(
  needsPrimary: boolean,
  ahead: WorkAhead,
  {primary, all, outageMs}: Capacity,
  taken: Work,
): number {
  if (!hasSlots(needsPrimary, {primary, all})) {
    return outageMs;
  }
  const any = all - primary;
  const left = {primary: primary - taken.primary, any: any - taken.any};
  const floor = {primary: primary * FLOOR_SHARE, any: any * FLOOR_SHARE};
  return Math.min(
    drainMs(ahead.total, left, needsPrimary),
    drainMs(ahead.sameRank, floor, needsPrimary),
  );
}

/** What is expected of a statement. */
interface Forecast {
  readonly waitMs: number;
  /** Whether it is expected to meet its target. */
  readonly isInTime: boolean;
  /** Whether no endpoint can run it for now. */
  readonly isOutage: boolean;
  /** Share of the slots that arrivals before it use, from 0 to 1. */
  readonly takenShare: number;
}

function forecast(
  job: QueuedJob,
  ahead: WorkAhead,
  {capacity, rates, now}: QueueLoad,
): Forecast {
  const {needsPrimary, priority, expectedMs} = job;
  const urgent = rates.readMoreUrgent(priority, now);
  const waitMs = estimateWaitMs(needsPrimary, ahead, capacity, urgent);
  const isInTime = waitMs <= (job.targetAt - now) * TARGET_SHARE - expectedMs;
  const isOutage = !hasSlots(needsPrimary, capacity);
  if (isInTime || isOutage) {
    return {waitMs, isInTime, isOutage, takenShare: 0};
  }
  // Statements that arrive later go before one that is late.
  const taken = addWork(urgent, rates.read(priority, now));
  const lateMs = estimateWaitMs(needsPrimary, ahead, capacity, taken);
  const takenShare = Math.min(1, (taken.primary + taken.any) / capacity.all);
  return {waitMs: lateMs, isInTime, isOutage, takenShare};
}

/**
 * Returns after how many ms a refused caller should return: once the queue has
 * drained far enough, spread over the time that it needs for that. `random` is
 * uniform in [0, 1).
 */
export function computeRetryAfterMs(
  job: QueuedJob,
  waitMs: number,
  random: number,
): number {
  const maxMs = (job.deadline - job.receivedAt) * MAX_RETRY_SHARE;
  const spareMs = (job.targetAt - job.receivedAt) * TARGET_SHARE;
  const excessMs = waitMs + job.expectedMs - spareMs;
  const startMs = Math.min(Math.max(excessMs, MIN_RETRY_AFTER_MS), maxMs / 2);
  const spreadMs = Math.min(Math.max(waitMs, MIN_RETRY_AFTER_MS), maxMs / 2);
  return Math.round(startMs + spreadMs * random);
}

/** Returns the work that runs before a statement that arrives now. */
function sumWorkAhead(
  job: QueuedJob,
  waiting: readonly QueuedJob[],
  {isOverShare, now}: QueueLoad,
): WorkAhead {
  const isOver = isOverShare(job.priority, job.workspace);
  let totalPrimary = 0;
  let totalAny = 0;
  let samePrimary = 0;
  let sameAny = 0;
  for (const other of waiting) {
    const isSame = other.priority === job.priority;
    const isAhead = isSame
      ? isOver ||
        !isOverShare(other.priority, other.workspace) ||
        isDue(other, now)
      : other.priority < job.priority;
    if (!isAhead) {
      continue;
    }
    const ms = other.expectedMs;
    if (other.needsPrimary) {
      totalPrimary += ms;
      samePrimary += isSame ? ms : 0;
    } else {
      totalAny += ms;
      sameAny += isSame ? ms : 0;
    }
  }
  return {
    total: {primary: totalPrimary, any: totalAny},
    sameRank: {primary: samePrimary, any: sameAny},
  };
}

/**
 * Returns why a statement that arrives now is refused, or null if it is
 * admitted.
 */
export function decideAdmission(
  job: QueuedJob,
  waiting: readonly QueuedJob[],
  load: QueueLoad,
  random: number,
): Refusal | null {
  const ahead = sumWorkAhead(job, waiting, load);
  const {waitMs, isInTime, isOutage, takenShare} = forecast(job, ahead, load);
  const leftMs = job.deadline - load.now;
  const share =
    DEADLINE_SHARE_CALM -
    (DEADLINE_SHARE_CALM - DEADLINE_SHARE_FULL) * takenShare;
  const maxWaitMs = isOutage ? leftMs : leftMs * share;
  if (isInTime || waitMs <= maxWaitMs) {
    return null;
  }
  return {waitMs, retryAfterMs: computeRetryAfterMs(job, waitMs, random)};
}

/** Returns whether a waiting statement is to be refused. */
function isHopeless(
  job: QueuedJob,
  {waitMs, isOutage}: Forecast,
  now: Instant,
): boolean {
  const limitMs = job.deadline - job.receivedAt;
  const heldMs = now - job.receivedAt;
  if (job.isInTx || heldMs >= limitMs * HELD_SHARE) {
    return false;
  }
  const isChecked = heldMs >= limitMs * CHECK_SHARE && !isOutage;
  return isChecked
    ? waitMs > limitMs * CHECK_WAIT_SHARE
    : now + waitMs >= job.deadline;
}

/**
 * Returns the waiting statements that have become hopeless, with the expected
 * wait of each. `ordered` holds all waiting ones in the order of their turns;
 * those behind a hopeless one move up by its work.
 */
export function findHopeless<T extends QueuedJob>(
  ordered: readonly T[],
  load: QueueLoad,
  readRandom: () => number,
): readonly {readonly job: T; readonly refusal: Refusal}[] {
  const hopeless: {job: T; refusal: Refusal}[] = [];
  let total = NO_WORK;
  const byRank = new Map<number, Work>();
  for (const job of ordered) {
    const sameRank = byRank.get(job.priority) ?? NO_WORK;
    const expected = forecast(job, {total, sameRank}, load);
    if (isHopeless(job, expected, load.now)) {
      const {waitMs} = expected;
      const retryAfterMs = computeRetryAfterMs(job, waitMs, readRandom());
      hopeless.push({job, refusal: {waitMs, retryAfterMs}});
      continue;
    }
    const work = toWork(job.needsPrimary, job.expectedMs);
    total = addWork(total, work);
    byRank.set(job.priority, addWork(sameRank, work));
  }
  return hopeless;
}

/**
 * Returns whether a review of the queue can find a hopeless statement: none of
 * them has been held for long, and all of them are soon done.
 */
export function needsReview(
  waiting: readonly QueuedJob[],
  {capacity, now}: QueueLoad,
): boolean {
  let workMs = 0;
  let firstCheckMs = Infinity;
  for (const job of waiting) {
    const limitMs = job.deadline - job.receivedAt;
    workMs += job.expectedMs;
    firstCheckMs = Math.min(
      firstCheckMs,
      job.receivedAt + limitMs * CHECK_SHARE - now,
    );
  }
  return firstCheckMs <= 0 || workMs > capacity.primary * firstCheckMs;
}
