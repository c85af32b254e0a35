/** The calls of the platform's object API. */

import type {Instant} from '@lacewingroad/runtime';
import type {HttpCall} from './http_call.js';

/** Returns the path of an object; the slashes of its key stay. */
function objectPath(key: string): string {
  return `/v1/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
}

/** Lists what changed after a revision; 0 lists everything. */
export function listCall(since: number, deadline: Instant): HttpCall {
  return {method: 'GET', path: `/v1/objects?since=${since}`, deadline};
}

/** Reads one object. */
export function getCall(key: string, deadline: Instant): HttpCall {
  return {method: 'GET', path: objectPath(key), deadline};
}

/** Replaces an object if it stands at `baseVersion` (0: absent). */
export function putCall(
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

/** Statuses that say that nothing took effect. */
const REFUSING_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Tells whether a status says that the call had no effect. */
export function isRefusal(status: number): boolean {
  return REFUSING_STATUSES.has(status);
}
