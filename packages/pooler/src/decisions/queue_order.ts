/**
 * The order in which waiting statements get slots. It keeps the other ranks
 * served when one rank is flooded with statements: urgent ranks go first, but a
 * rank that was skipped often enough gets a slot.
 * Within a rank, statements that can still meet their target go before late
 * ones, earliest target first: under overload, a slot for a late statement
 * would make the next one late as well.
 */

import type {Instant} from '@lacewingroad/runtime';

/**
 * A statement that waits for a slot. The lowest `priority` is the most urgent.
 */
export interface WaitingJob {
  readonly priority: number;
  /** Statements of open transactions go first, since they hold a connection. */
  readonly isInTx: boolean;
  readonly targetAt: Instant;
  readonly order: number;
}

/** How often each rank was skipped since it last got a slot. */
export type SkipCounts = ReadonlyMap<number, number>;

/** Skips after which a rank gets a slot, which is about every tenth slot. */
export const MAX_SKIPS = 10;

function compareJobs(a: WaitingJob, b: WaitingJob, now: Instant): number {
  if (a.isInTx !== b.isInTx) {
    return a.isInTx ? -1 : 1;
  }
  const isLateA = a.targetAt < now;
  const isLateB = b.targetAt < now;
  if (isLateA !== isLateB) {
    return isLateA ? 1 : -1;
  }
  return a.targetAt - b.targetAt || a.order - b.order;
}

/** Returns the waiting statements in the order in which they get slots. */
export function orderJobs<T extends WaitingJob>(
  jobs: readonly T[],
  skipCounts: SkipCounts,
  now: Instant,
): readonly T[] {
  const getRank = (job: T): number =>
    (skipCounts.get(job.priority) ?? 0) >= MAX_SKIPS ? -1 : job.priority;
  return [...jobs].sort(
    (a, b) => getRank(a) - getRank(b) || compareJobs(a, b, now),
  );
}

/**
 * Returns the counts after rank `served` got a slot while other ranks waited.
 */
export function updateSkipCounts(
  skipCounts: SkipCounts,
  served: number,
  waiting: readonly number[],
): SkipCounts {
  const next = new Map(skipCounts);
  for (const priority of waiting) {
    if (priority > served) {
      next.set(priority, (next.get(priority) ?? 0) + 1);
    }
  }
  next.set(served, 0);
  return next;
}
