/** Slices of the blackboard that the control controllers change. */

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

/** An object of the platform with the version it had. */
export interface Versioned<T> {
  readonly version: number;
  readonly revision: number;
  readonly value: T;
}

/** The platform's objects as last learned. */
export interface ViewSlice {
  readonly revision: number;
  /** The view was complete at this instant; null before the first read. */
  readonly freshAt: Instant | null;
  readonly groups: ImmutableMap<GroupId, Versioned<GroupObject>>;
  readonly tables: ImmutableMap<ServiceId, Versioned<TableObject>>;
  readonly hosts: ImmutableMap<HostId, Versioned<HostObject>>;
  /**
   * Hosts that count although their entries lapsed while the platform was
   * away, and the instant from which they are taken as gone.
   */
  readonly lapsed: ImmutableMap<HostId, Instant>;
  /** When the platform was last found to be back, or null. */
  readonly platformBackAt: Instant | null;
  /** Versions of deleted objects by key, kept for hosts that still have them. */
  readonly deleted: ImmutableMap<string, Versioned<null>>;
  /** When each table version came into force here. */
  readonly tablesInForceSince: ImmutableMap<ServiceId, Instant>;
}

/** A host that asks this one for changes. */
interface Follower {
  readonly lastAskedAt: Instant;
  readonly isDraining: boolean;
}

/** Reading the platform on behalf of other hosts, and asking them to. */
export interface RelaySlice {
  readonly nextAsk: number;
  /** Questions to relays that are not yet answered, by the time of sending. */
  readonly asks: ImmutableMap<number, Instant>;
  readonly lastAskedAt: Instant;
  /** Regular questions so far; relays are asked in turns. */
  readonly turns: number;
  /** When the process last went on after a pause, or null. */
  readonly resumedAt: Instant | null;
  readonly followers: ImmutableMap<HostId, Follower>;
  /** Since when reads of the platform fail, or null while they succeed. */
  readonly platformLostAt: Instant | null;
  /** A platform read is in progress until this instant, or null. */
  readonly readDeadline: Instant | null;
  /** The next platform read is due at this instant, or null when idle. */
  readonly nextReadAt: Instant | null;
}

/** Which hosts are reachable, by direct observation. */
export interface MembershipSlice {
  /** Hosts not to be chosen before the given instant. */
  readonly unreachableUntil: ImmutableMap<HostId, Instant>;
  readonly lastHeard: ImmutableMap<HostId, Instant>;
  /** Hosts that finish their work and take no more. */
  readonly draining: ImmutableMap<HostId, true>;
  /** Hosts that refused work for that reason, until their connection ends. */
  readonly stopping: ImmutableMap<HostId, true>;
}

/** A command that an endpoint was sent. */
export interface SentCommand {
  readonly term: number;
  /** No command of the same term is sent before this instant. */
  readonly retryAt: Instant;
}

/** What this host knows of one endpoint. */
export interface EndpointView {
  readonly status: EndpointStatus | null;
  /** Instant at which the status was true at the latest. */
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
  /** A probe is in progress until this instant, or null. */
  readonly probeDeadline: Instant | null;
  /** The next probe is due at this instant, or null. */
  readonly nextProbeAt: Instant | null;
  /** The last command that changed its role, or null. */
  readonly command: SentCommand | null;
}

/** Returns what is known of an endpoint never heard of. */
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

/** Endpoints by id, and those whose pools this host owns. */
export interface EndpointsSlice {
  readonly views: ImmutableMap<EndpointId, EndpointView>;
  readonly owned: ImmutableMap<EndpointId, GroupId>;
  /** Since when another host than the registered one is the better owner. */
  readonly betterSince: ImmutableMap<EndpointId, Instant>;
  /** The next attempt to register this host as owner. */
  readonly registerAt: ImmutableMap<EndpointId, Instant>;
}

/** Why a group object is being changed. */
export type UpdatePurpose =
  'register' | 'fence' | 'confirm' | 'promote' | 'cancel';

/** A conditional update whose end is not known yet. */
export interface PendingUpdate {
  readonly purpose: UpdatePurpose;
  readonly attempt: string;
  readonly baseVersion: number;
  readonly value: GroupObject;
  /** Set once an answer was lost: it may have taken effect, or still may. */
  readonly mayHaveLanded: boolean;
  /** Whether an answer is awaited; otherwise it is sent again at `deadline`. */
  readonly isInFlight: boolean;
  readonly deadline: Instant;
}

/** A promise not to promote a group. */
interface GivenPromise {
  readonly to: HostId;
  readonly until: Instant;
}

/** A round of questions for promises. */
interface PromiseRound {
  readonly ask: number;
  readonly sentAt: Instant;
  readonly waitingFor: readonly HostId[];
}

/** A promise of the next write owner to the one before it. */
interface SuccessorPromise {
  readonly from: HostId;
  /** When it was asked for. */
  readonly askedAt: Instant;
}

