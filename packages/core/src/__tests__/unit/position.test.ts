import {describe, expect, it} from 'vitest';
import {getPositionStatus} from '@lacewingroad/core';

const STARTS = [
  {term: 1, index: 0},
  {term: 2, index: 6},
  {term: 3, index: 2},
];

describe('getPositionStatus', () => {
  it.each([
    [{term: 1, index: 6}, 2, 'survives'],
    [{term: 1, index: 7}, 2, 'lost'],
    [{term: 1, index: 2}, 3, 'survives'],
    [{term: 1, index: 3}, 3, 'lost'],
    [{term: 2, index: 3}, 3, 'lost'],
    [{term: 3, index: 9}, 3, 'survives'],
    [{term: 4, index: 1}, 3, 'unknown'],
  ] as const)('returns for %o in term %i: %s', (position, term, status) => {
    expect(getPositionStatus(position, term, STARTS)).toBe(status);
  });
});
