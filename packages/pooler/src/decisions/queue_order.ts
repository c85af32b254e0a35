/**
 * The order in which waiting statements get slots. It keeps the other ranks
 * served when one rank is flooded with statements: urgent ranks go first, but a
 * rank that was skipped often enough gets a slot.
 * Within a rank, statements that can still meet their target go before late
 * ones, those of workspaces within their share before the others, and then the
 * earliest target first: under overload, a slot for a late statement would make
 * the next one late as well.
 * A statement that was held for most of its time goes first in its rank, since
 * refusing it then costs its caller the most.
 */

import type {Instant} from '@lacewingroad/runtime';

/**
 * A statement that waits for a slot. The lowest `priority` is the most urgent.
 */
export interface WaitingJob {
  readonly priority: number;
  /** The workspace that it runs for, or null. */
  readonly workspace: string | null;
  /** Statements of open transactions go first, since they hold a connection. */
  readonly isInTx: boolean;
  readonly receivedAt: Instant;
  readonly targetAt: Instant;
  readonly deadline: Instant;
  /** Expected time in a slot, in ms. */
  readonly expectedMs: number;
  readonly order: number;
}

/** Returns whether a workspace has used more than its share of a rank. */
export type IsOverShare = (rank: number, workspace: string | null) => boolean;

/** How often each rank was skipped since it last got a slot. */
export type SkipCounts = ReadonlyMap<number, number>;

/** Skips after which a rank gets a slot, which is about every tenth slot. */
export const MAX_SKIPS = 10;
/** The same for a rank with a statement that is due. */
export const MAX_SKIPS_DUE = 2;
/** Share of its time until the deadline after which a statement is due. */
export const DUE_SHARE = 0.75;

/** Returns whether a statement has been held for most of its time. */
export function isDue(job: WaitingJob, now: Instant): boolean {
  const limitMs = job.deadline - job.receivedAt;
  return now >= job.receivedAt + limitMs * DUE_SHARE;
}

/**
 * Delay of the turn of a workspace that is over its share, as a share of the
 * time that the statement has until its target. Putting its statements behind
 * all others of the rank made them late although the rank had slots left: the
 * overload replay then served less than strict priority.
 */
const OVER_SHARE_DELAY = 0.5;

interface Turn<T> {
  readonly job: T;
  /** Lower goes first. */
  readonly place: number;
  /** Decides among those of the same place; earlier goes first. */
  readonly at: Instant;
}

/** Returns what decides the turn of a statement within its rank. */
function createTurn<T extends WaitingJob>(
  job: T,
  now: Instant,
  isOverShare: IsOverShare,
): Turn<T> {
  const {targetAt} = job;
  if (job.isInTx || isDue(job, now)) {
    return {job, place: job.isInTx ? 0 : 1, at: targetAt};
  }
  const isOver = isOverShare(job.priority, job.workspace);
  const delayMs = isOver ? (targetAt - job.receivedAt) * OVER_SHARE_DELAY : 0;
  const isLate = targetAt < now + job.expectedMs;
  return {job, place: isLate ? 3 : 2, at: targetAt + delayMs};
}

function isBefore<T extends WaitingJob>(a: Turn<T>, b: Turn<T>): boolean {
  if (a.place !== b.place) {
    return a.place < b.place;
  }
  return a.at !== b.at ? a.at < b.at : a.job.order < b.job.order;
}

/** Restores the order of a binary heap below an index. */
function siftDown<T extends WaitingJob>(heap: Turn<T>[], from: number): void {
  let parent = from;
  for (;;) {
    const left = 2 * parent + 1;
    const right = left + 1;
    let first = parent;
    if (left < heap.length && isBefore(heap[left]!, heap[first]!)) {
      first = left;
    }
    if (right < heap.length && isBefore(heap[right]!, heap[first]!)) {
      first = right;
    }
    if (first === parent) {
      return;
    }
    [heap[parent], heap[first]] = [heap[first]!, heap[parent]!];
    parent = first;
  }
}

/** Waiting statements of one rank that wait for the same resource. */
interface Line<T> {
  readonly rank: number;
  readonly key: string | null;
  readonly heap: Turn<T>[];
}

/** Hands out waiting statements in the order in which they get slots. */
export interface TurnQueue<T> {
  /** Removes and returns the next one, or null. */
  readonly take: (skipCounts: SkipCounts) => T | null;
  /** Leaves out the statements with this key from now on. */
  readonly block: (key: string) => void;
}

/**
 * Orders waiting statements as far as they are taken: building takes a time
 * proportional to their number, and each `take` one that grows with its
 * logarithm. `getKey` names the resource that a statement waits for.
 */
export function createTurnQueue<T extends WaitingJob>(
  jobs: readonly T[],
  now: Instant,
  isOverShare: IsOverShare,
  getKey: (job: T) => string | null,
): TurnQueue<T> {
  const byRank = new Map<number, Map<string | null, Line<T>>>();
  const dueRanks = new Set<number>();
  const lines = new Set<Line<T>>();
  for (const job of jobs) {
    const rank = job.priority;
    const ofRank = byRank.get(rank) ?? new Map<string | null, Line<T>>();
    byRank.set(rank, ofRank);
    const key = getKey(job);
    const line = ofRank.get(key) ?? {rank, key, heap: []};
    ofRank.set(key, line);
    lines.add(line);
    line.heap.push(createTurn(job, now, isOverShare));
    if (isDue(job, now)) {
      dueRanks.add(rank);
    }
  }
  for (const {heap} of lines) {
    for (let index = heap.length >> 1; index >= 0; index--) {
      siftDown(heap, index);
    }
  }
  const getUrgency = (rank: number, skipCounts: SkipCounts): number => {
    const maxSkips = dueRanks.has(rank) ? MAX_SKIPS_DUE : MAX_SKIPS;
    return (skipCounts.get(rank) ?? 0) >= maxSkips ? -Infinity : rank;
  };
  return {
    take: skipCounts => {
      let best: Line<T> | null = null;
      let bestUrgency = Infinity;
      for (const line of lines) {
        const urgency = getUrgency(line.rank, skipCounts);
        const isFirst =
          best === null ||
          urgency < bestUrgency ||
          (urgency === bestUrgency && isBefore(line.heap[0]!, best.heap[0]!));
        if (isFirst) {
          best = line;
          bestUrgency = urgency;
        }
      }
      if (best === null) {
        return null;
      }
      const {heap} = best;
      const {job} = heap[0]!;
      const last = heap.pop()!;
      if (heap.length === 0) {
        lines.delete(best);
      } else {
        heap[0] = last;
        siftDown(heap, 0);
      }
      return job;
    },
    block: key => {
      for (const line of lines) {
        if (line.key === key) {
          lines.delete(line);
        }
      }
    },
  };
}

/** Returns the waiting statements in the order in which they get slots. */
export function orderJobs<T extends WaitingJob>(
  jobs: readonly T[],
  skipCounts: SkipCounts,
  now: Instant,
  isOverShare: IsOverShare,
): readonly T[] {
  const queue = createTurnQueue(jobs, now, isOverShare, () => null);
  const ordered: T[] = [];
  for (
    let job = queue.take(skipCounts);
    job !== null;
    job = queue.take(skipCounts)
  ) {
    ordered.push(job);
  }
  return ordered;
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
