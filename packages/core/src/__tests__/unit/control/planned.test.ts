import {describe, expect, it} from 'vitest';
import {
  EVIDENCE_LAPSE_MS,
  PLANNED_TIMEOUT_MS,
} from '../../../control/constants.js';
import {hasWriteEvidence} from '../../../control/facts.js';
import {ControlStory, GROUP} from './control_story.js';

/** Returns a write owner that was asked for a planned change. */
function startPlanned(): ControlStory {
  const hosts = ['a-1', 'a-2', 'b-1', 'c-1'];
  const story = new ControlStory('a-1', {hosts});
  story.advance(2 * EVIDENCE_LAPSE_MS);
  story.message('c-1', {type: 'failover', ask: 7, group: GROUP, to: 'b'});
  story.advance(500);
  return story;
}

function readResult(story: ControlStory) {
  return story.sent('failover_result', 'c-1').at(-1);
}

describe('a planned change', () => {
  it('names the next primary once it has everything', () => {
    const story = startPlanned();
    const {ask} = story.sent('await_position', 'b-1').at(-1)!;
    expect(hasWriteEvidence(story.board, GROUP, 1, story.now)).toBe(false);
    story.message('b-1', {type: 'position', ask, reached: true});
    story.advance(100);
    expect(story.updates().at(-1)!.value).toMatchObject({
      primary: 'b',
      term: 2,
      starts: [{term: 1}, {term: 2, index: 10}],
    });
    story.answerUpdate('updated', true);
    story.advance(100);
    expect(readResult(story)).toMatchObject({ask: 7, ok: true});
  });

  it('is given up in time, and writes go on', () => {
    const story = startPlanned();
    story.advance(PLANNED_TIMEOUT_MS);
    expect(readResult(story)).toMatchObject({ask: 7, ok: false});
    expect(hasWriteEvidence(story.board, GROUP, 1, story.now)).toBe(true);
  });

  it('is answered, too, when another host takes the primary over', () => {
    const story = startPlanned();
    story.change({owners: {a: 'a-2', b: 'b-1', c: 'c-1'}});
    story.advance(2_000);
    expect(story.board.endpoints.owned.size).toBe(0);
    expect(readResult(story)).toMatchObject({ask: 7, ok: false});
  });
});
