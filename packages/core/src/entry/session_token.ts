/** Session tokens: a session's id and positions, carried by the caller. */

import {Map as ImmutableMap} from 'immutable';
import type {Caller, Positions} from './state.js';
import type {SessionId} from '../model/ids.js';
import type {LogPosition} from '../model/position.js';

/** A parsed session value of a caller. */
export type SessionValue =
  | {
      readonly type: 'token';
      readonly session: SessionId;
      readonly positions: Positions;
      readonly hasUnknownWrite: boolean;
    }
  | {readonly type: 'name'; readonly session: SessionId}
  | {readonly type: 'invalid'};

const TOKEN_PREFIX = 'lw1.';
const SESSION_NAME = /^[A-Za-z0-9_.-]{1,64}$/;
const MAX_TOKEN_LENGTH = 8_192;

/** Session, positions, and whether its last write has an unknown outcome. */
type TokenBody = readonly [
  SessionId,
  readonly (readonly [string, number, number])[],
  true?,
];

/** Returns the token of a caller's session. */
export function writeSessionToken(
  caller: Pick<Caller, 'session' | 'positions' | 'hasUnknownWrite'>,
): string {
  const positions = [...caller.positions.entries()].map(
    ([group, {term, index}]) => [group, term, index] as const,
  );
  const body: TokenBody = caller.hasUnknownWrite
    ? [caller.session, positions, true]
    : [caller.session, positions];
  const text = Buffer.from(JSON.stringify(body), 'utf8');
  return `${TOKEN_PREFIX}${text.toString('base64url')}`;
}

function isPositionEntry(
  entry: unknown,
): entry is readonly [string, number, number] {
  return (
    Array.isArray(entry) &&
    entry.length === 3 &&
    typeof entry[0] === 'string' &&
    Number.isSafeInteger(entry[1]) &&
    Number.isSafeInteger(entry[2])
  );
}

function parseTokenBody(text: string): SessionValue {
  let body: unknown;
  try {
    body = JSON.parse(Buffer.from(text, 'base64url').toString('utf8'));
  } catch {
    return {type: 'invalid'};
  }
  if (!Array.isArray(body) || typeof body[0] !== 'string') {
    return {type: 'invalid'};
  }
  const entries: unknown = body[1];
  if (!Array.isArray(entries) || !entries.every(isPositionEntry)) {
    return {type: 'invalid'};
  }
  const positions: Positions = ImmutableMap<string, LogPosition>(
    entries.map(([group, term, index]) => [group, {term, index}]),
  );
  const hasUnknownWrite = body[2] === true;
  return {type: 'token', session: body[0], positions, hasUnknownWrite};
}

/** Parses the session value that a caller sent. */
export function parseSessionValue(value: string): SessionValue {
  if (value.length > MAX_TOKEN_LENGTH) {
    return {type: 'invalid'};
  }
  if (value.startsWith(TOKEN_PREFIX)) {
    return parseTokenBody(value.slice(TOKEN_PREFIX.length));
  }
  return SESSION_NAME.test(value)
    ? {type: 'name', session: value}
    : {type: 'invalid'};
}
