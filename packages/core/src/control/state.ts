/** Slices of the blackboard that the control features change. */

import {Map as ImmutableMap} from 'immutable';
import type {ConnFault, EndpointStatus} from '../engine/event.js';
import type {GroupObject} from '../model/group.js';
import type {HostObject} from '../model/host.js';
import type {
  EndpointId,
  GroupId,
  HostId,
  Instant,
  ServiceId,
} from '../model/ids.js';
import type {EndpointReport} from '../model/message.js';
import type {TableObject} from '../model/table.js';

/** An object of the platform with its version and revision. */
export interface Versioned<T> {
  readonly version: number;
  readonly revision: number;
  readonly value: T;
}

/** This host's latest copy of the platform's objects. */
export interface ViewSlice {
  readonly revision: number;
  /** When the view was last complete, or null before the first read. */
  readonly freshAt: Instant | null;
  readonly groups: ImmutableMap<GroupId, Versioned<GroupObject>>;
  readonly tables: ImmutableMap<ServiceId, Versioned<TableObject>>;
  readonly hosts: ImmutableMap<HostId, Versioned<HostObject>>;
  /**
   * Hosts that stay in `hosts` although their entries expired during an outage
   * of the platform, with the instant at which they are removed.
   */
  readonly lapsed: ImmutableMap<HostId, Instant>;
  /** When the end of the last platform outage was noticed, or null. */
  readonly platformRegainedAt: Instant | null;
  /** Deleted objects by key, kept for hosts that still have them. */
  readonly deleted: ImmutableMap<string, Versioned<null>>;
  /** When each table version came into force here. */
  readonly tablesInForceSince: ImmutableMap<ServiceId, Instant>;
}

/** A host that syncs from this one. */
interface RelayClient {
  readonly lastSyncAt: Instant;
  readonly isDraining: boolean;
}

/** State of syncing from relays, and of serving other hosts as a relay. */
export interface RelaySlice {
  /** The `ask` (request id) of the next message that needs an answer. */
  readonly nextAsk: number;
  /** Send times of unanswered `sync` requests, by `ask`. */
  readonly pendingSyncs: ImmutableMap<number, Instant>;
  readonly lastSyncAt: Instant;
  /** Number of regular syncs so far, which alternate between relays. */
  readonly syncRounds: number;
  /** When the process last resumed after a pause, or null. */
  readonly resumedAt: Instant | null;
  readonly clients: ImmutableMap<HostId, RelayClient>;
  /** When reads of the platform started to fail, or null while they succeed. */
  readonly platformLostAt: Instant | null;
  /** Deadline of the platform read in progress, or null. */
  readonly readDeadline: Instant | null;
  /** When the next platform read is due, or null when idle. */
  readonly nextReadAt: Instant | null;
}

/** Which hosts are reachable, by direct observation. */
export interface MembershipSlice {
  /** Hosts that count as unreachable until the given instant. */
  readonly unreachableUntil: ImmutableMap<HostId, Instant>;
  readonly lastContactAt: ImmutableMap<HostId, Instant>;
  /** Hosts that a relay reported as draining: they take no new work. */
  readonly draining: ImmutableMap<HostId, true>;
  /** Hosts that refused work as they stop, until their connection ends. */
  readonly stopping: ImmutableMap<HostId, true>;
}

/** A command that was sent to an endpoint. */
export interface SentCommand {
  readonly term: number;
  /** No command of the same term is sent before this instant. */
  readonly retryAt: Instant;
}

/** What this host knows of one endpoint. */
export interface EndpointView {
  readonly status: EndpointStatus | null;
  /** When the status was requested: it is at least as new as this instant. */
  readonly statusAt: Instant | null;
  /** Instant up to which the data of the endpoint are complete. */
  readonly dataAsOf: Instant | null;
  readonly lastFault: ConnFault | null;
  /** When the last probe ended, whatever its result, or null. */
  readonly probedAt: Instant | null;
  /** First failure since the last success, or null. */
  readonly failingSince: Instant | null;
  /** Refused connections in a row. */
  readonly refusals: number;
  /** Deadline of the probe in progress, or null. */
  readonly probeDeadline: Instant | null;
  /** When the next probe is due, or null. */
  readonly nextProbeAt: Instant | null;
  /** The last command to change its role, or null. */
  readonly command: SentCommand | null;
}

