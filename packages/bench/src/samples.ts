/** Outcomes of the arrivals of a run, and figures computed from them. */

import {RANKS} from '@lacewingroad/core';
import type {Rank} from '@lacewingroad/core';
import * as hdr from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

/** Outcome of an arrival; `unanswered` by the end of the run. */
export type SampleOutcome =
  'done' | 'not_run' | 'unknown' | 'failed' | 'unanswered';

/** One arrival and its outcome. */
export interface Sample {
  readonly rank: Rank;
  readonly service: string;
  readonly kind: string;
  readonly isWrite: boolean;
  readonly worth: number;
  readonly targetMs: number;
  /** Intended arrival time, in milliseconds from the start of the run. */
  readonly at: number;
  readonly endedAt: number;
  readonly outcome: SampleOutcome;
  /** Whether it belongs to a named session. */
  readonly isNamedSession: boolean;
  /** Whether a replica served it. */
  readonly isServedByReplica: boolean;
  /** Whether an oracle could have used a replica. */
  readonly couldReplicaServe: boolean;
  /** Whether an oracle could have used any endpoint. */
  readonly couldServe: boolean;
  /** Number of times that an endpoint ran its statement. */
  readonly runs: number;
}

/** Figures of one rank. Latencies cover requests done, in milliseconds. */
export interface RankFigures {
  readonly offered: number;
  readonly done: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly failed: number;
  readonly unanswered: number;
  /** Percent of the offered requests done within their target. */
  readonly withinTargetPercent: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

const US_PER_MS = 1_000;
const PERCENT = 100;
const MAX_LATENCY_US = 120_000_000;

/** Returns `part` in percent of `whole`; 100 if `whole` is 0. */
export function percentOf(part: number, whole: number): number {
  return whole === 0 ? PERCENT : (part / whole) * PERCENT;
}

/** Returns an empty histogram of microseconds. */
export function createHistogram(): Histogram {
  return hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
}

/** Adds a latency in milliseconds. */
export function recordMs(histogram: Histogram, latencyMs: number): void {
  const us = Math.round(latencyMs * US_PER_MS);
  histogram.recordValue(Math.min(MAX_LATENCY_US, Math.max(1, us)));
}

/** Returns a percentile in milliseconds; 0 for an empty histogram. */
export function getPercentileMs(
  histogram: Histogram,
  percentile: number,
): number {
  const isEmpty = histogram.totalCount === 0;
  return isEmpty ? 0 : histogram.getValueAtPercentile(percentile) / US_PER_MS;
}

/** Returns whether a request was done within its target time. */
export function isInTarget(sample: Sample): boolean {
  return (
    sample.outcome === 'done' && sample.endedAt - sample.at <= sample.targetMs
  );
}

/** Summarizes the samples of one rank. */
export function summarizeRank(samples: readonly Sample[]): RankFigures {
  const histogram = createHistogram();
  const done = samples.filter(sample => sample.outcome === 'done');
  done.forEach(({at, endedAt}) => recordMs(histogram, endedAt - at));
  const count = (outcome: SampleOutcome): number =>
    samples.filter(sample => sample.outcome === outcome).length;
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
    p50Ms: getPercentileMs(histogram, 50),
    p99Ms: getPercentileMs(histogram, 99),
    maxMs: done.reduce((max, s) => Math.max(max, s.endedAt - s.at), 0),
  };
}

/** Summarizes samples by rank; omits ranks without arrivals. */
export function summarizeRanks(
  samples: readonly Sample[],
): Partial<Record<Rank, RankFigures>> {
  const figures: Partial<Record<Rank, RankFigures>> = {};
  for (const rank of RANKS) {
    const rankSamples = samples.filter(sample => sample.rank === rank);
    if (rankSamples.length > 0) {
      figures[rank] = summarizeRank(rankSamples);
    }
  }
  return figures;
}

/** One interval of the timeline of a run. */
export interface Interval {
  readonly fromMs: number;
  /** Requests done by rank. */
  readonly done: Readonly<Record<Rank, number>>;
  /** Greatest latency by rank, in milliseconds. */
  readonly maxMs: Readonly<Record<Rank, number>>;
  /** Percent of the reads done that a replica served. */
  readonly replicaPercent: number;
}

function mapRanks(
  compute: (rank: Rank) => number,
): Readonly<Record<Rank, number>> {
  return Object.fromEntries(RANKS.map(rank => [rank, compute(rank)])) as Record<
    Rank,
    number
  >;
}

/** Splits a run into intervals; requests count at their time of completion. */
export function splitIntoIntervals(
  samples: readonly Sample[],
  endMs: number,
  stepMs: number,
): readonly Interval[] {
  const steps = Math.ceil(endMs / stepMs);
  const buckets = Array.from({length: steps}, (): Sample[] => []);
  for (const sample of samples) {
    const bucket = buckets[Math.floor(sample.endedAt / stepMs)];
    if (sample.outcome === 'done' && bucket !== undefined) {
      bucket.push(sample);
    }
  }
  return buckets.map((doneSamples, index) => {
    const reads = doneSamples.filter(sample => !sample.isWrite);
    const ofRank = (rank: Rank): readonly Sample[] =>
      doneSamples.filter(sample => sample.rank === rank);
    return {
      fromMs: index * stepMs,
      done: mapRanks(rank => ofRank(rank).length),
      maxMs: mapRanks(rank =>
        ofRank(rank).reduce((max, s) => Math.max(max, s.endedAt - s.at), 0),
      ),
      replicaPercent: percentOf(
        reads.filter(sample => sample.isServedByReplica).length,
        reads.length,
      ),
    };
  });
}

/** Lists when writes of a service were acknowledged, in ascending order. */
function listAckTimes(
  samples: readonly Sample[],
  service: string,
): readonly number[] {
  return samples
    .filter(s => s.isWrite && s.service === service && s.outcome === 'done')
    .map(sample => sample.endedAt)
    .sort((a, b) => a - b);
}

/** Returns the longest time between two consecutive instants. */
function findLongestMs(instants: readonly number[]): number {
  return instants
    .slice(1)
    .reduce((max, at, i) => Math.max(max, at - instants[i]!), 0);
}

/**
 * Returns the longest time without an acknowledged write of a service, from
 * `fromMs` to `endMs`, in milliseconds.
 */
export function findMaxGapMs(
  samples: readonly Sample[],
  service: string,
  fromMs: number,
  endMs: number,
): number {
  const acks = listAckTimes(samples, service);
  const acksWithin = acks.filter(at => at >= fromMs && at <= endMs);
  return findLongestMs([fromMs, ...acksWithin, endMs]);
}

/**
 * Returns, for each interval of a run, the greatest time since the last
 * acknowledged write of a service, in milliseconds.
 */
export function listMaxGapsMs(
  samples: readonly Sample[],
  service: string,
  endMs: number,
  stepMs: number,
): readonly number[] {
  const acks = listAckTimes(samples, service);
  let lastAt = 0;
  return Array.from({length: Math.ceil(endMs / stepMs)}, (_, step) => {
    const untilMs = (step + 1) * stepMs;
    const acksWithin = acks.filter(at => at >= step * stepMs && at < untilMs);
    const longest = findLongestMs([lastAt, ...acksWithin, untilMs]);
    lastAt = acksWithin.at(-1) ?? lastAt;
    return longest;
  });
}
