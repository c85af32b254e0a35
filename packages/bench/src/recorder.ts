/** Collects what happened to every arrival of one run. */

import {RANKS} from '@lacewingroad/core';
import type {Rank} from '@lacewingroad/core';
import * as hdr from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

/** How an arrival ended. */
export type Ending = 'done' | 'not_run' | 'unknown' | 'failed' | 'unanswered';

/** One arrival that was answered, or never was. */
export interface Sample {
  readonly rank: Rank;
  readonly service: string;
  readonly kind: string;
  readonly isWrite: boolean;
  readonly worth: number;
  readonly targetMs: number;
  /** Intended instant of arrival, from the beginning of the run. */
  readonly at: number;
  readonly endedAt: number;
  readonly ending: Ending;
  /** Whether it belongs to a named session. */
  readonly isNamedSession: boolean;
  /** Whether a replica served it. */
  readonly isByReplica: boolean;
  /** Whether an oracle could have had a replica serve it. */
  readonly couldReplica: boolean;
  /** Whether an oracle could have had any endpoint serve it. */
  readonly couldServe: boolean;
  /** Times that an endpoint ran its statement. */
  readonly runs: number;
}

/** Figures of one rank. Latencies are of requests done, in milliseconds. */
export interface RankFigures {
  readonly offered: number;
  readonly done: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly failed: number;
  readonly unanswered: number;
  /** Percent of the offered that were done within their target. */
  readonly withinTargetPercent: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

const MICROSECONDS = 1_000;
const PERCENT = 100;
const HIGHEST_US = 120_000_000;

/** Returns a part of a whole in percent; 100 of nothing. */
export function percentOf(part: number, whole: number): number {
  return whole === 0 ? PERCENT : (part / whole) * PERCENT;
}

/** Returns an empty histogram of microseconds. */
export function createHistogram(): Histogram {
  return hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_US,
    numberOfSignificantValueDigits: 3,
  });
}

/** Adds a latency in milliseconds. */
export function recordMs(histogram: Histogram, latencyMs: number): void {
  const us = Math.round(latencyMs * MICROSECONDS);
  histogram.recordValue(Math.min(HIGHEST_US, Math.max(1, us)));
}

/** Returns a percentile in milliseconds, 0 of an empty histogram. */
export function readPercentileMs(
  histogram: Histogram,
  percentile: number,
): number {
  const isEmpty = histogram.totalCount === 0;
  return isEmpty
    ? 0
    : histogram.getValueAtPercentile(percentile) / MICROSECONDS;
}

/** Tells whether a request was done within its target time. */
export function isInTarget(sample: Sample): boolean {
  return (
    sample.ending === 'done' && sample.endedAt - sample.at <= sample.targetMs
  );
}

/** Sums up the samples of one rank. */
export function summarizeRank(samples: readonly Sample[]): RankFigures {
  const histogram = createHistogram();
  const done = samples.filter(sample => sample.ending === 'done');
  done.forEach(({at, endedAt}) => recordMs(histogram, endedAt - at));
  const count = (ending: Ending): number =>
    samples.filter(sample => sample.ending === ending).length;
  return {
    offered: samples.length,
    done: done.length,
    notRun: count('not_run'),
    unknown: count('unknown'),
    failed: count('failed'),
    unanswered: count('unanswered'),
    withinTargetPercent: percentOf(
      samples.filter(isInTarget).length,
      samples.length,
    ),
    p50Ms: readPercentileMs(histogram, 50),
    p99Ms: readPercentileMs(histogram, 99),
    maxMs: done.reduce((most, s) => Math.max(most, s.endedAt - s.at), 0),
  };
}

/** Figures by rank; ranks without arrivals are left out. */
export function summarizeRanks(
  samples: readonly Sample[],
): Partial<Record<Rank, RankFigures>> {
  const figures: Partial<Record<Rank, RankFigures>> = {};
  for (const rank of RANKS) {
    const own = samples.filter(sample => sample.rank === rank);
    if (own.length > 0) {
      figures[rank] = summarizeRank(own);
    }
  }
  return figures;
}

/** One interval of the time line of a run. */
export interface Interval {
  readonly fromMs: number;
  /** Requests done by rank. */
  readonly done: Readonly<Record<Rank, number>>;
  /** Greatest latency by rank, in milliseconds. */
  readonly maxMs: Readonly<Record<Rank, number>>;
  /** Percent of the reads done that a replica served. */
  readonly replicaPercent: number;
}

function byRank(read: (rank: Rank) => number): Readonly<Record<Rank, number>> {
  return Object.fromEntries(RANKS.map(rank => [rank, read(rank)])) as Record<
    Rank,
    number
  >;
}

/** Cuts a run into intervals by the instant at which requests were done. */
export function cutIntervals(
  samples: readonly Sample[],
  endMs: number,
  stepMs: number,
): readonly Interval[] {
  const steps = Math.ceil(endMs / stepMs);
  const slots = Array.from({length: steps}, (): Sample[] => []);
  for (const sample of samples) {
    const slot = slots[Math.floor(sample.endedAt / stepMs)];
    if (sample.ending === 'done' && slot !== undefined) {
      slot.push(sample);
    }
  }
  return slots.map((own, at) => {
    const reads = own.filter(sample => !sample.isWrite);
    const ofRank = (rank: Rank): readonly Sample[] =>
      own.filter(sample => sample.rank === rank);
    return {
      fromMs: at * stepMs,
      done: byRank(rank => ofRank(rank).length),
      maxMs: byRank(rank =>
        ofRank(rank).reduce((most, s) => Math.max(most, s.endedAt - s.at), 0),
      ),
      replicaPercent: percentOf(
        reads.filter(sample => sample.isByReplica).length,
        reads.length,
      ),
    };
  });
}

/** Returns the instants at which writes of a service were acknowledged. */
function listAcks(
  samples: readonly Sample[],
  service: string,
): readonly number[] {
  return samples
    .filter(s => s.isWrite && s.service === service && s.ending === 'done')
    .map(sample => sample.endedAt)
    .sort((a, b) => a - b);
}

/** Returns the longest time between two instants that follow each other. */
function readLongestMs(instants: readonly number[]): number {
  return instants
    .slice(1)
    .reduce((most, at, i) => Math.max(most, at - instants[i]!), 0);
}

/**
 * Returns the longest time without an acknowledged write of a service, from
 * `fromMs` to `endMs`, in milliseconds.
 */
export function readGapMs(
  samples: readonly Sample[],
  service: string,
  fromMs: number,
  endMs: number,
): number {
  const acks = listAcks(samples, service);
  const within = acks.filter(at => at >= fromMs && at <= endMs);
  return readLongestMs([fromMs, ...within, endMs]);
}

/**
 * Returns, for each interval of a run, the longest time that had passed in it
 * since the last acknowledged write of a service, in milliseconds.
 */
export function cutGaps(
  samples: readonly Sample[],
  service: string,
  endMs: number,
  stepMs: number,
): readonly number[] {
  const acks = listAcks(samples, service);
  let lastAt = 0;
  return Array.from({length: Math.ceil(endMs / stepMs)}, (_, step) => {
    const untilMs = (step + 1) * stepMs;
    const within = acks.filter(at => at >= step * stepMs && at < untilMs);
    const longest = readLongestMs([lastAt, ...within, untilMs]);
    lastAt = within.at(-1) ?? lastAt;
    return longest;
  });
}
