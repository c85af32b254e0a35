/** Turns a run into figures and holds them against the goals. */

import {RANKS} from '@lacewingroad/core';
import type {Rank} from '@lacewingroad/core';
import {readGroupCapacity} from './experiment.js';
import type {Experiment, FaultSpec} from './experiment.js';
import * as goals from './goals.js';
import type {Goal} from './goals.js';
import {readBestValue} from './oracle.js';
import {
  cutGaps,
  cutIntervals,
  isInTarget,
  percentOf,
  readGapMs,
  summarizeRanks,
} from './recorder.js';
import type {Interval, RankFigures, Sample} from './recorder.js';
import type {VirtualRun} from './virtual_driver.js';

/** Figures of one run. */
export interface RunFigures {
  readonly ranks: Partial<Record<Rank, RankFigures>>;
  /** Session reads by replicas, percent of what an oracle would serve there. */
  readonly replicaSharePercent: number;
  /** Longest time without an acknowledged write by service, in ms. */
  readonly gapMs: Readonly<Record<string, number>>;
  /** Time without an acknowledged write by service and interval, in ms. */
  readonly gapLines: Readonly<Record<string, readonly number[]>>;
  /** Slots in use during the flood, or the whole run, percent. */
  readonly slotsBusyPercent: number;
  /** Worth served within the targets, percent of the best order's. */
  readonly valuePercent: number;
  readonly extraStatementsPercent: number;
  readonly staleReads: number;
  readonly platformReads: number;
  readonly platformUpdates: number;
  readonly goals: readonly Goal[];
  readonly intervals: readonly Interval[];
}

/** Length of the intervals of the time line. */
export const INTERVAL_MS = 250;
const MS_PER_SECOND = 1_000;
const PERCENT = 100;
/** Offered load at which the slots have to be in use throughout. */
const OVERLOAD_PERCENT = 150;

