/**
 * A hybrid logical clock. Its stamps order the events of all hosts so that a
 * cause precedes its effect. They are for diagnosis only; no decision uses them.
 */

import type {Runtime} from '@lacewingroad/runtime';

/** Digits of the wall clock in a stamp; enough until the year 2286. */
const WALL_DIGITS = 13;
/** Digits of the counter in a stamp. */
const COUNTER_DIGITS = 6;
const MAX_COUNTER = 10 ** COUNTER_DIGITS - 1;
const STAMP_PATTERN = new RegExp(
  `^(\\d{${WALL_DIGITS}})\\.(\\d{${COUNTER_DIGITS}})$`,
);

/**
 * How far ahead of the wall clock a received stamp may be, in milliseconds.
 * Stamps further ahead are ignored; they would advance the clocks of all hosts.
 */
export const MAX_STAMP_LEAD_MS = 60_000;

/** A hybrid logical clock; stamps are `WALLMS.COUNTER` in fixed width. */
export interface Hlc {
  /** Returns a stamp later than all earlier ones. */
  readonly tick: () => string;
  /** Advances the clock to another host's stamp; ignores invalid stamps. */
  readonly receive: (stamp: string) => void;
}

/** The two parts of a stamp. */
interface StampParts {
  readonly wallMs: number;
  readonly counter: number;
}

/** Formats a stamp in fixed width, so that stamps sort as strings. */
function formatStamp(parts: StampParts): string {
  const wall = String(parts.wallMs).padStart(WALL_DIGITS, '0');
  const counter = String(parts.counter).padStart(COUNTER_DIGITS, '0');
  return `${wall}.${counter}`;
}

/** Parses a stamp; returns null if it is malformed. */
function parseStamp(stamp: string): StampParts | null {
  const match = STAMP_PATTERN.exec(stamp);
  if (match === null) {
    return null;
  }
  return {wallMs: Number(match[1]), counter: Number(match[2])};
}

/** Returns the next stamp after `parts`. */
function nextStamp(parts: StampParts): StampParts {
  return parts.counter < MAX_COUNTER
    ? {wallMs: parts.wallMs, counter: parts.counter + 1}
    : {wallMs: parts.wallMs + 1, counter: 0};
}

/** Reports whether `a` is later than `b`. */
function isLater(a: StampParts, b: StampParts): boolean {
  return (
    a.wallMs > b.wallMs || (a.wallMs === b.wallMs && a.counter > b.counter)
  );
}

/** Creates the hybrid logical clock of one host. */
export function createHlc(runtime: Runtime): Hlc {
  let last: StampParts = {wallMs: 0, counter: 0};
  return {
    tick: () => {
      const wallMs = Math.floor(runtime.wallNow());
      last = wallMs > last.wallMs ? {wallMs, counter: 0} : nextStamp(last);
      return formatStamp(last);
    },
    receive: stamp => {
      const parts = parseStamp(stamp);
      if (parts === null) {
        return;
      }
      const isTooFarAhead =
        parts.wallMs > runtime.wallNow() + MAX_STAMP_LEAD_MS;
      if (!isTooFarAhead && isLater(parts, last)) {
        last = parts;
      }
    },
  };
}
