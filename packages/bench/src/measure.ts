/** Computes the figures of a run and compares them with the goals. */

import {RANKS} from '@lacewingroad/core';
import type {Rank} from '@lacewingroad/core';
import {computeGroupCapacity} from './experiment.js';
import type {Experiment, FaultSpec} from './experiment.js';
import * as goals from './goals.js';
import type {Goal} from './goals.js';
import {computeBestValue} from './oracle.js';
import {
  listMaxGapsMs,
  splitIntoIntervals,
  isInTarget,
  percentOf,
  findMaxGapMs,
  summarizeRanks,
} from './samples.js';
import type {Interval, RankFigures, Sample} from './samples.js';
import type {VirtualRun} from './virtual_driver.js';

/** Figures of one run. */
export interface RunFigures {
  readonly ranks: Partial<Record<Rank, RankFigures>>;
  /** Session reads by replicas, in percent of those an oracle would send there. */
  readonly replicaSharePercent: number;
  /** Longest time without an acknowledged write by service, in ms. */
  readonly gapMs: Readonly<Record<string, number>>;
  /** Time without an acknowledged write by service and interval, in ms. */
  readonly gapLines: Readonly<Record<string, readonly number[]>>;
  /** Slots in use during the flood, or during the whole run, in percent. */
  readonly slotsBusyPercent: number;
  /** Worth served within the targets, in percent of the best order's. */
  readonly valuePercent: number;
  readonly extraStatementsPercent: number;
  readonly staleReads: number;
  readonly platformReads: number;
  readonly platformUpdates: number;
  readonly goals: readonly Goal[];
  readonly intervals: readonly Interval[];
}

/** Length of the intervals of the timeline. */
export const INTERVAL_MS = 250;
const MS_PER_SECOND = 1_000;
const PERCENT = 100;
/** Offered load at or above which the slots must be in use all the time. */
const OVERLOAD_PERCENT = 150;

