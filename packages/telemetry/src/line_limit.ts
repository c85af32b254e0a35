/**
 * Bounds the volume of the log: each kind of event has so many lines a second.
 * Failures have kinds of their own, so that no flood of others hides them.
 */

import type {Instant} from '@lacewingroad/runtime';
import type {EventLevel} from './event_line.js';

/** Time for which lines are counted together, in milliseconds. */
const WINDOW_MS = 1_000;

/** Lines of one kind of event that were left out. */
export interface SuppressedLines {
  readonly level: EventLevel;
  readonly event: string;
  readonly count: number;
}

/** Decides which lines are written. */
export interface LineLimit {
  /** Counts a line and tells whether it is written. */
  readonly take: (level: EventLevel, event: string, now: Instant) => boolean;
  /** Returns what was left out in windows that are over, and forgets it. */
  readonly takeSuppressed: (now: Instant) => readonly SuppressedLines[];
}

interface Count {
  readonly level: EventLevel;
  readonly event: string;
  taken: number;
  suppressed: number;
}

/** Creates a limit of lines a second for each kind and level; 0 is none. */
export function createLineLimit(linesPerSecond: number): LineLimit {
  const counts = new Map<string, Count>();
  let windowEnd = 0;
  return {
    take: (level, event, now) => {
      if (linesPerSecond === 0) {
        return true;
      }
      if (counts.size === 0) {
        windowEnd = now + WINDOW_MS;
      }
      const key = `${level} ${event}`;
      const count = counts.get(key) ?? {level, event, taken: 0, suppressed: 0};
      counts.set(key, count);
      if (count.taken >= linesPerSecond) {
        count.suppressed++;
        return false;
      }
      count.taken++;
      return true;
    },
    takeSuppressed: now => {
      if (counts.size === 0 || now < windowEnd) {
        return [];
      }
      const left = [...counts.values()]
        .filter(({suppressed}) => suppressed > 0)
        .map(({level, event, suppressed}) => ({
          level,
          event,
          count: suppressed,
        }));
      counts.clear();
      return left;
    },
  };
}
