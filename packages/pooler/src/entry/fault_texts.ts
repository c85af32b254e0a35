/** Texts of the errors that callers receive. */

import type {CallerFault} from './caller_reply.js';

/** Texts of errors that are not described by their cause. */
export const FAULT_TEXTS: Readonly<Record<string, string>> = {
  no_database: 'no such database; check its name',
  not_authorized: 'unknown or revoked key; connect with a valid one',
  bad_request:
    'invalid statement, or not allowed in this state; end any open transaction first',
  not_prepared: 'no such prepared statement; prepare it first',
  busy: 'not run, nothing was kept; retry it',
  aborted:
    'rolled back, nothing was kept; retry the transaction from its start',
  unknown: 'outcome unknown; check whether it took effect before you retry it',
  failed: 'it ran and failed; check the statement',
  timed_out:
    'it exceeded its time limit; check whether it took effect before you retry it',
};

/**
 * Returns the text of an error with its reason, the id of the request, and
 * after how many ms the caller should return, if that is known.
 */
export function describeFault(
  fault: CallerFault,
  reason: string,
  request: string,
  retryAfterMs?: number,
): string {
  const wait =
    retryAfterMs === undefined ? '' : `, retry after ${retryAfterMs} ms`;
  return `${FAULT_TEXTS[fault] ?? fault} (${reason}, request ${request}${wait})`;
}
