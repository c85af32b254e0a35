/**
 * Queue policies: each chooses which of the runnable jobs gets the next slot.
 *
 * The default is `ranked`: rank order with a minimum share for each rank,
 * start-time fair queueing between kinds and between callers within a rank,
 * and the earliest target first among flows that are served about equally.
 */

import type {Map as ImmutableMap} from 'immutable';
import type {Instant} from '../model/ids.js';
import {RANKS} from '../model/table.js';
import type {Rank} from '../model/table.js';
import type {Job, QueuePolicyState} from './state.js';

/** The chosen job and the next state of the policy. */
interface Choice {
  readonly job: Job;
  readonly policyState: QueuePolicyState;
}

/** Chooses one of `jobs`, which must not be empty. */
export type QueuePolicy = (
  jobs: readonly Job[],
  state: QueuePolicyState,
  now: Instant,
  /** Average service time, in milliseconds. */
  serviceMs: number,
) => Choice;

/** Credit that a rank needs to claim a slot, and the most it may accumulate. */
const CREDIT_PER_SLOT = 100;
const MAX_CREDIT = 2 * CREDIT_PER_SLOT;
/** Percentage of the slots that floors of lower ranks may claim in total. */
const MAX_FLOOR_SUM = 80;
/** Jobs by which a flow may be ahead of the least served and still compete. */
const FAIRNESS_SLACK = 2;
/** A job is in time if this many service times are left to its target. */
const IN_TIME_FACTOR = 2;
/** Number of entries above which the state of flows without jobs is dropped. */
const MAX_FLOWS = 2_048;

/** Returns the minimum share of slots of a rank, in percent. */
function computeFloor(jobs: readonly Job[], rank: Rank): number {
  return jobs
    .filter(job => job.msg.rank === rank)
    .reduce((most, job) => Math.max(most, job.msg.floorPercent), 0);
}

/** Returns whether a job precedes new work of its rank. */
function hasPrecedence(job: Job): boolean {
  return job.isRequeued || job.msg.tx !== null;
}

/** Chooses the rank that gets the slot and updates the credits. */
function chooseRank(
  jobs: readonly Job[],
  credits: ImmutableMap<Rank, number>,
): {readonly rank: Rank; readonly credits: ImmutableMap<Rank, number>} {
  const waiting = RANKS.filter(rank => jobs.some(job => job.msg.rank === rank));
  const floors = waiting.map(rank => computeFloor(jobs, rank));
  const lowerSum = floors.slice(1).reduce((sum, floor) => sum + floor, 0);
  const scale = Math.min(1, MAX_FLOOR_SUM / Math.max(1, lowerSum));
  let next = credits;
  for (const [index, rank] of waiting.entries()) {
    const newCredit = (next.get(rank) ?? 0) + floors[index]! * scale;
    next = next.set(rank, Math.min(MAX_CREDIT, newCredit));
  }
  const claimingRank = waiting
    .filter(rank => (next.get(rank) ?? 0) >= CREDIT_PER_SLOT)
    .at(-1);
  const rank = claimingRank ?? waiting[0]!;
  const left = Math.max(0, (next.get(rank) ?? 0) - CREDIT_PER_SLOT);
  return {rank, credits: next.set(rank, left)};
}

interface Flow {
  readonly key: string;
  readonly start: number;
  readonly jobs: readonly Job[];
}

/** Groups jobs into flows with the virtual start time of each. */
function groupByFlow(
  jobs: readonly Job[],
  parent: string,
  getKey: (job: Job) => string,
  state: QueuePolicyState,
): readonly Flow[] {
  const byKey = new Map<string, Job[]>();
  for (const job of jobs) {
    const key = getKey(job);
    const list = byKey.get(key);
    if (list === undefined) {
      byKey.set(key, [job]);
      continue;
    }
    list.push(job);
  }
  const virtualTime = state.virtualTimes.get(parent) ?? 0;
  return [...byKey].map(([key, list]) => ({
    key,
    start: Math.max(virtualTime, state.finishTags.get(key) ?? 0),
    jobs: list,
  }));
}

function getJobFlowKey(job: Job): string {
  return job.flowKey;
}

/** Keeps the flows that were served least, within FAIRNESS_SLACK. */
function keepLeastServed(flows: readonly Flow[]): readonly Flow[] {
  const least = Math.min(...flows.map(flow => flow.start));
  return flows.filter(flow => flow.start < least + FAIRNESS_SLACK);
}

/** Returns the time to the target, weighted by worth; less is more urgent. */
function computeUrgency(job: Job, now: Instant): number {
  const leftMs = job.targetAt - now;
  const weight = 1 + Math.log2(1 + Math.max(0, job.msg.worth));
  return leftMs > 0 ? leftMs / weight : leftMs * weight;
}

/** Orders jobs of one rank by target and worth, then by arrival. */
function compareUrgency(a: Job, b: Job, now: Instant): number {
  return computeUrgency(a, now) - computeUrgency(b, now) || a.order - b.order;
}