interface Window {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** The time of the floods, else of the whole run after the warm-up. */
function readWindow(exp: Experiment): Window {
  const startMs = exp.warmUpS * MS_PER_SECOND;
  const floods = exp.load.filter(stream => stream.fromS > 0);
  const froms = floods.map(stream => stream.fromS);
  const untils = floods.map(stream => stream.untilS ?? exp.durationS);
  if (floods.length === 0) {
    return {fromMs: startMs, untilMs: startMs + exp.durationS * MS_PER_SECOND};
  }
  return {
    fromMs: startMs + Math.min(...froms) * MS_PER_SECOND,
    untilMs: startMs + Math.max(...untils) * MS_PER_SECOND,
  };
}

/** Services whose streams together exceed what their group can run. */
function listOverloaded(exp: Experiment): readonly string[] {
  return exp.tables
    .map(({service}) => service)
    .filter(service => {
      const percents = exp.load
        .filter(stream => stream.service === service)
        .map(stream => stream.percentOfCapacity);
      return percents.reduce((sum, p) => sum + p, 0) >= OVERLOAD_PERCENT;
    });
}

function readSlotsBusy(
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
  const room = groups.length * endpointsPerGroup * slots * spanMs;
  return percentOf(started * serviceMs, room);
}

/** Worth served of one service, and the best that any order could serve. */
function readValue(
  exp: Experiment,
  samples: readonly Sample[],
  service: string,
  window: Window,
): {readonly served: number; readonly best: number} {
  const rows = exp.tables.find(table => table.service === service)!.rows;
  const own = samples.filter(
    ({service: name, at}) =>
      name === service && at >= window.fromMs && at < window.untilMs,
  );
  const served = own
    .filter(isInTarget)
    .reduce((sum, sample) => sum + sample.worth, 0);
  const seconds = (window.untilMs - window.fromMs) / MS_PER_SECOND;
  const total = Math.floor(readGroupCapacity(exp.site) * seconds);
  const floors = Object.fromEntries(
    RANKS.map(rank => [
      rank,
      rows
        .filter(row => row.rank === rank)
        .reduce((most, row) => Math.max(most, row.floorPercent), 0),
    ]),
  ) as Record<Rank, number>;
  const best = readBestValue(
    own
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

function readValuePercent(
  exp: Experiment,
  samples: readonly Sample[],
  window: Window,
): number {
  const values = exp.tables.map(({service}) =>
    readValue(exp, samples, service, window),
  );
  const served = values.reduce((sum, value) => sum + value.served, 0);
  const best = values.reduce((sum, value) => sum + value.best, 0);
  return percentOf(served, best);
}

function readExtra(samples: readonly Sample[]): number {
  const ran = samples.filter(sample => sample.runs > 0);
  const runs = ran.reduce((sum, sample) => sum + sample.runs, 0);
  return ran.length === 0 ? 0 : ((runs - ran.length) / ran.length) * PERCENT;
}

function readGapBound(faults: readonly FaultSpec[]): number {
  const effects = [...new Set(faults.map(fault => fault.effect))];
  const bounds: Readonly<Record<string, number>> = goals.GAP_BOUNDS_MS;
  const only = effects.length === 1 ? effects[0]! : 'other';
  const isSingle = faults.length === 1;
  return (isSingle ? bounds[only] : undefined) ?? goals.GAP_BOUNDS_MS.other;
}

function listFloodGoals(
  exp: Experiment,
  figures: Omit<RunFigures, 'goals'>,
  flood: readonly Sample[],
): readonly Goal[] {
  const flooded = listOverloaded(exp);
  if (flooded.length === 0) {
    return [];
  }
  const service = flooded[0]!;
  const rows = exp.tables.find(table => table.service === service)!.rows;
  const own = flood.filter(sample => sample.service === service);
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
      goals.SLOTS_BUSY_PERCENT,
      '%',
    ),
  ];
  const urgent = own.filter(sample => sample.rank === 'urgent');
  if (!floodRanks.has('urgent') && urgent.length > 0) {
    const measured = percentOf(urgent.filter(isInTarget).length, urgent.length);
    const bound = goals.URGENT_IN_TARGET_PERCENT;
    list.push(goals.atLeast('urgent within target', measured, bound, '%'));
  }
  if (!floodRanks.has('background')) {
    list.push(readFloorGoal(exp, own, rows));
  }
  return list;
}

/** The lowest rank gets its floor, or all that it offers where that is less. */
function readFloorGoal(
  exp: Experiment,
  flood: readonly Sample[],
  rows: Experiment['tables'][number]['rows'],
): Goal {
  const window = readWindow(exp);
  const seconds = (window.untilMs - window.fromMs) / MS_PER_SECOND;
  const floor = rows
    .filter(row => row.rank === 'background')
    .reduce((most, row) => Math.max(most, row.floorPercent), 0);
  const kept = (readGroupCapacity(exp.site) * seconds * floor) / PERCENT;
  const offered = flood.filter(sample => sample.rank === 'background');
  const done = offered.filter(sample => sample.ending === 'done').length;
  const bound = Math.floor(Math.min(kept, offered.length));
  return goals.atLeast('lowest rank served', done, bound, 'requests');
}

/** Services with writes from the beginning to the end of the run. */
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
  const window = readWindow(exp);
  const flood = samples.filter(
    ({at}) => at >= window.fromMs && at < window.untilMs,
  );
  const overloaded = listOverloaded(exp);
  const groups = exp.tables
    .filter(
      ({service}) => overloaded.length === 0 || overloaded.includes(service),
    )
    .map(table => table.group);
  const could = samples.filter(
    ({couldReplica, isNamedSession, ending}) =>
      couldReplica && isNamedSession && ending === 'done',
  );
  const byReplica = could.filter(sample => sample.isByReplica);
  const firstFaultS = Math.min(...exp.faults.map(fault => fault.atS));
  const gapFromMs =
    exp.faults.length === 0 ? startMs : startMs + firstFaultS * MS_PER_SECOND;
  const services = listWrittenServices(exp);
  const figures: Omit<RunFigures, 'goals'> = {
    ranks: summarizeRanks(flood),
    replicaSharePercent: percentOf(byReplica.length, could.length),
    gapMs: Object.fromEntries(
      services.map(service => [
        service,
        readGapMs(samples, service, gapFromMs, run.endMs),
      ]),
    ),
    gapLines: Object.fromEntries(
      services.map(service => [
        service,
        cutGaps(run.samples, service, run.endMs, INTERVAL_MS),
      ]),
    ),
    slotsBusyPercent: readSlotsBusy(exp, run, groups, window),
    valuePercent: readValuePercent(exp, samples, window),
    extraStatementsPercent: readExtra(samples),
    staleReads: run.staleReads,
    platformReads: run.platformCalls.reads,
    platformUpdates: run.platformCalls.updates,
    intervals: cutIntervals(run.samples, run.endMs, INTERVAL_MS),
  };
  const greatestGap = Math.max(0, ...Object.values(figures.gapMs));
  return {
    ...figures,
    goals: [
      goals.atLeast(
        'session reads by replicas',
        figures.replicaSharePercent,
        goals.REPLICA_SHARE_PERCENT,
        '%',
      ),
      goals.atMost('gap', greatestGap, readGapBound(exp.faults), 'ms'),
      goals.atLeast('value', figures.valuePercent, goals.VALUE_PERCENT, '%'),
      goals.atMost(
        'extra statements',
        figures.extraStatementsPercent,
        goals.EXTRA_STATEMENTS_PERCENT,
        '%',
      ),
      ...listFloodGoals(exp, figures, flood),
    ],
  };
}
