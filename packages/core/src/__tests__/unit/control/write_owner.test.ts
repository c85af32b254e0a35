import {describe, expect, it} from 'vitest';
import {EVIDENCE_LAPSE_MS} from '../../../control/constants.js';
import {hasWriteEvidence, readEvidenceExpiry} from '../../../control/facts.js';
import {isConfirmedWriter} from '../../../control/confirmation.js';
import {ControlStory, GROUP, createGroup} from './control_story.js';

describe('a write owner', () => {
  /** Returns a confirmed write owner whose primary is dead and agreed so. */
  function startPromotion(): ControlStory {
    const story = new ControlStory('a-1');
    story.advance(2 * EVIDENCE_LAPSE_MS);
    story.indexes.delete('a');
    for (let round = 0; story.updates().length === 0; round += 1) {
      expect(round).toBeLessThan(40);
      story.advance(100);
      if (story.sent('suspect').length > 0) {
        story.answerSuspect('b-1', 'b');
        story.answerSuspect('c-1', 'c');
      }
    }
    return story;
  }

  it('writes again when its promotion came to nothing and the primary is back', () => {
    const story = startPromotion();
    expect(hasWriteEvidence(story.board, GROUP, 1, story.now)).toBe(false);
    story.isPlatformUp = false;
    story.answerUpdate('unknown', false);
    story.indexes.set('a', 10);
    story.advance(2_000);
    expect(hasWriteEvidence(story.board, GROUP, 1, story.now)).toBe(false);
    story.isPlatformUp = true;
    for (let round = 0; round < 10; round += 1) {
      story.advance(500);
      if (story.updates().length > 1) {
        story.answerUpdate('updated', true);
      }
    }
    expect(story.standing).toMatchObject({term: 1, primary: 'a', fence: null});
    expect(hasWriteEvidence(story.board, GROUP, 1, story.now)).toBe(true);
  });

  it.each([
    ['a registered promoter', 'b-2', true],
    ['a host that is not registered', 'c-1', false],
  ])('is confirmed by %s: %s', (_name, host, isConfirmed) => {
    const group = createGroup({owners: {a: 'a-1', b: 'b-2'}});
    const hosts = ['a-1', 'b-2', 'c-1'];
    const story = new ControlStory('a-1', {group, hosts});
    story.advance(1_000);
    const {ask} = story.sent('promise').at(-1)!;
    const answer = {group: GROUP, term: 1, granted: true};
    story.message(host, {type: 'promised', ask, ...answer});
    story.advance(EVIDENCE_LAPSE_MS);
    expect(isConfirmedWriter(story.board, group, story.now)).toBe(isConfirmed);
  });

  it('registers all promoters of a new group without a wait between them', () => {
    const group = createGroup({owners: {a: 'a-1'}});
    const story = new ControlStory('a-1', {group});
    story.advance(EVIDENCE_LAPSE_MS + 1_000);
    for (const [host, endpoint] of [
      ['b-1', 'b'],
      ['c-1', 'c'],
    ] as const) {
      story.message(host, {type: 'register', group: GROUP, endpoint});
      story.answerUpdate('updated', true);
    }
    expect(story.standing.owners).toEqual({a: 'a-1', b: 'b-1', c: 'c-1'});
  });

  it('that restarted waits for a view from after its last update could land', () => {
    const story = new ControlStory('a-1', {startedAt: 60_000});
    story.advance(1_000);
    story.isPlatformUp = false;
    story.advance(EVIDENCE_LAPSE_MS + 1_000);
    expect(readEvidenceExpiry(story.board, GROUP)).toBeGreaterThan(story.now);
    expect(hasWriteEvidence(story.board, GROUP, 1, story.now)).toBe(false);
    story.isPlatformUp = true;
    story.advance(1_000);
    expect(hasWriteEvidence(story.board, GROUP, 1, story.now)).toBe(true);
  });

  it('asks a promoter whose registration may have landed, too', () => {
    const owners = {a: 'a-1', b: 'b-1'};
    const story = new ControlStory('a-1', {group: createGroup({owners})});
    story.advance(2 * EVIDENCE_LAPSE_MS);
    story.message('c-1', {type: 'register', group: GROUP, endpoint: 'c'});
    story.isPlatformUp = false;
    story.answerUpdate('unknown', true);
    for (let round = 0; round < 5; round += 1) {
      story.advance(1_000);
      story.answerUpdate('refused', false);
    }
    const before = story.sent('promise', 'c-1').length;
    story.advance(1_000);
    expect(story.sent('promise', 'c-1').length).toBeGreaterThan(before);
  });
});
