/** Validation of the platform's answers. */

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

/** Objects changed after a revision, and the resulting revision. */
export interface ObjectList {
  readonly revision: number;
  readonly changes: readonly ObjectChange[];
}

/** An object's version and revision after an accepted update. */
export interface UpdatedObject {
  readonly version: number;
  readonly revision: number;
}

/** Returns the validated value, or null if it does not match the schema. */
function validate<T>(schema: z.ZodType<T>, body: unknown): T | null {
  const result = schema.safeParse(body);
  return result.success ? result.data : null;
}

/** Parses a list of changes; returns null if it is not valid. */
export function parseObjectList(body: unknown): ObjectList | null {
  return validate(OBJECT_LIST, body);
}

/** Parses one object; returns null if it is not valid. */
export function parseObject(body: unknown): ObjectChange | null {
  return validate(OBJECT, body);
}

/** Parses the answer to an accepted update; returns null if it is not valid. */
export function parseUpdatedObject(body: unknown): UpdatedObject | null {
  return validate(UPDATED, body);
}
