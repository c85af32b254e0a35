/** Checks of what the platform answers. */

import {z} from 'zod';
import type {ObjectChange} from '@lacewingroad/core';

const version = z.int().min(0);
const revision = z.int().min(0);

const OBJECT = z.object({
  key: z.string(),
  version,
  revision,
  value: z.unknown(),
});
const OBJECT_LIST = z.object({revision, changes: z.array(OBJECT)});
const UPDATED = z.object({version, revision});

/** Objects changed after a revision, and the revision that they lead to. */
export interface ObjectList {
  readonly revision: number;
  readonly changes: readonly ObjectChange[];
}

/** What an accepted update led to. */
export interface UpdatedObject {
  readonly version: number;
  readonly revision: number;
}

/** Returns the checked value, or null when the answer has another shape. */
function check<T>(schema: z.ZodType<T>, body: unknown): T | null {
  const result = schema.safeParse(body);
  return result.success ? result.data : null;
}

/** Reads a list of changes; null when the answer is none. */
export function parseObjectList(body: unknown): ObjectList | null {
  return check(OBJECT_LIST, body);
}

/** Reads one object; null when the answer is none. */
export function parseObject(body: unknown): ObjectChange | null {
  return check(OBJECT, body);
}

/** Reads the answer to an accepted update; null when it is none. */
export function parseUpdated(body: unknown): UpdatedObject | null {
  return check(UPDATED, body);
}
