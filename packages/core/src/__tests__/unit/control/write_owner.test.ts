import {describe, expect, it} from 'vitest';
import {EVIDENCE_LAPSE_MS} from '../../../control/constants.js';
import {
  hasWriteEvidence,
  readEvidenceExpiry,
} from '../../../control/control_status.js';
import {isConfirmedWriter} from '../../../control/confirmation.js';
import {ControlHarness, GROUP, createGroup} from './control_harness.js';

describe('a write owner', () => {
  /** Returns a confirmed write owner that is replacing its failed primary. */
  function startPromotion(): ControlHarness {
    const harness = new ControlHarness('a-1');
    harness.advance(2 * EVIDENCE_LAPSE_MS);
    harness.indexes.delete('a');
    for (let round = 0; harness.updates().length === 0; round += 1) {
      expect(round).toBeLessThan(40);
      harness.advance(100);
      if (harness.sent('suspect').length > 0) {
        harness.answerSuspect('b-1', 'b');
        harness.answerSuspect('c-1', 'c');
      }
    }
    return harness;
  }

  it('resumes writes if its promotion failed and the primary is back', () => {
    const harness = startPromotion();
    expect(hasWriteEvidence(harness.board, GROUP, 1, harness.now)).toBe(false);
    harness.isPlatformUp = false;
    harness.answerUpdate('unknown', false);
    harness.indexes.set('a', 10);
    harness.advance(2_000);
    expect(hasWriteEvidence(harness.board, GROUP, 1, harness.now)).toBe(false);
    harness.isPlatformUp = true;
    for (let round = 0; round < 10; round += 1) {
      harness.advance(500);
      if (harness.updates().length > 1) {
        harness.answerUpdate('updated', true);
      }
    }
    expect(harness.storedGroup).toMatchObject({
      term: 1,
      primary: 'a',
      fence: null,
    });
    expect(hasWriteEvidence(harness.board, GROUP, 1, harness.now)).toBe(true);
  });

  it.each([
    ['a registered promoter', 'b-2', true],
    ['a host that is not registered', 'c-1', false],
  ])('is confirmed by %s: %s', (_name, host, isConfirmed) => {
    const group = createGroup({owners: {a: 'a-1', b: 'b-2'}});
    const hosts = ['a-1', 'b-2', 'c-1'];
    const harness = new ControlHarness('a-1', {group, hosts});
    harness.advance(1_000);
    const {ask} = harness.sent('promise').at(-1)!;
    const answer = {group: GROUP, term: 1, granted: true};
    harness.message(host, {type: 'promised', ask, ...answer});
    harness.advance(EVIDENCE_LAPSE_MS);
    expect(isConfirmedWriter(harness.board, group, harness.now)).toBe(
      isConfirmed,
    );
  });

  it('registers all promoters of a new group without a delay', () => {
    const group = createGroup({owners: {a: 'a-1'}});
    const harness = new ControlHarness('a-1', {group});
    harness.advance(EVIDENCE_LAPSE_MS + 1_000);
    for (const [host, endpoint] of [
      ['b-1', 'b'],
      ['c-1', 'c'],
    ] as const) {
      harness.message(host, {type: 'register', group: GROUP, endpoint});
      harness.answerUpdate('updated', true);
    }
    expect(harness.storedGroup.owners).toEqual({a: 'a-1', b: 'b-1', c: 'c-1'});
  });

  it('that restarted waits for a view newer than any update it sent before', () => {
    const harness = new ControlHarness('a-1', {startedAt: 60_000});
    harness.advance(1_000);
    harness.isPlatformUp = false;
    harness.advance(EVIDENCE_LAPSE_MS + 1_000);
    expect(readEvidenceExpiry(harness.board, GROUP)).toBeGreaterThan(
      harness.now,
    );
    expect(hasWriteEvidence(harness.board, GROUP, 1, harness.now)).toBe(false);
    harness.isPlatformUp = true;
    harness.advance(1_000);
    expect(hasWriteEvidence(harness.board, GROUP, 1, harness.now)).toBe(true);
  });

  it('also requests promises of a promoter that may be registered', () => {
    const owners = {a: 'a-1', b: 'b-1'};
    const harness = new ControlHarness('a-1', {group: createGroup({owners})});
    harness.advance(2 * EVIDENCE_LAPSE_MS);
    harness.message('c-1', {type: 'register', group: GROUP, endpoint: 'c'});
    harness.isPlatformUp = false;
    harness.answerUpdate('unknown', true);
    for (let round = 0; round < 5; round += 1) {
      harness.advance(1_000);
      harness.answerUpdate('refused', false);
    }
    const before = harness.sent('promise', 'c-1').length;
    harness.advance(1_000);
    expect(harness.sent('promise', 'c-1').length).toBeGreaterThan(before);
  });
});
