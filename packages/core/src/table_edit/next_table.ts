/** Builds the table object that an edit writes. */

import {invariant} from '../engine/invariant.js';
import type {ServiceId} from '../model/ids.js';
import {TABLE_HISTORY_LIMIT} from '../model/table.js';
import type {TableEdit, TableObject} from '../model/table.js';
import {diffTables} from './diff_tables.js';
import type {TableContent} from './diff_tables.js';

/** Maximum lines of changes that the history keeps per edit. */
const CHANGES_LIMIT = 40;

/** A table object and its version at the platform. */
export interface StoredTable {
  /** 0 if the platform has no such object. */
  readonly version: number;
  readonly table: TableObject | null;
}

/** Author and reason of an edit. */
export interface EditAuthor {
  /** Unique id of the edit; the same on every retry. */
  readonly editId: string;
  readonly editedBy: string;
  readonly note: string;
  /** Wall clock of the author, milliseconds since the Unix epoch. */
  readonly at: number;
}

/**
 * Builds the next object of a service's table from the version that the
 * operator read. The new edit comes first in the bounded history.
 */
export function buildNextTable(
  service: ServiceId,
  base: StoredTable,
  content: TableContent,
  author: EditAuthor,
): TableObject {
  invariant(author.note.trim() !== '', 'a table edit must have a note');
  const edit: TableEdit = {
    version: base.version + 1,
    ...author,
    changes: limitChanges(diffTables(base.table, content)),
  };
  const history = [edit, ...(base.table?.history ?? [])];
  return {
    service,
    group: content.group,
    rows: content.rows,
    editId: author.editId,
    editedBy: author.editedBy,
    note: author.note,
    history: history.slice(0, TABLE_HISTORY_LIMIT),
  };
}

function limitChanges(changes: readonly string[]): readonly string[] {
  if (changes.length <= CHANGES_LIMIT) {
    return changes;
  }
  const rest = changes.length - CHANGES_LIMIT;
  return [...changes.slice(0, CHANGES_LIMIT), `and ${rest} more rows`];
}
