/**
 * The service time of an endpoint by the number of statements that it runs
 * concurrently. The load that it addresses: an endpoint that completes fewer
 * statements per second the more of them it runs at once.
 */

import type {Instant} from '@lacewingroad/runtime';

/** The times measured with one number of concurrent statements. */
interface Point {
  readonly mean: number;
  readonly variance: number;
  readonly samples: number;
  readonly at: Instant;
  /** The mean when the point was first trusted; detects changes of speed. */
  readonly trusted: number | null;
}

/** Points by the number of concurrent statements. */
export type ConcurrencyCurve = ReadonlyMap<number, Point>;

/** Statements over which a point is averaged. */
const POINT_SAMPLES = 20;
/** Statements from which a point is trusted. */
const MIN_SAMPLES = 10;
/**
 * Standard errors by which throughput must have fallen before the limit is
 * lowered: about one comparison in a hundred is wrong by chance.
 */
const MIN_ERRORS = 2.5;
/** Age from which a point is measured anew, one more at a time, in ms. */
const RETRY_MS = 5_000;
/**
 * Change of the time at one point from which the whole endpoint has become
 * slower or faster, so that points measured before it can't be compared.
 */
const CHANGE_RATIO = 2;

/** Creates a curve without measurements. */
export function createCurve(): ConcurrencyCurve {
  return new Map();
}

/** Returns the curve after a statement ran as one of `concurrent`. */
export function updateCurve(
  curve: ConcurrencyCurve,
  concurrent: number,
  took: number,
  at: Instant,
): ConcurrencyCurve {
  const known = curve.get(concurrent);
  const isFresh = known !== undefined && at - known.at < RETRY_MS;
  const before = isFresh
    ? known
    : {mean: took, variance: 0, samples: 0, trusted: null};
  const samples = before.samples + 1;
  const weight = 1 / Math.min(samples, POINT_SAMPLES);
  const mean = before.mean + weight * (took - before.mean);
  const variance =
    (1 - weight) * (before.variance + weight * (took - before.mean) ** 2);
  const trusted =
    before.trusted ?? (samples >= MIN_SAMPLES ? mean : before.trusted);
  const ratio = trusted === null ? 1 : mean / trusted;
  if (ratio > CHANGE_RATIO || ratio < 1 / CHANGE_RATIO) {
    return new Map([
      [concurrent, {mean, variance, samples: MIN_SAMPLES, at, trusted: mean}],
    ]);
  }
  return new Map(curve).set(concurrent, {mean, variance, samples, at, trusted});
}

/** Returns the relative standard error of a point's mean. */
function computeError({mean, variance, samples}: Point): number {
  const count = Math.min(samples, POINT_SAMPLES);
  return Math.sqrt(variance / count) / mean;
}

/**
 * Returns whether `higher` statements at once were measured to complete fewer
 * per second than `lower`, beyond what chance explains.
 */
function isWorse(lower: number, a: Point, higher: number, b: Point): boolean {
  const gain = Math.log((higher * a.mean) / (lower * b.mean));
  const error = Math.hypot(computeError(a), computeError(b));
  return gain < -MIN_ERRORS * error;
}

/** The numbers of statements that a curve shows to be too many. */
interface Excess {
  /** The lowest of them; Infinity if there is none. */
  readonly from: number;
  /** When one of them was last measured. */
  readonly at: Instant;
}

/** Each curve is read several times between two completions. */
const excesses = new WeakMap<ConcurrencyCurve, Excess>();

function findExcess(curve: ConcurrencyCurve): Excess {
  const known = excesses.get(curve);
  if (known !== undefined) {
    return known;
  }
  const points = [...curve].filter(([, {samples}]) => samples >= MIN_SAMPLES);
  const bad = points.filter(([higher, b]) =>
    points.some(([lower, a]) => lower < higher && isWorse(lower, a, higher, b)),
  );
  const excess = {
    from: Math.min(...bad.map(([count]) => count)),
    at: Math.max(...bad.map(([, {at}]) => at)),
  };
  excesses.set(curve, excess);
  return excess;
}

/**
 * Returns how many statements an endpoint runs well at once, from 1 to `slots`.
 * Numbers that were not measured count as good. One that was measured as bad is
 * tried again after a time, and then the next one.
 */
export function computeLimit(
  curve: ConcurrencyCurve,
  slots: number,
  now: Instant,
): number {
  const {from, at} = findExcess(curve);
  if (from > slots) {
    return slots;
  }
  const retried = Math.floor(Math.max(0, now - at) / RETRY_MS);
  return Math.max(1, Math.min(slots, from - 1 + retried));
}
