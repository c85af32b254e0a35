/**
 * The home groups of a workspace, whose owners hold equal shares of its limit.
 * The load it answers: operations of one workspace that run at the owners of
 * several groups, while owners change and hosts are cut off from each other.
 */

import {orderByRendezvous} from '@lacewingroad/core';
import type {GroupId} from '@lacewingroad/core';
import type {RateLimit, WorkspaceId} from '../model/directory.js';

/** How exactly the limits of workspaces have to be observed. */
export interface AllowanceTolerance {
  /** Span of time over which operations are counted, in ms. */
  readonly windowMs: number;
  /** Share by which a limit may be exceeded. */
  readonly overShare: number;
  /** Operations by which a limit may be exceeded in addition. */
  readonly slack: number;
}

/** What the owner of one home group of a workspace holds. */
export interface HomeShare {
  /** Tokens that are minted in each ms. */
  readonly perMs: number;
  readonly capacity: number;
  /** Tokens with which a new owner starts. */
  readonly initial: number;
}

/** Home groups of a workspace: more would make shares of a burst too small. */
const MAX_HOMES = 8;
/** Part of the slack that new owners start with. */
const INITIAL_SLACK_SHARE = 0.5;
/**
 * Part of the slack that is added to the bursts of all homes together. Without
 * it, a small share of a burst might never hold a whole token, and many small
 * buckets overflow where a single one would not.
 */
const BURST_SLACK_SHARE = 0.4;
const MS_PER_SECOND = 1_000;

/** Returns the home groups of a workspace: all groups if there are few. */
export function chooseHomes(
  workspace: WorkspaceId,
  groups: readonly GroupId[],
): readonly GroupId[] {
  return groups.length <= MAX_HOMES
    ? groups
    : orderByRendezvous(workspace, groups).slice(0, MAX_HOMES);
}

/** Returns the share of one of a number of home groups. */
export function computeHomeShare(
  limit: RateLimit,
  homes: number,
  {slack}: AllowanceTolerance,
): HomeShare {
  const isBlocked = limit.perSecond === 0 && limit.burst === 0;
  if (homes === 0 || isBlocked) {
    return {perMs: 0, capacity: 0, initial: 0};
  }
  const capacity = (limit.burst + BURST_SLACK_SHARE * slack) / homes;
  return {
    perMs: limit.perSecond / MS_PER_SECOND / homes,
    capacity,
    initial: Math.min(capacity, (INITIAL_SLACK_SHARE * slack) / homes),
  };
}
