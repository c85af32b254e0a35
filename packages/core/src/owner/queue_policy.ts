/**
 * Queue policies: which of the requests that could run gets the next slot.
 *
 * The product uses `ranked`: rank order with a minimum share for each rank,
 * start-time fair queueing between kinds and between callers within a rank,
 * and the earliest target first among flows that are about equally served.
 */

import type {Map as ImmutableMap} from 'immutable';
import type {Instant} from '../model/ids.js';
import {RANKS} from '../model/table.js';
import type {Rank} from '../model/table.js';
import type {Job, QueueMemory} from './state.js';

/** What a policy chose. */
interface Choice {
  readonly job: Job;
  readonly memory: QueueMemory;
}

/** Chooses one of `jobs`, of which there is at least one. */
export type QueuePolicy = (
  jobs: readonly Job[],
  memory: QueueMemory,
  now: Instant,
  /** Time that a statement takes, in milliseconds. */
  serviceMs: number,
) => Choice;

/** Credit at which a rank may claim a slot, and the most it may save up. */
const CREDIT_PER_SLOT = 100;
const MAX_CREDIT = 2 * CREDIT_PER_SLOT;
/** Percent of the slots that floors may claim from the highest rank. */
const MAX_FLOOR_SUM = 80;
/** Requests by which a flow may be ahead and still compete by its target. */
const FAIR_LEAD = 2;
/** Service times left to the target at which a job is still in time. */
const IN_TIME_SERVICES = 2;
/** Flows remembered before those that are not waiting are forgotten. */
const MAX_FLOWS = 2_048;

/** Returns the share of slots that a rank keeps, in percent. */
function readFloor(jobs: readonly Job[], rank: Rank): number {
  return jobs
    .filter(job => job.msg.rank === rank)
    .reduce((most, job) => Math.max(most, job.msg.floorPercent), 0);
}

/** Tells whether a job goes before new work of its rank. */
function goesFirst(job: Job): boolean {
  return job.isFront || job.msg.tx !== null;
}

/** Chooses the rank that gets the slot and updates the credits. */
function chooseRank(
  jobs: readonly Job[],
  credits: ImmutableMap<Rank, number>,
): {readonly rank: Rank; readonly credits: ImmutableMap<Rank, number>} {
  const waiting = RANKS.filter(rank => jobs.some(job => job.msg.rank === rank));
  const floors = waiting.map(rank => readFloor(jobs, rank));
  const lowerSum = floors.slice(1).reduce((sum, floor) => sum + floor, 0);
  const scale = Math.min(1, MAX_FLOOR_SUM / Math.max(1, lowerSum));
  let next = credits;
  for (const [index, rank] of waiting.entries()) {
    const earned = (next.get(rank) ?? 0) + floors[index]! * scale;
    next = next.set(rank, Math.min(MAX_CREDIT, earned));
  }
  const claimant = waiting
    .filter(rank => (next.get(rank) ?? 0) >= CREDIT_PER_SLOT)
    .at(-1);
  const rank = claimant ?? waiting[0]!;
  const left = Math.max(0, (next.get(rank) ?? 0) - CREDIT_PER_SLOT);
  return {rank, credits: next.set(rank, left)};
}

interface Flow {
  readonly key: string;
  readonly start: number;
  readonly jobs: readonly Job[];
}

/** Groups jobs into flows with the virtual time at which each is due. */
function readFlows(
  jobs: readonly Job[],
  parent: string,
  readKey: (job: Job) => string,
  memory: QueueMemory,
): readonly Flow[] {
  const byKey = new Map<string, Job[]>();
  for (const job of jobs) {
    const key = readKey(job);
    const list = byKey.get(key);
    if (list === undefined) {
      byKey.set(key, [job]);
      continue;
    }
    list.push(job);
  }
  const clock = memory.clocks.get(parent) ?? 0;
  return [...byKey].map(([key, list]) => ({
    key,
    start: Math.max(clock, memory.finishes.get(key) ?? 0),
    jobs: list,
  }));
}

function readFlow(job: Job): string {
  return job.flowKey;
}

/** Keeps the flows that were served least, give or take a small lead. */
function keepFair(flows: readonly Flow[]): readonly Flow[] {
  const least = Math.min(...flows.map(flow => flow.start));
  return flows.filter(flow => flow.start < least + FAIR_LEAD);
}

/** Time to the target, shorter for work that is worth more. */
function readUrgency(job: Job, now: Instant): number {
  const leftMs = job.targetAt - now;
  const weight = 1 + Math.log2(1 + Math.max(0, job.msg.worth));
  return leftMs > 0 ? leftMs / weight : leftMs * weight;
}

/** Orders jobs of one rank by target and worth, then by arrival. */
function compareUrgency(a: Job, b: Job, now: Instant): number {
  return readUrgency(a, now) - readUrgency(b, now) || a.order - b.order;
}

