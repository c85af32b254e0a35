import {describe, expect, it} from 'vitest';
import {EVIDENCE_LAPSE_MS, EVIDENCE_MS} from '../../../control/constants.js';
import {mayAcknowledge} from '../../../control/facts.js';
import {createRunMessage} from '../run_message.js';
import {ControlStory, GROUP, createGroup} from './control_story.js';

const HOSTS = ['a-1', 'a-2', 'b-1', 'c-1'];

function ownedBy(host: string): Readonly<Record<string, string>> {
  return {a: host, b: 'b-1', c: 'c-1'};
}

describe('a write owner that handed over with an open transaction', () => {
  function isSure(story: ControlStory): boolean {
    return mayAcknowledge(story.board, GROUP, 1, story.now);
  }

  function openTx(story: ControlStory): void {
    const mode = 'begin';
    story.message('b-1', {...createRunMessage('a', 'r'), term: 1, mode});
    const opened = story.actions.find(({type}) => type === 'open_conn');
    if (opened?.type === 'open_conn') {
      const {endpoint, conn} = opened;
      story.feed({type: 'conn_opened', endpoint, conn});
    }
    const run = story.actions.findLast(action => action.type === 'run_conn')!;
    const result = {type: 'ok', affectedRows: 0, insertId: '0', info: ''};
    story.feed({
      ...run,
      type: 'conn_answered',
      answer: {
        type: 'result',
        result: {...result, type: 'ok'},
        position: null,
        inTx: true,
      },
    });
    expect(story.board.pools.byEndpoint.get('a')!.txs.size).toBe(1);
  }

  function startHandedOver(promisers: readonly string[]): ControlStory {
    const story = new ControlStory('a-1', {hosts: HOSTS});
    story.advance(2 * EVIDENCE_LAPSE_MS);
    openTx(story);
    story.feed({type: 'drain', deadline: story.now + 60_000});
    story.promisers = promisers;
    story.change({owners: ownedBy('a-2')});
    story.advance(1_000);
    expect(isSure(story)).toBe(true);
    return story;
  }

  it.each([
    ['acknowledges while the next write owner promises', ['a-2'], true],
    ['ends with promises of promoters alone', ['b-1', 'c-1'], false],
  ])('%s', (_name, promisers, isSureLater) => {
    const story = startHandedOver(promisers);
    story.advance(20_000);
    expect(isSure(story)).toBe(isSureLater);
  });

  it('ends where a fence would not show, as the platform is out', () => {
    const story = startHandedOver(['a-2']);
    story.isPlatformUp = false;
    story.advance(EVIDENCE_MS);
    expect(isSure(story)).toBe(false);
  });

  it('counts a promise from its question', () => {
    const story = startHandedOver([]);
    const {ask} = story.sent('promise', 'a-2').at(-1)!;
    const asked = story.now;
    story.advance(400);
    const answer = {group: GROUP, term: 1, granted: true};
    story.message('a-2', {type: 'promised', ask, ...answer});
    story.advance(EVIDENCE_MS - 400);
    expect(story.now).toBe(asked + EVIDENCE_MS);
    expect(isSure(story)).toBe(false);
  });

  it('counts no promise of a host that another has followed', () => {
    const story = startHandedOver([]);
    story.advance(1_200);
    story.change({owners: ownedBy('b-1')});
    story.advance(500);
    const {ask} = story.sent('promise').at(-1)!;
    const answer = {group: GROUP, term: 1, granted: true};
    story.message('a-2', {type: 'promised', ask, ...answer});
    story.advance(1_500);
    expect(isSure(story)).toBe(false);
  });
});

describe('a write owner that another one handed over to', () => {
  function startSuccessor(): ControlStory {
    const group = createGroup({owners: ownedBy('a-2')});
    const story = new ControlStory('a-2', {hosts: HOSTS, group});
    story.advance(2 * EVIDENCE_LAPSE_MS);
    return story;
  }

  function askPromise(story: ControlStory, term = 1): boolean {
    const msg = {type: 'promise', ask: 1, group: GROUP, term} as const;
    story.message('a-1', {...msg, isHandedOver: true});
    return story.sent('promised', 'a-1').at(-1)!.granted;
  }

  /** Has the others find the primary dead; returns when it was replaced. */
  function replacePrimary(story: ControlStory): number {
    story.indexes.delete('a');
    while (story.updates().length === 0) {
      story.advance(50);
      if (story.sent('suspect').length > 0) {
        story.answerSuspect('b-1', 'b');
        story.answerSuspect('c-1', 'c');
      }
    }
    expect(story.updates()[0]!.value).toMatchObject({term: 2});
    return story.now;
  }

  it('replaces no primary before its promise has ended', () => {
    const fast = startSuccessor();
    expect(replacePrimary(fast)).toBeLessThan(
      fast.board.self.startedAt + 9_000,
    );
    const story = startSuccessor();
    const promisedAt = story.now;
    expect(askPromise(story)).toBe(true);
    const replacedAt = replacePrimary(story);
    expect(replacedAt).toBeGreaterThanOrEqual(promisedAt + EVIDENCE_LAPSE_MS);
  });

  it('promises nothing more while it suspects the primary', () => {
    const story = startSuccessor();
    expect(askPromise(story)).toBe(true);
    story.indexes.delete('a');
    story.advance(2_000);
    expect(askPromise(story)).toBe(false);
  });

  it('confirms no fence before its promise has ended', () => {
    const story = startSuccessor();
    askPromise(story);
    const fence = {term: 1, by: 'b-1', attempt: 'x', confirmed: false};
    story.change({fence});
    story.advance(EVIDENCE_LAPSE_MS - 100);
    expect(story.updates()).toEqual([]);
    story.advance(200);
    expect(story.updates().at(-1)!.value).toMatchObject({
      fence: {confirmed: true},
    });
  });

  it('begins no planned change before its promise has ended', () => {
    const story = startSuccessor();
    askPromise(story);
    story.message('c-1', {type: 'failover', ask: 7, group: GROUP, to: 'b'});
    expect(story.sent('failover_result').at(-1)!.ok).toBe(false);
  });

  it('promises nothing during a planned change, or in another term', () => {
    const story = startSuccessor();
    expect(askPromise(story, 2)).toBe(false);
    story.message('c-1', {type: 'failover', ask: 7, group: GROUP, to: 'b'});
    expect(askPromise(story)).toBe(false);
  });

  it('promises nothing while it is not the write owner or just restarted', () => {
    const other = new ControlStory('a-2', {hosts: HOSTS});
    other.advance(2 * EVIDENCE_LAPSE_MS);
    expect(askPromise(other)).toBe(false);
    const group = createGroup({owners: ownedBy('a-2')});
    const startedAt = 60_000;
    const restarted = new ControlStory('a-2', {hosts: HOSTS, group, startedAt});
    restarted.advance(1_000);
    expect(askPromise(restarted)).toBe(false);
  });
});
