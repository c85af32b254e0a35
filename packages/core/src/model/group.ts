/** The group object of the platform: its primary, endpoints and owners. */

import type {DataCentreId, EndpointId, GroupId, HostId} from './ids.js';
import type {TermStart} from './position.js';

/** One endpoint of a group. */
export interface GroupEndpoint {
  readonly id: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly address: string;
  readonly port: number;
  /** Statements that the endpoint runs at once. */
  readonly slots: number;
  /** Connections that the endpoint accepts. */
  readonly maxConnections: number;
  /** Whether the endpoint is being removed; it then receives no new work. */
  readonly leaving: boolean;
}

/** Ends the acknowledgement of writes in one term. */
export interface Fence {
  /** The fenced term. */
  readonly term: number;
  /** The host that set the fence. */
  readonly by: HostId;
  /** Unique id of the attempt, by which a host recognises its own update. */
  readonly attempt: string;
  /** Set by the write owner once it acknowledges no more writes in the term. */
  readonly confirmed: boolean;
}

/** The state of a group; changed by conditional update only. */
export interface GroupObject {
  readonly id: GroupId;
  readonly term: number;
  readonly primary: EndpointId;
  readonly fence: Fence | null;
  /** Where each term starts in the log. */
  readonly starts: readonly TermStart[];
  readonly endpoints: readonly GroupEndpoint[];
  /**
   * The registered owner of each endpoint. Only the primary's owner may
   * acknowledge writes; only these owners may promote an endpoint.
   */
  readonly owners: Readonly<Record<EndpointId, HostId>>;
}

/** Returns one endpoint of a group, or null. */
export function findEndpoint(
  group: GroupObject,
  endpoint: EndpointId,
): GroupEndpoint | null {
  return group.endpoints.find(candidate => candidate.id === endpoint) ?? null;
}

/** Returns the host registered as owner of the primary, or null. */
export function findWriteOwner(group: GroupObject): HostId | null {
  return group.owners[group.primary] ?? null;
}
