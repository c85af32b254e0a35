import {describe, expect, it} from 'vitest';
import {EVIDENCE_LAPSE_MS} from '../../../control/constants.js';
import {hasWriteEvidence} from '../../../control/control_status.js';
import type {GroupObject} from '../../../model/group.js';
import {ControlHarness, GROUP} from './control_harness.js';

/** Returns a confirmed write owner with a second host in its data centre. */
function startHarness(): ControlHarness {
  const harness = new ControlHarness('a-1', {
    hosts: ['a-1', 'a-2', 'b-1', 'c-1'],
  });
  harness.advance(2 * EVIDENCE_LAPSE_MS);
  return harness;
}

describe('a write owner that is asked to hand over', () => {
  it('registers the host that asks', () => {
    const harness = startHarness();
    harness.message('a-2', {type: 'register', group: GROUP, endpoint: 'a'});
    expect(harness.updates().at(-1)!.value).toMatchObject({
      owners: {a: 'a-2'},
    });
  });

  it('needs no promise of that host, as it is not confirmed yet', () => {
    const harness = startHarness();
    harness.promisingHosts = ['b-1', 'c-1'];
    harness.message('a-2', {type: 'register', group: GROUP, endpoint: 'a'});
    harness.isPlatformUp = false;
    harness.answerUpdate('unknown', false);
    harness.advance(2 * EVIDENCE_LAPSE_MS);
    expect(hasWriteEvidence(harness.board, GROUP, 1, harness.now)).toBe(true);
  });

  it('keeps the primary during a planned change', () => {
    const harness = startHarness();
    harness.feed({type: 'operator_failover', ask: 1, group: GROUP, to: 'b'});
    const before = harness.updates().length;
    harness.message('a-2', {type: 'register', group: GROUP, endpoint: 'a'});
    expect(harness.updates()).toHaveLength(before);
  });
});

describe('a write owner that stops', () => {
  function stop(harness: ControlHarness): void {
    harness.feed({type: 'drain', deadline: harness.now + 30_000});
  }

  it('registers the next host of its data centre at once', () => {
    const harness = startHarness();
    stop(harness);
    expect(harness.updates().at(-1)!.value).toMatchObject({
      term: 1,
      owners: {a: 'a-2', b: 'b-1', c: 'c-1'},
    });
  });

  it('registers a host of another data centre when all local hosts stop', () => {
    const harness = startHarness();
    const outcome = {type: 'not_run', reason: 'draining'} as const;
    const answer = {request: 'r', attempt: 1, outcome, report: null};
    harness.message('a-2', {type: 'ran', ...answer});
    stop(harness);
    const {owners} = harness.updates().at(-1)!.value as GroupObject;
    expect(['b-1', 'c-1']).toContain(owners['a']);
  });

  it('registers no host without the platform or during a planned change', () => {
    const isolated = startHarness();
    isolated.isPlatformUp = false;
    isolated.advance(2_000);
    const before = isolated.updates().length;
    stop(isolated);
    isolated.advance(1_000);
    expect(isolated.updates()).toHaveLength(before);
    const harness = startHarness();
    harness.feed({type: 'operator_failover', ask: 1, group: GROUP, to: 'b'});
    stop(harness);
    expect(harness.updates()).toHaveLength(before);
  });
});