/** This host's standing as registered owner of a group's primary. */
export interface WriterState {
  readonly term: number;
  /** When a promoter first knew of it, or it began without any; or null. */
  readonly confirmedAt: Instant | null;
  /**
   * The registration was last known to stand at this instant, or, after a
   * handover, the term together with a promise of the next write owner.
   */
  readonly sureAsOf: Instant | null;
  /** The last promise of the write owner that followed this one, or null. */
  readonly successorPromise: SuccessorPromise | null;
  /** Whether the registration still stands in the view. */
  readonly isRegistered: boolean;
}

/** An answer to an inquiry. */
export interface InquiryAnswer {
  readonly reachesPrimary: boolean;
  readonly receivedAt: Instant;
  /** The last report that was new when it was sent. */
  readonly report: EndpointReport | null;
  /** The question that the report answers, or null before one came. */
  readonly reportAsk: number | null;
  readonly reportAt: Instant;
}

/** The first question after the last acknowledgement of a term. */
export interface FinalQuestion {
  readonly ask: number;
  readonly at: Instant;
}

/** Questions to other hosts about a suspected primary. */
export interface Inquiry {
  readonly ask: number;
  readonly term: number;
  readonly startedAt: Instant;
  /** When the primary was first suspected. */
  readonly suspectedAt: Instant;
  readonly asked: readonly HostId[];
  /** Null while somebody may still acknowledge in the term. */
  readonly final: FinalQuestion | null;
  readonly answers: ImmutableMap<HostId, InquiryAnswer>;
}

/** A question about a primary that waits for this host's own probes. */
export interface PendingSuspect {
  readonly host: HostId;
  readonly ask: number;
  readonly group: GroupId;
  readonly term: number;
  readonly receivedAt: Instant;
  /** Whether nothing was said of the primary yet. */
  readonly awaitsPrimary: boolean;
}

/** A fence that this host knows of, and since when. */
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
  /** The question to the next primary's owner, or null. */
  readonly catchUpAsk: number | null;
  /** Whom to tell the result: an operator here, or another host. */
  readonly askedBy:
    | {readonly type: 'operator'; readonly ask: number}
    | {readonly type: 'host'; readonly host: HostId; readonly ask: number};
}

/** Changes of primary in progress, and promises given and received. */
export interface FailoversSlice {
  readonly pending: ImmutableMap<GroupId, PendingUpdate>;
  /** The version at which this process first saw each group. */
  readonly firstVersions: ImmutableMap<GroupId, number>;
  /** Highest term in which this host acknowledges nothing more. */
  readonly stoppedTerm: ImmutableMap<GroupId, number>;
  /** Groups in which no new write starts before the given instant. */
  readonly heldUntil: ImmutableMap<GroupId, Instant>;
  readonly given: ImmutableMap<GroupId, GivenPromise>;
  /**
   * Until then an earlier write owner of the term may acknowledge, and this
   * host, as write owner, changes no primary at once.
   */
  readonly predecessorUntil: ImmutableMap<GroupId, Instant>;
  /** Evidence from promises lasts until this instant. */
  readonly promisedUntil: ImmutableMap<GroupId, Instant>;
  readonly rounds: ImmutableMap<GroupId, PromiseRound>;
  readonly writers: ImmutableMap<GroupId, WriterState>;
  readonly inquiries: ImmutableMap<GroupId, Inquiry>;
  readonly pendingSuspects: readonly PendingSuspect[];
  readonly fences: ImmutableMap<GroupId, SeenFence>;
  readonly planned: ImmutableMap<GroupId, PlannedChange>;
}

/** The slices that the control controllers change. */
export interface ControlSlices {
  readonly view: ViewSlice;
  readonly relay: RelaySlice;
  readonly membership: MembershipSlice;
  readonly endpoints: EndpointsSlice;
  readonly failovers: FailoversSlice;
}

/** Returns the slices of a host that knows nothing yet. */
export function createControlSlices(): ControlSlices {
  return {
    view: {
      revision: 0,
      freshAt: null,
      groups: ImmutableMap(),
      tables: ImmutableMap(),
      hosts: ImmutableMap(),
      lapsed: ImmutableMap(),
      platformBackAt: null,
      deleted: ImmutableMap(),
      tablesInForceSince: ImmutableMap(),
    },
    relay: {
      nextAsk: 1,
      asks: ImmutableMap(),
      lastAskedAt: -Infinity,
      turns: 0,
      resumedAt: null,
      followers: ImmutableMap(),
      platformLostAt: null,
      readDeadline: null,
      nextReadAt: null,
    },
    membership: {
      unreachableUntil: ImmutableMap(),
      lastHeard: ImmutableMap(),
      draining: ImmutableMap(),
      stopping: ImmutableMap(),
    },
    endpoints: {
      views: ImmutableMap(),
      owned: ImmutableMap(),
      betterSince: ImmutableMap(),
      registerAt: ImmutableMap(),
    },
    failovers: {
      pending: ImmutableMap(),
      firstVersions: ImmutableMap(),
      stoppedTerm: ImmutableMap(),
      heldUntil: ImmutableMap(),
      given: ImmutableMap(),
      predecessorUntil: ImmutableMap(),
      promisedUntil: ImmutableMap(),
      rounds: ImmutableMap(),
      writers: ImmutableMap(),
      inquiries: ImmutableMap(),
      pendingSuspects: [],
      fences: ImmutableMap(),
      planned: ImmutableMap(),
    },
  };
}
