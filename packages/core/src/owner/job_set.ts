/**
 * The jobs of a pool in two maps: `queued` jobs only wait for a slot, all
 * others are `active`. Counts of the queued jobs are maintained so that the
 * cost of admission does not depend on the length of the queue.
 */

import {Map as ImmutableMap} from 'immutable';
import type {Instant, RequestId} from '../model/ids.js';
import type {RunMessage} from '../model/message.js';
import type {Rank} from '../model/table.js';
import type {Job} from './state.js';

/** The jobs of one pool. */
export interface JobSet {
  readonly active: ImmutableMap<RequestId, Job>;
  readonly queued: ImmutableMap<RequestId, Job>;
  /**
   * Number of queued jobs by rank, kind and flow; also the number of distinct
   * kinds in a rank and of distinct flows in a kind.
   */
  readonly counts: ImmutableMap<string, number>;
  /** Bounds of the queued jobs by rank. */
  readonly bounds: ImmutableMap<Rank, QueueBounds>;
}

/** Bounds for all queued jobs of a rank; not always tight. */
export interface QueueBounds {
  /** Lower bound: no job has an earlier target. */
  readonly earliestTarget: Instant;
  /** Upper bound: no flow has more jobs. */
  readonly heaviestFlow: number;
}

/** A set without jobs. */
export const NO_JOBS: JobSet = {
  active: ImmutableMap(),
  queued: ImmutableMap(),
  counts: ImmutableMap(),
  bounds: ImmutableMap(),
};

const NO_BOUNDS: QueueBounds = {earliestTarget: Infinity, heaviestFlow: 0};

/** Returns the key of a request's kind within its rank and service. */
export function getKindKey(msg: RunMessage): string {
  return `${msg.rank}:${msg.service}/${msg.kind}`;
}

/** Returns the key of a request's flow: its kind and caller. */
export function getFlowKey(msg: RunMessage): string {
  return `${getKindKey(msg)}/${msg.callerKey}`;
}

function needsOnlySlot(job: Job): boolean {
  return (
    job.phase === 'queued' && job.msg.tx === null && job.dataDeadline === null
  );
}

/** Adds to a count; a count that becomes zero is removed. */
function addToCount(
  counts: ImmutableMap<string, number>,
  key: string,
  delta: number,
): ImmutableMap<string, number> {
  const next = (counts.get(key) ?? 0) + delta;
  return next === 0 ? counts.delete(key) : counts.set(key, next);
}

/** Returns the key under which the distinct members of `key` are counted. */
function memberCountKey(key: string): string {
  return `${key}#`;
}

/** Adds a queued job to the counts, or removes it from them. */
function updateCounts(
  counts: ImmutableMap<string, number>,
  job: Job,
  delta: 1 | -1,
): ImmutableMap<string, number> {
  const {kindKey, flowKey} = job;
  const {rank} = job.msg;
  const edgeCount = delta === 1 ? 0 : 1;
  const isKindAddedOrRemoved = (counts.get(kindKey) ?? 0) === edgeCount;
  const isFlowAddedOrRemoved = (counts.get(flowKey) ?? 0) === edgeCount;
  let next = addToCount(counts, rank, delta);
  next = addToCount(next, kindKey, delta);
  next = addToCount(next, flowKey, delta);
  next = isKindAddedOrRemoved
    ? addToCount(next, memberCountKey(rank), delta)
    : next;
  return isFlowAddedOrRemoved
    ? addToCount(next, memberCountKey(kindKey), delta)
    : next;
}

/** Widens the bounds of a rank to include a job that is already counted. */
function widenBounds(
  bounds: ImmutableMap<Rank, QueueBounds>,
  job: Job,
  flowCount: number,
): ImmutableMap<Rank, QueueBounds> {
  const {rank} = job.msg;
  const {earliestTarget, heaviestFlow} = bounds.get(rank) ?? NO_BOUNDS;
  const isWithin = earliestTarget <= job.targetAt && heaviestFlow >= flowCount;
  return isWithin
    ? bounds
    : bounds.set(rank, {
        earliestTarget: Math.min(earliestTarget, job.targetAt),
        heaviestFlow: Math.max(heaviestFlow, flowCount),
      });
}

/** Returns the bounds of a rank. */
export function readBounds(set: JobSet, rank: Rank): QueueBounds {
  return set.bounds.get(rank) ?? NO_BOUNDS;
}

/** Recomputes the tight bounds of a rank from its queued jobs. */
export function tightenBounds(set: JobSet, rank: Rank): JobSet {
  const bounds = set.queued
    .valueSeq()
    .filter(job => job.msg.rank === rank)
    .reduce(
      (tight, job) => widenBounds(tight, job, countQueued(set, job.flowKey)),
      set.bounds.delete(rank),
    );
  return {...set, bounds};
}

/** Returns the job of a request, or undefined. */
export function findJob(set: JobSet, request: RequestId): Job | undefined {
  return set.active.get(request) ?? set.queued.get(request);
}

/** Removes the job of a request. */
export function dropJob(set: JobSet, request: RequestId): JobSet {
  const queued = set.queued.get(request);
  if (queued === undefined) {
    return {...set, active: set.active.delete(request)};
  }
  return {
    ...set,
    queued: set.queued.delete(request),
    counts: updateCounts(set.counts, queued, -1),
  };
}

/** Adds a job or replaces the one of the same request. */
export function putJob(set: JobSet, job: Job): JobSet {
  const {request} = job.msg;
  const rest = dropJob(set, request);
  if (!needsOnlySlot(job)) {
    return {...rest, active: rest.active.set(request, job)};
  }
  const counts = updateCounts(rest.counts, job, 1);
  const flowCount = counts.get(job.flowKey) ?? 0;
  return {
    ...rest,
    queued: rest.queued.set(request, job),
    counts,
    bounds: widenBounds(rest.bounds, job, flowCount),
  };
}

/** Returns every job. */
export function readJobs(set: JobSet): readonly Job[] {
  return [...set.active.values(), ...set.queued.values()];
}

/** Returns the number of queued jobs of a rank, kind or flow. */
export function countQueued(set: JobSet, key: string): number {
  return set.counts.get(key) ?? 0;
}

/** Returns the number of distinct queued kinds of a rank or flows of a kind. */
export function countMembers(set: JobSet, key: string): number {
  return set.counts.get(memberCountKey(key)) ?? 0;
}
