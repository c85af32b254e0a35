import {describe, expect, it} from 'vitest';
import {
  EVIDENCE_LAPSE_MS,
  FINAL_REPORTS_MS,
} from '../../../control/constants.js';
import {ControlStory} from './control_story.js';

describe('a write owner', () => {
  it('names a replica only by what it had after the last acknowledgement', () => {
    const story = new ControlStory('a-1');
    story.advance(2 * EVIDENCE_LAPSE_MS);
    story.indexes.delete('a');
    for (let round = 0; round < 20; round += 1) {
      story.advance(100);
      if (story.sent('suspect').length > 0) {
        story.answerSuspect('b-1', 'b', false);
        story.answerSuspect('c-1', 'c', false);
      }
    }
    expect(story.updates()).toEqual([]);
    story.indexes.set('b', 14);
    for (let round = 0; round < 10; round += 1) {
      story.advance(100);
      story.answerSuspect('b-1', 'b');
    }
    expect(story.updates()[0]!.value).toMatchObject({
      primary: 'b',
      starts: [{term: 1}, {term: 2, index: 14}],
    });
  });

  it('takes no report from before its last acknowledgement', () => {
    const story = new ControlStory('a-1');
    story.advance(2 * EVIDENCE_LAPSE_MS);
    story.indexes.delete('a');
    for (let round = 0; story.sent('suspect').length === 0; round += 1) {
      expect(round).toBeLessThan(40);
      story.advance(25);
    }
    story.answerSuspect('b-1', 'b');
    story.answerSuspect('c-1', null);
    story.advance(FINAL_REPORTS_MS + 300);
    expect(story.updates()).toEqual([]);
  });

  it('names the replica that has the most', () => {
    const story = new ControlStory('a-1');
    story.advance(2 * EVIDENCE_LAPSE_MS);
    story.indexes.delete('a');
    story.indexes.set('c', 20);
    for (let round = 0; round < 40; round += 1) {
      story.advance(100);
      if (story.sent('suspect').length > 0) {
        story.answerSuspect('b-1', 'b');
        story.answerSuspect('c-1', 'c');
      }
    }
    expect(story.updates()[0]!.value).toMatchObject({primary: 'c'});
  });
});
