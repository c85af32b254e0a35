/**
 * The token buckets of workspaces at one host, for the home groups that it
 * owns. Each workspace has two buckets with the same share: an operation takes
 * a token of the first when it is admitted and one of the second when it is
 * sent to an endpoint. Without the second, operations that were admitted while
 * no endpoint ran them would reach endpoints all at once, above the limit.
 */

import type {GroupId} from '@lacewingroad/core';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import {chooseHomes, computeHomeShare} from '../decisions/allowance_homes.js';
import type {
  AllowanceTolerance,
  HomeShare,
} from '../decisions/allowance_homes.js';
import {NO_DEMAND} from '../decisions/allowance_lending.js';
import type {Demand} from '../decisions/allowance_lending.js';
import {
  addTokens,
  createBucket,
  cutBucket,
  dropExpired,
  refill,
  scaleLevel,
} from '../decisions/token_bucket.js';
import type {Bucket} from '../decisions/token_bucket.js';
import type {RateLimit, RouteTable, WorkspaceId} from '../model/directory.js';

/** What a token is taken for: to wait in a queue, or to reach an endpoint. */
export type Stage = 'admission' | 'start';

const STAGES: readonly Stage[] = ['admission', 'start'];

/** A bucket and the rate at which it is used. */
export interface Ledger {
  bucket: Bucket;
  demand: Demand;
}

/** The allowance of one workspace at this host. */
export interface Allowance {
  readonly workspace: WorkspaceId;
  readonly ledgers: Readonly<Record<Stage, Ledger>>;
  limit: RateLimit;
  homes: readonly GroupId[];
  /** What each home group contributes. */
  share: HomeShare;
  /** Home groups of which this host is the owner, with the run of each. */
  active: ReadonlyMap<GroupId, number>;
  /** Runs of ownership that have contributed their initial tokens. */
  readonly credited: Map<GroupId, number>;
  /** Tokens that are minted here, per ms. */
  mintPerMs: number;
  capacity: number;
  refreshedAt: Instant;
  /** Operations that wait for a token of the first bucket. */
  waiting: number;
  /** Operations that were admitted and have not started. */
  admitted: number;
  /** Whether an admitted operation lacked a token to start. */
  isStartShort: boolean;
}

/** Dependencies of the book. */
export interface AllowanceBookConfig {
  readonly runtime: Runtime;
  readonly tolerance: AllowanceTolerance;
  readonly readTable: () => RouteTable | null;
  /** Returns whether this host may act as the owner of a group now. */
  readonly isActiveOwner: (group: GroupId) => boolean;
}

/** The allowances of all workspaces at one host. */
export interface AllowanceBook {
  /** Returns the current state of a workspace; null if it has no limit. */
  readonly read: (workspace: WorkspaceId) => Allowance | null;
  /**
   * Returns the clock by which borrowed tokens expire. It counts the time for
   * which the process was suspended, during which the monotonic clock may stop.
   */
  readonly readLoanClock: () => Instant;
  readonly noteGained: (group: GroupId) => void;
  readonly noteLost: (group: GroupId) => void;
}

/** Run of the ownership of a group by this host. */
interface OwnedRun {
  readonly run: number;
  readonly since: Instant;
}

/** Time for which a state is not brought up to date again, in ms. */
const REFRESH_MS = 1;
/** Change of the offset between the clocks that counts as a suspension, ms. */
const MIN_SUSPENSION_MS = 20;

/** Creates a clock that also advances while the process is suspended. */
function createLoanClock(runtime: Runtime): () => Instant {
  let offset = runtime.wallNow() - runtime.now();
  let suspendedMs = 0;
  return () => {
    const now = runtime.now();
    const current = runtime.wallNow() - now;
    if (current - offset >= MIN_SUSPENSION_MS) {
      suspendedMs += current - offset;
    }
    offset = current;
    return now + suspendedMs;
  };
}

