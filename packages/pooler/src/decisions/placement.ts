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

/** Returns whether an endpoint can run another statement now. */
function canAcceptStatement(view: EndpointView, now: Instant): boolean {
  return (
    view.isUsable &&
    view.hasConnection &&
    view.running < view.limit &&
    now >= view.backoffUntil
  );
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

/**
 * Chooses the endpoint for a read: the least loaded one that is expected to
 * have the required position and is not among those to avoid. Returns null if
 * the read has to wait.
 */
export function chooseForRead(
  views: readonly EndpointView[],
  requirements: ReadRequirements,
  now: Instant,
): EndpointId | null {
  let best: EndpointView | null = null;
  for (const view of views) {
    const isEligible =
      canAcceptStatement(view, now) &&
      isExpectedToSatisfy(view, requirements, now) &&
      !requirements.avoided.includes(view.id);
    if (
      isEligible &&
      (best === null || computeLoad(view) < computeLoad(best))
    ) {
      best = view;
    }
  }
  return best?.id ?? null;
}
