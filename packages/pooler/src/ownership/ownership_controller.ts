/** Claims, keeps and hands over the records of owners. */

import type {GroupId, HostId} from '@lacewingroad/core';
import {waitUntil} from '@lacewingroad/runtime';
import type {Instant, Unregister} from '@lacewingroad/runtime';
import {
  ABANDONED_RECORD_MS,
  countConsentsNeeded,
  subtractSuspendedTime,
  DRIFT_MARGIN_MS,
  isLeaseValid,
  PROMISE_MS,
  computeAbandonedTime,
  computePromiseQuorumTime,
  computeTakeoverTime,
} from '../decisions/lease.js';
import type {HeldLease} from '../decisions/lease.js';
import {
  assignGroups,
  chooseDeputies,
  findBetterHost,
  orderHosts,
} from '../decisions/owner_choice.js';
import type {
  ConsentAskMessage,
  ConsentMessage,
  LeaseAskMessage,
  LeaseGrantMessage,
} from '../model/message.js';
import type {
  HostAddress,
  HostEntry,
  Ownership,
  StoredOwnership,
  WriteResult,
} from '../model/ownership.js';
import type {HostPorts} from '../ports.js';
import {listMembers} from '../model/ownership.js';
import {createRecords} from '../records.js';

/** Interval at which deputies are asked, in ms: four times in a promise. */
const ASK_INTERVAL_MS = 300;
/** Age of a promise at which the record is renewed instead, in ms. */
const STALE_PROMISE_MS = 700;
/** Least time between two writes of one record, in ms. */
const WRITE_INTERVAL_MS = 400;
/** Interval of renewals while all promises come, in ms. */
const RENEW_INTERVAL_MS = ABANDONED_RECORD_MS / 3;
/** Interval at which records are looked at, in ms. */
const REVIEW_INTERVAL_MS = 100;
/** Time for which an owner keeps a group before it moves it, in ms: the list of
 * hosts and their records settle in it, and moves stay rare. */
const SETTLE_MS = 6_000;
/** Hosts per owned group that a connection is kept to, to move it there. */
const CANDIDATE_COUNT = 3;
/** Interval at which a release looks whether a write has ended, in ms. */
const RELEASE_POLL_MS = 5;
/** Time for hosts to register before records are first created, in ms. */
const BOOT_WAIT_MS = 1_500;
/** Time that each host further down the order waits with a first record, ms. */
const CREATE_STAGGER_MS = 500;
/**
 * Difference of the wall clock and the monotonic clock, in ms, from which the
 * process is taken to have been suspended: the monotonic clock stands still.
 */
const SUSPENDED_MS = 60;

/** What the controller knows of a group's record. */
interface RecordState {
  readonly group: GroupId;
  readonly stored: StoredOwnership | null;
  /** When the record was first seen as it stands. */
  readonly seenAt: Instant;
  readonly promisedUntil: Instant;
  /** The newest revision for which this host consented to a takeover. */
  readonly consentedTo: number;
  /** Deputies that consented to a takeover of the record as it stands. */
  readonly consents: ReadonlySet<HostId>;
  /** Set while this host is the owner. */
  readonly lease: HeldLease | null;
  /** When this host became the owner. */
  readonly gainedAt: Instant;
  readonly askedAt: Instant;
  readonly asks: ReadonlyMap<number, {host: HostId; sentAt: Instant}>;
  readonly writtenAt: Instant;
  readonly isWriting: boolean;
  /** Hosts that were asked for promises before they become deputies. */
  readonly nextDeputies: readonly HostId[];
  readonly isReleasing: boolean;
}

/** What the controller needs. */
export interface OwnershipConfig {
  readonly self: HostEntry;
  readonly incarnation: string;
  readonly ports: Pick<HostPorts, 'runtime' | 'record' | 'send' | 'store'>;
  readonly readGroups: () => readonly GroupId[];
  readonly readHosts: () => readonly HostEntry[];
  /** Tells whether a host can be reached and does not stop. */
  readonly isReachable: (host: HostId) => boolean;
  /** Tells whether the store's list of records is complete. */
  readonly isListComplete: () => boolean;
  readonly onGained: (group: GroupId) => void;
  readonly onLost: (group: GroupId) => void;
  /** Called when another host is known to own a group. */
  readonly onOwner: (ownership: Ownership) => void;
  /** Tells whether this host could serve as an owner now. */
  readonly mayServe: () => boolean;
}

