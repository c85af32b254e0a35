import {describe, expect, it} from 'vitest';
import {EVIDENCE_LAPSE_MS, EVIDENCE_MS} from '../../../control/constants.js';
import {hasWriteEvidence} from '../../../control/facts.js';
import {ControlStory, GROUP} from './control_story.js';

/** Returns a write owner that is sure of its term. */
function startWriter(): ControlStory {
  const story = new ControlStory('a-1');
  story.advance(2 * EVIDENCE_LAPSE_MS);
  return story;
}

function isSure(story: ControlStory): boolean {
  return hasWriteEvidence(story.board, GROUP, 1, story.now);
}

describe('write evidence', () => {
  it('lasts as long as all promoters promise', () => {
    const story = startWriter();
    story.isPlatformUp = false;
    story.advance(60_000);
    expect(isSure(story)).toBe(true);
  });

  it('ends EVIDENCE_MS after the last promise of all', () => {
    const story = startWriter();
    story.isPlatformUp = false;
    story.advance(10_000);
    story.promisers = ['b-1'];
    story.advance(EVIDENCE_MS);
    expect(isSure(story)).toBe(false);
  });

  it('that has expired comes back with the platform only', () => {
    const story = startWriter();
    story.isPlatformUp = false;
    story.promisers = [];
    story.advance(2 * EVIDENCE_MS);
    story.promisers = ['b-1', 'c-1'];
    story.advance(2 * EVIDENCE_MS);
    expect(isSure(story)).toBe(false);
    story.isPlatformUp = true;
    story.advance(1_000);
    expect(isSure(story)).toBe(true);
  });

  it('is not extended by promises that come after its end', () => {
    const story = startWriter();
    story.isPlatformUp = false;
    story.promisers = [];
    story.advance(EVIDENCE_MS - 200);
    const {ask} = story.sent('promise').at(-1)!;
    story.advance(EVIDENCE_MS / 2);
    expect(isSure(story)).toBe(false);
    for (const host of ['b-1', 'c-1']) {
      const answer = {group: GROUP, term: 1, granted: true};
      story.message(host, {type: 'promised', ask, ...answer});
    }
    expect(isSure(story)).toBe(false);
  });

  it('counts from the question, not from the answer', () => {
    const story = startWriter();
    story.isPlatformUp = false;
    story.promisers = [];
    story.advance(EVIDENCE_MS - 200);
    expect(isSure(story)).toBe(true);
    const {ask} = story.sent('promise').at(-1)!;
    const asked = story.now;
    for (const host of ['b-1', 'c-1']) {
      const answer = {group: GROUP, term: 1, granted: true};
      story.message(host, {type: 'promised', ask, ...answer});
    }
    story.advance(EVIDENCE_MS - 1);
    expect(story.now).toBe(asked + EVIDENCE_MS - 1);
    expect(isSure(story)).toBe(false);
  });

  it('ends at a fence, and at a term that follows', () => {
    const story = startWriter();
    const fence = {term: 1, by: 'b-1', attempt: 'x', confirmed: false};
    story.change({fence});
    story.advance(1_000);
    expect(isSure(story)).toBe(false);
    story.change({term: 2, primary: 'b', fence: null});
    story.advance(1_000);
    expect(isSure(story)).toBe(false);
    expect(hasWriteEvidence(story.board, GROUP, 2, story.now)).toBe(false);
  });
});
