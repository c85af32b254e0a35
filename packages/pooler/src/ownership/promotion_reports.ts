/**
 * Passes on to the next owner of a group which promotions were requested: an
 * owner waits until they are kept, a claimant collects what deputies have kept.
 */

import type {EndpointId, GroupId, HostId} from '@lacewingroad/core';
import {waitUntil} from '@lacewingroad/runtime';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import {
  addReportedPromotions,
  areReportsComplete,
  isNamedInRecord,
  isNotedByDeputies,
} from '../decisions/promotion_knowledge.js';
import type {KnownPromotions} from '../decisions/promotion_knowledge.js';
import {isWrittenIn} from '../decisions/store_era.js';
import type {PromotionAskMessage} from '../model/message.js';
import type {GroupLineage, StoredOwnership} from '../model/ownership.js';
import type {HostPorts} from '../ports.js';
import type {Records} from '../records.js';
import type {LeaseAsks} from './lease_asks.js';
import type {RecordState} from './record_state.js';

/** Interval at which an owner checks whether a promotion is kept, in ms. */
const POLL_MS = 5;
/**
 * Time for deputies to report before a restarted owner claims its group without
 * them, in ms: the first connection to a host takes some round trips.
 */
const REPORT_TIMEOUT_MS = 300;

/** Where the next owner finds a requested promotion. */
export type PromotionKeeper = 'record' | 'deputies';

/** Dependencies of the reports. */
export interface PromotionReportsConfig {
  readonly runtime: Runtime;
  readonly send: HostPorts['send'];
  readonly records: Records<GroupId, RecordState>;
  readonly getState: (group: GroupId) => RecordState;
  readonly readNote: LeaseAsks['readNote'];
  /** Sends the requests for promises, which carry the promotions, now. */
  readonly askDeputies: (state: RecordState) => void;
  /**
   * Starts to write the record with the promotions; returns false while another
   * write is under way.
   */
  readonly saveLineage: (group: GroupId) => boolean;
  /** Called when the deputies have reported to a restarted owner. */
  readonly onReported: (group: GroupId) => void;
}

/** Keeps and collects requested promotions. */
export interface PromotionReports {
  /**
   * Has a promotion that was decided now kept for the next owner. Resolves to
   * null if that has not succeeded by the deadline, or the group was lost.
   */
  readonly keep: (
    group: GroupId,
    endpoint: EndpointId,
    deadline: Instant,
  ) => Promise<PromotionKeeper | null>;
  /** Returns what the owner of a known record has told this host. */
  readonly readOwn: (state: RecordState) => KnownPromotions;
  /** Adds what a deputy reports. */
  readonly put: (
    group: GroupId,
    host: HostId,
    promotions: KnownPromotions | undefined,
  ) => void;
  /**
   * Returns whether a restarted owner may claim its group; asks the deputies for
   * their reports otherwise.
   */
  readonly prepareReclaim: (state: RecordState) => boolean;
  readonly handleAsk: (host: HostId, msg: PromotionAskMessage) => void;
  /** Adds the reports to the lineage of a record that is claimed. */
  readonly addTo: (
    lineage: GroupLineage | null,
    state: RecordState,
    era: number,
  ) => GroupLineage | null;
}

/** Returns whether an owner that handed its group over wrote the record. */
function isHandedOver({ownership}: StoredOwnership): boolean {
  return ownership.incarnation === '';
}

function listDeputies({ownership}: StoredOwnership): readonly HostId[] {
  return ownership.deputies.map(({host}) => host);
}

/** Creates the reports. */
export function createPromotionReports(
  cfg: PromotionReportsConfig,
): PromotionReports {
  const {runtime, records, getState} = cfg;

  const findKeeper = (
    {stored, pendingWrites, lease, confirmedNotes}: RecordState,
    endpoint: EndpointId,
    since: Instant,
  ): PromotionKeeper | null => {
    if (stored === null || lease === null) {
      return null;
    }
    if (isNamedInRecord(stored, pendingWrites, endpoint, since)) {
      return 'record';
    }
    const {deputySets} = lease;
    return isNotedByDeputies(deputySets, confirmedNotes, endpoint, since)
      ? 'deputies'
      : null;
  };

  return {
    keep: async (group, endpoint, deadline) => {
      const since = runtime.now();
      if (getState(group).lease === null) {
        return null;
      }
      cfg.askDeputies(getState(group));
      let isSaved = false;
      while (runtime.now() < deadline) {
        isSaved ||= cfg.saveLineage(group);
        const keeper = findKeeper(getState(group), endpoint, since);
        if (keeper !== null || getState(group).lease === null) {
          return keeper;
        }
        await waitUntil(runtime, runtime.now() + POLL_MS);
      }
      return null;
    },
    readOwn: ({group, stored}) =>
      cfg.readNote(group, stored!.ownership.generation),
    put: (group, host, promotions) => {
      const reports = new Map(getState(group).reports);
      reports.set(host, promotions ?? null);
      records.update(group, {reports});
      const {stored, reportsAskedAt} = getState(group);
      const isAwaited = stored !== null && reportsAskedAt !== null;
      if (isAwaited && areReportsComplete(listDeputies(stored), reports)) {
        cfg.onReported(group);
      }
    },
    prepareReclaim: ({group, stored, reports, reportsAskedAt}) => {
      const deputies = listDeputies(stored!);
      const now = runtime.now();
      const isOver =
        reportsAskedAt !== null && now - reportsAskedAt >= REPORT_TIMEOUT_MS;
      const haveAllReported = deputies.every(host => reports.has(host));
      if (
        isOver ||
        haveAllReported ||
        isHandedOver(stored!) ||
        areReportsComplete(deputies, reports)
      ) {
        return true;
      }
      records.update(group, {reportsAskedAt: reportsAskedAt ?? now});
      const {generation} = stored!.ownership;
      deputies.forEach(host =>
        cfg.send(host, {type: 'promotion_ask', group, generation}),
      );
      return false;
    },
    handleAsk: (host, {group, generation}) => {
      const promotions = cfg.readNote(group, generation);
      cfg.send(host, {type: 'promotion_report', group, generation, promotions});
    },
    addTo: (lineage, {stored, reports}, era) => {
      const deputies = listDeputies(stored!);
      const areComplete =
        isWrittenIn(stored!, era) &&
        (isHandedOver(stored!) || areReportsComplete(deputies, reports));
      return addReportedPromotions(lineage, reports, areComplete);
    },
  };
}
