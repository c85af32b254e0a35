/**
 * Learns how long statements take at the endpoints of a group. The load that it
 * addresses: kinds of work whose times differ by a factor of five, at endpoints
 * of which some are slow, or become slower the more statements they run.
 *
 * The time of a statement is modelled as that of its kind times the factor of
 * its endpoint. The factor follows a change within about a dozen statements;
 * the time of a kind follows slowly, so that a slow endpoint does not pass for
 * more work. The concurrency limit is the number of statements beyond which
 * more of them at once were measured to complete fewer per second.
 */

import type {EndpointId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import {computeLimit, createCurve, updateCurve} from './concurrency_curve.js';
import type {ConcurrencyCurve} from './concurrency_curve.js';

/** A database and what a statement does there, see `getWorkKind`. */
export type WorkKind = string;

/** Returns the kind of the work that a statement does in a database. */
export function getWorkKind(
  database: string,
  effect: 'read' | 'write' | 'commit',
): WorkKind {
  return `${effect} ${database}`;
}

/** A statement that was completed; failed ones say nothing about speed. */
export interface ServiceSample {
  readonly endpoint: EndpointId;
  readonly kind: WorkKind;
  /** Time from sending to the reply without the delay of the network, in ms. */
  readonly tookMs: number;
  /** Other statements that the endpoint ran at the same time. */
  readonly running: number;
  /** The number of statements that the endpoint states to run concurrently. */
  readonly slots: number;
  /**
   * Whether its time depends on this endpoint alone: a commit waits for
   * replicas.
   */
  readonly showsSpeed: boolean;
  readonly at: Instant;
}

/** Service times of kinds of work and the capacity of endpoints. */
export interface ServiceTimes {
  /** Records the completion of a statement that ran beside `running` others. */
  readonly record: (sample: ServiceSample) => void;
  /** Expected service time of a kind at an endpoint of normal speed, in ms. */
  readonly expectMs: (kind: WorkKind) => number;
  /** Service time at an endpoint relative to the normal one; 1 is normal. */
  readonly readFactor: (endpoint: EndpointId, now: Instant) => number;
  /** Statements that an endpoint takes well concurrently, 1 to `slots`. */
  readonly readLimit: (
    endpoint: EndpointId,
    slots: number,
    now: Instant,
  ) => number;
}

/** Time assumed for a kind before any is known, in ms. */
const INITIAL_MS = 15;
/** Lower bound of a measured time, in ms: clocks tick coarsely. */
const MIN_MS = 0.1;
/** Statements over which the time of a kind is averaged. */
const KIND_SAMPLES = 100;
/** Statements of a kind before its times show the speed of an endpoint. */
const MIN_KIND_SAMPLES = 5;
/** Kinds that are kept; a group serves a few databases. */
const MAX_KINDS = 1_000;
/** Weight of the newest statement in the factor of an endpoint. */
const FACTOR_WEIGHT = 0.08;
/**
 * One statement counts at most as this multiple of the present factor, so a
 * single slow one raises the factor by no more than a sixth.
 */
const MAX_STEP = 3;
/** Time without a statement from which a factor returns to normal, in ms. */
const IDLE_MS = 1_000;
/**
 * Half-life of the distance to normal from then on, in ms. An endpoint that was
 * five times slower counts as less than twice as slow after four seconds, and
 * is then tried with one statement at a time.
 */
const IDLE_HALF_LIFE_MS = 2_500;
/** Factor from which an endpoint without work is tried with one statement. */
const TRIAL_FACTOR = 2;
/** Statements after which the factor of an endpoint counts as measured. */
const MIN_FACTOR_SAMPLES = 6;
/**
 * Factors up to this are taken as normal: times vary by chance, and endpoints
 * that are equally fast must be treated alike. Up to `FULL_FACTOR`, the effect
 * grows to the whole.
 */
const DEAD_FACTOR = 1.25;
const FULL_FACTOR = 1.6;
/** Factor of an endpoint that has just started with empty caches. */
const COLD_FACTOR = 2;
/** Remaining cold time from which that factor is assumed, in ms. */
const COLD_MS = 3_000;
/** Time without a statement after which an endpoint is forgotten, in ms. */
const FORGET_MS = 60_000;
/** Age up to which a factor takes part in what is normal, in ms. */
const RECENT_MS = 10_000;

interface KindTime {
  readonly ms: number;
  readonly samples: number;
}

interface Speed {
  /** Time relative to that of the kinds. */
  readonly factor: number;
  readonly samples: number;
  /** When the last statement completed. */
  readonly at: Instant;
  readonly curve: ConcurrencyCurve;
}

/** Returns a factor without the differences that occur by chance. */
function suppressNoise(factor: number): number {
  if (factor < 1) {
    return 1 / suppressNoise(1 / factor);
  }
  if (factor >= FULL_FACTOR) {
    return factor;
  }
  const share = (factor - DEAD_FACTOR) / (FULL_FACTOR - DEAD_FACTOR);
  return 1 + Math.max(0, share) * (FULL_FACTOR - 1);
}

/** Returns the expected time of a statement that waits for a slot, relative. */
function computeWaitShare(running: number, slots: number): number {
  return Math.max(0, running + 1 - slots) / slots;
}

/**
 * Creates the estimates of one group. `readColdUntil` returns until when an
 * endpoint that has just started is slow, or null.
 */
export function createServiceTimes(
  readColdUntil: (endpoint: EndpointId) => Instant | null = () => null,
): ServiceTimes {
  const kinds = new Map<WorkKind, KindTime>();
  const speeds = new Map<EndpointId, Speed>();
  let latestAt = -Infinity;
  /** The normal factor; null until it is computed after a completion. */
  let normal: number | null = null;

  /**
   * Returns the normal factor: the median, and the faster one of two. A minority
   * of slow endpoints does not change it.
   */
  const readNormal = (): number => {
    normal ??= computeNormal();
    return normal;
  };

  const computeNormal = (): number => {
    const measured = [...speeds.values()].filter(
      ({samples}) => samples >= MIN_FACTOR_SAMPLES,
    );
    const recent = measured.filter(({at}) => latestAt - at <= RECENT_MS);
    const sorted = recent.map(({factor}) => factor).sort((a, b) => a - b);
    return sorted[(sorted.length - 1) >> 1] ?? 1;
  };

  const readColdFactor = (endpoint: EndpointId, now: Instant): number => {
    const leftMs = Math.max(0, (readColdUntil(endpoint) ?? now) - now);
    return 1 + (COLD_FACTOR - 1) * Math.min(1, leftMs / COLD_MS);
  };

  /** Returns the factor relative to the kinds, after decay up to `now`. */
  const readRawFactor = (endpoint: EndpointId, now: Instant): number => {
    const start = readNormal() * readColdFactor(endpoint, now);
    const speed = speeds.get(endpoint);
    if (speed === undefined) {
      return start;
    }
    const idleMs = Math.max(0, now - speed.at - IDLE_MS);
    return (
      start * (speed.factor / start) ** (0.5 ** (idleMs / IDLE_HALF_LIFE_MS))
    );
  };

  const updateKind = (kind: WorkKind, normalMs: number): void => {
    const known = kinds.get(kind) ?? {ms: normalMs, samples: 0};
    const samples = Math.min(KIND_SAMPLES, known.samples + 1);
    const [oldest] = kinds.keys();
    if (kinds.size >= MAX_KINDS && !kinds.has(kind)) {
      kinds.delete(oldest!);
    }
    const ms = known.ms + (normalMs - known.ms) / samples;
    kinds.set(kind, {ms, samples});
  };

  const forgetIdle = (now: Instant): void => {
    for (const [id, {at}] of speeds) {
      if (now - at > FORGET_MS) {
        speeds.delete(id);
      }
    }
  };

  const record = (sample: ServiceSample): void => {
    const {endpoint, running, slots, at} = sample;
    const waitShare = computeWaitShare(running, slots);
    const tookMs = Math.max(MIN_MS, sample.tookMs) / (1 + waitShare);
    const factor = readRawFactor(endpoint, at);
    const known = kinds.get(sample.kind);
    // The times of kinds take up lasting changes of what is normal.
    updateKind(sample.kind, (tookMs / factor) * readNormal());
    const before = speeds.get(endpoint);
    if (before === undefined) {
      forgetIdle(at);
    }
    latestAt = Math.max(latestAt, at);
    normal = null;
    const curve = before?.curve ?? createCurve();
    const showsSpeed =
      sample.showsSpeed &&
      known !== undefined &&
      known.samples >= MIN_KIND_SAMPLES;
    if (!showsSpeed) {
      speeds.set(endpoint, {factor, samples: before?.samples ?? 0, at, curve});
      return;
    }
    const seen = Math.min(tookMs / known.ms, factor * MAX_STEP);
    speeds.set(endpoint, {
      factor: factor + FACTOR_WEIGHT * (seen - factor),
      samples: (before?.samples ?? 0) + 1,
      at,
      curve:
        running < slots ? updateCurve(curve, running + 1, seen, at) : curve,
    });
  };

  const readFactor = (endpoint: EndpointId, now: Instant): number =>
    suppressNoise(readRawFactor(endpoint, now) / readNormal());

  return {
    record,
    expectMs: kind => {
      const known = kinds.get(kind);
      if (known !== undefined) {
        return known.ms * suppressNoise(readNormal());
      }
      const sum = [...kinds.values()].reduce((total, {ms}) => total + ms, 0);
      return kinds.size === 0 ? INITIAL_MS : sum / kinds.size;
    },
    readFactor,
    readLimit: (endpoint, slots, now) => {
      const speed = speeds.get(endpoint);
      if (speed === undefined) {
        return Math.max(1, slots);
      }
      const isIdle = now - speed.at > IDLE_MS;
      if (isIdle && speed.factor / readNormal() >= TRIAL_FACTOR) {
        return 1;
      }
      return computeLimit(speed.curve, Math.max(1, slots), now);
    },
  };
}
