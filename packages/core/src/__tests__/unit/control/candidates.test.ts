import {describe, expect, it} from 'vitest';
import {
  EVIDENCE_LAPSE_MS,
  FINAL_REPORTS_TIMEOUT_MS,
} from '../../../control/constants.js';
import {ControlHarness} from './control_harness.js';

describe('a write owner', () => {
  it('promotes a replica only by its position after the last acknowledgement', () => {
    const harness = new ControlHarness('a-1');
    harness.advance(2 * EVIDENCE_LAPSE_MS);
    harness.indexes.delete('a');
    for (let round = 0; round < 20; round += 1) {
      harness.advance(100);
      if (harness.sent('suspect').length > 0) {
        harness.answerSuspect('b-1', 'b', false);
        harness.answerSuspect('c-1', 'c', false);
      }
    }
    expect(harness.updates()).toEqual([]);
    harness.indexes.set('b', 14);
    for (let round = 0; round < 10; round += 1) {
      harness.advance(100);
      harness.answerSuspect('b-1', 'b');
    }
    expect(harness.updates()[0]!.value).toMatchObject({
      primary: 'b',
      starts: [{term: 1}, {term: 2, index: 14}],
    });
  });

  it('ignores reports from before its last acknowledgement', () => {
    const harness = new ControlHarness('a-1');
    harness.advance(2 * EVIDENCE_LAPSE_MS);
    harness.indexes.delete('a');
    for (let round = 0; harness.sent('suspect').length === 0; round += 1) {
      expect(round).toBeLessThan(40);
      harness.advance(25);
    }
    harness.answerSuspect('b-1', 'b');
    harness.answerSuspect('c-1', null);
    harness.advance(FINAL_REPORTS_TIMEOUT_MS + 300);
    expect(harness.updates()).toEqual([]);
  });

  it('promotes the most advanced replica', () => {
    const harness = new ControlHarness('a-1');
    harness.advance(2 * EVIDENCE_LAPSE_MS);
    harness.indexes.delete('a');
    harness.indexes.set('c', 20);
    for (let round = 0; round < 40; round += 1) {
      harness.advance(100);
      if (harness.sent('suspect').length > 0) {
        harness.answerSuspect('b-1', 'b');
        harness.answerSuspect('c-1', 'c');
      }
    }
    expect(harness.updates()[0]!.value).toMatchObject({primary: 'c'});
  });
});
