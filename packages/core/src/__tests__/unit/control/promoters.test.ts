import {describe, expect, it} from 'vitest';
import {EVIDENCE_LAPSE_MS} from '../../../control/constants.js';
import {ControlHarness, GROUP, createGroup} from './control_harness.js';

function requestPromise(harness: ControlHarness): boolean {
  harness.message('a-1', {type: 'promise', ask: 1, group: GROUP, term: 1});
  return harness.sent('promised').at(-1)!.granted;
}

describe('a promoter', () => {
  it('promises once it has read the platform', () => {
    const harness = new ControlHarness('b-1');
    harness.advance(1_000);
    expect(requestPromise(harness)).toBe(true);
  });

  it('grants no promise based on a view from before its start', () => {
    const hosts = ['a-1', 'b-1', 'b-2', 'c-1'];
    const harness = new ControlHarness('b-1', {
      hosts,
      startedAt: 60_000,
      isPlatformUp: false,
    });
    // Its reads fail; a relay gives it a view that is 30 s old.
    const change = {
      key: `groups/${GROUP}`,
      version: 1,
      revision: 1,
      value: createGroup(),
    };
    const {ask} = harness.sent('sync', 'b-2').at(-1)!;
    harness.message('b-2', {
      type: 'synced',
      ask,
      revision: 1,
      ageMs: 30_000,
      changes: [change],
      silentHosts: [],
      drainingHosts: [],
    });
    expect(harness.board.view.groups.has(GROUP)).toBe(true);
    expect(requestPromise(harness)).toBe(false);
  });

  it('promises while its own registration is in progress', () => {
    const owners = {a: 'a-1', b: 'b-1'};
    const harness = new ControlHarness('c-1', {group: createGroup({owners})});
    harness.advance(1_000);
    expect(requestPromise(harness)).toBe(true);
  });

  it('grants no promise to a host that is not the write owner', () => {
    const owners = {a: 'a-2', b: 'b-1'};
    const harness = new ControlHarness('b-1', {group: createGroup({owners})});
    harness.advance(1_000);
    expect(requestPromise(harness)).toBe(false);
  });

  /** Returns a host that can reach neither the primary nor its write owner. */
  function startWithDeadPrimary(owners: Readonly<Record<string, string>>) {
    const harness = new ControlHarness('b-1', {group: createGroup({owners})});
    harness.advance(2 * EVIDENCE_LAPSE_MS);
    harness.indexes.delete('a');
    for (let round = 0; round < 20; round += 1) {
      harness.advance(500);
      if (harness.sent('suspect').length > 0) {
        harness.answerSuspect('c-1', 'c');
      }
    }
    return harness;
  }

  it('raises a fence as a registered owner', () => {
    const harness = startWithDeadPrimary({a: 'a-1', b: 'b-1', c: 'c-1'});
    expect(harness.updates().length).toBeGreaterThan(0);
    expect(harness.updates()[0]!.value).toMatchObject({fence: {by: 'b-1'}});
  });

  it('raises no fence as an owner that is not registered', () => {
    const harness = startWithDeadPrimary({a: 'a-1', b: 'b-9', c: 'c-1'});
    expect(harness.board.endpoints.owned.has('b')).toBe(true);
    expect(harness.updates()).toEqual([]);
  });
});
