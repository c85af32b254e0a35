/** Results of statements that a pool was asked to run. */

import type {LogPosition} from '@lacewingroad/core';

/** Why a statement was not run or was rolled back; it has no effect. */
export type RefusalReason =
  | 'not_owner'
  | 'too_late'
  | 'queue_full'
  /** More urgent work that came later leaves it no slot in time. */
  | 'overtaken'
  | 'no_endpoint'
  | 'no_replica'
  | 'tx_gone'
  | 'no_owner'
  | 'stopping'
  /** The caller's key is not, or no longer, one of the workspace. */
  | 'key_revoked'
  /** The workspace has used up its rate limit. */
  | 'over_allowance';

/** Why the outcome of a statement is unknown. */
export type UnknownReason =
  'connection_lost' | 'timed_out' | 'lease_expired' | 'owner_lost' | 'stopping';

/** The result of one statement. */
export type RunResult =
  | {
      readonly type: 'done';
      readonly rows: readonly string[];
      readonly signature: string;
      readonly position: LogPosition | null;
    }
  /** Not run, or confirmed as rolled back. */
  | {
      readonly type: 'refused';
      readonly reason: RefusalReason;
      /** Time after which the caller should try again, in ms, if known. */
      readonly retryAfterMs?: number | null;
    }
  /** Run, and ended by an error from the endpoint. */
  | {
      readonly type: 'failed';
      readonly fault: 'failed' | 'timed_out';
      readonly text: string;
    }
  | {readonly type: 'unknown'; readonly reason: UnknownReason};

/** Creates the result of a statement that was not run. */
export function refused(
  reason: RefusalReason,
  retryAfterMs: number | null = null,
): RunResult {
  return retryAfterMs === null
    ? {type: 'refused', reason}
    : {type: 'refused', reason, retryAfterMs};
}

/** Creates the result of a statement of unknown outcome. */
export function unknown(reason: UnknownReason): RunResult {
  return {type: 'unknown', reason};
}
