/**
 * Limits the log lines per second of each kind of event. Failures have their
 * own kinds, so that a flood of other events does not hide them.
 */

import type {Instant} from '@lacewingroad/runtime';
import type {EventLevel} from './event_line.js';

/** Length of a counting window, in milliseconds. */
const WINDOW_MS = 1_000;

/** The number of suppressed lines of one kind of event. */
export interface SuppressedLines {
  readonly level: EventLevel;
  readonly event: string;
  readonly count: number;
}

/** Decides which log lines are written. */
export interface LineRateLimiter {
  /** Counts a line and returns whether to write it. */
  readonly take: (level: EventLevel, event: string, now: Instant) => boolean;
  /** Returns and clears the counts of the window if it has ended. */
  readonly takeSuppressed: (now: Instant) => readonly SuppressedLines[];
}

interface LineCount {
  readonly level: EventLevel;
  readonly event: string;
  taken: number;
  suppressed: number;
}

/** Creates a limiter for each event kind and level; 0 means no limit. */
export function createLineRateLimiter(linesPerSecond: number): LineRateLimiter {
  const counts = new Map<string, LineCount>();
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
      const suppressedLines = [...counts.values()]
        .filter(({suppressed}) => suppressed > 0)
        .map(({level, event, suppressed}) => ({
          level,
          event,
          count: suppressed,
        }));
      counts.clear();
      return suppressedLines;
    },
  };
}
