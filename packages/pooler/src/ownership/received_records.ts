/** Applies records that the store or other hosts report, in any order. */

import type {GroupId} from '@lacewingroad/core';
import type {Runtime} from '@lacewingroad/runtime';
import {
  getMissingRevision,
  isCopy,
  isMissing,
  mergeRecords,
  readEra,
} from '../decisions/store_era.js';
import type {KnownEra} from '../decisions/store_era.js';
import type {Ownership, StoredOwnership} from '../model/ownership.js';
import type {LogEvent} from '../ports.js';
import type {Records} from '../records.js';
import type {RecordState} from './record_state.js';

/** Dependencies of the received records. */
export interface ReceivedRecordsConfig {
  readonly runtime: Runtime;
  readonly record: LogEvent;
  readonly records: Records<GroupId, RecordState>;
  readonly getState: (group: GroupId) => RecordState;
  readonly isOwnRecord: (ownership: Ownership) => boolean;
  readonly hasValidLease: (group: GroupId) => boolean;
  readonly dropOwnership: (group: GroupId, reason: string) => void;
  /** Called when a newer revision of a group's record becomes known. */
  readonly onRecordChanged: (ownership: Ownership) => void;
}

/** Keeps the newest knowledge of each record, and the era of the store. */
export interface ReceivedRecords {
  readonly readEra: () => KnownEra;
  /** Applies the era of a revision that another host sent. */
  readonly noteRevision: (revision: number) => void;
  readonly apply: (stored: StoredOwnership) => void;
  /** Applies the complete list of records, and the era of the store. */
  readonly applyList: (stored: readonly StoredOwnership[], era: number) => void;
}

/** Creates the handling of received records. */
export function createReceivedRecords(
  cfg: ReceivedRecordsConfig,
): ReceivedRecords {
  const {runtime, record, records, getState} = cfg;
  let known: KnownEra = {era: 0, seenAt: -Infinity};
  let hasList = false;

  const noteEra = (era: number): void => {
    if (era > known.era) {
      known = {era, seenAt: runtime.now()};
    }
  };

  const recordChange = (
    before: StoredOwnership | null,
    received: StoredOwnership,
    {ownership, revision}: StoredOwnership,
  ): void => {
    const {group, owner, generation} = ownership;
    if (before?.ownership.generation !== generation) {
      record('info', 'owner_changed', {
        group,
        owner: owner.host,
        generation,
        before: before?.ownership.owner.host ?? null,
        revision,
      });
    }
    if (isCopy(received) && received.revision === revision) {
      record('warn', 'record_restored', {
        group,
        revision,
        owner: owner.host,
        generation,
        read_owner: received.ownership.owner.host,
        read_generation: received.ownership.generation,
        is_missing: isMissing(received),
        is_known_newer: ownership !== received.ownership,
      });
    }
  };

  const apply = (received: StoredOwnership): void => {
    noteEra(readEra(received.revision));
    const {group} = received.ownership;
    const {stored: before, seenAt} = getState(group);
    const stored = mergeRecords(before, received);
    if (stored === before) {
      return;
    }
    // While a lease of an earlier era is valid, nobody can have claimed the
    // group in this one. Its owner must not go on once it has expired, not even
    // with promises that its deputies make for the new revision.
    const isRestored =
      before !== null && readEra(stored.revision) > readEra(before.revision);
    if (
      isRestored &&
      getState(group).lease !== null &&
      !cfg.hasValidLease(group)
    ) {
      cfg.dropOwnership(group, 'expired before the store was restored');
    }
    const isRevisionNew = stored.revision !== before?.revision;
    records.update(
      group,
      isRevisionNew
        ? {
            stored,
            seenAt: runtime.now(),
            consents: new Set(),
            reports: new Map(),
            reportsAskedAt: null,
          }
        : {stored, seenAt},
    );
    recordChange(before, received, stored);
    const {ownership} = stored;
    if (getState(group).lease !== null && !cfg.isOwnRecord(ownership)) {
      cfg.dropOwnership(group, 'another host owns the group');
    }
    cfg.onRecordChanged(ownership);
  };

  return {
    readEra: () => known,
    noteRevision: revision => noteEra(readEra(revision)),
    apply,
    applyList: (list, era) => {
      // A new deployment may start in any era. It is one if this run has read no
      // list before, and no record of any group exists.
      if (!hasList && list.length === 0 && era > known.era) {
        known = {era, seenAt: -Infinity};
      }
      hasList = true;
      noteEra(era);
      list.forEach(apply);
      const listed = new Set(list.map(({ownership}) => ownership.group));
      for (const {group, stored} of records.list()) {
        if (stored !== null && !listed.has(group)) {
          apply({
            ownership: stored.ownership,
            revision: getMissingRevision(era),
          });
        }
      }
    },
  };
}
