/** Claims, renews and hands over the ownership of groups. */

import type {GroupId, HostId} from '@lacewingroad/core';
import {waitUntil} from '@lacewingroad/runtime';
import type {Instant, Unregister} from '@lacewingroad/runtime';
import {
  ABANDONED_RECORD_MS,
  computeLeaseExpiry,
  countConsentsNeeded,
  subtractSuspendedTime,
  DRIFT_MARGIN_MS,
  isLeaseValid,
  PROMISE_MS,
  computeAbandonedTime,
  computePromiseQuorumTime,
  computeTakeoverTime,
} from '../decisions/lease.js';
import {
  assignGroups,
  chooseDeputies,
  findBetterHost,
  orderHosts,
} from '../decisions/owner_choice.js';
import type {MessageHandlers} from '../model/message.js';
import type {
  GroupLineage,
  HostAddress,
  HostEntry,
  Ownership,
  StoredOwnership,
  WriteResult,
} from '../model/ownership.js';
import {
  computeCopyClaimTime,
  getMissingRevision,
  isCopy,
  isWrittenIn,
  readEra,
} from '../decisions/store_era.js';
import type {HostPorts} from '../ports.js';
import {createRecords} from '../records.js';
import {createLeaseAsks} from './lease_asks.js';
import {createPromotionReports} from './promotion_reports.js';
import type {PromotionReports} from './promotion_reports.js';
import {
  findInheritedLineage,
  findLineage,
  isLineageOutdated,
  readPromotions,
} from './record_lineage.js';
import {createReceivedRecords} from './received_records.js';
import type {ReceivedRecords} from './received_records.js';
import {addPendingWrite, createRecordState} from './record_state.js';
import type {RecordState} from './record_state.js';

/** Interval of lease requests to deputies, in ms: four per promise period. */
const ASK_INTERVAL_MS = 300;
/** Age of the promises at which the record is renewed instead, in ms. */
const STALE_PROMISE_MS = 700;
/** Minimum time between two writes of one record, in ms. */
const MIN_WRITE_INTERVAL_MS = 400;
/** Interval of renewals while deputies grant their promises, in ms. */
const RENEW_INTERVAL_MS = ABANDONED_RECORD_MS / 3;
/** Interval at which records are reviewed, in ms. */
const REVIEW_INTERVAL_MS = 100;
/**
 * Time in which a lease that has expired is usually renewed, in ms: half of an
 * interval between requests to deputies.
 */
const LEASE_RECOVERY_MS = 150;
/** Minimum time for which an owner keeps a group before it moves it, in ms:
 * lets the list of hosts and their records settle, and keeps moves rare. */
const MIN_OWNERSHIP_MS = 6_000;
/** Hosts per owned group that stay connected as targets of a move. */
const CANDIDATES_PER_GROUP = 3;
/** Interval at which a release checks whether a write has ended, in ms. */
const RELEASE_POLL_MS = 5;
/** Time for hosts to register before the first record is created, in ms. */
const FIRST_RECORD_DELAY_MS = 1_500;
/** Additional delay per rank before a host creates a first record, in ms. */
const CREATE_STAGGER_MS = 500;
/**
 * Change of the offset between wall clock and monotonic clock, in ms, from
 * which the process counts as suspended: the monotonic clock stops then.
 */
const SUSPENSION_THRESHOLD_MS = 60;

/** What a new owner starts from. */
export interface Inheritance {
  /** What earlier owners knew of the endpoints; null if nothing is recorded. */
  readonly lineage: GroupLineage | null;
  /** When the owner before was known to have ended. */
  readonly predecessorEndedAt: Instant;
}

