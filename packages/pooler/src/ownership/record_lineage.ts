/** The lineage that the record of a group holds, see `GroupLineage`. */

import type {GroupId} from '@lacewingroad/core';
import {isWrittenIn} from '../decisions/store_era.js';
import {isSameLineage, UNKNOWN_ENDPOINT} from '../model/ownership.js';
import type {
  EndpointRun,
  GroupLineage,
  Ownership,
  PromotionLineage,
  StoredOwnership,
} from '../model/ownership.js';

/**
 * Stands for a run that a lineage may lack: a promotion then needs the log of
 * one more endpoint, until the run counts as gone.
 */
const UNKNOWN_RUN: EndpointRun = {endpoint: UNKNOWN_ENDPOINT, startedAt: 0};

/** Reads what a pool knows of its endpoints; null if no more than the record. */
export type ReadLineage = (group: GroupId) => GroupLineage | null;

/** Returns the part of a lineage that deputies note. */
export function readPromotions(lineage: GroupLineage | null): PromotionLineage {
  return {promoting: lineage?.promoting ?? [], term: lineage?.term ?? 0};
}

/** Returns the lineage that the next record of an owned group should hold. */
export function findLineage(
  readLineage: ReadLineage,
  {group, lineage}: Ownership,
): GroupLineage | null {
  return readLineage(group) ?? lineage ?? null;
}

/** Returns whether the record of an owned group has an outdated lineage. */
export function isLineageOutdated(
  readLineage: ReadLineage,
  {group, lineage}: Ownership,
): boolean {
  const known = readLineage(group);
  return known !== null && !isSameLineage(lineage, known);
}

/**
 * Returns the lineage of a record that is claimed. That of a copy may lack runs
 * that joined after it was taken.
 */
export function findInheritedLineage(
  stored: StoredOwnership,
  era: number,
): GroupLineage | null {
  const {lineage = null} = stored.ownership;
  return lineage === null || isWrittenIn(stored, era)
    ? lineage
    : {...lineage, members: [...lineage.members, UNKNOWN_RUN]};
}
