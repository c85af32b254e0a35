/**
 * Decides the outcome of an edit whose conditional update failed with a
 * conflict or whose answer was lost, from the object that is stored now.
 */

import type {TableEdit} from '../model/table.js';
import type {StoredTable} from './next_table.js';

/** An edit whose outcome is not known yet. */
export interface PendingEdit {
  readonly editId: string;
  /** The version that the operator read. */
  readonly baseVersion: number;
}

/** The outcome of an edit. */
export type ConflictDecision =
  | OwnEditTookEffect
  | StaleBase
  /** The edit has not taken effect yet; it may be sent again unchanged. */
  | {readonly type: 'base_unchanged'};

/** The edit took effect; later edits may have followed it. */
export interface OwnEditTookEffect {
  readonly type: 'own_edit_took_effect';
  readonly version: number;
  /** Later edits by others, newest first. */
  readonly later: readonly TableEdit[];
}

/** Others changed the table since the operator read it. */
export interface StaleBase {
  readonly type: 'stale_base';
  readonly baseVersion: number;
  /** The stored version; 0 if the table was removed. */
  readonly version: number;
  /** Edits since the base, newest first. */
  readonly edits: readonly TableEdit[];
  /** Whether `edits` contains every edit since the base. */
  readonly isComplete: boolean;
}

/**
 * Decides from the stored table: the pending edit took effect, its base is
 * unchanged, or others have changed the table.
 */
export function decideConflict(
  pending: PendingEdit,
  stored: StoredTable,
): ConflictDecision {
  const history = stored.table?.history ?? [];
  const own = history.find(edit => edit.editId === pending.editId);
  if (own !== undefined) {
    return {
      type: 'own_edit_took_effect',
      version: own.version,
      later: history.filter(edit => edit.version > own.version),
    };
  }
  if (stored.table?.editId === pending.editId) {
    return {
      type: 'own_edit_took_effect',
      version: stored.version,
      later: [],
    };
  }
  if (stored.version === pending.baseVersion) {
    return {type: 'base_unchanged'};
  }
  const edits = history.filter(edit => edit.version > pending.baseVersion);
  return {
    type: 'stale_base',
    baseVersion: pending.baseVersion,
    version: stored.version,
    edits,
    isComplete: edits.length === stored.version - pending.baseVersion,
  };
}
