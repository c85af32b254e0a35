import {describe, expect, it} from 'vitest';
import {RESUME_WAIT_MS} from '../../../control/constants.js';
import {createRunMessage} from '../run_message.js';
import {ControlHarness} from './control_harness.js';

/** Longer than a host takes to learn of a change. */
const PAUSE_MS = 10_000;

/** Returns the owner of replica b after a pause of its process. */
function startHarness(): ControlHarness {
  const harness = new ControlHarness('b-1');
  harness.advance(2_000);
  harness.now += PAUSE_MS;
  return harness;
}

/** Requests a read and returns the reason of its refusal, or null. */
function requestRead(harness: ControlHarness, request: string): string | null {
  const before = harness.sent('ran', 'a-1').length;
  harness.message('a-1', createRunMessage('b', request));
  const outcome = harness.sent('ran', 'a-1')[before]?.outcome;
  return outcome?.type === 'not_run' ? outcome.reason : null;
}

describe('an owner whose process was paused', () => {
  it('takes no new work until its view is newer than the pause', () => {
    const harness = startHarness();
    expect(requestRead(harness, 'r1')).toBe('no_evidence');
    harness.advance(1_500);
    expect(requestRead(harness, 'r2')).toBe(null);
  });

  it('takes work after a limited wait when the platform is unavailable', () => {
    const harness = startHarness();
    harness.isPlatformUp = false;
    expect(requestRead(harness, 'r1')).toBe('no_evidence');
    harness.advance(RESUME_WAIT_MS / 2);
    expect(requestRead(harness, 'r2')).toBe('no_evidence');
    harness.advance(RESUME_WAIT_MS);
    expect(requestRead(harness, 'r3')).toBe(null);
  });
});
