/** Runs an experiment with all its baselines and repeats; writes reports. */

import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {RANKS} from '@lacewingroad/core';
import type {Baseline, Experiment} from './experiment.js';
import type {Goal} from './goals.js';
import {INTERVAL_MS, measureRun} from './measure.js';
import type {RunFigures} from './measure.js';
import {formatReport, createPlots} from './report_svg.js';
import {runVirtual} from './virtual_driver.js';

/** One run and its figures. */
export interface BenchRun {
  readonly baseline: Baseline;
  readonly repeat: number;
  readonly seed: number;
  readonly figures: RunFigures;
}

/** Results of an experiment. */
export interface BenchResult {
  readonly name: string;
  readonly driver: 'virtual';
  readonly runs: readonly BenchRun[];
}

/** Options of running an experiment. */
export interface BenchOptions {
  /** Directory of the reports, or null to write none. */
  readonly directory: string | null;
  readonly onProgress: (text: string) => void;
}

const JSON_INDENT = 1;
const SEED_STEP = 1_000;
const PROGRESS_INTERVAL_S = 10;

/** Formats a figure with two decimals, or with none from 100 upwards. */
export function formatNumber(value: number): string {
  return value >= 100 ? value.toFixed(0) : value.toFixed(2);
}

/** Formats the median and the range of a figure over the repeats. */
export function formatSpread(values: readonly number[]): string {
  const sorted = [...values].sort((a, b) => a - b);
  const median = sorted[Math.floor((sorted.length - 1) / 2)]!;
  if (sorted.length === 1) {
    return formatNumber(median);
  }
  const [min, max] = [sorted[0]!, sorted.at(-1)!];
  return `${formatNumber(median)} (${formatNumber(min)}..${formatNumber(max)})`;
}

/** Summary of a goal over all repeats of a baseline. */
export interface GoalRow {
  readonly baseline: Baseline;
  readonly goal: string;
  readonly spread: string;
  readonly bound: string;
  /** Number of repeats that met the goal, out of all of them: `2/3`. */
  readonly met: string;
}

/** Summarizes the goals over the repeats. */
export function summarizeGoals(runs: readonly BenchRun[]): readonly GoalRow[] {
  const baselines = [...new Set(runs.map(run => run.baseline))];
  return baselines.flatMap(baseline => {
    const baselineRuns = runs.filter(run => run.baseline === baseline);
    const names = baselineRuns[0]!.figures.goals.map(goal => goal.name);
    return names.map(name => {
      const goals = baselineRuns
        .flatMap(run => run.figures.goals)
        .filter((goal: Goal) => goal.name === name);
      const {bound, isCeiling, unit} = goals[0]!;
      return {
        baseline,
        goal: name,
        spread: formatSpread(goals.map(goal => goal.measured)),
        bound: `${isCeiling ? '<=' : '>='} ${formatNumber(bound)} ${unit}`,
        met: `${goals.filter(goal => goal.isMet).length}/${goals.length}`,
      };
    });
  });
}

/** Formats the median and range of the figures by baseline and rank. */
function listRankRows(
  runs: readonly BenchRun[],
): readonly (readonly string[])[] {
  const baselines = [...new Set(runs.map(run => run.baseline))];
  return baselines.flatMap(baseline =>
    RANKS.flatMap(rank => {
      const ranks = runs
        .filter(run => run.baseline === baseline)
        .map(run => run.figures.ranks[rank])
        .filter(figures => figures !== undefined);
      if (ranks.length === 0) {
        return [];
      }
      const spread = (read: (figures: (typeof ranks)[number]) => number) =>
        formatSpread(ranks.map(read));
      return [
        [
          baseline,
          rank,
          spread(r => r.offered),
          spread(r => r.done),
          spread(r => r.notRun),
          spread(r => r.unknown + r.failed + r.unanswered),
          spread(r => r.withinTargetPercent),
          spread(r => r.p50Ms),
          spread(r => r.p99Ms),
        ],
      ];
    }),
  );
}

/** Headings of `listRankRows`. */
const RANK_HEADINGS = [
  'baseline',
  'rank',
  'offered',
  'done',
  'not run',
  'unknown, failed or unanswered',
  'in target %',
  'p50 ms',
  'p99 ms',
] as const;

/** Formats the result as lines of text. */
export function formatResult(result: BenchResult): readonly string[] {
  return [
    `${result.name} (${result.driver} time)`,
    ...summarizeGoals(result.runs).map(
      ({baseline, goal, spread, bound, met}) =>
        `  ${baseline}: ${goal} ${spread}, goal ${bound}, met ${met}`,
    ),
    ...listRankRows(result.runs).map(row => `  ${row.join(' | ')}`),
  ];
}

function writeReports(
  directory: string,
  exp: Experiment,
  result: BenchResult,
): void {
  mkdirSync(directory, {recursive: true});
  const json = JSON.stringify({experiment: exp, ...result}, null, JSON_INDENT);
  writeFileSync(join(directory, `${exp.name}.json`), json);
  const marks = exp.faults.flatMap(({atS, untilS}) =>
    [atS, ...(untilS === undefined ? [] : [untilS])].map(
      at => at + exp.warmUpS,
    ),
  );
  const plots = result.runs
    .filter(run => run.repeat === 0)
    .flatMap(({baseline, figures}) =>
      createPlots(`${exp.name}, ${baseline}`, figures, INTERVAL_MS, marks),
    );
  const html = formatReport(
    exp.name,
    RANK_HEADINGS,
    listRankRows(result.runs),
    plots,
  );
  writeFileSync(join(directory, `${exp.name}.html`), html);
}

/** Runs an experiment under virtual time. */
export function runBench(exp: Experiment, options: BenchOptions): BenchResult {
  const runs: BenchRun[] = [];
  for (const baseline of exp.baselines) {
    for (let repeat = 0; repeat < exp.repeats; repeat += 1) {
      const seed = exp.seed + repeat * SEED_STEP;
      const label = `${exp.name}: ${baseline}, repeat ${repeat + 1} of ${exp.repeats}`;
      options.onProgress(label);
      const run = runVirtual(exp, baseline, seed, second => {
        if (second % PROGRESS_INTERVAL_S === 0) {
          options.onProgress(`${label}, ${second} s`);
        }
      });
      runs.push({baseline, repeat, seed, figures: measureRun(exp, run)});
    }
  }
  const result: BenchResult = {name: exp.name, driver: 'virtual', runs};
  if (options.directory !== null) {
    writeReports(options.directory, exp, result);
  }
  return result;
}
