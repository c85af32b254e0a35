/**
 * Token buckets, with tokens that were borrowed for a limited time. The load
 * they answer: workspaces that send more operations than their limit allows,
 * steadily or in bursts. All functions are pure; instants come from the caller.
 */

import type {Instant} from '@lacewingroad/runtime';

/** Borrowed tokens and when they become invalid. */
export interface Loan {
  readonly amount: number;
  readonly expiresAt: Instant;
}

/** A bucket; amounts are fractional, so that small shares add up. */
export interface Bucket {
  /** Tokens of its own; negative after a forced use. */
  readonly level: number;
  /** When the level was last brought up to date. */
  readonly at: Instant;
  /** Earliest expiry first. */
  readonly loans: readonly Loan[];
}

/** How fast a bucket fills, and up to which level. */
export interface Inflow {
  readonly perMs: number;
  readonly capacity: number;
}

/** Rounding errors of fractional amounts must not delay an operation. */
const EPSILON = 1e-6;

/** Creates an empty bucket. */
export function createBucket(now: Instant): Bucket {
  return {level: 0, at: now, loans: []};
}

/** Adds the tokens of the time since the last update. */
export function refill(bucket: Bucket, inflow: Inflow, now: Instant): Bucket {
  const elapsedMs = Math.max(0, now - bucket.at);
  const level = Math.min(
    Math.max(inflow.capacity, 0),
    bucket.level + elapsedMs * inflow.perMs,
  );
  return {...bucket, level, at: now};
}

/** Adds tokens to the bucket's own level, up to the capacity. */
export function addTokens(
  bucket: Bucket,
  amount: number,
  capacity: number,
): Bucket {
  return {...bucket, level: Math.min(capacity, bucket.level + amount)};
}

/** Adds borrowed tokens. */
export function addLoan(bucket: Bucket, loan: Loan): Bucket {
  const loans = [...bucket.loans, loan].sort(
    (a, b) => a.expiresAt - b.expiresAt,
  );
  return {...bucket, loans};
}

/** Removes expired loans; `now` is an instant of the clock of the loans. */
export function dropExpired(bucket: Bucket, now: Instant): Bucket {
  const first = bucket.loans[0];
  if (first === undefined || first.expiresAt > now) {
    return bucket;
  }
  return {...bucket, loans: bucket.loans.filter(loan => loan.expiresAt > now)};
}

/** Returns the tokens of a bucket without expired loans. */
export function countTokens({level, loans}: Bucket): number {
  return loans.reduce((sum, {amount}) => sum + amount, level);
}

/** Returns whether a bucket without expired loans holds a whole token. */
export function hasToken(bucket: Bucket): boolean {
  return countTokens(bucket) >= 1 - EPSILON;
}

/**
 * Removes tokens, borrowed ones first since they expire. The level becomes
 * negative if there are not enough.
 */
export function takeTokens(bucket: Bucket, amount: number): Bucket {
  let missing = amount;
  const loans: Loan[] = [];
  for (const loan of bucket.loans) {
    const used = Math.min(missing, loan.amount);
    missing -= used;
    if (loan.amount - used > EPSILON) {
      loans.push({...loan, amount: loan.amount - used});
    }
  }
  return {...bucket, level: bucket.level - missing, loans};
}

/** Removes the part of a share that was lost; a debt stays. */
export function scaleLevel(bucket: Bucket, factor: number): Bucket {
  return bucket.level <= 0 ? bucket : {...bucket, level: bucket.level * factor};
}

/** Cuts a bucket to a lower capacity; loans were made under the old limit. */
export function cutBucket(bucket: Bucket, capacity: number): Bucket {
  return {...bucket, level: Math.min(bucket.level, capacity), loans: []};
}
