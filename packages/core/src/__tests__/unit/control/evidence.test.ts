import {describe, expect, it} from 'vitest';
import {EVIDENCE_LAPSE_MS, EVIDENCE_MS} from '../../../control/constants.js';
import {hasWriteEvidence} from '../../../control/control_status.js';
import {ControlHarness, GROUP} from './control_harness.js';

/** Returns a confirmed write owner. */
function startWriter(): ControlHarness {
  const harness = new ControlHarness('a-1');
  harness.advance(2 * EVIDENCE_LAPSE_MS);
  return harness;
}

function hasEvidence(harness: ControlHarness): boolean {
  return hasWriteEvidence(harness.board, GROUP, 1, harness.now);
}

describe('write evidence', () => {
  it('lasts as long as all promoters promise', () => {
    const harness = startWriter();
    harness.isPlatformUp = false;
    harness.advance(60_000);
    expect(hasEvidence(harness)).toBe(true);
  });

  it('expires EVIDENCE_MS after the last promises of all promoters', () => {
    const harness = startWriter();
    harness.isPlatformUp = false;
    harness.advance(10_000);
    harness.promisingHosts = ['b-1'];
    harness.advance(EVIDENCE_MS);
    expect(hasEvidence(harness)).toBe(false);
  });

  it('is regained after its expiry only by reading the platform', () => {
    const harness = startWriter();
    harness.isPlatformUp = false;
    harness.promisingHosts = [];
    harness.advance(2 * EVIDENCE_MS);
    harness.promisingHosts = ['b-1', 'c-1'];
    harness.advance(2 * EVIDENCE_MS);
    expect(hasEvidence(harness)).toBe(false);
    harness.isPlatformUp = true;
    harness.advance(1_000);
    expect(hasEvidence(harness)).toBe(true);
  });

  it('is not extended by promises that arrive after its expiry', () => {
    const harness = startWriter();
    harness.isPlatformUp = false;
    harness.promisingHosts = [];
    harness.advance(EVIDENCE_MS - 200);
    const {ask} = harness.sent('promise').at(-1)!;
    harness.advance(EVIDENCE_MS / 2);
    expect(hasEvidence(harness)).toBe(false);
    for (const host of ['b-1', 'c-1']) {
      const answer = {group: GROUP, term: 1, granted: true};
      harness.message(host, {type: 'promised', ask, ...answer});
    }
    expect(hasEvidence(harness)).toBe(false);
  });

  it('counts from the request of a promise, not from the answer', () => {
    const harness = startWriter();
    harness.isPlatformUp = false;
    harness.promisingHosts = [];
    harness.advance(EVIDENCE_MS - 200);
    expect(hasEvidence(harness)).toBe(true);
    const {ask} = harness.sent('promise').at(-1)!;
    const asked = harness.now;
    for (const host of ['b-1', 'c-1']) {
      const answer = {group: GROUP, term: 1, granted: true};
      harness.message(host, {type: 'promised', ask, ...answer});
    }
    harness.advance(EVIDENCE_MS - 1);
    expect(harness.now).toBe(asked + EVIDENCE_MS - 1);
    expect(hasEvidence(harness)).toBe(false);
  });

  it('expires when a fence is set, and in a later term', () => {
    const harness = startWriter();
    const fence = {term: 1, by: 'b-1', attempt: 'x', confirmed: false};
    harness.change({fence});
    harness.advance(1_000);
    expect(hasEvidence(harness)).toBe(false);
    harness.change({term: 2, primary: 'b', fence: null});
    harness.advance(1_000);
    expect(hasEvidence(harness)).toBe(false);
    expect(hasWriteEvidence(harness.board, GROUP, 2, harness.now)).toBe(false);
  });
});
