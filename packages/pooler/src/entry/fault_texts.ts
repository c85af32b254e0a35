/** Texts of the errors that callers receive. */

import type {CallerFault} from './caller_reply.js';

/** Texts of errors that are not described by their cause. */
export const FAULT_TEXTS: Readonly<Record<string, string>> = {
  no_database: 'no such database; check its name',
  not_authorized: 'unknown or revoked key; connect with a valid one',
  bad_request:
    'invalid statement, or not allowed in this state; end any open transaction first',
  not_prepared: 'no such prepared statement; prepare it first',
  busy: 'nothing was kept; retry it',
  aborted:
    'rolled back, nothing was kept; retry the transaction from its start',
  unknown: 'outcome unknown; check whether it took effect before you retry it',
  failed: 'it ran and failed; check the statement',
  timed_out:
    'it exceeded its time limit; check whether it took effect before you retry it',
};

/** Text for an operation above the rate limit of its workspace. */
const OVER_ALLOWANCE_TEXT =
  'the rate limit of the workspace is used up; not run, nothing was kept; retry the operation from its start';

/**
 * Returns the text of an error with its reason and the id of the request, and
 * the time after which the caller should try again, if it is known.
 */
export function describeFault(
  fault: CallerFault,
  reason: string,
  request: string,
  retryAfterMs: number | null = null,
): string {
  const wait = retryAfterMs === null ? '' : ` in ${retryAfterMs} ms`;
  const cause =
    reason === 'over_allowance' ? OVER_ALLOWANCE_TEXT : FAULT_TEXTS[fault];
  return `${cause ?? fault}${wait} (${reason}, request ${request})`;
}

/** Text of the error for a value or prepared statement beyond the limit. */
export const TOO_MUCH_KEPT_TEXT =
  'the session keeps too many values and prepared statements; connect again';
