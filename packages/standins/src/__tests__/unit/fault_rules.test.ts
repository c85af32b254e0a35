/** Tests which rules apply to a connection. */

import {describe, expect, it} from 'vitest';
import {checkRules, evaluateRules} from '../../fault/rules.js';
import type {FaultRule} from '../../fault/rules.js';

const RULES: readonly FaultRule[] = [
  {from: '127.0.1.', link: '*', effect: {type: 'delay', ms: 5}},
  {from: '*', link: 'platform', effect: {type: 'delay', ms: 2}},
  {from: '127.0.2.', link: 'platform', effect: {type: 'drop_up'}},
  {from: '127.0.3.', link: '*', effect: {type: 'drop'}},
];

describe('evaluateRules', () => {
  it('matches by source prefix and link and adds up delays', () => {
    expect(evaluateRules(RULES, '127.0.1.9', 'platform').delayMs).toBe(7);
    expect(evaluateRules(RULES, '127.0.1.9', 'peer:a').delayMs).toBe(5);
    expect(evaluateRules(RULES, '127.0.2.9', 'peer:a').delayMs).toBe(0);
  });

  it('distinguishes the directions', () => {
    const oneWay = evaluateRules(RULES, '127.0.2.1', 'platform');
    expect([oneWay.isSilentUp, oneWay.isSilentDown]).toEqual([true, false]);
    const both = evaluateRules(RULES, '127.0.3.1', 'platform');
    expect([both.isSilentUp, both.isSilentDown]).toEqual([true, true]);
    expect([oneWay.isDropped, both.isDropped]).toEqual([false, true]);
  });

  it('rejects unknown effects', () => {
    const rule = {from: '*', link: '*', effect: {type: 'melt'}};
    expect(() => checkRules([rule as unknown as FaultRule])).toThrow(/delay/);
  });
});
