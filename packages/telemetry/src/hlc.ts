/**
 * A hybrid logical clock. Its stamps order the events of all hosts so that a
 * cause always comes before its effect; they decide nothing.
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
 * One that is further ahead is ignored: it would drag the stamps of all hosts.
 */
export const MAX_STAMP_LEAD_MS = 60_000;

/** A hybrid logical clock; stamps are `WALLMS.COUNTER` in fixed width. */
export interface Hlc {
  /** Returns a stamp later than all before it. */
  readonly tick: () => string;
  /** Takes note of another host's stamp; ignores one that is not valid. */
  readonly receive: (stamp: string) => void;
}

/** The two parts of a stamp. */
interface StampParts {
  readonly wallMs: number;
  readonly counter: number;
}

/** Writes a stamp in fixed width, so that stamps sort as text. */
function formatStamp(parts: StampParts): string {
  const wall = String(parts.wallMs).padStart(WALL_DIGITS, '0');
  const counter = String(parts.counter).padStart(COUNTER_DIGITS, '0');
  return `${wall}.${counter}`;
}

/** Reads a stamp; null when it has another form. */
function parseStamp(stamp: string): StampParts | null {
  const match = STAMP_PATTERN.exec(stamp);
  if (match === null) {
    return null;
  }
  return {wallMs: Number(match[1]), counter: Number(match[2])};
}

/** Returns the parts that follow directly. */
function followingStamp(parts: StampParts): StampParts {
  return parts.counter < MAX_COUNTER
    ? {wallMs: parts.wallMs, counter: parts.counter + 1}
    : {wallMs: parts.wallMs + 1, counter: 0};
}

/** Tells whether `a` is later than `b`. */
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
      last = wallMs > last.wallMs ? {wallMs, counter: 0} : followingStamp(last);
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
