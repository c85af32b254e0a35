/** Builds the table object that an edit writes. */

import {invariant} from '../engine/invariant.js';
import type {ServiceId} from '../model/ids.js';
import {TABLE_HISTORY_LIMIT} from '../model/table.js';
import type {TableEdit, TableObject} from '../model/table.js';
import {diffTables} from './diff_tables.js';
import type {TableContent} from './diff_tables.js';

/** Lines of changes that the history keeps of one edit. */
const CHANGES_LIMIT = 40;

/** A table object and the version at which the platform holds it. */
export interface StandingTable {
  /** 0 when the platform holds no such object. */
  readonly version: number;
  readonly table: TableObject | null;
}

/** Who edits, and why. */
export interface EditAuthor {
  /** Unique id of the edit; the same on every retry. */
  readonly editId: string;
  readonly editedBy: string;
  readonly note: string;
  /** Wall clock of the author, milliseconds since the Unix epoch. */
  readonly at: number;
}

/**
 * Builds the next object of a service's table on top of the version that the
 * operator read. The history holds the new edit first and stays bounded.
 */
export function buildNextTable(
  service: ServiceId,
  base: StandingTable,
  content: TableContent,
  author: EditAuthor,
): TableObject {
  invariant(author.note.trim() !== '', 'an edit of a table carries a note');
  const edit: TableEdit = {
    version: base.version + 1,
    ...author,
    changes: boundChanges(diffTables(base.table, content)),
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

function boundChanges(changes: readonly string[]): readonly string[] {
  if (changes.length <= CHANGES_LIMIT) {
    return changes;
  }
  const rest = changes.length - CHANGES_LIMIT;
  return [...changes.slice(0, CHANGES_LIMIT), `and ${rest} more rows`];
}