/** Charges a flow for one served job. */
function charge(
  state: QueuePolicyState,
  parent: string,
  flows: readonly Flow[],
  key: string,
): QueuePolicyState {
  const virtualTime = Math.min(...flows.map(flow => flow.start));
  const flow = flows.find(candidate => candidate.key === key)!;
  return {
    ...state,
    virtualTimes: state.virtualTimes.set(parent, virtualTime),
    finishTags: state.finishTags.set(key, flow.start + 1),
  };
}

/** Drops the state of flows without queued jobs once there are too many. */
function pruneFlows(
  state: QueuePolicyState,
  jobs: readonly Job[],
): QueuePolicyState {
  if (state.finishTags.size + state.virtualTimes.size <= MAX_FLOWS) {
    return state;
  }
  const keys = new Set(
    jobs.flatMap(job => [job.msg.rank, job.kindKey, job.flowKey]),
  );
  const isKept = (_value: number, key: string): boolean => keys.has(key);
  return {
    ...state,
    finishTags: state.finishTags.filter(isKept),
    virtualTimes: state.virtualTimes.filter(isKept),
  };
}

/**
 * Returns whether a job that starts now is likely to be answered by `targetAt`.
 * Twice the service time leaves room for network latency and slower statements.
 */
export function isInTime(
  targetAt: Instant,
  now: Instant,
  serviceMs: number,
): boolean {
  return now + IN_TIME_FACTOR * serviceMs <= targetAt;
}

/** Returns whether a job that starts now is likely to meet its target. */
export function canMeetTarget(
  job: Job,
  now: Instant,
  serviceMs: number,
): boolean {
  return isInTime(job.targetAt, now, serviceMs);
}

/**
 * Returns whether a job has waited so long that it can no longer be answered by
 * its deadline. Started now, it would probably be cut off with an unknown
 * outcome; refused, it is known not to have run. A job that has not waited is
 * always started, because only running statements correct a service time
 * estimate that slow statements have raised.
 */
export function isTooLateToBegin(
  job: Job,
  now: Instant,
  serviceMs: number,
): boolean {
  return now > job.receivedAt && !isInTime(job.deadline, now, serviceMs);
}

/**
 * Keeps the jobs that can still meet their targets, if there are any: under
 * overload, serving a late job first makes the next job late as well.
 */
function preferInTime(
  jobs: readonly Job[],
  now: Instant,
  serviceMs: number,
): readonly Job[] {
  const inTime = jobs.filter(job => canMeetTarget(job, now, serviceMs));
  return inTime.length > 0 ? inTime : jobs;
}

/** Rank order with floors, fair queueing within a rank; the default. */
const chooseRanked: QueuePolicy = (jobs, state, now, serviceMs) => {
  const {rank, credits} = chooseRank(jobs, state.credits);
  const ofRank = jobs.filter(job => job.msg.rank === rank);
  const credited = pruneFlows({...state, credits}, jobs);
  const first = ofRank
    .filter(hasPrecedence)
    .sort((a, b) => a.order - b.order)
    .at(0);
  if (first !== undefined) {
    return {job: first, policyState: credited};
  }
  const competing = preferInTime(ofRank, now, serviceMs);
  const kinds = groupByFlow(competing, rank, job => job.kindKey, credited);
  const candidates = keepLeastServed(kinds).flatMap(kind =>
    keepLeastServed(
      groupByFlow(kind.jobs, kind.key, getJobFlowKey, credited),
    ).flatMap(flow => flow.jobs),
  );
  const job = candidates.reduce((best, candidate) =>
    compareUrgency(candidate, best, now) < 0 ? candidate : best,
  );
  const {kindKey, flowKey} = job;
  const kind = kinds.find(flow => flow.key === kindKey)!;
  const callers = groupByFlow(kind.jobs, kindKey, getJobFlowKey, credited);
  const charged = charge(credited, rank, kinds, kindKey);
  return {job, policyState: charge(charged, kindKey, callers, flowKey)};
};

function chooseMin(
  jobs: readonly Job[],
  state: QueuePolicyState,
  compare: (a: Job, b: Job) => number,
): Choice {
  const job = jobs.reduce((best, candidate) =>
    compare(candidate, best) < 0 ? candidate : best,
  );
  return {job, policyState: state};
}

/** First in, first out. */
const chooseFifo: QueuePolicy = (jobs, state) =>
  chooseMin(jobs, state, (a, b) => a.order - b.order);

/** Strict rank order; first in, first out within a rank. */
const chooseStrict: QueuePolicy = (jobs, state) =>
  chooseMin(
    jobs,
    state,
    (a, b) =>
      RANKS.indexOf(a.msg.rank) - RANKS.indexOf(b.msg.rank) ||
      a.order - b.order,
  );

/** Names of the queue policies. */
export type QueuePolicyName = 'ranked' | 'fifo' | 'strict';

/** All queue policies by name. */
export const QUEUE_POLICIES: Readonly<Record<QueuePolicyName, QueuePolicy>> = {
  ranked: chooseRanked,
  fifo: chooseFifo,
  strict: chooseStrict,
};
