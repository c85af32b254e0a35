/** Authenticates callers with mysql_native_password. */

import {createHash, timingSafeEqual} from 'node:crypto';
import type {ServiceId} from '@lacewingroad/core';
import type {AuthParams} from './mysql2_types.js';

/** A user that may connect. */
export interface CallerUser {
  readonly name: string;
  /** SHA1(SHA1(password)) in hexadecimal. */
  readonly passwordSha1: string;
  /** Services that the user may use; `*` means all. */
  readonly services: readonly ServiceId[];
}

const HASH_BYTES = 20;
/** Length of the challenge without its terminating NUL, in bytes. */
const SCRAMBLE_BYTES = 20;
/** Used in place of the password hash of a user that does not exist. */
const DUMMY_HASH = Buffer.alloc(HASH_BYTES);

function sha1(...parts: readonly Uint8Array[]): Buffer {
  const hash = createHash('sha1');
  parts.forEach(part => hash.update(part));
  return hash.digest();
}

/**
 * Returns the authenticated user, or null when the user is unknown or the
 * password is wrong. Both failures take the same time.
 */
export function authenticate(
  users: ReadonlyMap<string, CallerUser>,
  params: AuthParams,
): CallerUser | null {
  const user = users.get(params.user) ?? null;
  const stored =
    user === null ? DUMMY_HASH : Buffer.from(user.passwordSha1, 'hex');
  const proof = Buffer.from(params.authToken);
  const isWellFormed =
    proof.length === HASH_BYTES && stored.length === HASH_BYTES;
  const token = isWellFormed ? proof : DUMMY_HASH;
  const challenge = Buffer.concat([
    params.authPluginData1,
    params.authPluginData2,
  ]).subarray(0, SCRAMBLE_BYTES);
  const mask = sha1(challenge, stored);
  const stage1 = mask.map((byte, index) => byte ^ token[index]!);
  const expected = stored.length === HASH_BYTES ? stored : DUMMY_HASH;
  const isEqual = timingSafeEqual(sha1(stage1), expected);
  return isEqual && isWellFormed ? user : null;
}