/** Returns the view of an endpoint that was never observed. */
export function createEndpointView(): EndpointView {
  return {
    status: null,
    statusAt: null,
    dataAsOf: null,
    lastFault: null,
    probedAt: null,
    failingSince: null,
    refusals: 0,
    probeDeadline: null,
    nextProbeAt: null,
    command: null,
  };
}

/** Views of endpoints, and the endpoints whose pools this host owns. */
export interface EndpointsSlice {
  readonly views: ImmutableMap<EndpointId, EndpointView>;
  readonly owned: ImmutableMap<EndpointId, GroupId>;
  /** When this host became a better owner than the registered one. */
  readonly betterSince: ImmutableMap<EndpointId, Instant>;
  /** Earliest instant of the next attempt to register an owner. */
  readonly nextRegistrationAt: ImmutableMap<EndpointId, Instant>;
}

/** Purpose of an update of a group object. */
export type UpdatePurpose =
  'register' | 'fence' | 'confirm' | 'promote' | 'cancel';

/** A conditional update whose result is not known yet. */
export interface PendingUpdate {
  readonly purpose: UpdatePurpose;
  readonly attempt: string;
  readonly baseVersion: number;
  readonly value: GroupObject;
  /** Set once an answer was lost: the update may be applied, now or later. */
  readonly mayBeApplied: boolean;
  /** Whether an answer is awaited. If not, it may be resent at `deadline`. */
  readonly isInFlight: boolean;
  readonly deadline: Instant;
}

/** A promise of this host not to promote an endpoint of a group. */
interface GivenPromise {
  readonly to: HostId;
  readonly until: Instant;
}

/** A round of promise requests. */
interface PromiseRound {
  readonly ask: number;
  readonly sentAt: Instant;
  readonly waitingFor: readonly HostId[];
}

/** A promise of the next write owner to its predecessor. */
interface SuccessorPromise {
  readonly from: HostId;
  /** When the promise was requested. */
  readonly askedAt: Instant;
}

/** State of this host as registered owner of a group's primary. */
export interface WriterState {
  readonly term: number;
  /**
   * When a promoter first confirmed this write owner, or when the registration
   * started if there were no promoters; null before.
   */
  readonly confirmedAt: Instant | null;
  /**
   * Instant from which evidence counts: the registration was valid then. After
   * a handover, it is the last instant at which the term was known to be current
   * and a promise of the next write owner was in force.
   */
  readonly evidenceAsOf: Instant | null;
  /** The last promise of the next write owner, or null. */
  readonly successorPromise: SuccessorPromise | null;
  /** Whether the view still shows the registration. */
  readonly isRegistered: boolean;
}

/** An answer to an inquiry. */
export interface InquiryAnswer {
  readonly reachesPrimary: boolean;
  readonly receivedAt: Instant;
  /** The last report that was based on a probe made for the query, or null. */
  readonly report: EndpointReport | null;
  /** The `ask` of the query that the report answers, or null without one. */
  readonly reportAsk: number | null;
  readonly reportAt: Instant;
}

/** The first `suspect` query after the last acknowledgement of a term. */
export interface FinalReportRequest {
  readonly ask: number;
  readonly at: Instant;
}

/** Queries to other hosts about a suspected primary. */
export interface Inquiry {
  readonly ask: number;
  readonly term: number;
  readonly startedAt: Instant;
  /** When the primary was first suspected. */
  readonly suspectedAt: Instant;
  readonly asked: readonly HostId[];
  /** Null while a host may still acknowledge writes in the term. */
  readonly final: FinalReportRequest | null;
  readonly answers: ImmutableMap<HostId, InquiryAnswer>;
}

/** A `suspect` query that waits for this host's own probes. */
export interface PendingSuspectQuery {
  readonly host: HostId;
  readonly ask: number;
  readonly group: GroupId;
  readonly term: number;
  readonly receivedAt: Instant;
  /** Whether the state of the primary is still to be answered. */
  readonly awaitsPrimaryProbe: boolean;
}

/** A fence and the instant at which this host first saw it. */
interface SeenFence {
  readonly attempt: string;
  readonly seenAt: Instant;
}

