/**
 * The jobs of a pool in two maps: `active` ones that events may concern, and
 * `queued` ones that only wait for a slot. Tallies of the queued ones are kept
 * so that admission costs the same however long the queue is.
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
  /** Queued jobs by rank, kind and flow, and distinct members of each. */
  readonly tallies: ImmutableMap<string, number>;
  /** Bounds of the queued jobs by rank. */
  readonly bounds: ImmutableMap<Rank, QueueBounds>;
}

/** What holds of all queued jobs of a rank, though it may not be tight. */
export interface QueueBounds {
  /** No job has an earlier target. */
  readonly earliestTarget: Instant;
  /** No flow has more jobs. */
  readonly heaviestFlow: number;
}

/** A set without jobs. */
export const NO_JOBS: JobSet = {
  active: ImmutableMap(),
  queued: ImmutableMap(),
  tallies: ImmutableMap(),
  bounds: ImmutableMap(),
};

const NO_BOUNDS: QueueBounds = {earliestTarget: Infinity, heaviestFlow: 0};

/** Names the kind of a request within its rank and service. */
export function readKindKey(msg: RunMessage): string {
  return `${msg.rank}:${msg.service}/${msg.kind}`;
}

/** Names the flow of a request: its kind and caller. */
export function readFlowKey(msg: RunMessage): string {
  return `${readKindKey(msg)}/${msg.callerKey}`;
}

function isOnlyQueued(job: Job): boolean {
  return job.phase === 'queued' && job.msg.tx === null && job.reachBy === null;
}

/** Adds to a tally; one that falls to nothing is forgotten. */
function add(
  tallies: ImmutableMap<string, number>,
  key: string,
  step: number,
): ImmutableMap<string, number> {
  const next = (tallies.get(key) ?? 0) + step;
  return next === 0 ? tallies.delete(key) : tallies.set(key, next);
}

/** Names the tally of a key's distinct members. */
function membersOf(key: string): string {
  return `${key}#`;
}

/** Counts a queued job in or out. */
function tally(
  tallies: ImmutableMap<string, number>,
  job: Job,
  step: 1 | -1,
): ImmutableMap<string, number> {
  const {kindKey, flowKey} = job;
  const {rank} = job.msg;
  const boundary = step === 1 ? 0 : 1;
  const isKindEdge = (tallies.get(kindKey) ?? 0) === boundary;
  const isFlowEdge = (tallies.get(flowKey) ?? 0) === boundary;
  let next = add(tallies, rank, step);
  next = add(next, kindKey, step);
  next = add(next, flowKey, step);
  next = isKindEdge ? add(next, membersOf(rank), step) : next;
  return isFlowEdge ? add(next, membersOf(kindKey), step) : next;
}

/** Widens the bounds of a rank by a job that is counted already. */
function widen(
  bounds: ImmutableMap<Rank, QueueBounds>,
  job: Job,
  ofFlow: number,
): ImmutableMap<Rank, QueueBounds> {
  const {rank} = job.msg;
  const {earliestTarget, heaviestFlow} = bounds.get(rank) ?? NO_BOUNDS;
  const isWithin = earliestTarget <= job.targetAt && heaviestFlow >= ofFlow;
  return isWithin
    ? bounds
    : bounds.set(rank, {
        earliestTarget: Math.min(earliestTarget, job.targetAt),
        heaviestFlow: Math.max(heaviestFlow, ofFlow),
      });
}

/** Returns the bounds of a rank. */
export function readBounds(set: JobSet, rank: Rank): QueueBounds {
  return set.bounds.get(rank) ?? NO_BOUNDS;
}

/** Makes the bounds of a rank tight again. */
export function tightenBounds(set: JobSet, rank: Rank): JobSet {
  const bounds = set.queued
    .valueSeq()
    .filter(job => job.msg.rank === rank)
    .reduce(
      (tight, job) => widen(tight, job, countQueued(set, job.flowKey)),
      set.bounds.delete(rank),
    );
  return {...set, bounds};
}

/** Returns a job, or undefined when there is none of the request. */
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
    tallies: tally(set.tallies, queued, -1),
  };
}

/** Adds a job or replaces the one of the same request. */
export function putJob(set: JobSet, job: Job): JobSet {
  const {request} = job.msg;
  const rest = dropJob(set, request);
  if (!isOnlyQueued(job)) {
    return {...rest, active: rest.active.set(request, job)};
  }
  const tallies = tally(rest.tallies, job, 1);
  const ofFlow = tallies.get(job.flowKey) ?? 0;
  return {
    ...rest,
    queued: rest.queued.set(request, job),
    tallies,
    bounds: widen(rest.bounds, job, ofFlow),
  };
}

/** Returns every job. */
export function readJobs(set: JobSet): readonly Job[] {
  return [...set.active.values(), ...set.queued.values()];
}

/** Counts queued jobs of a rank, kind or flow. */
export function countQueued(set: JobSet, key: string): number {
  return set.tallies.get(key) ?? 0;
}

/** Counts the kinds that wait in a rank, or the callers in a kind. */
export function countMembers(set: JobSet, key: string): number {
  return set.tallies.get(membersOf(key)) ?? 0;
}
