import {describe, expect, it} from 'vitest';
import {classifyOutcome, createTally, sumSamples} from '@lacewingroad/demo';

describe('the demo', () => {
  it('sums the samples of a counter by labels', () => {
    const text = [
      '# HELP c_total help',
      'c_total{work="read",role="replica"} 3',
      'c_total{work="read",role="primary"} 2',
      'c_total{work="write",role="primary"} 9',
      'c_total_other{work="read",role="replica"} 100',
    ].join('\n');
    expect(sumSamples(text, 'c_total', {work: 'read'})).toBe(5);
    expect(sumSamples(text, 'c_total', {role: 'replica'})).toBe(3);
  });

  it('measures the longest time without a payment after an instant', () => {
    const tally = createTally();
    [10, 20, 500, 510].forEach(tally.recordPayment);
    expect(tally.longestGapMs(30)).toBe(470);
    expect(tally.longestGapMs(505)).toBe(5);
  });

  it('classifies outcomes by error number', () => {
    expect(classifyOutcome({errno: 9101})).toBe('not_run');
    expect(classifyOutcome({errno: 9102})).toBe('unknown');
    expect(classifyOutcome(new Error('reset'))).toBe('other');
  });
});
