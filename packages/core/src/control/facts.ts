/** Questions that other controllers ask of the control slices. */

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

/** Tells whether the process was paused: it has not asked its relays in time. */
export function hasPaused(board: Blackboard, now: Instant): boolean {
  const {lastAskedAt} = board.relay;
  return lastAskedAt !== -Infinity && now - lastAskedAt >= PAUSE_MS;
}

/**
 * Tells whether what this host knows may be from before a pause of its process.
 * During an outage of the platform no view can be younger; the wait is bounded.
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

/** Returns what the log says of the view: its revision, and its age in ms. */
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

/** Returns the object of a group, or null when it is not known. */
export function readGroup(
  board: Blackboard,
  group: GroupId,
): GroupObject | null {
  return board.view.groups.get(group)?.value ?? null;
}

/** Returns what is known of an endpoint. */
export function readEndpointView(
  board: Blackboard,
  endpoint: EndpointId,
): EndpointView {
  return board.endpoints.views.get(endpoint) ?? createEndpointView();
}

/** Tells whether this host owns the pool of an endpoint. */
export function isOwnerOf(board: Blackboard, endpoint: EndpointId): boolean {
  return board.endpoints.owned.has(endpoint);
}

/** Tells whether this host is the registered owner of a group's primary. */
export function isWriteOwner(board: Blackboard, group: GroupObject): boolean {
  return findWriteOwner(group) === board.self.host;
}

/**
 * Returns the instant at which evidence for a group expires: EVIDENCE_MS after
 * the view was last complete, or later by the promises of all promoters.
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
 * Tells whether no update that an earlier start of this host sent can still
 * change a group unseen. A write owner changes its own primary without a fence,
 * so such an update would replace a primary that this start believes in. It is
 * refused once the object has moved on. Else it has come by the lapse of
 * evidence, and a view from after that shows it.
 */
function isPastEarlierStart(board: Blackboard, group: GroupId): boolean {
  const first = board.failovers.firstVersions.get(group);
  const version = board.view.groups.get(group)?.version ?? 0;
  const hasMovedOn = first === undefined || version > first;
  const landedBy = board.self.startedAt + EVIDENCE_LAPSE_MS;
  return hasMovedOn || (board.view.freshAt ?? -Infinity) >= landedBy;
}

/**
 * Tells whether this host may acknowledge a write of a term now: it is the
 * registered owner of the term's primary, no fence stands against the term,
 * and the evidence of both has not expired.
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
  if (!isPastEarlierStart(board, group)) {
    return false;
  }
  const expiry = readEvidenceExpiry(board, group);
  return expiry !== null && now < expiry;
}

/**
 * Tells whether this host may acknowledge a write that it started earlier. A
 * host that handed its registration over within a term still may, as long as
 * the evidence from before the handover lasts, or promises of the next write
 * owner extend it: its successor changes no primary before that.
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
  return writer.sureAsOf !== null && now < writer.sureAsOf + EVIDENCE_MS;
}

/**
 * Returns the instant as of which this host knows that a group's primary had
 * not been replaced: by its view, or because the write owner, whose evidence
 * stood then, asked for a promise.
 */
export function readCurrentAsOf(
  board: Blackboard,
  group: GroupId,
): Instant | null {
  const {freshAt} = board.view;
  const given = board.failovers.given.get(group);
  const promisedAt =
    given === undefined ? -Infinity : given.until - EVIDENCE_LAPSE_MS;
  return freshAt === null ? null : Math.max(freshAt, promisedAt);
}

/** Tells whether a planned change keeps new writes of a group back. */
export function isWriteHeld(
  board: Blackboard,
  group: GroupId,
  now: Instant,
): boolean {
  return now < (board.failovers.heldUntil.get(group) ?? -Infinity);
}

/** Returns what this host can report of an endpoint, or null. */
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
export interface PlacedEndpoint {
  readonly group: GroupObject;
  readonly endpoint: GroupEndpoint;
}

/** Returns an endpoint that this host owns, with its group, or null. */
export function readOwnedEndpoint(
  board: Blackboard,
  endpoint: EndpointId,
): PlacedEndpoint | null {
  const groupId = board.endpoints.owned.get(endpoint);
  const group = groupId === undefined ? null : readGroup(board, groupId);
  const found = group?.endpoints.find(candidate => candidate.id === endpoint);
  return group === null || found === undefined
    ? null
    : {group, endpoint: found};
}

/** Returns the hosts that may promote a group besides `except`. */
export function readPromoters(
  group: GroupObject,
  except: HostId,
): readonly HostId[] {
  const hosts = new Set(Object.values(group.owners));
  hosts.delete(except);
  return [...hosts].sort();
}
