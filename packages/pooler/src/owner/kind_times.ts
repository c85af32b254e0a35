/**
 * Expected service times by kind of work, behind the part of `ServiceTimes`
 * (docs/design/hard-load.md, section E) that scheduling uses. To be replaced by
 * `decisions/service_times.ts`.
 */

/** A database and what a statement does there, see `getWorkKind`. */
export type WorkKind = string;

/** The effect of a statement, as far as its service time depends on it. */
export type WorkEffect = 'read' | 'write' | 'commit';

/** Returns the kind of the work that a statement does in a database. */
export function getWorkKind(database: string, effect: WorkEffect): WorkKind {
  return `${effect} ${database}`;
}

/** Expected service times. */
export interface KindTimes {
  readonly record: (kind: WorkKind, tookMs: number) => void;
  /** Expected service time of a kind, in ms. */
  readonly expectMs: (kind: WorkKind) => number;
}

/** Weight of the newest measurement in the average of its kind. */
const SMOOTHING_FACTOR = 0.05;
/** Measurements from which the average of a kind is used. */
const MIN_SAMPLES = 10;

/** Creates an empty record; `readDefaultMs` is used for unknown kinds. */
export function createKindTimes(readDefaultMs: () => number): KindTimes {
  const kinds = new Map<WorkKind, {count: number; meanMs: number}>();
  return {
    record: (kind, tookMs) => {
      const {count, meanMs} = kinds.get(kind) ?? {count: 0, meanMs: 0};
      // The first ones are averaged evenly.
      const weight = Math.max(SMOOTHING_FACTOR, 1 / (count + 1));
      kinds.set(kind, {
        count: count + 1,
        meanMs: meanMs + weight * (tookMs - meanMs),
      });
    },
    expectMs: kind => {
      const known = kinds.get(kind);
      return known === undefined || known.count < MIN_SAMPLES
        ? readDefaultMs()
        : known.meanMs;
    },
  };
}
