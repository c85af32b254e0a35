/**
 * Fair shares of slot time between the workspaces of a rank. The load that it
 * addresses: one workspace sends a multiple of its usual rate and would delay
 * all others of its rank. It is served after them while it uses more than its
 * share, so that it bears the cost of its own surge.
 *
 * A share is the larger of an equal part of the rank's slot time and the
 * workspace's own use over the last half minute. The second part keeps a large
 * workspace at its usual rate from paying for the surge of another one. A pool
 * that has just started knows little of that use, and shares equally.
 */

import type {Instant} from '@lacewingroad/runtime';

/** Time constant of the decay of recent use, in ms. */
export const RECENT_MS = 1_000;
/** Time constant of the decay by which the usual use is known, in ms. */
const USUAL_MS = 30_000;
/**
 * Multiple of its share that a workspace may use: arrivals of a steady rate
 * differ by about a third from one second to the next at 10 a second.
 */
const SHARE_TOLERANCE = 1.5;
/** Interval at which shares are computed anew, in ms. */
const UPDATE_MS = 10;
/** Use below which a workspace is forgotten, in ms of slot time. */
const NEGLIGIBLE_MS = 0.01;
/**
 * History that the usual use is taken from at least, in ms: with less, a surge
 * would pass for usual.
 */
const MIN_HISTORY_MS = 10_000;

/** A workspace; null stands for all callers without one. */
type Workspace = string | null;

interface Use {
  /** Decayed sums of slot time, in ms, as of `at`. */
  recent: number;
  usual: number;
  at: Instant;
}

/** The use of slot time by the workspaces of a pool. */
export interface SlotUse {
  /** Adds slot time, in ms; a negative amount corrects an expected one. */
  readonly add: (
    rank: number,
    workspace: Workspace,
    ms: number,
    now: Instant,
  ) => void;
  /** Returns whether a workspace has lately used more than its share. */
  readonly isOverShare: (
    rank: number,
    workspace: Workspace,
    now: Instant,
  ) => boolean;
}

function decay(use: Use, now: Instant): void {
  const ageMs = now - use.at;
  if (ageMs > 0) {
    use.recent *= Math.exp(-ageMs / RECENT_MS);
    use.usual *= Math.exp(-ageMs / USUAL_MS);
    use.at = now;
  }
}

function findOver(
  uses: Map<Workspace, Use>,
  startedAt: Instant,
  now: Instant,
): ReadonlySet<Workspace> {
  let total = 0;
  for (const [workspace, use] of uses) {
    decay(use, now);
    if (use.usual < NEGLIGIBLE_MS) {
      uses.delete(workspace);
    }
    total += use.recent;
  }
  // The decayed sum of a short history is smaller than that of a long one.
  const historyMs = Math.max(MIN_HISTORY_MS, now - startedAt);
  const usualWeight =
    RECENT_MS / (USUAL_MS * (1 - Math.exp(-historyMs / USUAL_MS)));
  const over = new Set<Workspace>();
  if (uses.size > 1) {
    const equalMs = total / uses.size;
    for (const [workspace, {recent, usual}] of uses) {
      const shareMs = Math.max(equalMs, usual * usualWeight);
      if (recent > shareMs * SHARE_TOLERANCE) {
        over.add(workspace);
      }
    }
  }
  return over;
}

/** Creates the record of a pool that starts now. */
export function createSlotUse(startedAt: Instant): SlotUse {
  const ranks = new Map<number, Map<Workspace, Use>>();
  const found = new Map<number, {at: Instant; over: ReadonlySet<Workspace>}>();
  return {
    add: (rank, workspace, ms, now) => {
      const uses = ranks.get(rank) ?? new Map<Workspace, Use>();
      ranks.set(rank, uses);
      const use = uses.get(workspace) ?? {recent: 0, usual: 0, at: now};
      uses.set(workspace, use);
      decay(use, now);
      use.recent = Math.max(0, use.recent + ms);
      use.usual = Math.max(0, use.usual + ms);
    },
    isOverShare: (rank, workspace, now) => {
      const uses = ranks.get(rank);
      if (uses === undefined || uses.size < 2) {
        return false;
      }
      let last = found.get(rank);
      if (last === undefined || now - last.at >= UPDATE_MS) {
        last = {at: now, over: findOver(uses, startedAt, now)};
        found.set(rank, last);
      }
      return last.over.has(workspace);
    },
  };
}
