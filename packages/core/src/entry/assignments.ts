/** SET and USE: a caller's session, kind of work, autocommit and service. */

import {Map as ImmutableMap} from 'immutable';
import {readCaller, updateCaller} from './callers.js';
import {findUnsupportedSetting} from './endpoint_settings.js';
import {createOkResult} from './local_result.js';
import {replyError, replyResult} from './replies.js';
import {parseSessionValue} from './session_token.js';
import type {Caller} from './state.js';
import type {ActiveStatement} from './active_statement.js';
import {parseAssignments} from './variables.js';
import type {Assignment} from './variables.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Change} from '../engine/engine.js';
import type {CallerId, Instant, ServiceId} from '../model/ids.js';
import {DEFAULT_KIND} from '../model/table.js';

type AssignmentHandler = (
  board: Blackboard,
  caller: Caller,
  value: string,
  now: Instant,
) => Blackboard | string;

/** Resumes or names a session; returns an error text for an invalid value. */
export const setSession: AssignmentHandler = (board, caller, value, now) => {
  const parsed = parseSessionValue(value);
  if (parsed.type === 'invalid') {
    return `'${value.slice(0, 40)}' is neither a session token nor a session name; send the value of SELECT @@lacewingroad_session.`;
  }
  const isNamed = parsed.type === 'name';
  return updateCaller(board, caller.id, {
    session: parsed.session,
    isNamedSession: isNamed,
    positions: isNamed ? ImmutableMap() : parsed.positions,
    positionsAt: now,
    proof: isNamed ? 'missing' : 'complete',
    hasUnknownWrite: parsed.type === 'token' && parsed.hasUnknownWrite,
  });
};

function isEnabled(value: string): boolean {
  return /^(1|on|true)$/i.test(value);
}

const ASSIGNMENT_HANDLERS: Readonly<Record<string, AssignmentHandler>> = {
  lacewingroad_session: setSession,
  lacewingroad_kind: (board, caller, value) =>
    updateCaller(board, caller.id, {
      kind: value === '' ? DEFAULT_KIND : value,
    }),
  autocommit: (board, caller, value) =>
    updateCaller(board, caller.id, {
      autocommit: isEnabled(value),
    }),
};

function applyAssignments(
  board: Blackboard,
  id: CallerId,
  assignments: readonly Assignment[],
  now: Instant,
): Blackboard | string {
  let next = board;
  for (const {name, value} of assignments) {
    const caller = readCaller(next, id);
    const assign = ASSIGNMENT_HANDLERS[name];
    if (caller === null || assign === undefined) {
      continue;
    }
    const result = assign(next, caller, value, now);
    if (typeof result === 'string') {
      return result;
    }
    next = result;
  }
  return next;
}

/** Returns whether a SET enables autocommit while a transaction is open. */
function commitsByAutocommit(
  caller: Caller,
  assignments: readonly Assignment[],
): boolean {
  return (
    caller.tx !== null &&
    !caller.autocommit &&
    assignments.some(
      ({name, value}) => name === 'autocommit' && isEnabled(value),
    )
  );
}

/** Runs a SET statement. */
export function runSet(board: Blackboard, active: ActiveStatement): Change {
  const {caller, classified} = active;
  const assignments = parseAssignments(classified.plain);
  if (commitsByAutocommit(caller, assignments)) {
    return replyError(
      board,
      caller.id,
      'not_supported',
      'SET autocommit = 1 would commit the open transaction. Commit or roll back first.',
    );
  }
  const unsupported = findUnsupportedSetting(
    classified.plain,
    assignments.filter(({name}) => !Object.hasOwn(ASSIGNMENT_HANDLERS, name)),
  );
  if (unsupported !== null) {
    return replyError(board, caller.id, 'not_supported', unsupported);
  }
  const {now} = active.ctx;
  const result = applyAssignments(board, caller.id, assignments, now);
  return typeof result === 'string'
    ? replyError(board, caller.id, 'not_valid', result)
    : replyResult(result, caller.id, createOkResult());
}

/** Returns whether a caller's user may use a service. */
export function mayUseService(caller: Caller, service: ServiceId): boolean {
  const {allowedServices} = caller;
  return allowedServices.includes('*') || allowedServices.includes(service);
}

/** Changes the service that a caller uses. */
export function useService(
  board: Blackboard,
  caller: Caller,
  service: ServiceId,
): Change {
  if (caller.tx !== null) {
    return replyError(
      board,
      caller.id,
      'not_supported',
      'the service cannot change inside a transaction. Commit or roll back first.',
    );
  }
  if (!mayUseService(caller, service)) {
    return replyError(
      board,
      caller.id,
      'not_valid',
      `user ${caller.user} may not use service ${service}; the allowed services are listed in the settings of the user.`,
    );
  }
  return replyResult(
    updateCaller(board, caller.id, {service}),
    caller.id,
    createOkResult(),
  );
}
