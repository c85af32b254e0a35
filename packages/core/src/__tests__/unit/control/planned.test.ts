import {describe, expect, it} from 'vitest';
import {
  EVIDENCE_LAPSE_MS,
  PLANNED_TIMEOUT_MS,
} from '../../../control/constants.js';
import {hasWriteEvidence} from '../../../control/control_status.js';
import {ControlHarness, GROUP} from './control_harness.js';

/** Returns a write owner with a planned change in progress. */
function startPlanned(): ControlHarness {
  const hosts = ['a-1', 'a-2', 'b-1', 'c-1'];
  const harness = new ControlHarness('a-1', {hosts});
  harness.advance(2 * EVIDENCE_LAPSE_MS);
  harness.message('c-1', {type: 'failover', ask: 7, group: GROUP, to: 'b'});
  harness.advance(500);
  return harness;
}

function readResult(harness: ControlHarness) {
  return harness.sent('failover_result', 'c-1').at(-1);
}

describe('a planned change', () => {
  it('promotes the next primary once it has caught up', () => {
    const harness = startPlanned();
    const {ask} = harness.sent('await_position', 'b-1').at(-1)!;
    expect(hasWriteEvidence(harness.board, GROUP, 1, harness.now)).toBe(false);
    harness.message('b-1', {type: 'position', ask, reached: true});
    harness.advance(100);
    expect(harness.updates().at(-1)!.value).toMatchObject({
      primary: 'b',
      term: 2,
      starts: [{term: 1}, {term: 2, index: 10}],
    });
    harness.answerUpdate('updated', true);
    harness.advance(100);
    expect(readResult(harness)).toMatchObject({ask: 7, ok: true});
  });

  it('times out, and writes resume', () => {
    const harness = startPlanned();
    harness.advance(PLANNED_TIMEOUT_MS);
    expect(readResult(harness)).toMatchObject({ask: 7, ok: false});
    expect(hasWriteEvidence(harness.board, GROUP, 1, harness.now)).toBe(true);
  });

  it('is also answered when another host takes over the primary', () => {
    const harness = startPlanned();
    harness.change({owners: {a: 'a-2', b: 'b-1', c: 'c-1'}});
    harness.advance(2_000);
    expect(harness.board.endpoints.owned.size).toBe(0);
    expect(readResult(harness)).toMatchObject({ask: 7, ok: false});
  });
});