/** Dependencies of the controller. */
export interface OwnershipConfig {
  readonly self: HostEntry;
  readonly incarnation: string;
  readonly ports: Pick<HostPorts, 'runtime' | 'record' | 'send' | 'store'>;
  readonly readGroups: () => readonly GroupId[];
  readonly readHosts: () => readonly HostEntry[];
  /** Returns whether a host is reachable and not stopping. */
  readonly isReachable: (host: HostId) => boolean;
  /**
   * Returns what this host knows of an owned group's endpoints; null if it
   * knows no more than the record.
   */
  readonly readLineage: (group: GroupId) => GroupLineage | null;
  readonly onGained: (group: GroupId) => void;
  readonly onLost: (group: GroupId) => void;
  /** Called when the lease of a group has expired for a while, and renewed. */
  readonly onActivityChanged: (group: GroupId, isActive: boolean) => void;
  /** Called when a newer revision of a group's record becomes known. */
  readonly onRecordChanged: (ownership: Ownership) => void;
  /**
   * Returns whether this host reaches another data centre. Without one it takes
   * over abandoned groups only.
   */
  readonly mayServe: () => boolean;
}

type OwnershipHandlers = Pick<
  MessageHandlers,
  | 'lease_ask'
  | 'lease_grant'
  | 'consent_ask'
  | 'consent'
  | 'promotion_ask'
  | 'promotion_report'
>;

/** Tracks the owner of each group, and takes over groups. */
export interface OwnershipController {
  /** Applies a record received from the store or from another host. */
  readonly applyRecord: (stored: StoredOwnership) => void;
  /** Applies the complete list of records, and the era of the store. */
  readonly applyList: ReceivedRecords['applyList'];
  /** Handles the messages of other hosts about leases and takeovers. */
  readonly handlers: OwnershipHandlers;
  /** Has a promotion that is about to be requested kept for the next owner. */
  readonly keepPromotion: PromotionReports['keep'];
  /** Returns whether this host may act as the owner of a group now. */
  readonly hasValidLease: (group: GroupId) => boolean;
  /** Returns when the lease of a group expires; -Infinity without a lease. */
  readonly readLeaseExpiry: (group: GroupId) => Instant;
  readonly readGeneration: (group: GroupId) => number;
  readonly readStored: (group: GroupId) => StoredOwnership | null;
  readonly readInheritance: (group: GroupId) => Inheritance;
  /** Returns all known records. */
  readonly listOwnerships: () => readonly Ownership[];
  /** Returns the groups that this host owns. */
  readonly listOwnedGroups: () => readonly GroupId[];
  /** Returns whether a record names this host as the owner of its group. */
  readonly isNamedOwner: () => boolean;
  /** Returns hosts that groups of this host could move to, linked or not. */
  readonly listCandidates: () => readonly HostId[];
  /** Returns a host that an owned group should move to, or null. */
  readonly findBetterOwner: (group: GroupId) => HostAddress | null;
  /** Hands a group to `to`, or a deputy if null; resolves after the write. */
  readonly release: (group: GroupId, to: HostAddress | null) => Promise<void>;
  /** Claims no more groups. */
  readonly stopClaiming: () => void;
  readonly close: () => void;
}

function listDeputies({deputies}: Ownership): readonly HostId[] {
  return deputies.map(({host}) => host);
}

function toAddress({host, address}: HostAddress): HostAddress {
  return {host, address};
}

