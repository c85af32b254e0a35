/** Which endpoint runs a statement. */

import type {EndpointId, LogPosition} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import {isAtLeast} from './positions.js';

/** What is known of an endpoint when a statement is placed. */
export interface EndpointView {
  readonly id: EndpointId;
  readonly isPrimary: boolean;
  /** Answers, and is not leaving. */
  readonly isUsable: boolean;
  /** Statements sent and not answered. */
  readonly running: number;
  /** Statements that may be sent and not answered. */
  readonly limit: number;
  /** Whether a connection is free or may be opened. */
  readonly hasConnection: boolean;
  /** The newest position that it is known to have applied. */
  readonly applied: LogPosition | null;
  /** How far it is behind the primary, in ms. */
  readonly lagMs: number;
  /** Share of what it ran lately that failed, 0 to 1. */
  readonly faultShare: number;
  /** Takes no statement before this instant. */
  readonly backoffUntil: Instant;
}

/** What a read needs. */
export interface ReadNeed {
  readonly required: LogPosition | null;
  /** When the required position was acknowledged, or null if long ago. */
  readonly requiredSince: Instant | null;
  /** Endpoints that have handed the statement back. */
  readonly avoided: readonly EndpointId[];
}

/**
 * Factor on a replica's measured lag after which it is expected to have a
 * position: lag varies by about half from commit to commit.
 */
const LAG_MARGIN = 1.5;
/** Least time after which a replica is expected to have a position, in ms. */
const LAG_MIN_MS = 2;
/**
 * Load that an endpoint is taken to have beyond its own when all it runs fails,
 * as a share of its slots: one that fails half of it comes after a full one.
 */
const FAULT_LOAD = 2;
/** Load that the primary is taken to have beyond its own, in slots. */
const PRIMARY_SHARE = 0.34;

/** Tells whether an endpoint can be given a statement now. */
function isOpenTo(view: EndpointView, now: Instant): boolean {
  return (
    view.isUsable &&
    view.hasConnection &&
    view.running < view.limit &&
    now >= view.backoffUntil
  );
}

/** Tells whether an endpoint is expected to have what a read needs. */
export function isExpectedToHave(
  view: EndpointView,
  need: ReadNeed,
  now: Instant,
): boolean {
  if (view.isPrimary || isAtLeast(view.applied, need.required)) {
    return true;
  }
  const waitMs = LAG_MIN_MS + view.lagMs * LAG_MARGIN;
  return need.requiredSince === null || now >= need.requiredSince + waitMs;
}

/** What counts against an endpoint; the primary keeps room for writes. */
function readLoad(view: EndpointView): number {
  const extra = view.isPrimary ? PRIMARY_SHARE : 0;
  const used = view.running / Math.max(1, view.limit);
  return used + extra + view.faultShare * FAULT_LOAD;
}

/**
 * Chooses the endpoint for a read: the least loaded of those that are expected
 * to have its position. Returns null where it has to wait. Endpoints that have
 * handed it back come last, since waiting for another may take longer.
 */
export function chooseForRead(
  views: readonly EndpointView[],
  need: ReadNeed,
  now: Instant,
): EndpointId | null {
  let best: EndpointView | null = null;
  for (const view of views) {
    const fits =
      isOpenTo(view, now) &&
      isExpectedToHave(view, need, now) &&
      !need.avoided.includes(view.id);
    if (fits && (best === null || readLoad(view) < readLoad(best))) {
      best = view;
    }
  }
  return best?.id ?? null;
}
