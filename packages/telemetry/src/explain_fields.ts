/** Fields of the events that are told. */

import type {FieldValue} from '@lacewingroad/core';

/** The fields of one event. */
export type Fields = Readonly<Record<string, FieldValue>>;

/** Returns a field as text; what the log does not hold is said so. */
export function show(fields: Fields, key: string): string {
  return fields[key] == null ? 'not known' : String(fields[key]);
}