/** Creates the controller and starts its periodic review of records. */
export function createOwnershipController(
  cfg: OwnershipConfig,
): OwnershipController {
  const {self, incarnation, ports} = cfg;
  const {runtime, record, send, store} = ports;
  const records = createRecords<GroupId, RecordState>();
  const startedAt = runtime.now();
  let mayClaim = true;
  let clockOffset = runtime.wallNow() - runtime.now();

  /** The newest revision in the first complete list; Infinity before it. */
  let initialRevision = Infinity;

  const getState = (group: GroupId): RecordState => {
    const known = records.get(group);
    if (known !== undefined) {
      return known;
    }
    // An earlier run of this process may have made a promise just before it
    // ended, so a promise from the start of this run is assumed.
    const created = createRecordState(
      group,
      startedAt + PROMISE_MS + DRIFT_MARGIN_MS,
    );
    records.put(group, created);
    return created;
  };

  const isOwnRecord = (ownership: Ownership): boolean =>
    ownership.owner.host === self.host && ownership.incarnation === incarnation;

  /** Detects a suspension of the process: promises kept expiring during it. */
  const detectSuspension = (): void => {
    const offset = runtime.wallNow() - runtime.now();
    const changeMs = offset - clockOffset;
    clockOffset = offset;
    if (Math.abs(changeMs) < SUSPENSION_THRESHOLD_MS) {
      return;
    }
    for (const {group, lease, pendingWrites} of records.list()) {
      if (pendingWrites !== null && changeMs > 0) {
        const {firstSentAt, lastSentAt} = pendingWrites;
        records.update(group, {
          pendingWrites: {
            ...pendingWrites,
            firstSentAt: firstSentAt - changeMs,
            lastSentAt: lastSentAt - changeMs,
          },
        });
      }
      if (lease !== null && changeMs > 0) {
        records.update(group, {
          lease: subtractSuspendedTime(lease, changeMs),
          askedAt: -Infinity,
          asks: new Map(),
        });
      }
    }
    record('warn', 'clock_jumped', {change_ms: Math.round(changeMs)});
  };

  const hasValidLease = (group: GroupId): boolean => {
    detectSuspension();
    const lease = records.get(group)?.lease ?? null;
    return lease !== null && isLeaseValid(lease, runtime.now());
  };

  const readLeaseExpiry = (group: GroupId): Instant => {
    detectSuspension();
    const lease = records.get(group)?.lease ?? null;
    return lease === null ? -Infinity : computeLeaseExpiry(lease);
  };

  const dropOwnership = (group: GroupId, reason: string): void => {
    records.update(group, {lease: null});
    record('warn', 'ownership_lost', {group, reason});
    cfg.onLost(group);
  };

  const received = createReceivedRecords({
    runtime,
    record,
    records,
    getState,
    isOwnRecord,
    hasValidLease,
    dropOwnership,
    onRecordChanged: cfg.onRecordChanged,
  });

  /** Sends a group's record to other hosts. */
  const sendRecord = (group: GroupId, hosts: Iterable<HostId>): void => {
    const {stored} = getState(group);
    if (stored === null) {
      return;
    }
    for (const host of new Set(hosts)) {
      if (host !== self.host) {
        send(host, {type: 'record', stored});
      }
    }
  };

  /**
   * Sends the record of a new owner to all hosts: they all connect to the
   * owner, but their watches of the store report it only at intervals.
   */
  const broadcastRecord = (group: GroupId): void =>
    sendRecord(
      group,
      cfg.readHosts().map(({host}) => host),
    );

  const listOwnerships = (): readonly Ownership[] =>
    records
      .list()
      .map(({stored}) => stored?.ownership)
      .filter(ownership => ownership !== undefined);

  const listOwnedGroups = (): readonly GroupId[] =>
    records
      .list()
      .filter(({lease}) => lease !== null)
      .map(({group}) => group);

  const listReachable = (): readonly HostEntry[] =>
    cfg.readHosts().filter(({host}) => cfg.isReachable(host));

  /** Ranks all hosts for a group; computes one hash per host. */
  const rankHosts = (group: GroupId): readonly HostId[] =>
    orderHosts(group, cfg.readHosts(), listOwnerships()).map(({host}) => host);

  const pickDeputies = (group: GroupId): readonly HostAddress[] =>
    chooseDeputies(group, self, listReachable(), listOwnerships()).map(
      toAddress,
    );

  /** Returns the revision that a write replaces; null if there never was one. */
  const findBaseRevision = (base: StoredOwnership | null): number | null => {
    const {era} = received.readEra();
    return base?.revision ?? (era === 0 ? null : getMissingRevision(era));
  };

  /** Writes a record and applies the result. */
  const write = async (
    ownership: Ownership,
    base: StoredOwnership | null,
  ): Promise<WriteResult> => {
    const {group} = ownership;
    const baseRevision = findBaseRevision(base);
    const sentAt = runtime.now();
    const {pendingWrites: earlier} = getState(group);
    const pendingWrites = addPendingWrite(earlier, baseRevision, sentAt);
    records.update(group, {isWriting: true, writtenAt: sentAt, pendingWrites});
    const result = await store.write(ownership, baseRevision);
    records.update(group, {isWriting: false});
    detectSuspension();
    if (result.type === 'refused' && earlier?.base !== baseRevision) {
      records.update(group, {pendingWrites: null});
    }
    if (result.type === 'written') {
      received.apply({ownership, revision: result.revision});
    }
    if (result.type === 'conflict' && result.standing !== null) {
      received.apply(result.standing);
    }
    if (result.type === 'unknown') {
      await rereadRecord(group);
    }
    return result;
  };

  /** Reads a record again after a write with an unknown result. */
  const rereadRecord = async (group: GroupId): Promise<void> => {
    const stored = await store.read(group);
    if (stored !== null && stored !== undefined) {
      received.apply(stored);
    }
  };

  /** Starts to write the lineage of an owned group, if no write is under way. */
  const saveLineage = (group: GroupId): boolean => {
    const state = getState(group);
    const {stored, lease, isWriting, isReleasing} = state;
    const canWrite = lease !== null && !isWriting && !isReleasing;
    if (stored !== null && canWrite) {
      void writeRenewal(state, stored.ownership.deputies);
    }
    return canWrite;
  };

  const asks = createLeaseAsks({
    runtime,
    send,
    records,
    getState,
    readPromotions: group => readPromotions(cfg.readLineage(group)),
    readInitialRevision: () => initialRevision,
  });

  const reports = createPromotionReports({
    runtime,
    send,
    records,
    getState,
    readNote: asks.readNote,
    askDeputies: asks.send,
    saveLineage,
    onReported: group => {
      if (mayClaim && !getState(group).isWriting) {
        reviewTakeover(getState(group), runtime.now());
      }
    },
  });

  const claim = async (group: GroupId): Promise<void> => {
    const state = getState(group);
    const base = state.stored;
    const baseRevision = findBaseRevision(base);
    const era = readEra(baseRevision ?? 0);
    const deputies = pickDeputies(group);
    const ownership: Ownership = {
      group,
      owner: toAddress(self),
      incarnation,
      generation: (baseRevision ?? 0) + 1,
      deputies,
      renewals: 0,
      lineage:
        base === null
          ? null
          : reports.addTo(findInheritedLineage(base, era), state, era),
      era,
    };
    const sentAt = runtime.now();
    const result = await write(ownership, base);
    const {stored, pendingWrites, gainedAt} = getState(group);
    // A claim that was sent while this one read the record comes before it.
    const isOwner =
      gainedAt < sentAt &&
      pendingWrites !== null &&
      pendingWrites.base === baseRevision &&
      stored !== null &&
      stored.revision > (baseRevision ?? -1) &&
      isWrittenIn(stored, era) &&
      stored.ownership.generation === ownership.generation &&
      isOwnRecord(stored.ownership);
    if (isOwner) {
      // If not this write made the record, an earlier one without an answer did.
      const {firstSentAt, lastSentAt} = pendingWrites;
      const isWritten = result.type === 'written';
      const isOwnEarlierRun =
        base?.ownership.owner.host === self.host &&
        !isOwnRecord(base.ownership);
      startOwnership(
        group,
        stored.ownership,
        isWritten ? lastSentAt : firstSentAt,
        isOwnEarlierRun ? startedAt : runtime.now(),
      );
    }
    const now = runtime.now();
    record('info', 'ownership_claimed', {
      group,
      outcome: result.type,
      generation: ownership.generation,
      deputies: deputies.map(({host}) => host).join(),
      detail: 'detail' in result ? result.detail : null,
      promoting: ownership.lineage?.promoting.join() ?? null,
      base: baseRevision,
      is_owner: isOwner,
      took_ms: Math.round(now - sentAt),
      lease_left_ms: isOwner ? Math.round(readLeaseExpiry(group) - now) : null,
    });
  };

  /** Writes the record of a group that is handed over. */
  const writeRelease = async (
    stored: StoredOwnership,
    next: HostAddress,
    lineage: GroupLineage | null,
  ): Promise<WriteResult> => {
    const {group, deputies} = stored.ownership;
    const ownership: Ownership = {
      ...stored.ownership,
      owner: next,
      incarnation: '',
      generation: stored.revision + 1,
      deputies: deputies.filter(({host}) => host !== next.host),
      lineage,
      era: readEra(stored.revision),
    };
    const result = await write(ownership, stored);
    record('info', 'ownership_released', {
      group,
      to: next.host,
      outcome: result.type,
      generation: ownership.generation,
    });
    return result;
  };

  /** Starts to act as the owner. */
  const startOwnership = (
    group: GroupId,
    ownership: Ownership,
    renewedAt: Instant,
    predecessorEndedAt: Instant,
  ): void => {
    records.update(group, {
      askedAt: -Infinity,
      confirmedNotes: new Map(),
      gainedAt: runtime.now(),
      predecessorEndedAt,
      expiredAt: null,
      isInactive: false,
      lease: {
        renewedAt,
        grants: new Map(),
        deputySets: [listDeputies(ownership)],
      },
    });
    broadcastRecord(group);
    cfg.onGained(group);
  };

  /** Returns the deputies that the next renewal should name. */
  const findDeputies = ({
    group,
    stored,
  }: RecordState): readonly HostAddress[] => {
    const {deputies} = stored!.ownership;
    const chosen = pickDeputies(group);
    const areReachable = deputies.every(({host}) => cfg.isReachable(host));
    return areReachable && deputies.length >= chosen.length ? deputies : chosen;
  };

  /**
   * Renews the record. New deputies are asked for promises first, because the
   * lease needs the promises of both sets from the start of the write.
   */
  const renew = async (state: RecordState, now: Instant): Promise<void> => {
    const {group, lease} = state;
    const deputies = findDeputies(state);
    const hosts = deputies.map(({host}) => host);
    const promisedAt = computePromiseQuorumTime({
      ...lease!,
      deputySets: [hosts],
    });
    const wereDeputiesAsked = hosts.join() === state.nextDeputies.join();
    const arePromisesRecent = now - promisedAt < STALE_PROMISE_MS;
    if (!arePromisesRecent && !wereDeputiesAsked && isLeaseValid(lease!, now)) {
      records.update(group, {nextDeputies: hosts, writtenAt: now});
      asks.send(getState(group));
      return;
    }
    records.update(group, {nextDeputies: []});
    await writeRenewal(getState(group), deputies);
  };

  /** Writes a renewal of an owned group's record. */
  const writeRenewal = async (
    {group, stored, lease}: RecordState,
    deputies: readonly HostAddress[],
  ): Promise<void> => {
    const before = stored!.ownership;
    const hosts = deputies.map(({host}) => host);
    // A write without an answer may be done later: its deputies count as well.
    const heldSets = lease!.deputySets;
    const deputySets = [...heldSets, hosts].filter(
      (set, at, sets) => sets.findIndex(x => x.join() === set.join()) === at,
    );
    records.update(group, {lease: {...lease!, deputySets}});
    const ownership = {
      ...before,
      deputies,
      renewals: before.renewals + 1,
      lineage: findLineage(cfg.readLineage, before),
      era: readEra(stored!.revision),
    };
    const result = await write(ownership, stored);
    const current = getState(group);
    const currentOwnership = current.stored?.ownership;
    if (current.lease === null || currentOwnership === undefined) {
      return;
    }
    const isNewer = current.stored!.revision > stored!.revision;
    const isRefused = result.type === 'refused';
    if (isNewer || isRefused) {
      records.update(group, {
        lease: {
          ...current.lease,
          renewedAt:
            result.type === 'written'
              ? current.pendingWrites!.lastSentAt
              : current.lease.renewedAt,
          deputySets: isNewer ? [listDeputies(currentOwnership)] : heldSets,
        },
      });
    }
    if (result.type === 'written') {
      // Deputies consent only to the current revision, so they need to know it.
      // Hosts that know no more than a copy of the record follow its owner.
      if (isCopy(stored!)) {
        broadcastRecord(group);
      } else {
        sendRecord(group, heldSets.flat().concat(hosts));
      }
      return;
    }
    record('warn', 'ownership_not_renewed', {
      group,
      outcome: result.type,
      detail: 'detail' in result ? result.detail : null,
      generation: currentOwnership.generation,
    });
  };

  const reviewOwned = (state: RecordState, now: Instant): void => {
    const {group, stored, lease, writtenAt, isWriting, isReleasing} = state;
    if (now - state.askedAt >= ASK_INTERVAL_MS) {
      asks.send(state);
    }
    const arePromisesStale =
      now - computePromiseQuorumTime(lease!) >= STALE_PROMISE_MS;
    const hasUnreachableDeputy = stored!.ownership.deputies.some(
      ({host}) => !cfg.isReachable(host),
    );
    const isRenewalDue = now - lease!.renewedAt >= RENEW_INTERVAL_MS;
    const mayWriteNow = now - writtenAt >= MIN_WRITE_INTERVAL_MS;
    const needsRenewal =
      arePromisesStale ||
      isRenewalDue ||
      hasUnreachableDeputy ||
      isCopy(stored!) ||
      isLineageOutdated(cfg.readLineage, stored!.ownership);
    if (needsRenewal && mayWriteNow && !isWriting && !isReleasing) {
      void renew(getState(group), now);
    }
  };

  /** Reports when an owned group cannot be served for lack of a valid lease. */
  const reviewActivity = (
    {group, lease, expiredAt, isInactive}: RecordState,
    now: Instant,
  ): void => {
    if (isLeaseValid(lease!, now)) {
      records.update(group, {expiredAt: null, isInactive: false});
      if (isInactive) {
        cfg.onActivityChanged(group, true);
      }
      return;
    }
    const since = expiredAt ?? now;
    const isOver = now - since >= LEASE_RECOVERY_MS;
    records.update(group, {expiredAt: since, isInactive: isOver});
    if (isOver && !isInactive) {
      cfg.onActivityChanged(group, false);
    }
  };

  /** Returns this host's rank among those that may take over a group. */
  const findRank = (group: GroupId, {deputies}: Ownership): number => {
    const index = deputies.findIndex(({host}) => host === self.host);
    if (index >= 0) {
      return index;
    }
    const ownIndex = rankHosts(group).indexOf(self.host);
    return deputies.length + Math.max(0, ownIndex);
  };

  /** Takes over a group once that is allowed, or asks deputies for consent. */
  const reviewTakeover = (state: RecordState, now: Instant): void => {
    const {group, stored, seenAt, promisedUntil} = state;
    const mayServe = cfg.mayServe();
    if (stored === null) {
      if (mayServe && now >= findCreationTime(group)) {
        void claim(group);
      }
      return;
    }
    if (!isWrittenIn(stored, received.readEra().era)) {
      reviewCopy(state, now);
      return;
    }
    const {owner} = stored.ownership;
    if (mayServe && owner.host === self.host) {
      // The owner is an earlier run of this process, or the group was handed
      // over to this host.
      if (reports.prepareReclaim(state)) {
        void claim(group);
      }
      return;
    }
    const isDeputy = listDeputies(stored.ownership).includes(self.host);
    const mayAskForConsent =
      mayServe && (isDeputy || !cfg.isReachable(owner.host));
    const unranked = {seenAt, promisedUntil, rank: 0};
    if (!mayAskForConsent && now < computeAbandonedTime(unranked)) {
      // Skips the ranking, one hash per host, while the owner is reachable.
      return;
    }
    const observed = {...unranked, rank: findRank(group, stored.ownership)};
    if (now >= computeAbandonedTime(observed)) {
      void claim(group);
      return;
    }
    if (!mayAskForConsent || now < computeTakeoverTime(observed)) {
      return;
    }
    if (!claimWithConsents(group)) {
      askForConsent(group, stored);
    }
  };

  /**
   * Takes over a group whose record has not been written in the present era,
   * once no lease of an earlier era can be valid.
   */
  const reviewCopy = (
    {group, stored, seenAt, promisedUntil}: RecordState,
    now: Instant,
  ): void => {
    const known = received.readEra();
    const isRead = readEra(stored!.revision) === known.era;
    const observed = {seenAt, promisedUntil, rank: 0};
    if (!isRead || now < computeCopyClaimTime(observed, known)) {
      return;
    }
    const rank = findRank(group, stored!.ownership);
    if (now >= computeCopyClaimTime({...observed, rank}, known)) {
      void claim(group);
    }
  };

  /** Takes over a group if enough deputies have consented. */
  const claimWithConsents = (group: GroupId): boolean => {
    const {stored, consents, lease, isWriting} = getState(group);
    const needed = countConsentsNeeded(stored?.ownership.deputies.length ?? 0);
    const isCurrent =
      stored !== null && isWrittenIn(stored, received.readEra().era);
    const canClaim = lease === null && !isWriting && mayClaim && isCurrent;
    if (!canClaim || consents.size < needed) {
      return false;
    }
    void claim(group);
    return true;
  };

  const askForConsent = (
    group: GroupId,
    {ownership, revision}: StoredOwnership,
  ): void => {
    listDeputies(ownership).forEach(host =>
      send(host, {type: 'consent_ask', group, revision}),
    );
  };

  /** Returns when this host may create the missing record of a group. */
  const findCreationTime = (group: GroupId): Instant => {
    if (initialRevision === Infinity) {
      return Infinity;
    }
    const assigned = assignGroups(cfg.readGroups(), cfg.readHosts()).get(group);
    const index = rankHosts(group).indexOf(self.host);
    const rank = assigned === self.host ? 0 : Math.max(0, index) + 1;
    // In a later era, an owner may act whose record was lost.
    const from = Math.max(
      startedAt + FIRST_RECORD_DELAY_MS,
      received.readEra().seenAt + ABANDONED_RECORD_MS,
    );
    return from + rank * CREATE_STAGGER_MS;
  };

  const review = (): void => {
    detectSuspension();
    const now = runtime.now();
    for (const group of cfg.readGroups()) {
      const state = getState(group);
      if (state.lease !== null) {
        reviewOwned(state, now);
        reviewActivity(getState(group), now);
        continue;
      }
      const mayWriteNow = now - state.writtenAt >= MIN_WRITE_INTERVAL_MS;
      const canClaim = mayClaim && !state.isWriting && mayWriteNow;
      if (canClaim) {
        reviewTakeover(state, now);
      }
    }
  };

  let unregister: Unregister = () => undefined;
  const scheduleReview = (): void => {
    unregister = runtime.at(runtime.now() + REVIEW_INTERVAL_MS, () => {
      review();
      scheduleReview();
    });
  };
  scheduleReview();

  const handlers: OwnershipHandlers = {
    lease_ask: (host, msg) => {
      received.noteRevision(msg.revision);
      asks.handleAsk(host, msg);
    },
    lease_grant: asks.handleGrant,
    promotion_ask: reports.handleAsk,
    promotion_report: (host, {group, generation, promotions}) => {
      if (getState(group).stored?.ownership.generation === generation) {
        reports.put(group, host, promotions);
      }
    },
    consent_ask: (host, {group, revision}) => {
      const state = getState(group);
      // Nobody may claim a copy, and its owner still needs promises for it.
      const isKnown =
        state.stored?.revision === revision && !isCopy(state.stored);
      const isPromiseOver = runtime.now() >= state.promisedUntil;
      if (!isKnown || !isPromiseOver || state.lease !== null) {
        return;
      }
      records.update(group, {consentedRevision: revision});
      const promotions = reports.readOwn(state);
      send(host, {type: 'consent', group, revision, promotions});
    },
    consent: (host, {group, revision, promotions}) => {
      const {stored, consents} = getState(group);
      const isDeputy =
        stored?.revision === revision &&
        listDeputies(stored.ownership).includes(host);
      if (isDeputy) {
        records.update(group, {consents: new Set(consents).add(host)});
        reports.put(group, host, promotions);
        claimWithConsents(group);
      }
    },
  };

  return {
    applyList: (stored, era) => {
      if (initialRevision === Infinity) {
        initialRevision = Math.max(0, ...stored.map(({revision}) => revision));
      }
      received.applyList(stored, era);
    },
    applyRecord: received.apply,
    handlers,
    keepPromotion: reports.keep,
    hasValidLease,
    readLeaseExpiry,
    readGeneration: group => getState(group).stored?.ownership.generation ?? 0,
    readStored: group => getState(group).stored,
    readInheritance: group => ({
      lineage: getState(group).stored?.ownership.lineage ?? null,
      predecessorEndedAt: getState(group).predecessorEndedAt,
    }),
    listOwnerships,
    listOwnedGroups,
    isNamedOwner: () =>
      listOwnerships().some(({owner}) => owner.host === self.host),
    listCandidates: () =>
      listOwnedGroups().flatMap(group =>
        rankHosts(group).slice(0, CANDIDATES_PER_GROUP),
      ),
    findBetterOwner: group => {
      const {lease, gainedAt, isWriting, isReleasing} = getState(group);
      const now = runtime.now();
      // A move needs the store: without it the group would be left ownerless.
      const isSettled =
        lease !== null &&
        now - gainedAt >= MIN_OWNERSHIP_MS &&
        now - lease.renewedAt < RENEW_INTERVAL_MS;
      if (!isSettled || isWriting || isReleasing) {
        return null;
      }
      const reachable = listReachable();
      const better = findBetterHost(group, self, reachable, listOwnerships());
      return better === null ? null : toAddress(better);
    },
    release: async (group, to) => {
      records.update(group, {isReleasing: true});
      while (getState(group).isWriting) {
        await waitUntil(runtime, runtime.now() + RELEASE_POLL_MS);
      }
      const {stored} = getState(group);
      const deputy = stored?.ownership.deputies.find(({host}) =>
        cfg.isReachable(host),
      );
      // Without a deputy that goes on, nobody could take the group over later.
      const next = to ?? deputy ?? pickDeputies(group)[0];
      const lineage =
        stored === null ? null : findLineage(cfg.readLineage, stored.ownership);
      dropOwnership(group, 'handed over');
      records.update(group, {isReleasing: false});
      if (stored === null || next === undefined) {
        return;
      }
      let result = await writeRelease(stored, next, lineage);
      const current = getState(group).stored!;
      const isSameEra = readEra(current.revision) === readEra(stored.revision);
      if (
        result.type === 'conflict' &&
        isSameEra &&
        isOwnRecord(current.ownership)
      ) {
        // A renewal without an answer had been executed.
        result = await writeRelease(current, next, lineage);
      }
      if (result.type === 'written') {
        broadcastRecord(group);
      }
    },
    stopClaiming: () => {
      mayClaim = false;
    },
    close: () => unregister(),
  };
}
