/** What callers are told. */

import type {StatementReply} from '../model/statement.js';

/** Errors that callers are told. */
export type CallerFault =
  | 'no_database'
  | 'bad_request'
  | 'not_prepared'
  /** Promises that nothing of the attempt is kept. */
  | 'busy'
  | 'aborted'
  /** Ran and failed. */
  | 'failed'
  /** These promise nothing. */
  | 'timed_out'
  | 'unknown';

/** The answer to one statement of a caller. */
export type CallerReply = StatementReply<CallerFault>;
