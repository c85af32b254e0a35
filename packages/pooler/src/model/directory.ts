/** Configuration by operators, and registrations of endpoints. */

import type {DataCentreId, EndpointId, GroupId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';

/** Which commits the reads of a route must see. */
export type Consistency =
  /** Every acknowledged commit. */
  | 'strict'
  /** Every commit that was acknowledged longer ago than the allowed age. */
  | 'bounded'
  /** As `bounded`, and every commit of the session itself. */
  | 'session';

/** The route that a database name selects. */
export interface Route {
  readonly database: string;
  readonly group: GroupId;
  readonly consistency: Consistency;
  /** Allowed age of data, in ms; 0 for strict routes. */
  readonly maxStalenessMs: number;
  /** Time limit of a single statement, in ms. */
  readonly timeoutMs: number;
  /** Latency target of a whole operation, in ms. */
  readonly targetMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
}

/** Limits of a group that operators configure. */
export interface GroupLimits {
  /** Connections that one endpoint accepts in total. */
  readonly maxConnections: number;
  /** Replicas that must receive a commit before it is acknowledged. */
  readonly syncReplicas: number;
}

/** The name of a workspace. */
export type WorkspaceId = string;

/** Operations that a workspace may run on all hosts together. */
export interface RateLimit {
  readonly perSecond: number;
  /** Operations that may run at once after a pause. */
  readonly burst: number;
}

/** The workspaces, and the keys by which their callers are recognized. */
export interface WorkspaceDirectory {
  /** Null for a workspace without a limit. */
  readonly limits: ReadonlyMap<WorkspaceId, RateLimit | null>;
  /** Workspaces by the digest of each of their keys. */
  readonly owners: ReadonlyMap<string, WorkspaceId>;
}

/** The routing table that is in force. */
export interface RouteTable {
  readonly version: number;
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<GroupId, GroupLimits>;
  /** A transaction that is idle for this long may be ended, in ms. */
  readonly txIdleMs: number;
  /** Null if callers need no keys. */
  readonly workspaces: WorkspaceDirectory | null;
}

/** A table as hosts send it to each other: lists in place of maps. */
export interface PackedTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly groups: readonly (readonly [GroupId, GroupLimits])[];
  readonly txIdleMs: number;
  /** Missing in the tables of hosts of earlier versions. */
  readonly workspaces?: PackedWorkspaces | null | undefined;
}

/** A directory of workspaces as hosts send it to each other. */
export interface PackedWorkspaces {
  readonly limits: readonly (readonly [WorkspaceId, RateLimit | null])[];
  readonly owners: readonly (readonly [
    digest: string,
    workspace: WorkspaceId,
  ])[];
}

/** Converts a table for sending. */
export function packTable(table: RouteTable): PackedTable {
  return {
    ...table,
    routes: [...table.routes.values()],
    groups: [...table.groups],
    workspaces:
      table.workspaces === null
        ? null
        : {
            limits: [...table.workspaces.limits],
            owners: [...table.workspaces.owners],
          },
  };
}

/** Converts a received table. */
export function unpackTable(packed: PackedTable): RouteTable {
  return {
    ...packed,
    routes: new Map(packed.routes.map(route => [route.database, route])),
    groups: new Map(packed.groups),
    workspaces:
      packed.workspaces == null
        ? null
        : {
            limits: new Map(packed.workspaces.limits),
            owners: new Map(packed.workspaces.owners),
          },
  };
}

/** The registration of an endpoint. */
export interface EndpointEntry {
  readonly id: EndpointId;
  readonly group: GroupId;
  /** `IP:PORT`. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  /** Statements that it runs concurrently. */
  readonly slots: number;
  readonly isLeaving: boolean;
  readonly role: 'primary' | 'replica' | null;
  /** Distinguishes this run of the endpoint from earlier ones. */
  readonly startedAt: number;
  /** How much longer it was slow after its start when it reported, in ms. */
  readonly coldLeftMs?: number;
}

/** All endpoints, and when the list was last known to be complete. */
export interface EndpointList {
  readonly entries: ReadonlyMap<EndpointId, EndpointEntry>;
  readonly readAt: Instant;
}
