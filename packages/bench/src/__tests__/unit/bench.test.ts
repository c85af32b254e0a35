/** Checks figures, short runs under virtual time, and their reports. */

import {describe, expect, it} from 'vitest';
import {atLeast, atMost} from '../../goals.js';
import {measureRun} from '../../measure.js';
import {
  listMaxGapsMs,
  splitIntoIntervals,
  isInTarget,
  findMaxGapMs,
  summarizeRank,
} from '../../samples.js';
import type {Sample} from '../../samples.js';
import {drawPlot, formatReport, createPlots} from '../../report_svg.js';
import {formatSpread, summarizeGoals} from '../../run_bench.js';
import {computeShareSize} from '../../equal_shares.js';
import {runVirtual} from '../../virtual_driver.js';
import {createExperiment} from './base_experiment.js';

const SEED = 9;

function createSample(parts: Partial<Sample>): Sample {
  return {
    rank: 'urgent',
    service: 'shop',
    kind: 'pay',
    isWrite: true,
    isNamedSession: true,
    worth: 1,
    targetMs: 100,
    at: 0,
    endedAt: 10,
    outcome: 'done',
    isServedByReplica: false,
    couldReplicaServe: false,
    couldServe: true,
    runs: 1,
    ...parts,
  };
}

describe('figures', () => {
  it('count latency from the intended arrival', () => {
    const samples = [10, 20, 500].map(endedAt => createSample({endedAt}));
    const figures = summarizeRank(samples);
    expect(figures.p50Ms).toBeCloseTo(20, 0);
    expect(figures.maxMs).toBe(500);
    expect(figures.withinTargetPercent).toBeCloseTo(66.67, 1);
    expect(isInTarget(createSample({outcome: 'unknown'}))).toBe(false);
  });

  it('find the longest time without an acknowledged write', () => {
    const samples = [100, 900, 1_000].map(endedAt => createSample({endedAt}));
    const other = createSample({endedAt: 500, outcome: 'unknown'});
    expect(findMaxGapMs([...samples, other], 'shop', 0, 1_200)).toBe(800);
    expect(findMaxGapMs([], 'shop', 0, 1_200)).toBe(1_200);
  });

  it('show how a gap grows from interval to interval', () => {
    const samples = [100, 900].map(endedAt => createSample({endedAt}));
    expect(listMaxGapsMs(samples, 'shop', 1_000, 250)).toEqual([
      150, 400, 650, 800,
    ]);
  });

  it('split the run into intervals', () => {
    const reads = [true, false].map(isServedByReplica =>
      createSample({isWrite: false, isServedByReplica, endedAt: 300}),
    );
    const intervals = splitIntoIntervals(
      [createSample({}), ...reads],
      500,
      250,
    );
    expect(intervals.map(({done}) => done.urgent)).toEqual([1, 2]);
    expect(intervals[1]!.replicaPercent).toBe(50);
  });

  it('compare goals with their bounds', () => {
    expect(atMost('gap', 501, 500, 'ms').isMet).toBe(false);
    expect(atLeast('share', 95, 95, '%').isMet).toBe(true);
    expect(formatSpread([3, 1, 2])).toBe('2.00 (1.00..3.00)');
  });
});

describe('virtual runs', () => {
  const exp = createExperiment();
  const run = runVirtual(exp, 'product', SEED, () => undefined);

  it('answer every arrival and are reproducible', () => {
    const again = runVirtual(exp, 'product', SEED, () => undefined);
    expect(again.samples).toEqual(run.samples);
    expect(run.samples.length).toBeGreaterThan(300);
    expect(run.samples.every(({outcome}) => outcome !== 'unanswered')).toBe(
      true,
    );
    expect(run.staleReads).toBe(0);
  });

  it('send no read to replicas where a baseline forbids it', () => {
    const primary = runVirtual(exp, 'reads_to_primary', SEED, () => undefined);
    expect(
      primary.samples.some(({isServedByReplica}) => isServedByReplica),
    ).toBe(false);
    expect(run.samples.some(({isServedByReplica}) => isServedByReplica)).toBe(
      true,
    );
  });

  it('give each host an equal share of the connections without owners', () => {
    expect([computeShareSize(24, 9), computeShareSize(8, 9)]).toEqual([2, 1]);
    const shares = runVirtual(exp, 'equal_shares', SEED, () => undefined);
    expect(shares.samples.every(({outcome}) => outcome === 'done')).toBe(true);
    expect(
      shares.samples.some(({isServedByReplica}) => isServedByReplica),
    ).toBe(true);
    expect(shares.staleReads).toBe(0);
  });

  it('continue on new connections after the open ones went silent', () => {
    const faults = [
      {atS: 1, effect: 'silence_connections', target: 'g1'},
      {atS: 2, effect: 'silence_links', target: 'a'},
    ];
    const silent = createExperiment({durationS: 9, faults});
    const {samples} = runVirtual(silent, 'product', SEED, () => undefined);
    const done = samples.filter(({outcome}) => outcome === 'done');
    expect(done.some(({at, endedAt}) => endedAt - at > 200)).toBe(true);
    expect(done.some(({at, isWrite}) => isWrite && at > 12_000)).toBe(true);
  });

  it('show stale reads if replicas are chosen by age alone', () => {
    const site = {...exp.site, lagMs: 1_000};
    const slow = createExperiment({site});
    const aged = runVirtual(slow, 'replicas_by_age', SEED, () => undefined);
    const product = runVirtual(slow, 'product', SEED, () => undefined);
    expect(aged.staleReads).toBeGreaterThan(0);
    expect(product.staleReads).toBe(0);
  });

  it('are reported with goals and plots', () => {
    const figures = measureRun(exp, run);
    const rows = summarizeGoals([
      {baseline: 'product', repeat: 0, seed: SEED, figures},
    ]);
    expect(rows.map(row => row.goal)).toContain('session reads by replicas');
    const plots = createPlots('small', figures, 250, [5]);
    expect(drawPlot(plots[0]!)).toMatch(/^<svg[\s\S]*urgent[\s\S]*<\/svg>$/);
    const html = formatReport('a<b', ['x'], [['1']], plots);
    expect(html).toContain('a&lt;b');
    expect(html).toContain('small: time since the last acknowledged write');
    expect(html.match(/<svg/g)).toHaveLength(plots.length);
  });
});
