/**
 * Lending of tokens between the owners of a workspace's home groups. The load
 * it answers: a workspace whose callers use only some groups, and would be
 * refused below its limit if each owner had a fixed share.
 */

import type {HostId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import type {AllowanceTolerance} from './allowance_homes.js';

/** Interval at which an owner asks another one at most, in ms. */
export const ASK_INTERVAL_MS = 200;
/** Longest validity of borrowed tokens, in ms, from when they were asked for. */
const MAX_LOAN_MS = 400;
/**
 * Part of the tolerated excess, in time, for which loans are valid: tokens that
 * were minted before a span may be used in it. The rest covers the time from a
 * decision until an operation reaches an endpoint.
 */
const LOAN_SHARE = 0.8;
/** Time over which the rate of operations is averaged, in ms. */
const DEMAND_SMOOTHING_MS = 1_000;
/** A need below this is not worth a message. */
const MIN_NEED = 0.1;
/** Time for which a lender that had nothing to spare is not asked, in ms. */
const REPROBE_MS = 600;
/** Time until an ask is answered, in ms: there and back between centres. */
const ANSWER_MS = 15;

/** Returns how long borrowed tokens are valid, in ms. */
export function computeLoanMs(tolerance: AllowanceTolerance): number {
  const excessMs = tolerance.overShare * tolerance.windowMs;
  return Math.min(MAX_LOAN_MS, LOAN_SHARE * excessMs);
}

/** A smoothed rate of operations. */
export interface Demand {
  readonly perMs: number;
  readonly at: Instant;
}

export const NO_DEMAND: Demand = {perMs: 0, at: 0};

/** Returns the rate at an instant, in operations per ms. */
export function readDemand({perMs, at}: Demand, now: Instant): number {
  return perMs * Math.exp((at - now) / DEMAND_SMOOTHING_MS);
}

/** Returns the rate after further operations. */
export function addDemand(demand: Demand, now: Instant, amount = 1): Demand {
  const perMs = readDemand(demand, now) + amount / DEMAND_SMOOTHING_MS;
  return {perMs, at: now};
}

/** What an owner holds and expects to use. */
export interface TokenSupply {
  readonly tokens: number;
  readonly mintPerMs: number;
  readonly demandPerMs: number;
  /** Operations that wait for a token. */
  readonly waiting: number;
}

/**
 * Returns the tokens that an owner lacks for the next `spanMs`, at most the
 * whole limit's mint and burst of that time.
 */
export function computeNeed(
  supply: TokenSupply,
  limit: {readonly perSecond: number; readonly burst: number},
  spanMs: number,
): number {
  const {tokens, mintPerMs, demandPerMs, waiting} = supply;
  const missing = waiting + (demandPerMs - mintPerMs) * spanMs - tokens;
  const most = (limit.perSecond * spanMs) / 1_000 + Math.max(1, limit.burst);
  return missing < MIN_NEED ? 0 : Math.min(missing, most);
}

/**
 * Returns the own tokens that an owner can lend: it keeps what it expects to
 * use until it may ask others itself. If that is more than half of its capacity
 * it lends the rest, since a full bucket would waste what is minted.
 */
export function computeSpare(supply: TokenSupply, capacity: number): number {
  const {tokens, demandPerMs, waiting} = supply;
  const isUsed = demandPerMs * DEMAND_SMOOTHING_MS;
  const expected = demandPerMs * ASK_INTERVAL_MS + Math.min(1, isUsed);
  const kept = waiting + Math.min(expected, capacity / 2);
  return Math.max(0, tokens - kept);
}

/** What a lender answered to the last ask. */
export interface LenderHint {
  /** What it could have lent in addition. */
  readonly left: number;
  readonly hadNothing: boolean;
  readonly at: Instant;
}

/** An owner that may lend. */
export interface Lender {
  readonly host: HostId;
  /** What it is expected to lend. */
  readonly spare: number;
  /** When it may be asked again. */
  readonly askableAt: Instant;
}

/** Returns what a lender is expected to lend, given the share of one home. */
export function expectSpare(
  hint: LenderHint | null,
  share: {readonly perMs: number; readonly capacity: number},
  now: Instant,
): number {
  const isOutdated = hint === null || now - hint.at >= REPROBE_MS;
  if (isOutdated) {
    return share.capacity / 2;
  }
  if (hint.hadNothing) {
    return 0;
  }
  const minted = (now - hint.at) * share.perMs;
  return Math.min(share.capacity, hint.left + minted);
}

/**
 * Chooses what to ask of which lenders. It asks as few as are expected to lend
 * enough, so that the others can be asked for the next need without delay.
 */
export function splitNeed(
  need: number,
  lenders: readonly Lender[],
  now: Instant,
): ReadonlyMap<HostId, number> {
  const askable = lenders
    .filter(({spare, askableAt}) => spare > 0 && askableAt <= now)
    .sort((a, b) => b.spare - a.spare);
  const parts = new Map<HostId, number>();
  let missing = need;
  for (const {host, spare} of askable) {
    if (missing <= 0) {
      break;
    }
    parts.set(host, missing);
    missing -= spare;
  }
  return parts;
}

/** Returns the time until lenders can have lent `missing` tokens, in ms. */
export function expectLoanMs(
  missing: number,
  lenders: readonly Lender[],
  now: Instant,
): number {
  let found = 0;
  for (const {spare, askableAt} of [...lenders].sort(
    (a, b) => a.askableAt - b.askableAt,
  )) {
    found += spare;
    if (found >= missing) {
      return Math.max(0, askableAt - now) + ANSWER_MS;
    }
  }
  return Infinity;
}
