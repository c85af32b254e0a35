import {describe, expect, it} from 'vitest';
import {EVIDENCE_LAPSE_MS} from '../../../control/constants.js';
import {hasWriteEvidence} from '../../../control/facts.js';
import type {GroupObject} from '../../../model/group.js';
import {ControlStory, GROUP} from './control_story.js';

/** A write owner that a better host of its data centre asks to hand over. */
function startStory(): ControlStory {
  const story = new ControlStory('a-1', {
    hosts: ['a-1', 'a-2', 'b-1', 'c-1'],
  });
  story.advance(2 * EVIDENCE_LAPSE_MS);
  return story;
}

describe('a write owner that is asked to hand over', () => {
  it('registers the host that asks', () => {
    const story = startStory();
    story.message('a-2', {type: 'register', group: GROUP, endpoint: 'a'});
    expect(story.updates().at(-1)!.value).toMatchObject({
      owners: {a: 'a-2'},
    });
  });

  it('needs no promise of that host, as it is not confirmed yet', () => {
    const story = startStory();
    story.promisers = ['b-1', 'c-1'];
    story.message('a-2', {type: 'register', group: GROUP, endpoint: 'a'});
    story.isPlatformUp = false;
    story.answerUpdate('unknown', false);
    story.advance(2 * EVIDENCE_LAPSE_MS);
    expect(hasWriteEvidence(story.board, GROUP, 1, story.now)).toBe(true);
  });

  it('keeps the primary during a planned change', () => {
    const story = startStory();
    story.feed({type: 'operator_failover', ask: 1, group: GROUP, to: 'b'});
    const before = story.updates().length;
    story.message('a-2', {type: 'register', group: GROUP, endpoint: 'a'});
    expect(story.updates()).toHaveLength(before);
  });
});

describe('a write owner that stops', () => {
  function stop(story: ControlStory): void {
    story.feed({type: 'drain', deadline: story.now + 30_000});
  }

  it('registers the next host of its data centre at once', () => {
    const story = startStory();
    stop(story);
    expect(story.updates().at(-1)!.value).toMatchObject({
      term: 1,
      owners: {a: 'a-2', b: 'b-1', c: 'c-1'},
    });
  });

  it('registers a host of another data centre where its neighbour stops too', () => {
    const story = startStory();
    const outcome = {type: 'not_run', reason: 'draining'} as const;
    const answer = {request: 'r', attempt: 1, outcome, report: null};
    story.message('a-2', {type: 'ran', ...answer});
    stop(story);
    const {owners} = story.updates().at(-1)!.value as GroupObject;
    expect(['b-1', 'c-1']).toContain(owners['a']);
  });

  it('registers nobody while the platform is out, or during a planned change', () => {
    const isolated = startStory();
    isolated.isPlatformUp = false;
    isolated.advance(2_000);
    const before = isolated.updates().length;
    stop(isolated);
    isolated.advance(1_000);
    expect(isolated.updates()).toHaveLength(before);
    const story = startStory();
    story.feed({type: 'operator_failover', ask: 1, group: GROUP, to: 'b'});
    stop(story);
    expect(story.updates()).toHaveLength(before);
  });
});