/** Keeps track of who owns which group, and takes groups over. */
export interface OwnershipController {
  /** Takes a record of the store, or of a host that knows it, into account. */
  readonly noteStored: (stored: StoredOwnership) => void;
  /** Notes the whole list that this process read first. */
  readonly noteFirstList: (stored: readonly StoredOwnership[]) => void;
  readonly handleAsk: (host: HostId, msg: LeaseAskMessage) => void;
  readonly handleGrant: (host: HostId, msg: LeaseGrantMessage) => void;
  readonly handleConsentAsk: (host: HostId, msg: ConsentAskMessage) => void;
  readonly handleConsent: (host: HostId, msg: ConsentMessage) => void;
  /** Tells whether this host may act as a group's owner now. */
  readonly isValid: (group: GroupId) => boolean;
  readonly readGeneration: (group: GroupId) => number;
  readonly readStored: (group: GroupId) => StoredOwnership | null;
  /** Returns all records that are known. */
  readonly listOwnerships: () => readonly Ownership[];
  /** Returns the groups that this host owns. */
  readonly readOwned: () => readonly GroupId[];
  /** Tells whether this host owns a group, or is a deputy of an owner. */
  readonly isInvolved: () => boolean;
  /** Returns hosts that could take this host's groups, linked or not. */
  readonly listCandidates: () => readonly HostId[];
  /** Returns a host that an owned group should move to, or null. */
  readonly findBetterOwner: (group: GroupId) => HostAddress | null;
  /** Hands a group to a host, or a deputy; resolves once that is written. */
  readonly release: (group: GroupId, to: HostAddress | null) => Promise<void>;
  /** Takes over nothing any more. */
  readonly stopClaiming: () => void;
  readonly close: () => void;
}

function createRecordState(
  group: GroupId,
  promisedUntil: Instant,
): RecordState {
  return {
    group,
    stored: null,
    seenAt: -Infinity,
    promisedUntil,
    consentedTo: -Infinity,
    consents: new Set(),
    lease: null,
    gainedAt: -Infinity,
    askedAt: -Infinity,
    asks: new Map(),
    writtenAt: -Infinity,
    isWriting: false,
    nextDeputies: [],
    isReleasing: false,
  };
}

function listDeputies({deputies}: Ownership): readonly HostId[] {
  return deputies.map(({host}) => host);
}

function toAddress({host, address}: HostAddress): HostAddress {
  return {host, address};
}

