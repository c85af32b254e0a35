/** Arrivals are open-loop, exponential and equal for equal seeds. */

import {describe, expect, it} from 'vitest';
import {drawArrivals} from '../../arrivals.js';
import {createExperiment, BASE} from './base_experiment.js';

const SEED = 5;

describe('arrivals', () => {
  const long = createExperiment({durationS: 96});

  it('have the configured rate and exponential gaps', () => {
    const arrivals = drawArrivals(long, SEED);
    // 20% of 600 per second over 100 s.
    expect(arrivals.length).toBeGreaterThan(11_500);
    expect(arrivals.length).toBeLessThan(12_500);
    const gaps = arrivals.slice(1).map((a, i) => a.at - arrivals[i]!.at);
    const mean = gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length;
    const square = gaps.reduce((sum, gap) => sum + (gap - mean) ** 2, 0);
    const deviation = Math.sqrt(square / gaps.length);
    expect(deviation / mean).toBeGreaterThan(0.95);
    expect(deviation / mean).toBeLessThan(1.05);
  });

  it('are equal for equal seeds and differ otherwise', () => {
    expect(drawArrivals(long, SEED)).toEqual(drawArrivals(long, SEED));
    expect(drawArrivals(long, SEED + 1)).not.toEqual(drawArrivals(long, SEED));
  });

  it('of a flood lie within its time, after the warm-up', () => {
    const flood = {...BASE.load[0], fromS: 1, untilS: 2};
    const arrivals = drawArrivals(createExperiment({load: [flood]}), SEED);
    expect(arrivals.every(({at}) => at >= 5_000 && at < 6_000)).toBe(true);
    expect(arrivals.length).toBeGreaterThan(80);
  });

  it('contain reads that follow a write of the same session', () => {
    const arrivals = drawArrivals(long, SEED);
    const reads = arrivals.filter(arrival => !arrival.isWrite);
    expect(reads.length / arrivals.length).toBeCloseTo(0.5, 1);
    let lastWriter = -1;
    let follows = 0;
    for (const {isWrite, session} of arrivals) {
      follows += !isWrite && session === lastWriter ? 1 : 0;
      lastWriter = isWrite ? session : lastWriter;
    }
    expect(follows / reads.length).toBeGreaterThan(0.5);
  });
});
