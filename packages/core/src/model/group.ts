/** The group object of the platform: who is primary, and who may change it. */

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
  /** A leaving endpoint receives no new work. */
  readonly leaving: boolean;
}

/** A barrier against acknowledgements of one term. */
export interface Fence {
  /** The term whose acknowledgements it ends. */
  readonly term: number;
  /** The host that raised it. */
  readonly by: HostId;
  /** Unique id of the attempt, so that an author recognises its own update. */
  readonly attempt: string;
  /** Set by the write owner once it acknowledges nothing more in the term. */
  readonly confirmed: boolean;
}

/** The state of a group; changed by conditional update only. */
export interface GroupObject {
  readonly id: GroupId;
  readonly term: number;
  readonly primary: EndpointId;
  readonly fence: Fence | null;
  readonly starts: readonly TermStart[];
  readonly endpoints: readonly GroupEndpoint[];
  /**
   * The registered owner of each endpoint. The primary's owner alone may
   * acknowledge writes; the owners together are the hosts that may promote.
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