/** Creates the controller; it begins to review records at once. */
export function createOwnershipController(
  cfg: OwnershipConfig,
): OwnershipController {
  const {self, incarnation, ports} = cfg;
  const {runtime, record, send, store} = ports;
  const records = createRecords<GroupId, RecordState>();
  const startedAt = runtime.now();
  let nextAsk = 1;
  let mayClaim = true;
  let clockOffset = runtime.wallNow() - runtime.now();

  /** The newest revision that stood when this process started. */
  let firstRevision = Infinity;

  const getState = (group: GroupId): RecordState => {
    const known = records.get(group);
    if (known !== undefined) {
      return known;
    }
    // What an earlier start of this process promised is not known here: it may
    // have been the last thing that it did.
    const created = createRecordState(
      group,
      startedAt + PROMISE_MS + DRIFT_MARGIN_MS,
    );
    records.put(group, created);
    return created;
  };

  const isMine = (ownership: Ownership): boolean =>
    ownership.owner.host === self.host && ownership.incarnation === incarnation;

  /** Notices that the process was suspended: its promises may have run out. */
  const checkSuspended = (): void => {
    const offset = runtime.wallNow() - runtime.now();
    const changeMs = offset - clockOffset;
    clockOffset = offset;
    if (Math.abs(changeMs) < SUSPENDED_MS) {
      return;
    }
    for (const {group, lease} of records.list()) {
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

  const isValid = (group: GroupId): boolean => {
    checkSuspended();
    const lease = records.get(group)?.lease ?? null;
    return lease !== null && isLeaseValid(lease, runtime.now());
  };

  const setStored = (group: GroupId, stored: StoredOwnership): void => {
    const state = getState(group);
    const known = state.stored?.revision ?? -1;
    if (stored.revision <= known) {
      return;
    }
    const before = state.stored?.ownership ?? null;
    records.update(group, {
      stored,
      seenAt: runtime.now(),
      consents: new Set(),
    });
    const {ownership} = stored;
    if (before?.generation !== ownership.generation) {
      record('info', 'owner_changed', {
        group,
        owner: ownership.owner.host,
        generation: ownership.generation,
        before: before?.owner.host ?? null,
        revision: stored.revision,
      });
    }
    if (state.lease !== null && !isMine(ownership)) {
      lose(group, 'another host owns the group');
    }
    cfg.onOwner(ownership);
  };

  const lose = (group: GroupId, reason: string): void => {
    records.update(group, {lease: null});
    record('warn', 'ownership_lost', {group, reason});
    cfg.onLost(group);
  };

  /** Tells hosts how a group's record stands. */
  const share = (group: GroupId, hosts: Iterable<HostId>): void => {
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
   * Tells all hosts of a new owner: they connect to it anyway, and learn of it
   * from the store only once in a while.
   */
  const announce = (group: GroupId): void =>
    share(
      group,
      cfg.readHosts().map(({host}) => host),
    );

  const listOwnerships = (): readonly Ownership[] =>
    records
      .list()
      .map(({stored}) => stored?.ownership)
      .filter(ownership => ownership !== undefined);

  const readOwned = (): readonly GroupId[] =>
    records
      .list()
      .filter(({lease}) => lease !== null)
      .map(({group}) => group);

  const listReachable = (): readonly HostEntry[] =>
    cfg.readHosts().filter(({host}) => cfg.isReachable(host));

  /** Orders all hosts for a group, at the cost of a hash of each. */
  const rankHosts = (group: GroupId): readonly HostId[] =>
    orderHosts(group, cfg.readHosts(), listOwnerships()).map(({host}) => host);

  const pickDeputies = (group: GroupId): readonly HostAddress[] =>
    chooseDeputies(group, self, listReachable(), listOwnerships()).map(
      toAddress,
    );

  /** Writes a record and takes the result into account. */
  const write = async (
    ownership: Ownership,
    base: StoredOwnership | null,
  ): Promise<WriteResult> => {
    const {group} = ownership;
    const sentAt = runtime.now();
    records.update(group, {isWriting: true, writtenAt: sentAt});
    const result = await store.write(ownership, base?.revision ?? null);
    records.update(group, {isWriting: false});
    if (result.type === 'written') {
      setStored(group, {ownership, revision: result.revision});
    }
    if (result.type === 'conflict' && result.standing !== null) {
      setStored(group, result.standing);
    }
    if (result.type === 'unknown') {
      await resolveDoubt(group);
    }
    return result;
  };

  /** Reads a record after a write whose answer is missing. */
  const resolveDoubt = async (group: GroupId): Promise<void> => {
    const standing = await store.read(group);
    if (standing !== null && standing !== undefined) {
      setStored(group, standing);
    }
  };

  const claim = async (group: GroupId): Promise<void> => {
    const state = getState(group);
    const base = state.stored;
    const deputies = pickDeputies(group);
    const ownership: Ownership = {
      group,
      owner: toAddress(self),
      incarnation,
      generation: (base?.revision ?? 0) + 1,
      deputies,
      renewals: 0,
    };
    const sentAt = runtime.now();
    const result = await write(ownership, base);
    record('info', 'ownership_claimed', {
      group,
      outcome: result.type,
      generation: ownership.generation,
      deputies: deputies.map(({host}) => host).join(),
      detail: 'detail' in result ? result.detail : null,
    });
    const standing = getState(group).stored?.ownership;
    if (standing === undefined || !isMine(standing)) {
      return;
    }
    begin(group, standing, sentAt);
  };

  /** Begins to act as the owner. */
  const begin = (
    group: GroupId,
    ownership: Ownership,
    renewedAt: Instant,
  ): void => {
    records.update(group, {
      askedAt: -Infinity,
      gainedAt: runtime.now(),
      lease: {
        renewedAt,
        grants: new Map(),
        deputySets: [listDeputies(ownership)],
      },
    });
    announce(group);
    cfg.onGained(group);
  };

  /** Returns the deputies that the record should name now. */
  const findDeputies = ({
    group,
    stored,
  }: RecordState): readonly HostAddress[] => {
    const {deputies} = stored!.ownership;
    const picked = pickDeputies(group);
    const isKept = deputies.every(({host}) => cfg.isReachable(host));
    return isKept && deputies.length >= picked.length ? deputies : picked;
  };

  /**
   * Renews the record. New deputies are asked for their promises first: from the
   * moment of the write on the lease rests on both sets.
   */
  const renew = async (state: RecordState, now: Instant): Promise<void> => {
    const {group, stored, lease} = state;
    const before = stored!.ownership;
    const deputies = findDeputies(state);
    const hosts = deputies.map(({host}) => host);
    const promisedAt = computePromiseQuorumTime({
      ...lease!,
      deputySets: [hosts],
    });
    const isAsked = hosts.join() === state.nextDeputies.join();
    const isPromised = now - promisedAt < STALE_PROMISE_MS;
    if (!isPromised && !isAsked && isLeaseValid(lease!, now)) {
      records.update(group, {nextDeputies: hosts, writtenAt: now});
      askDeputies(getState(group), now);
      return;
    }
    const deputySets = [listDeputies(before), hosts];
    records.update(group, {lease: {...lease!, deputySets}, nextDeputies: []});
    const sentAt = runtime.now();
    const ownership = {...before, deputies, renewals: before.renewals + 1};
    const result = await write(ownership, stored);
    const current = getState(group);
    const standing = current.stored?.ownership;
    if (current.lease === null || standing === undefined) {
      return;
    }
    if (result.type !== 'unknown') {
      records.update(group, {
        lease: {
          ...current.lease,
          renewedAt:
            result.type === 'written' ? sentAt : current.lease.renewedAt,
          deputySets: [listDeputies(standing)],
        },
      });
    }
    if (result.type === 'written') {
      // Deputies consent only to the record as it stands.
      share(group, lease!.deputySets.flat().concat(hosts));
      return;
    }
    record('warn', 'ownership_not_renewed', {
      group,
      outcome: result.type,
      detail: 'detail' in result ? result.detail : null,
      generation: standing.generation,
    });
  };

  const askDeputies = (state: RecordState, now: Instant): void => {
    const {group, stored, lease} = state;
    const asks = new Map(
      [...state.asks].filter(([, {sentAt}]) => now - sentAt < PROMISE_MS),
    );
    const asked = [...lease!.deputySets.flat(), ...state.nextDeputies];
    for (const host of new Set(asked)) {
      const ask = nextAsk++;
      asks.set(ask, {host, sentAt: now});
      send(host, {
        type: 'lease_ask',
        group,
        generation: stored!.ownership.generation,
        revision: stored!.revision,
        ask,
      });
    }
    records.update(group, {asks, askedAt: now});
  };

  const reviewOwned = (state: RecordState, now: Instant): void => {
    const {group, stored, lease, writtenAt, isWriting, isReleasing} = state;
    if (now - state.askedAt >= ASK_INTERVAL_MS) {
      askDeputies(state, now);
    }
    const isStale = now - computePromiseQuorumTime(lease!) >= STALE_PROMISE_MS;
    const isShort = stored!.ownership.deputies.some(
      ({host}) => !cfg.isReachable(host),
    );
    const isDue = now - lease!.renewedAt >= RENEW_INTERVAL_MS;
    const isPaced = now - writtenAt >= WRITE_INTERVAL_MS;
    const isWanted = isStale || isDue || isShort;
    if (isWanted && isPaced && !isWriting && !isReleasing) {
      void renew(getState(group), now);
    }
  };

  /** Returns this host's place among those that may take a group over. */
  const findRank = (group: GroupId, {deputies}: Ownership): number => {
    const place = deputies.findIndex(({host}) => host === self.host);
    if (place >= 0) {
      return place;
    }
    const own = rankHosts(group).indexOf(self.host);
    return deputies.length + Math.max(0, own);
  };

  /** Takes a group over once that is allowed, or asks for consent to it. */
  const reviewForeign = (state: RecordState, now: Instant): void => {
    const {group, stored, seenAt, promisedUntil} = state;
    if (stored === null) {
      if (now >= findCreationAt(group)) {
        void claim(group);
      }
      return;
    }
    const {owner} = stored.ownership;
    if (owner.host === self.host) {
      // An earlier start of this process, which is over, or a handover to it.
      void claim(group);
      return;
    }
    const isDeputy = listDeputies(stored.ownership).includes(self.host);
    const isSuspect = isDeputy || !cfg.isReachable(owner.host);
    const first = {seenAt, promisedUntil, rank: 0};
    if (!isSuspect && now < computeAbandonedTime(first)) {
      // Ranking costs a hash of every host: none is due while the owner lives.
      return;
    }
    const watched = {...first, rank: findRank(group, stored.ownership)};
    if (now >= computeAbandonedTime(watched)) {
      void claim(group);
      return;
    }
    if (!isSuspect || now < computeTakeoverTime(watched)) {
      return;
    }
    if (!claimWithConsents(group)) {
      askForConsent(group, stored);
    }
  };

  /** Takes a group over if enough deputies consent to it. */
  const claimWithConsents = (group: GroupId): boolean => {
    const {stored, consents, lease, isWriting} = getState(group);
    const needed = countConsentsNeeded(stored?.ownership.deputies.length ?? 0);
    const isFree = lease === null && !isWriting && mayClaim;
    if (!isFree || consents.size < needed) {
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

  /** Returns when this host may create a record that does not exist. */
  const findCreationAt = (group: GroupId): Instant => {
    if (!cfg.isListComplete()) {
      return Infinity;
    }
    const assigned = assignGroups(cfg.readGroups(), cfg.readHosts()).get(group);
    const place = rankHosts(group).indexOf(self.host);
    const rank = assigned === self.host ? 0 : Math.max(0, place) + 1;
    return startedAt + BOOT_WAIT_MS + rank * CREATE_STAGGER_MS;
  };

  const review = (): void => {
    checkSuspended();
    const now = runtime.now();
    const isServing = mayClaim && cfg.mayServe();
    for (const group of cfg.readGroups()) {
      const state = getState(group);
      if (state.lease !== null) {
        reviewOwned(state, now);
        continue;
      }
      const isPaced = now - state.writtenAt >= WRITE_INTERVAL_MS;
      const isFree = isServing && !state.isWriting && isPaced;
      if (isFree) {
        reviewForeign(state, now);
      }
    }
  };

  let unregister: Unregister = () => undefined;
  const arm = (): void => {
    unregister = runtime.at(runtime.now() + REVIEW_INTERVAL_MS, () => {
      review();
      arm();
    });
  };
  arm();

  return {
    noteFirstList: stored => {
      firstRevision = Math.max(0, ...stored.map(({revision}) => revision));
    },
    noteStored: stored => setStored(stored.ownership.group, stored),
    handleAsk: (host, msg) => {
      const {group, generation, ask} = msg;
      const state = getState(group);
      const known = state.stored?.ownership ?? null;
      const isCurrent = known === null || generation >= known.generation;
      // What an earlier start of this process consented to is not known here:
      // only a record that changed since is beyond that.
      const isNew = msg.revision > Math.max(state.consentedTo, firstRevision);
      const isGranted = isCurrent && isNew && state.lease === null;
      if (isGranted) {
        const promisedUntil = runtime.now() + PROMISE_MS + DRIFT_MARGIN_MS;
        records.update(group, {promisedUntil});
      }
      send(host, {type: 'lease_grant', group, generation, ask, isGranted});
    },
    handleGrant: (host, msg) => {
      const state = getState(msg.group);
      const asked = state.asks.get(msg.ask);
      const {lease, stored} = state;
      const isValidGrant =
        lease !== null &&
        asked?.host === host &&
        msg.isGranted &&
        msg.generation === stored?.ownership.generation;
      if (isValidGrant) {
        const grants = new Map(lease.grants).set(host, asked.sentAt);
        records.update(msg.group, {lease: {...lease, grants}});
      }
    },
    handleConsentAsk: (host, {group, revision}) => {
      const state = getState(group);
      const isKnown = state.stored?.revision === revision;
      const isFree = runtime.now() >= state.promisedUntil;
      if (!isKnown || !isFree || state.lease !== null) {
        return;
      }
      records.update(group, {consentedTo: revision});
      send(host, {type: 'consent', group, revision});
    },
    handleConsent: (host, {group, revision}) => {
      const {stored, consents} = getState(group);
      const isDeputy =
        stored?.revision === revision &&
        listDeputies(stored.ownership).includes(host);
      if (isDeputy) {
        records.update(group, {consents: new Set(consents).add(host)});
        claimWithConsents(group);
      }
    },
    isValid,
    readGeneration: group => getState(group).stored?.ownership.generation ?? 0,
    readStored: group => getState(group).stored,
    listOwnerships,
    readOwned,
    isInvolved: () =>
      listOwnerships().some(ownership =>
        listMembers(ownership).some(({host}) => host === self.host),
      ),
    listCandidates: () =>
      readOwned().flatMap(group => rankHosts(group).slice(0, CANDIDATE_COUNT)),
    findBetterOwner: group => {
      const {lease, gainedAt, isWriting, isReleasing} = getState(group);
      const now = runtime.now();
      // A move needs the store: without it, the group would stay without owner.
      const isSettled =
        lease !== null &&
        now - gainedAt >= SETTLE_MS &&
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
      const next = to ?? deputy;
      lose(group, 'handed over');
      records.update(group, {isReleasing: false});
      if (stored === null || next === undefined) {
        return;
      }
      const ownership: Ownership = {
        ...stored.ownership,
        owner: next,
        incarnation: '',
        generation: stored.revision + 1,
        deputies: stored.ownership.deputies.filter(
          ({host}) => host !== next.host,
        ),
      };
      const result = await write(ownership, stored);
      record('info', 'ownership_released', {
        group,
        to: next.host,
        outcome: result.type,
        generation: ownership.generation,
      });
      if (result.type === 'written') {
        announce(group);
      }
    },
    stopClaiming: () => {
      mayClaim = false;
    },
    close: () => unregister(),
  };
}
