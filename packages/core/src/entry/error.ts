/** Errors that lacewingroad itself returns to callers. */

import type {RequestId} from '../model/ids.js';
import type {
  NotRunReason,
  Outcome,
  SqlError,
  UnknownReason,
} from '../model/outcome.js';

/** Error codes by kind of error. */
const ERROR_CODES = {
  not_run: {errno: 9101, sqlState: 'LW001'},
  unknown: {errno: 9102, sqlState: '08007'},
  lost_write: {errno: 9103, sqlState: 'LW003'},
  not_supported: {errno: 9104, sqlState: 'LW004'},
  rolled_back: {errno: 9105, sqlState: 'LW005'},
  not_valid: {errno: 9106, sqlState: 'LW006'},
} as const;

/** A kind of error. */
export type ErrorKind = keyof typeof ERROR_CODES;

/** Returns the end of a message: the request id, for a search in the logs. */
function formatRequest(request: RequestId | null): string {
  return request === null ? '' : ` (request ${request})`;
}

/**
 * Creates an error. The message should say what the caller can do; the request
 * id is appended, so that the cause can be found in the logs.
 */
export function createError(
  kind: ErrorKind,
  message: string,
  request: RequestId | null = null,
): SqlError {
  const text = `lacewingroad: ${message}${formatRequest(request)}`;
  return {...ERROR_CODES[kind], message: text};
}

const NOT_RUN_MESSAGES: Readonly<Record<NotRunReason, string>> = {
  not_owner: 'the owner of the endpoint is changing',
  not_primary: 'the primary is changing',
  no_evidence: 'the primary cannot be confirmed as current',
  fenced: 'a change of primary is in progress',
  not_reached: 'no endpoint has the data that the session needs',
  endpoint_down: 'the endpoint does not answer',
  endpoint_leaving: 'the endpoint is being removed',
  queue_full: 'too many requests of this rank are waiting',
  too_late: 'it could not run within its timeout',
  draining: 'the entry host is stopping',
  tx_gone: 'the transaction has ended',
  unreachable: 'the entry host that owns the endpoint is not reachable',
  no_primary: 'the group has no primary',
};

const UNKNOWN_MESSAGES: Readonly<Record<UnknownReason, string>> = {
  connection_lost: 'the connection to the endpoint was lost',
  timed_out: 'no answer arrived within its timeout',
  evidence_expired: 'the primary could not be confirmed as current',
  replica_not_reached: 'no replica confirmed the write within its timeout',
  owner_lost: 'the entry host that ran it was lost',
  replaced_primary: 'the primary was replaced while it ran',
  session_not_kept:
    'too few of the hosts that keep the session confirmed its write',
};

type NotDoneOutcome = Exclude<Outcome, {readonly type: 'done'}>;

type ErrorFactories = {
  readonly [T in NotDoneOutcome['type']]: (
    outcome: Extract<NotDoneOutcome, {type: T}>,
    request: RequestId | null,
  ) => SqlError;
};

const ERROR_FACTORIES: ErrorFactories = {
  failed: outcome => outcome.error,
  not_run: (outcome, request) =>
    createError(
      'not_run',
      `not run: ${NOT_RUN_MESSAGES[outcome.reason]}. Nothing took effect; send it again.`,
      request,
    ),
  unknown: (outcome, request) =>
    createError(
      'unknown',
      `outcome unknown: ${UNKNOWN_MESSAGES[outcome.reason]}. It may have taken effect; check before you send it again, or send it again with its request key.`,
      request,
    ),
};

/** Creates the error for a request that was not done. */
export function createOutcomeError(
  outcome: NotDoneOutcome,
  request: RequestId | null,
): SqlError {
  const create = ERROR_FACTORIES[outcome.type] as (
    notDone: NotDoneOutcome,
    request: RequestId | null,
  ) => SqlError;
  return create(outcome, request);
}

/** Creates the error for a transaction that can no longer commit. */
export function createRolledBackError(
  cause: string,
  request: RequestId | null = null,
): SqlError {
  return createError(
    'rolled_back',
    `the transaction was rolled back: ${cause}. None of it took effect; send it again from its start.`,
    request,
  );
}
