import {describe, expect, it} from 'vitest';
import {EVIDENCE_LAPSE_MS, EVIDENCE_MS} from '../../../control/constants.js';
import {mayAcknowledge} from '../../../control/control_status.js';
import {createRunMessage} from '../run_message.js';
import {ControlHarness, GROUP, createGroup} from './control_harness.js';

const HOSTS = ['a-1', 'a-2', 'b-1', 'c-1'];

function ownedBy(host: string): Readonly<Record<string, string>> {
  return {a: host, b: 'b-1', c: 'c-1'};
}

describe('a write owner that handed over with an open transaction', () => {
  function hasEvidence(harness: ControlHarness): boolean {
    return mayAcknowledge(harness.board, GROUP, 1, harness.now);
  }

  function openTx(harness: ControlHarness): void {
    const mode = 'begin';
    harness.message('b-1', {...createRunMessage('a', 'r'), term: 1, mode});
    const opened = harness.actions.find(({type}) => type === 'open_conn');
    if (opened?.type === 'open_conn') {
      const {endpoint, conn} = opened;
      harness.feed({type: 'conn_opened', endpoint, conn});
    }
    const run = harness.actions.findLast(action => action.type === 'run_conn')!;
    const result = {type: 'ok', affectedRows: 0, insertId: '0', info: ''};
    harness.feed({
      ...run,
      type: 'conn_answered',
      answer: {
        type: 'result',
        result: {...result, type: 'ok'},
        position: null,
        inTx: true,
      },
    });
    expect(harness.board.pools.byEndpoint.get('a')!.txs.size).toBe(1);
  }

  function startHandedOver(promisers: readonly string[]): ControlHarness {
    const harness = new ControlHarness('a-1', {hosts: HOSTS});
    harness.advance(2 * EVIDENCE_LAPSE_MS);
    openTx(harness);
    harness.feed({type: 'drain', deadline: harness.now + 60_000});
    harness.promisingHosts = promisers;
    harness.change({owners: ownedBy('a-2')});
    harness.advance(1_000);
    expect(hasEvidence(harness)).toBe(true);
    return harness;
  }

  it.each([
    ['acknowledges while the next write owner promises', ['a-2'], true],
    ['stops with promises of promoters only', ['b-1', 'c-1'], false],
  ])('%s', (_name, promisers, hasEvidenceLater) => {
    const harness = startHandedOver(promisers);
    harness.advance(20_000);
    expect(hasEvidence(harness)).toBe(hasEvidenceLater);
  });

  it('stops without the platform, as it would not see a fence', () => {
    const harness = startHandedOver(['a-2']);
    harness.isPlatformUp = false;
    harness.advance(EVIDENCE_MS);
    expect(hasEvidence(harness)).toBe(false);
  });

  it('counts a promise from its request', () => {
    const harness = startHandedOver([]);
    const {ask} = harness.sent('promise', 'a-2').at(-1)!;
    const asked = harness.now;
    harness.advance(400);
    const answer = {group: GROUP, term: 1, granted: true};
    harness.message('a-2', {type: 'promised', ask, ...answer});
    harness.advance(EVIDENCE_MS - 400);
    expect(harness.now).toBe(asked + EVIDENCE_MS);
    expect(hasEvidence(harness)).toBe(false);
  });

  it('ignores promises of a host that is no longer the write owner', () => {
    const harness = startHandedOver([]);
    harness.advance(1_200);
    harness.change({owners: ownedBy('b-1')});
    harness.advance(500);
    const {ask} = harness.sent('promise').at(-1)!;
    const answer = {group: GROUP, term: 1, granted: true};
    harness.message('a-2', {type: 'promised', ask, ...answer});
    harness.advance(1_500);
    expect(hasEvidence(harness)).toBe(false);
  });
});

describe('a write owner that took over from another one', () => {
  function startSuccessor(): ControlHarness {
    const group = createGroup({owners: ownedBy('a-2')});
    const harness = new ControlHarness('a-2', {hosts: HOSTS, group});
    harness.advance(2 * EVIDENCE_LAPSE_MS);
    return harness;
  }

  function requestPromise(harness: ControlHarness, term = 1): boolean {
    const msg = {type: 'promise', ask: 1, group: GROUP, term} as const;
    harness.message('a-1', {...msg, isHandedOver: true});
    return harness.sent('promised', 'a-1').at(-1)!.granted;
  }

  /** Makes the primary unreachable; returns the time of its replacement. */
  function replacePrimary(harness: ControlHarness): number {
    harness.indexes.delete('a');
    while (harness.updates().length === 0) {
      harness.advance(50);
      if (harness.sent('suspect').length > 0) {
        harness.answerSuspect('b-1', 'b');
        harness.answerSuspect('c-1', 'c');
      }
    }
    expect(harness.updates()[0]!.value).toMatchObject({term: 2});
    return harness.now;
  }

  it('replaces no primary before its promise has expired', () => {
    const fast = startSuccessor();
    expect(replacePrimary(fast)).toBeLessThan(
      fast.board.self.startedAt + 9_000,
    );
    const harness = startSuccessor();
    const promisedAt = harness.now;
    expect(requestPromise(harness)).toBe(true);
    const replacedAt = replacePrimary(harness);
    expect(replacedAt).toBeGreaterThanOrEqual(promisedAt + EVIDENCE_LAPSE_MS);
  });

  it('grants no more promises while it suspects the primary', () => {
    const harness = startSuccessor();
    expect(requestPromise(harness)).toBe(true);
    harness.indexes.delete('a');
    harness.advance(2_000);
    expect(requestPromise(harness)).toBe(false);
  });

  it('confirms no fence before its promise has expired', () => {
    const harness = startSuccessor();
    requestPromise(harness);
    const fence = {term: 1, by: 'b-1', attempt: 'x', confirmed: false};
    harness.change({fence});
    harness.advance(EVIDENCE_LAPSE_MS - 100);
    expect(harness.updates()).toEqual([]);
    harness.advance(200);
    expect(harness.updates().at(-1)!.value).toMatchObject({
      fence: {confirmed: true},
    });
  });

  it('starts no planned change before its promise has expired', () => {
    const harness = startSuccessor();
    requestPromise(harness);
    harness.message('c-1', {type: 'failover', ask: 7, group: GROUP, to: 'b'});
    expect(harness.sent('failover_result').at(-1)!.ok).toBe(false);
  });

  it('grants no promise during a planned change or in another term', () => {
    const harness = startSuccessor();
    expect(requestPromise(harness, 2)).toBe(false);
    harness.message('c-1', {type: 'failover', ask: 7, group: GROUP, to: 'b'});
    expect(requestPromise(harness)).toBe(false);
  });

  it('grants no promise if it is not the write owner or just restarted', () => {
    const other = new ControlHarness('a-2', {hosts: HOSTS});
    other.advance(2 * EVIDENCE_LAPSE_MS);
    expect(requestPromise(other)).toBe(false);
    const group = createGroup({owners: ownedBy('a-2')});
    const startedAt = 60_000;
    const restarted = new ControlHarness('a-2', {
      hosts: HOSTS,
      group,
      startedAt,
    });
    restarted.advance(1_000);
    expect(requestPromise(restarted)).toBe(false);
  });
});