/** Creates the book of a host that owns no groups yet. */
export function createAllowanceBook(cfg: AllowanceBookConfig): AllowanceBook {
  const {runtime, tolerance} = cfg;
  const allowances = new Map<WorkspaceId, Allowance>();
  const owned = new Map<GroupId, OwnedRun>();
  const readLoanClock = createLoanClock(runtime);
  let table: RouteTable | null = null;
  let groups: readonly GroupId[] = [];
  let groupsChangedAt: Instant = -Infinity;
  let nextRun = 1;

  const changeLedgers = (
    {ledgers}: Allowance,
    change: (bucket: Bucket) => Bucket,
  ): void => {
    for (const stage of STAGES) {
      ledgers[stage].bucket = change(ledgers[stage].bucket);
    }
  };

  const setActive = (
    allowance: Allowance,
    active: ReadonlyMap<GroupId, number>,
  ): void => {
    allowance.active = active;
    allowance.mintPerMs = allowance.share.perMs * active.size;
    allowance.capacity = allowance.share.capacity * active.size;
  };

  /** Removes the shares of groups that this host may no longer act for. */
  const removeLostShares = (allowance: Allowance): void => {
    const kept = new Map(
      [...allowance.active].filter(
        ([group, run]) =>
          allowance.homes.includes(group) &&
          owned.get(group)?.run === run &&
          cfg.isActiveOwner(group),
      ),
    );
    const before = allowance.active.size;
    if (kept.size < before) {
      changeLedgers(allowance, bucket =>
        scaleLevel(bucket, kept.size / before),
      );
      setActive(allowance, kept);
    }
  };

  /**
   * Adds the shares of groups that this host has become the owner of. A group
   * counts from then on, or from when it became a home group; one whose lease
   * was only lost for a while counts from now.
   */
  const addNewShares = (allowance: Allowance, now: Instant): void => {
    const {share, credited} = allowance;
    for (const group of allowance.homes) {
      const run = owned.get(group);
      const isNew = run !== undefined && !allowance.active.has(group);
      if (!isNew || !cfg.isActiveOwner(group)) {
        continue;
      }
      const isCredited = credited.get(group) === run.run;
      credited.set(group, run.run);
      setActive(allowance, new Map(allowance.active).set(group, run.run));
      const sinceMs = now - Math.max(run.since, groupsChangedAt);
      const tokens = isCredited
        ? 0
        : Math.min(share.capacity, share.initial + sinceMs * share.perMs);
      changeLedgers(allowance, bucket =>
        addTokens(bucket, tokens, allowance.capacity),
      );
    }
  };

  /** Applies the limit and the home groups of a new table. */
  const applyLimit = (allowance: Allowance, limit: RateLimit): void => {
    const isLowered =
      limit.perSecond < allowance.limit.perSecond ||
      limit.burst < allowance.limit.burst;
    allowance.limit = limit;
    allowance.homes = chooseHomes(allowance.workspace, groups);
    allowance.share = computeHomeShare(
      limit,
      allowance.homes.length,
      tolerance,
    );
    setActive(allowance, allowance.active);
    if (isLowered) {
      changeLedgers(allowance, bucket => cutBucket(bucket, allowance.capacity));
    }
  };

  const refresh = (allowance: Allowance, now: Instant): void => {
    removeLostShares(allowance);
    const {mintPerMs: perMs, capacity} = allowance;
    const loanNow = readLoanClock();
    changeLedgers(allowance, bucket =>
      dropExpired(refill(bucket, {perMs, capacity}, now), loanNow),
    );
    addNewShares(allowance, now);
    allowance.refreshedAt = now;
  };

  /** Applies a table that is in force since the last call. */
  const updateTable = (now: Instant): void => {
    const current = cfg.readTable();
    if (current === table) {
      return;
    }
    table = current;
    const names = [...(current?.groups.keys() ?? [])].sort();
    if (names.join('\n') !== groups.join('\n')) {
      // Before the first table, no other host held shares of other homes.
      groupsChangedAt = groups.length === 0 ? -Infinity : now;
      groups = names;
    }
    for (const allowance of allowances.values()) {
      const limit = current?.workspaces?.limits.get(allowance.workspace);
      if (limit == null) {
        allowances.delete(allowance.workspace);
        continue;
      }
      refresh(allowance, now);
      applyLimit(allowance, limit);
    }
  };

  const create = (
    workspace: WorkspaceId,
    limit: RateLimit,
    now: Instant,
  ): Allowance => {
    const homes = chooseHomes(workspace, groups);
    const createLedger = (): Ledger => ({
      bucket: createBucket(now),
      demand: NO_DEMAND,
    });
    return {
      workspace,
      ledgers: {admission: createLedger(), start: createLedger()},
      limit,
      homes,
      share: computeHomeShare(limit, homes.length, tolerance),
      active: new Map(),
      credited: new Map(),
      mintPerMs: 0,
      capacity: 0,
      refreshedAt: -Infinity,
      waiting: 0,
      admitted: 0,
      isStartShort: false,
    };
  };

  return {
    readLoanClock,
    read: workspace => {
      const now = runtime.now();
      updateTable(now);
      const known = allowances.get(workspace);
      if (known !== undefined) {
        if (now - known.refreshedAt >= REFRESH_MS) {
          refresh(known, now);
        }
        return known;
      }
      const limit = table?.workspaces?.limits.get(workspace);
      if (limit == null) {
        return null;
      }
      const created = create(workspace, limit, now);
      allowances.set(workspace, created);
      refresh(created, now);
      return created;
    },
    noteGained: group => {
      owned.set(group, {run: nextRun++, since: runtime.now()});
    },
    noteLost: group => {
      owned.delete(group);
    },
  };
}
