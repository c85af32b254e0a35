/**
 * Decides what became of an edit whose conditional update met a conflict or
 * whose answer was lost, from the object that stands now.
 */

import type {TableEdit} from '../model/table.js';
import type {StandingTable} from './next_table.js';

/** An edit on its way to the platform. */
export interface PendingEdit {
  readonly editId: string;
  /** The version that the operator read. */
  readonly baseVersion: number;
}

/** What became of an edit. */
export type ConflictDecision =
  | OwnEditTookEffect
  | StaleBase
  /** The edit did not take effect so far; it may be sent again as it is. */
  | {readonly type: 'base_stands'};

/** The edit stands, or stood before later edits. */
export interface OwnEditTookEffect {
  readonly type: 'own_edit_took_effect';
  readonly version: number;
  /** Edits by others on top of it, newest first. */
  readonly later: readonly TableEdit[];
}

/** Others changed the table since the operator read it. */
export interface StaleBase {
  readonly type: 'stale_base';
  readonly baseVersion: number;
  /** The version that stands; 0 when the table was removed. */
  readonly version: number;
  /** Edits since the base, newest first. */
  readonly edits: readonly TableEdit[];
  /** Whether `edits` names every edit since the base. */
  readonly isComplete: boolean;
}

/**
 * Decides from what stands: the own edit took effect, its base still stands,
 * or others changed the table since.
 */
export function decideConflict(
  mine: PendingEdit,
  standing: StandingTable,
): ConflictDecision {
  const history = standing.table?.history ?? [];
  const own = history.find(edit => edit.editId === mine.editId);
  if (own !== undefined) {
    return {
      type: 'own_edit_took_effect',
      version: own.version,
      later: history.filter(edit => edit.version > own.version),
    };
  }
  if (standing.table?.editId === mine.editId) {
    return {
      type: 'own_edit_took_effect',
      version: standing.version,
      later: [],
    };
  }
  if (standing.version === mine.baseVersion) {
    return {type: 'base_stands'};
  }
  const edits = history.filter(edit => edit.version > mine.baseVersion);
  return {
    type: 'stale_base',
    baseVersion: mine.baseVersion,
    version: standing.version,
    edits,
    isComplete: edits.length === standing.version - mine.baseVersion,
  };
}
