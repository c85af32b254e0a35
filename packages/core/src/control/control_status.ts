/** Queries on the control slices for other controllers. */

import {
  EVIDENCE_LAPSE_MS,
  EVIDENCE_MS,
  PAUSE_MS,
  RESUME_WAIT_MS,
} from './constants.js';
import {createEndpointView} from './state.js';
import type {EndpointView} from './state.js';
import type {Blackboard} from '../engine/blackboard.js';
import {findWriteOwner} from '../model/group.js';
import type {GroupEndpoint, GroupObject} from '../model/group.js';
import type {EndpointId, GroupId, HostId, Instant} from '../model/ids.js';
import type {EndpointReport} from '../model/message.js';

/** Returns whether the process was paused: its last `sync` is long overdue. */
export function hasPaused(board: Blackboard, now: Instant): boolean {
  const {lastSyncAt} = board.relay;
  return lastSyncAt !== -Infinity && now - lastSyncAt >= PAUSE_MS;
}

/**
 * Returns whether the view may date from before a pause of the process. The
 * wait for a newer view is bounded, since none comes during a platform outage.
 */
export function isViewFromBeforePause(
  board: Blackboard,
  now: Instant,
): boolean {
  const {resumedAt} = board.relay;
  if (hasPaused(board, now)) {
    return true;
  }
  return (
    resumedAt !== null &&
    now < resumedAt + RESUME_WAIT_MS &&
    (board.view.freshAt ?? -Infinity) < resumedAt
  );
}

/** Returns the log fields of the view: its revision and its age in ms. */
export function describeView(
  board: Blackboard,
  now: Instant,
): Readonly<Record<'view_revision' | 'view_age_ms', number | null>> {
  const {revision, freshAt} = board.view;
  return {
    view_revision: revision,
    view_age_ms: freshAt === null ? null : Math.round(now - freshAt),
  };
}

/** Returns the object of a group, or null when it is unknown. */
export function readGroup(
  board: Blackboard,
  group: GroupId,
): GroupObject | null {
  return board.view.groups.get(group)?.value ?? null;
}

/** Returns what this host knows of an endpoint. */
export function readEndpointView(
  board: Blackboard,
  endpoint: EndpointId,
): EndpointView {
  return board.endpoints.views.get(endpoint) ?? createEndpointView();
}

/** Returns whether this host owns the pool of an endpoint. */
export function isOwnerOf(board: Blackboard, endpoint: EndpointId): boolean {
  return board.endpoints.owned.has(endpoint);
}

/** Returns whether this host is the registered owner of a group's primary. */
export function isWriteOwner(board: Blackboard, group: GroupObject): boolean {
  return findWriteOwner(group) === board.self.host;
}

/**
 * Returns the instant at which evidence for a group expires, or null without a
 * view: EVIDENCE_MS after the view was last complete, or later when promises
 * of all promoters extend it.
 */
export function readEvidenceExpiry(
  board: Blackboard,
  group: GroupId,
): Instant | null {
  const {freshAt} = board.view;
  const promised = board.failovers.promisedUntil.get(group) ?? null;
  if (freshAt === null) {
    return null;
  }
  return Math.max(freshAt + EVIDENCE_MS, promised ?? -Infinity);
}

/**
 * Returns whether no update sent before a restart of this host can still change
 * a group unnoticed. A write owner changes its own primary without a fence, so
 * such an update could replace the primary while this process acknowledges
 * writes. Once the object has a newer version, the platform refuses it.
 * Otherwise it is applied, if at all, within EVIDENCE_LAPSE_MS of the restart,
 * and any view from after that shows it.
 */
function areEarlierUpdatesSettled(board: Blackboard, group: GroupId): boolean {
  const firstVersion = board.failovers.firstVersions.get(group);
  const version = board.view.groups.get(group)?.version ?? 0;
  const hasNewerVersion = firstVersion === undefined || version > firstVersion;
  const settledBy = board.self.startedAt + EVIDENCE_LAPSE_MS;
  return hasNewerVersion || (board.view.freshAt ?? -Infinity) >= settledBy;
}