interface Window {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Returns the time span of the floods, or the whole run after the warm-up. */
function getMeasuredWindow(exp: Experiment): Window {
  const startMs = exp.warmUpS * MS_PER_SECOND;
  const floods = exp.load.filter(stream => stream.fromS > 0);
  const starts = floods.map(stream => stream.fromS);
  const ends = floods.map(stream => stream.untilS ?? exp.durationS);
  if (floods.length === 0) {
    return {fromMs: startMs, untilMs: startMs + exp.durationS * MS_PER_SECOND};
  }
  return {
    fromMs: startMs + Math.min(...starts) * MS_PER_SECOND,
    untilMs: startMs + Math.max(...ends) * MS_PER_SECOND,
  };
}

/** Lists services whose streams together reach the overload threshold. */
function listOverloadedServices(exp: Experiment): readonly string[] {
  return exp.tables
    .map(({service}) => service)
    .filter(service => {
      const percents = exp.load
        .filter(stream => stream.service === service)
        .map(stream => stream.percentOfCapacity);
      return percents.reduce((sum, p) => sum + p, 0) >= OVERLOAD_PERCENT;
    });
}

function computeSlotsBusyPercent(
  exp: Experiment,
  run: VirtualRun,
  groups: readonly string[],
  window: Window,
): number {
  const {slots, serviceMs, endpointsPerGroup} = exp.site;
  const inWindow = (at: number): boolean =>
    at >= window.fromMs && at < window.untilMs;
  const started = [...run.runs]
    .filter(([id]) => groups.some(group => id.startsWith(`${group}-`)))
    .reduce((sum, [, starts]) => sum + starts.filter(inWindow).length, 0);
  const spanMs = window.untilMs - window.fromMs;
  const availableMs = groups.length * endpointsPerGroup * slots * spanMs;
  return percentOf(started * serviceMs, availableMs);
}

/** Returns the worth served for a service, and that of the best order. */
function computeValue(
  exp: Experiment,
  samples: readonly Sample[],
  service: string,
  window: Window,
): {readonly served: number; readonly best: number} {
  const rows = exp.tables.find(table => table.service === service)!.rows;
  const serviceSamples = samples.filter(
    ({service: name, at}) =>
      name === service && at >= window.fromMs && at < window.untilMs,
  );
  const served = serviceSamples
    .filter(isInTarget)
    .reduce((sum, sample) => sum + sample.worth, 0);
  const seconds = (window.untilMs - window.fromMs) / MS_PER_SECOND;
  const total = Math.floor(computeGroupCapacity(exp.site) * seconds);
  const floors = Object.fromEntries(
    RANKS.map(rank => [
      rank,
      rows
        .filter(row => row.rank === rank)
        .reduce((max, row) => Math.max(max, row.floorPercent), 0),
    ]),
  ) as Record<Rank, number>;
  const best = computeBestValue(
    serviceSamples
      .filter(sample => sample.couldServe)
      .map(({rank, worth, isWrite, kind}) => ({
        rank,
        worth,
        needsPrimary:
          isWrite || rows.find(row => row.kind === kind)?.maxStalenessMs === 0,
      })),
    {primary: Math.floor(total / exp.site.endpointsPerGroup), total, floors},
  );
  return {served, best};
}

function computeValuePercent(
  exp: Experiment,
  samples: readonly Sample[],
  window: Window,
): number {
  const values = exp.tables.map(({service}) =>
    computeValue(exp, samples, service, window),
  );
  const served = values.reduce((sum, value) => sum + value.served, 0);
  const best = values.reduce((sum, value) => sum + value.best, 0);
  return percentOf(served, best);
}

function computeExtraStatementsPercent(samples: readonly Sample[]): number {
  const ran = samples.filter(sample => sample.runs > 0);
  const runs = ran.reduce((sum, sample) => sum + sample.runs, 0);
  return ran.length === 0 ? 0 : ((runs - ran.length) / ran.length) * PERCENT;
}

function getMaxGapMs(faults: readonly FaultSpec[]): number {
  const effects = [...new Set(faults.map(fault => fault.effect))];
  const boundByEffect: Readonly<Record<string, number>> = goals.MAX_GAP_MS;
  const effect = effects.length === 1 ? effects[0]! : 'other';
  const isSingle = faults.length === 1;
  return (
    (isSingle ? boundByEffect[effect] : undefined) ?? goals.MAX_GAP_MS.other
  );
}

function listFloodGoals(
  exp: Experiment,
  figures: Omit<RunFigures, 'goals'>,
  flood: readonly Sample[],
): readonly Goal[] {
  const overloaded = listOverloadedServices(exp);
  if (overloaded.length === 0) {
    return [];
  }
  const service = overloaded[0]!;
  const rows = exp.tables.find(table => table.service === service)!.rows;
  const serviceSamples = flood.filter(sample => sample.service === service);
  const rankOf = (kind: string): Rank =>
    rows.find(row => row.kind === kind)!.rank;
  const floodRanks = new Set(
    exp.load
      .filter(stream => stream.fromS > 0)
      .map(stream => rankOf(stream.kind)),
  );
  const list: Goal[] = [
    goals.atLeast(
      'slots in use',
      figures.slotsBusyPercent,
      goals.MIN_SLOTS_BUSY_PERCENT,
      '%',
    ),
  ];
  const urgent = serviceSamples.filter(sample => sample.rank === 'urgent');
  if (!floodRanks.has('urgent') && urgent.length > 0) {
    const measured = percentOf(urgent.filter(isInTarget).length, urgent.length);
    const bound = goals.MIN_URGENT_IN_TARGET_PERCENT;
    list.push(goals.atLeast('urgent within target', measured, bound, '%'));
  }
  if (!floodRanks.has('background')) {
    list.push(createFloorGoal(exp, serviceSamples, rows));
  }
  return list;
}

/** Requires the lowest rank to get its floor, or its whole load if less. */
function createFloorGoal(
  exp: Experiment,
  flood: readonly Sample[],
  rows: Experiment['tables'][number]['rows'],
): Goal {
  const window = getMeasuredWindow(exp);
  const seconds = (window.untilMs - window.fromMs) / MS_PER_SECOND;
  const floor = rows
    .filter(row => row.rank === 'background')
    .reduce((max, row) => Math.max(max, row.floorPercent), 0);
  const reserved = (computeGroupCapacity(exp.site) * seconds * floor) / PERCENT;
  const offered = flood.filter(sample => sample.rank === 'background');
  const done = offered.filter(sample => sample.outcome === 'done').length;
  const bound = Math.floor(Math.min(reserved, offered.length));
  return goals.atLeast('lowest rank served', done, bound, 'requests');
}

/** Lists services with writes throughout the run. */
function listWrittenServices(exp: Experiment): readonly string[] {
  const streams = exp.load.filter(
    ({readPercent, fromS, untilS}) =>
      readPercent < PERCENT && fromS === 0 && untilS === undefined,
  );
  return [...new Set(streams.map(stream => stream.service))];
}

/** Computes the figures of a run. */
export function measureRun(exp: Experiment, run: VirtualRun): RunFigures {
  const startMs = exp.warmUpS * MS_PER_SECOND;
  const samples = run.samples.filter(sample => sample.at >= startMs);
  const window = getMeasuredWindow(exp);
  const flood = samples.filter(
    ({at}) => at >= window.fromMs && at < window.untilMs,
  );
  const overloaded = listOverloadedServices(exp);
  const groups = exp.tables
    .filter(
      ({service}) => overloaded.length === 0 || overloaded.includes(service),
    )
    .map(table => table.group);
  const replicaReads = samples.filter(
    ({couldReplicaServe, isNamedSession, outcome}) =>
      couldReplicaServe && isNamedSession && outcome === 'done',
  );
  const servedByReplica = replicaReads.filter(
    sample => sample.isServedByReplica,
  );
  const firstFaultS = Math.min(...exp.faults.map(fault => fault.atS));
  const gapFromMs =
    exp.faults.length === 0 ? startMs : startMs + firstFaultS * MS_PER_SECOND;
  const services = listWrittenServices(exp);
  const figures: Omit<RunFigures, 'goals'> = {
    ranks: summarizeRanks(flood),
    replicaSharePercent: percentOf(servedByReplica.length, replicaReads.length),
    gapMs: Object.fromEntries(
      services.map(service => [
        service,
        findMaxGapMs(samples, service, gapFromMs, run.endMs),
      ]),
    ),
    gapLines: Object.fromEntries(
      services.map(service => [
        service,
        listMaxGapsMs(run.samples, service, run.endMs, INTERVAL_MS),
      ]),
    ),
    slotsBusyPercent: computeSlotsBusyPercent(exp, run, groups, window),
    valuePercent: computeValuePercent(exp, samples, window),
    extraStatementsPercent: computeExtraStatementsPercent(samples),
    staleReads: run.staleReads,
    platformReads: run.platformCalls.reads,
    platformUpdates: run.platformCalls.updates,
    intervals: splitIntoIntervals(run.samples, run.endMs, INTERVAL_MS),
  };
  const maxGapMs = Math.max(0, ...Object.values(figures.gapMs));
  return {
    ...figures,
    goals: [
      goals.atLeast(
        'session reads by replicas',
        figures.replicaSharePercent,
        goals.MIN_REPLICA_SHARE_PERCENT,
        '%',
      ),
      goals.atMost('gap', maxGapMs, getMaxGapMs(exp.faults), 'ms'),
      goals.atLeast(
        'value',
        figures.valuePercent,
        goals.MIN_VALUE_PERCENT,
        '%',
      ),
      goals.atMost(
        'extra statements',
        figures.extraStatementsPercent,
        goals.MAX_EXTRA_STATEMENTS_PERCENT,
        '%',
      ),
      ...listFloodGoals(exp, figures, flood),
    ],
  };
}
