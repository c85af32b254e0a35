/**
 * Ends sessions that an endpoint still counts although their connections are
 * lost. A connection that went silent keeps one of the endpoint's connections,
 * its transaction and its locks until the endpoint notices, which takes minutes
 * or hours. Each session carries a random token as a connection attribute: an
 * id alone may belong to another client once the endpoint has restarted.
 */

import type {ConnAnswer, Statement} from '@lacewingroad/core';
import {MAX_LOST_SESSIONS} from './limits.js';

/** Name of the connection attribute that holds a session's token. */
export const SESSION_ATTRIBUTE = 'lacewingroad_session';

/** Runs a statement over an open connection. */
type Run = (statement: Statement, done: (answer: ConnAnswer) => void) => void;

/** The lost sessions of all endpoints. */
export interface LostSessions {
  /** Adds a session; beyond a limit, the oldest one is forgotten. */
  readonly add: (target: string, token: string) => void;
  /** Ends the endpoint's lost sessions over an open connection to it. */
  readonly end: (target: string, run: Run) => void;
}

/** Formats a query for the ids of sessions; tokens need no escaping. */
function formatQuery(tokens: readonly string[]): string {
  const list = tokens.map(token => `'${token}'`).join(', ');
  return (
    'SELECT PROCESSLIST_ID ' +
    'FROM performance_schema.session_account_connect_attrs ' +
    `WHERE ATTR_NAME = '${SESSION_ATTRIBUTE}' AND ATTR_VALUE IN (${list})`
  );
}

function readIds(answer: ConnAnswer): readonly number[] {
  if (answer.type === 'error' || answer.result.type !== 'rows') {
    return [];
  }
  return answer.result.rows
    .map(([cell]) => Number(cell == null ? NaN : Buffer.from(cell).toString()))
    .filter(Number.isSafeInteger);
}

/** Creates the list, empty. */
export function createLostSessions(): LostSessions {
  const byTarget = new Map<string, Set<string>>();

  const add = (target: string, token: string): void => {
    const tokens = byTarget.get(target) ?? new Set();
    byTarget.set(target, tokens);
    tokens.add(token);
    if (tokens.size > MAX_LOST_SESSIONS) {
      tokens.delete([...tokens][0]!);
    }
  };

  const end = (target: string, run: Run): void => {
    const tokens = [...(byTarget.get(target) ?? [])];
    if (tokens.length === 0) {
      return;
    }
    // An endpoint that cannot answer this query is not asked again for them.
    run({sql: formatQuery(tokens), params: null}, answer => {
      tokens.forEach(token => byTarget.get(target)?.delete(token));
      for (const id of readIds(answer)) {
        run({sql: `KILL CONNECTION ${id}`, params: null}, () => undefined);
      }
    });
  };

  return {add, end};
}
