/** Replies to callers. */

import type {StatementReply} from '../model/statement.js';

/** Kinds of errors that callers receive. */
export type CallerFault =
  | 'no_database'
  /** The caller's key is unknown or was revoked. */
  | 'not_authorized'
  | 'bad_request'
  | 'not_prepared'
  /** `busy` and `aborted`: the attempt had no effect. */
  | 'busy'
  | 'aborted'
  /** The statement ran and failed. */
  | 'failed'
  /** `timed_out` and `unknown`: the statement may have taken effect. */
  | 'timed_out'
  | 'unknown';

/** The reply to one statement of a caller. */
export type CallerReply = StatementReply<CallerFault>;
