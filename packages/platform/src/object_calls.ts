/** The calls of the platform's object API. */

import type {Instant} from '@lacewingroad/runtime';
import type {HttpCall} from './http_call.js';

/** Returns the URL path of an object; slashes in its key are not escaped. */
function objectPath(key: string): string {
  return `/v1/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
}

/** Lists the objects changed after a revision; 0 lists all objects. */
export function createListCall(since: number, deadline: Instant): HttpCall {
  return {method: 'GET', path: `/v1/objects?since=${since}`, deadline};
}

/** Reads one object. */
export function createGetCall(key: string, deadline: Instant): HttpCall {
  return {method: 'GET', path: objectPath(key), deadline};
}

/** Replaces an object if it is at version `baseVersion` (0: absent). */
export function createPutCall(
  key: string,
  baseVersion: number,
  value: unknown,
  deadline: Instant,
): HttpCall {
  return {
    method: 'PUT',
    path: objectPath(key),
    headers: {'if-match': String(baseVersion)},
    body: value,
    deadline,
  };
}

/** HTTP statuses of calls that had no effect. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Reports whether a status means that the call had no effect. */
export function isRefusal(status: number): boolean {
  return REFUSAL_STATUSES.has(status);
}