/** A planned change of primary in progress at the write owner. */
export interface PlannedChange {
  readonly to: EndpointId;
  readonly term: number;
  readonly startedAt: Instant;
  readonly deadline: Instant;
  readonly phase: 'draining' | 'catching_up' | 'updating';
  /** When writes stopped, or null while they drain. */
  readonly stoppedAt: Instant | null;
  /** The last index of the term, once writes have stopped. */
  readonly endIndex: number | null;
  /** The `ask` of the request to the next primary's owner, or null. */
  readonly catchUpAsk: number | null;
  /** Who gets the result: an operator of this host, or another host. */
  readonly requestedBy:
    | {readonly type: 'operator'; readonly ask: number}
    | {readonly type: 'host'; readonly host: HostId; readonly ask: number};
}

/** State of changes of primary and of promises. */
export interface FailoversSlice {
  readonly pendingUpdates: ImmutableMap<GroupId, PendingUpdate>;
  /** The version at which this process first saw each group. */
  readonly firstVersions: ImmutableMap<GroupId, number>;
  /** Highest term in which this host has stopped acknowledging writes. */
  readonly stoppedTerm: ImmutableMap<GroupId, number>;
  /** Groups in which no new write starts before the given instant. */
  readonly heldUntil: ImmutableMap<GroupId, Instant>;
  readonly givenPromises: ImmutableMap<GroupId, GivenPromise>;
  /**
   * End of this host's promises as write owner to an earlier write owner of the
   * term. Until then the earlier write owner may acknowledge writes, and this
   * host does not change the primary without a fence.
   */
  readonly predecessorPromiseUntil: ImmutableMap<GroupId, Instant>;
  /** Evidence from promises lasts until this instant. */
  readonly promisedUntil: ImmutableMap<GroupId, Instant>;
  readonly promiseRounds: ImmutableMap<GroupId, PromiseRound>;
  readonly writers: ImmutableMap<GroupId, WriterState>;
  readonly inquiries: ImmutableMap<GroupId, Inquiry>;
  readonly pendingSuspectQueries: readonly PendingSuspectQuery[];
  readonly fences: ImmutableMap<GroupId, SeenFence>;
  readonly planned: ImmutableMap<GroupId, PlannedChange>;
}

/** The slices that the control features change. */
export interface ControlSlices {
  readonly view: ViewSlice;
  readonly relay: RelaySlice;
  readonly membership: MembershipSlice;
  readonly endpoints: EndpointsSlice;
  readonly failovers: FailoversSlice;
}

/** Returns the initial slices of a host. */
export function createControlSlices(): ControlSlices {
  return {
    view: {
      revision: 0,
      freshAt: null,
      groups: ImmutableMap(),
      tables: ImmutableMap(),
      hosts: ImmutableMap(),
      lapsed: ImmutableMap(),
      platformRegainedAt: null,
      deleted: ImmutableMap(),
      tablesInForceSince: ImmutableMap(),
    },
    relay: {
      nextAsk: 1,
      pendingSyncs: ImmutableMap(),
      lastSyncAt: -Infinity,
      syncRounds: 0,
      resumedAt: null,
      clients: ImmutableMap(),
      platformLostAt: null,
      readDeadline: null,
      nextReadAt: null,
    },
    membership: {
      unreachableUntil: ImmutableMap(),
      lastContactAt: ImmutableMap(),
      draining: ImmutableMap(),
      stopping: ImmutableMap(),
    },
    endpoints: {
      views: ImmutableMap(),
      owned: ImmutableMap(),
      betterSince: ImmutableMap(),
      nextRegistrationAt: ImmutableMap(),
    },
    failovers: {
      pendingUpdates: ImmutableMap(),
      firstVersions: ImmutableMap(),
      stoppedTerm: ImmutableMap(),
      heldUntil: ImmutableMap(),
      givenPromises: ImmutableMap(),
      predecessorPromiseUntil: ImmutableMap(),
      promisedUntil: ImmutableMap(),
      promiseRounds: ImmutableMap(),
      writers: ImmutableMap(),
      inquiries: ImmutableMap(),
      pendingSuspectQueries: [],
      fences: ImmutableMap(),
      planned: ImmutableMap(),
    },
  };
}