/**
 * Returns whether this host may acknowledge a write of a term now: it is the
 * registered owner of the term's primary, the term is not fenced, and the
 * evidence of both has not expired.
 */
export function hasWriteEvidence(
  board: Blackboard,
  group: GroupId,
  term: number,
  now: Instant,
): boolean {
  const object = readGroup(board, group);
  if (object === null || object.term !== term) {
    return false;
  }
  if (!isWriteOwner(board, object) || object.fence !== null) {
    return false;
  }
  if ((board.failovers.stoppedTerm.get(group) ?? 0) >= term) {
    return false;
  }
  if (!areEarlierUpdatesSettled(board, group)) {
    return false;
  }
  const expiry = readEvidenceExpiry(board, group);
  return expiry !== null && now < expiry;
}

/**
 * Returns whether this host may acknowledge a write that it started earlier.
 * After it handed its registration over within the term, it may do so until the
 * evidence from before the handover expires. Promises of the next write owner
 * not to change the primary extend that evidence.
 */
export function mayAcknowledge(
  board: Blackboard,
  group: GroupId,
  term: number,
  now: Instant,
): boolean {
  if (hasWriteEvidence(board, group, term, now)) {
    return true;
  }
  const object = readGroup(board, group);
  const writer = board.failovers.writers.get(group);
  if (object === null || object.term !== term || object.fence !== null) {
    return false;
  }
  if (writer === undefined || writer.term !== term || writer.isRegistered) {
    return false;
  }
  if ((board.failovers.stoppedTerm.get(group) ?? 0) >= term) {
    return false;
  }
  return (
    writer.evidenceAsOf !== null && now < writer.evidenceAsOf + EVIDENCE_MS
  );
}

/**
 * Returns the latest instant at which this host knows that a group's primary
 * had not been replaced: the time of its view, or of its last promise to the
 * write owner, which held evidence when it requested it.
 */
export function readPrimaryCurrentAsOf(
  board: Blackboard,
  group: GroupId,
): Instant | null {
  const {freshAt} = board.view;
  const given = board.failovers.givenPromises.get(group);
  const promisedAt =
    given === undefined ? -Infinity : given.until - EVIDENCE_LAPSE_MS;
  return freshAt === null ? null : Math.max(freshAt, promisedAt);
}

/** Returns whether a planned change holds back new writes of a group. */
export function isWriteHeld(
  board: Blackboard,
  group: GroupId,
  now: Instant,
): boolean {
  return now < (board.failovers.heldUntil.get(group) ?? -Infinity);
}

/** Returns this host's report of an endpoint, or null without a status. */
export function readReport(
  board: Blackboard,
  endpoint: EndpointId,
  now: Instant,
): EndpointReport | null {
  const view = readEndpointView(board, endpoint);
  if (view.status === null || view.statusAt === null) {
    return null;
  }
  return {
    endpoint,
    role: view.status.role,
    position: view.status.position,
    dataAgeMs:
      view.dataAsOf === null
        ? Number.MAX_SAFE_INTEGER
        : Math.max(0, now - view.dataAsOf),
    ageMs: Math.max(0, now - view.statusAt),
  };
}

/** An endpoint together with its group. */
export interface EndpointInGroup {
  readonly group: GroupObject;
  readonly endpoint: GroupEndpoint;
}

/** Returns an endpoint that this host owns, with its group, or null. */
export function readOwnedEndpoint(
  board: Blackboard,
  endpoint: EndpointId,
): EndpointInGroup | null {
  const groupId = board.endpoints.owned.get(endpoint);
  const group = groupId === undefined ? null : readGroup(board, groupId);
  const found = group?.endpoints.find(candidate => candidate.id === endpoint);
  return group === null || found === undefined
    ? null
    : {group, endpoint: found};
}

/** Returns a group's promoters, the registered owners in it, except one host. */
export function readPromoters(
  group: GroupObject,
  except: HostId,
): readonly HostId[] {
  const hosts = new Set(Object.values(group.owners));
  hosts.delete(except);
  return [...hosts].sort();
}
