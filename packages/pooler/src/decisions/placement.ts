/** Selects the endpoint that runs a statement. */

import type {EndpointId, LogPosition} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import {isAtLeast} from './positions.js';

/** The state of an endpoint when a statement is placed. */
export interface EndpointView {
  readonly id: EndpointId;
  readonly isPrimary: boolean;
  /** Whether it is up, serves its role and is not leaving. */
  readonly isUsable: boolean;
  /** Statements sent that have no reply yet. */
  readonly running: number;
  /** Maximum of `running`. */
  readonly limit: number;
  /** Whether a connection is free. */
  readonly hasConnection: boolean;
  /** The newest position that it has applied, as far as known. */
  readonly applied: LogPosition | null;
  /** Replication lag behind the primary, in ms. */
  readonly lagMs: number;
  /** Share of its recent statements that failed, from 0 to 1. */
  readonly faultShare: number;
  /** It gets no statement before this instant. */
  readonly backoffUntil: Instant;
  /** Time that a statement takes there relative to the normal time. */
  readonly factor: number;
  /** Delay of the network to it and back, in ms; null if not measured. */
  readonly delayMs: number | null;
  /** Whether it is in the data centre of the owner. */
  readonly isNear: boolean;
}

/** What is known about the work of a read, and about the queue it waits in. */
export interface Work {
  /** Expected service time at an endpoint of normal speed, in ms. */
  readonly serviceMs: number;
  /** Counts the reads that wait for a slot, including this one. */
  readonly countWaiting: () => number;
  /** How long this one has waited, in ms. */
  readonly waitedMs: number;
}

/** What a read requires of its endpoint. */
export interface ReadRequirements {
  readonly required: LogPosition | null;
  /** When `required` was acknowledged; null if before the kept history. */
  readonly requiredSince: Instant | null;
  /** Endpoints that did not run the statement when it was sent to them. */
  readonly avoided: readonly EndpointId[];
}

/**
 * Multiple of a replica's measured lag after which it is expected to have a
 * position: lag varies by about half from one commit to the next.
 */
const LAG_FACTOR = 1.5;
/** Time that is always added to that lag, in ms. */
const LAG_BASE_MS = 2;
/**
 * Load added to an endpoint whose statements all fail, as a multiple of its
 * slots: an endpoint that fails half of them ranks after a full one.
 */
const FAULT_LOAD_FACTOR = 2;
/**
 * Load added to the primary, as a share of its slots: keeps room for writes.
 */
const PRIMARY_EXTRA_LOAD = 0.34;

/**
 * Delays that differ by less than this are treated as equal, in ms: probes are
 * not measured more precisely.
 */
const MIN_DELAY_MS = 0.5;
/**
 * Factor from which a read may wait for a slot of a quicker endpoint. Below it,
 * waiting gains too little for an estimate.
 */
const MIN_SLOW_FACTOR = 2;
/**
 * Weight of the reads that wait. One that waits delays also those that arrive
 * behind it: with a weight of 1, the mean wait near saturation was a third
 * longer than without waiting (capacity_replay.test.ts).
 */
const BACKLOG_WEIGHT = 4;

/** Returns whether an endpoint takes statements as soon as a slot is free. */
function isOpen(view: EndpointView, now: Instant): boolean {
  return view.isUsable && now >= view.backoffUntil;
}

/** Returns whether an endpoint has a free slot and a free connection. */
function hasRoom(view: EndpointView): boolean {
  return view.hasConnection && view.running < view.limit;
}

/**
 * Returns whether an endpoint is expected to have the position that a read
 * requires.
 */
export function isExpectedToSatisfy(
  view: EndpointView,
  requirements: ReadRequirements,
  now: Instant,
): boolean {
  if (view.isPrimary || isAtLeast(view.applied, requirements.required)) {
    return true;
  }
  const waitMs = LAG_BASE_MS + view.lagMs * LAG_FACTOR;
  return (
    requirements.requiredSince === null ||
    now >= requirements.requiredSince + waitMs
  );
}

/** Returns the load by which endpoints are compared; lower is better. */
function computeLoad(view: EndpointView): number {
  const extra = view.isPrimary ? PRIMARY_EXTRA_LOAD : 0;
  const used = view.running / Math.max(1, view.limit);
  return used + extra + view.faultShare * FAULT_LOAD_FACTOR;
}

/** Returns by how much the delay exceeds that of the nearest endpoint, in ms. */
function computeExtraDelay(
  view: EndpointView,
  views: readonly EndpointView[],
): number {
  const delays = views.flatMap(({delayMs}) => delayMs ?? []);
  const extra = (view.delayMs ?? 0) - Math.min(...delays);
  return view.isNear || !(extra >= MIN_DELAY_MS) ? 0 : extra;
}

/**
 * Returns when a statement that is sent now is expected to be done, in ms. The
 * load counts as work that shares the endpoint: with equal speed and distance,
 * the least loaded endpoint comes first.
 */
function computeCompletionMs(
  view: EndpointView,
  views: readonly EndpointView[],
  {serviceMs}: Work,
): number {
  const extraMs = computeExtraDelay(view, views);
  return extraMs + serviceMs * view.factor * (1 + computeLoad(view));
}

/**
 * Returns whether a read should wait for a slot of a quicker endpoint rather
 * than run on `best`. It waits no longer than it can gain.
 */
function shouldWait(
  best: EndpointView,
  full: readonly EndpointView[],
  views: readonly EndpointView[],
  work: Work,
): boolean {
  if (best.factor < MIN_SLOW_FACTOR) {
    return false;
  }
  const waiting = work.countWaiting();
  const waitMs = full.map(view => {
    const turnMs = (work.serviceMs * view.factor) / view.limit;
    return (
      computeCompletionMs(view, views, work) + BACKLOG_WEIGHT * turnMs * waiting
    );
  });
  const gainMs = computeCompletionMs(best, views, work) - Math.min(...waitMs);
  return work.waitedMs < gainMs;
}

/** The work of a read about which nothing is known. */
const UNKNOWN_WORK: Work = {
  serviceMs: 1,
  countWaiting: () => 0,
  waitedMs: Infinity,
};

/**
 * Chooses the endpoint for a read: the one that is expected to complete it first
 * of those that are expected to have the required position and are not to be
 * avoided. Returns null if the read has to wait.
 */
export function chooseForRead(
  views: readonly EndpointView[],
  requirements: ReadRequirements,
  now: Instant,
  work: Work = UNKNOWN_WORK,
): EndpointId | null {
  const eligible = views.filter(
    view =>
      isOpen(view, now) &&
      isExpectedToSatisfy(view, requirements, now) &&
      !requirements.avoided.includes(view.id),
  );
  let best: EndpointView | null = null;
  let bestMs = Infinity;
  for (const view of eligible.filter(hasRoom)) {
    const ms = computeCompletionMs(view, views, work);
    if (ms < bestMs) {
      best = view;
      bestMs = ms;
    }
  }
  if (best === null) {
    return null;
  }
  const full = eligible.filter(view => !hasRoom(view));
  return shouldWait(best, full, views, work) ? null : best.id;
}