/** Notes that one job of a flow was served. */
function charge(
  memory: QueueMemory,
  parent: string,
  flows: readonly Flow[],
  key: string,
): QueueMemory {
  const clock = Math.min(...flows.map(flow => flow.start));
  const flow = flows.find(candidate => candidate.key === key)!;
  return {
    ...memory,
    clocks: memory.clocks.set(parent, clock),
    finishes: memory.finishes.set(key, flow.start + 1),
  };
}

/** Forgets flows without waiting jobs once there are too many. */
function prune(memory: QueueMemory, jobs: readonly Job[]): QueueMemory {
  if (memory.finishes.size + memory.clocks.size <= MAX_FLOWS) {
    return memory;
  }
  const keys = new Set(
    jobs.flatMap(job => [job.msg.rank, job.kindKey, job.flowKey]),
  );
  const isKept = (_value: number, key: string): boolean => keys.has(key);
  return {
    ...memory,
    finishes: memory.finishes.filter(isKept),
    clocks: memory.clocks.filter(isKept),
  };
}

/**
 * Tells whether what starts now is likely answered by a target. Twice the
 * service time leaves room for the way back and for slower statements.
 */
export function isInTime(
  targetAt: Instant,
  now: Instant,
  serviceMs: number,
): boolean {
  return now + IN_TIME_SERVICES * serviceMs <= targetAt;
}

/** Tells whether a job that starts now is likely answered by its target. */
export function canMeetTarget(
  job: Job,
  now: Instant,
  serviceMs: number,
): boolean {
  return isInTime(job.targetAt, now, serviceMs);
}

/**
 * Tells whether a job has waited until it can no longer be answered by its
 * deadline: begun now, it would be cut off and its outcome unknown, and it is
 * known not to have run. What has not waited is begun in any case, since only
 * work that runs corrects an estimate which slow statements have raised.
 */
export function isTooLateToBegin(
  job: Job,
  now: Instant,
  serviceMs: number,
): boolean {
  return now > job.receivedAt && !isInTime(job.deadline, now, serviceMs);
}

/**
 * Keeps the jobs that can still meet their targets, if there are any: in an
 * overload a slot given to a late job makes the next one late as well.
 */
function preferInTime(
  jobs: readonly Job[],
  now: Instant,
  serviceMs: number,
): readonly Job[] {
  const inTime = jobs.filter(job => canMeetTarget(job, now, serviceMs));
  return inTime.length > 0 ? inTime : jobs;
}

/** Rank order with floors, fair within a rank; the product's policy. */
const chooseRanked: QueuePolicy = (jobs, memory, now, serviceMs) => {
  const {rank, credits} = chooseRank(jobs, memory.credits);
  const ofRank = jobs.filter(job => job.msg.rank === rank);
  const paid = prune({...memory, credits}, jobs);
  const first = ofRank
    .filter(goesFirst)
    .sort((a, b) => a.order - b.order)
    .at(0);
  if (first !== undefined) {
    return {job: first, memory: paid};
  }
  const competing = preferInTime(ofRank, now, serviceMs);
  const kinds = readFlows(competing, rank, job => job.kindKey, paid);
  const candidates = keepFair(kinds).flatMap(kind =>
    keepFair(readFlows(kind.jobs, kind.key, readFlow, paid)).flatMap(
      flow => flow.jobs,
    ),
  );
  const job = candidates.reduce((best, candidate) =>
    compareUrgency(candidate, best, now) < 0 ? candidate : best,
  );
  const {kindKey, flowKey} = job;
  const kind = kinds.find(flow => flow.key === kindKey)!;
  const callers = readFlows(kind.jobs, kindKey, readFlow, paid);
  const charged = charge(paid, rank, kinds, kindKey);
  return {job, memory: charge(charged, kindKey, callers, flowKey)};
};

function chooseLeast(
  jobs: readonly Job[],
  memory: QueueMemory,
  compare: (a: Job, b: Job) => number,
): Choice {
  const job = jobs.reduce((best, candidate) =>
    compare(candidate, best) < 0 ? candidate : best,
  );
  return {job, memory};
}

/** Order of arrival. */
const chooseFifo: QueuePolicy = (jobs, memory) =>
  chooseLeast(jobs, memory, (a, b) => a.order - b.order);

/** Strict rank order, order of arrival within a rank. */
const chooseStrict: QueuePolicy = (jobs, memory) =>
  chooseLeast(
    jobs,
    memory,
    (a, b) =>
      RANKS.indexOf(a.msg.rank) - RANKS.indexOf(b.msg.rank) ||
      a.order - b.order,
  );

/** Names of the queue policies. */
export type QueuePolicyName = 'ranked' | 'fifo' | 'strict';

/** Every queue policy by name. */
export const QUEUE_POLICIES: Readonly<Record<QueuePolicyName, QueuePolicy>> = {
  ranked: chooseRanked,
  fifo: chooseFifo,
  strict: chooseStrict,
};
