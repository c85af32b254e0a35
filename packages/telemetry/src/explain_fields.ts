/** Fields of the events in an explanation. */

import type {FieldValue} from '@lacewingroad/core';

/** The fields of one event. */
export type Fields = Readonly<Record<string, FieldValue>>;

/** Formats a field; one that the event does not have is `not known`. */
export function formatField(fields: Fields, key: string): string {
  return fields[key] == null ? 'not known' : String(fields[key]);
}
