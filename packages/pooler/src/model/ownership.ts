/** Ownership of a group's pool, as recorded in the platform's store. */

import type {
  DataCentreId,
  EndpointId,
  GroupId,
  HostId,
  LogPosition,
} from '@lacewingroad/core';

/** A host and the address at which it listens for other hosts. */
export interface HostAddress {
  readonly host: HostId;
  /** `IP:PORT`. */
  readonly address: string;
}

/** The registration of a host. */
export interface HostEntry extends HostAddress {
  readonly dataCentre: DataCentreId;
  /** Processor capacity that the host may use, in cores. */
  readonly cpuShare: number;
}

/** One run of an endpoint: its log may not outlast a restart under its id. */
export interface EndpointRun {
  readonly endpoint: EndpointId;
  /** Start of the run, in Unix ms; 0 if unknown. */
  readonly startedAt: number;
}

/** An endpoint run that an owner leaves to the next one. */
export interface RecordedRun extends EndpointRun {
  /**
   * Covers every acknowledged commit that the run confirmed; missing unless
   * the run has ended.
   */
  readonly ackedBefore?: LogPosition | undefined;
}

/**
 * What an owner leaves to the next one about a group's endpoints. The endpoint
 * list alone does not tell: an entry may have expired.
 */
export interface GroupLineage {
  /** Runs whose logs may hold acknowledged commits that others lack. */
  readonly members: readonly RecordedRun[];
  /** Term of the newest primary that an owner has used. */
  readonly term: number;
  /** Endpoints whose promotion was requested and may still take effect. */
  readonly promoting: readonly EndpointId[];
}

/** The part of a lineage that changes with each promotion. */
export type PromotionLineage = Pick<GroupLineage, 'term' | 'promoting'>;

/**
 * Stands for an endpoint that a lineage may lack: one whose log may hold
 * acknowledged commits, or whose promotion may have been requested.
 */
export const UNKNOWN_ENDPOINT: EndpointId = 'unknown';

/** Returns whether two lineages name the same runs, term and candidates. */
export function isSameLineage(
  a: GroupLineage | null,
  b: GroupLineage,
): boolean {
  const listRuns = ({members}: GroupLineage): string =>
    members
      .map(({endpoint, startedAt, ackedBefore}) =>
        [startedAt, endpoint, ackedBefore?.term, ackedBefore?.index].join(),
      )
      .sort()
      .join('\n');
  return (
    a !== null &&
    a.term === b.term &&
    a.promoting.join() === b.promoting.join() &&
    listRuns(a) === listRuns(b)
  );
}

/** The record of a group's owner; changed only by conditional updates. */
export interface Ownership {
  readonly group: GroupId;
  readonly owner: HostAddress;
  /** The run of the owner's process; empty after a handover, until claimed. */
  readonly incarnation: string;
  /** Fencing token: rises with each change of owner, unique in all groups. */
  readonly generation: number;
  /** Hosts that may take over first; the owner needs promises of a majority. */
  readonly deputies: readonly HostAddress[];
  /** Number of renewals, so that each renewal changes the record. */
  readonly renewals: number;
  /** Null if no owner has known a primary yet. */
  readonly lineage: GroupLineage | null;
  /**
   * Era of the store that the writer knew; missing in the records of earlier
   * versions, which counts as 0.
   */
  readonly era?: number | undefined;
}

/** Returns the owner and its deputies. */
export function listMembers({
  owner,
  deputies,
}: Ownership): readonly HostAddress[] {
  return [owner, ...deputies];
}

/** A record and its revision in the store. */
export interface StoredOwnership {
  readonly ownership: Ownership;
  /** Includes the store's era, see `decisions/store_era.ts`. */
  readonly revision: number;
}

/** The result of a conditional update of a record. */
export type WriteResult =
  | {readonly type: 'written'; readonly revision: number}
  /** Another update came first; `standing` is the record in the store. */
  | {readonly type: 'conflict'; readonly standing: StoredOwnership | null}
  /** Nothing was changed. */
  | {readonly type: 'refused'; readonly detail: string}
  /** The update may have taken effect, or may still do so. */
  | {readonly type: 'unknown'; readonly detail: string};
