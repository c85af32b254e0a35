/** Who owns the pool of a group; kept in the platform's store. */

import type {DataCentreId, GroupId, HostId} from '@lacewingroad/core';

/** A host and where it listens for others. */
export interface HostAddress {
  readonly host: HostId;
  /** `IP:PORT`. */
  readonly address: string;
}

/** A host as it registered itself. */
export interface HostEntry extends HostAddress {
  readonly dataCentre: DataCentreId;
  /** Share of a processor core that the host may use. */
  readonly cpuShare: number;
}

/** The record of a group's owner; changed by conditional update only. */
export interface Ownership {
  readonly group: GroupId;
  readonly owner: HostAddress;
  /** The start of the owner's process; empty where it is to claim the record. */
  readonly incarnation: string;
  /** Fencing token: higher with each change of owner, unique over all groups. */
  readonly generation: number;
  /** Hosts that may take over soon; the owner needs the promises of all. */
  readonly deputies: readonly HostAddress[];
  /** Counts renewals, so that each one changes the record. */
  readonly renewals: number;
}

/** Returns the owner and its deputies. */
export function listMembers({
  owner,
  deputies,
}: Ownership): readonly HostAddress[] {
  return [owner, ...deputies];
}

/** A record with the revision at which it stands. */
export interface StoredOwnership {
  readonly ownership: Ownership;
  readonly revision: number;
}

/** How a conditional update of a record ended. */
export type WriteResult =
  | {readonly type: 'written'; readonly revision: number}
  /** Another update came first. */
  | {readonly type: 'conflict'; readonly standing: StoredOwnership | null}
  /** Nothing was changed. */
  | {readonly type: 'refused'; readonly detail: string}
  /** Nobody knows, and it may still take effect. */
  | {readonly type: 'unknown'; readonly detail: string};
