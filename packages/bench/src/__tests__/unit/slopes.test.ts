import {describe, expect, it} from 'vitest';
import {fitLine, fitPower} from '../../slopes/fit.js';
import {countMessageBytes, countWireBytes} from '../../slopes/message_bytes.js';

describe('fitLine', () => {
  it('finds the line through collinear points', () => {
    const points = [10, 20, 40].map(size => ({size, cost: 7 + 3 * size}));
    const {intercept, slope, r2} = fitLine(points);
    expect(intercept).toBeCloseTo(7);
    expect(slope).toBeCloseTo(3);
    expect(r2).toBeCloseTo(1);
  });

  it('returns a low r2 for scattered points', () => {
    const points = [
      {size: 1, cost: 5},
      {size: 2, cost: -5},
      {size: 3, cost: 5},
    ];
    const {slope, r2} = fitLine(points);
    expect(slope).toBeCloseTo(0);
    expect(r2).toBeCloseTo(0);
  });

  it('rejects points of a single size', () => {
    expect(() => fitLine([{size: 1, cost: 1}])).toThrow('different size');
  });
});

describe('fitPower', () => {
  it('finds the exponent of a power curve', () => {
    const points = [10, 20, 40].map(size => ({size, cost: 5 * size ** 2}));
    expect(fitPower(points)).toBeCloseTo(2);
  });

  it('rejects a cost of 0', () => {
    expect(() => fitPower([{size: 1, cost: 0}])).toThrow('above 0');
  });
});

describe('byte counting', () => {
  const short = {type: 'cancel', request: 'r'} as const;
  const long = {type: 'cancel', request: 'r'.repeat(11)} as const;

  it('grows by the bytes of a longer field', () => {
    const more = countMessageBytes(long) - countMessageBytes(short);
    expect(more).toBe(10);
  });

  it('adds the same frame and headers to every message', () => {
    const overheads = [short, long].map(
      msg => countWireBytes(msg) - countMessageBytes(msg),
    );
    expect(overheads[0]).toBe(overheads[1]);
    expect(overheads[0]).toBeGreaterThan(100);
  });

  it('counts the map, both names and both values', () => {
    const mapBytes = 3;
    const typeBytes = 1 + 'type'.length + 1 + 'cancel'.length;
    const requestBytes = 1 + 'request'.length + 1 + 'r'.length;
    expect(countMessageBytes(short)).toBe(mapBytes + typeBytes + requestBytes);
  });
});
