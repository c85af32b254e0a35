import {describe, expect, it} from 'vitest';
import {RESUME_WAIT_MS} from '../../../control/constants.js';
import {createRunMessage} from '../run_message.js';
import {ControlStory} from './control_story.js';

/** Longer than the time in which a host learns of a change. */
const PAUSE_MS = 10_000;

/** An owner of replica b that took no part in anything for a while. */
function startStory(): ControlStory {
  const story = new ControlStory('b-1');
  story.advance(2_000);
  story.now += PAUSE_MS;
  return story;
}

/** Asks for a read and tells why it was refused, or null. */
function read(story: ControlStory, request: string): string | null {
  const before = story.sent('ran', 'a-1').length;
  story.message('a-1', createRunMessage('b', request));
  const outcome = story.sent('ran', 'a-1')[before]?.outcome;
  return outcome?.type === 'not_run' ? outcome.reason : null;
}

describe('an owner whose process was paused', () => {
  it('takes no new work until its view is younger than the pause', () => {
    const story = startStory();
    expect(read(story, 'r1')).toBe('no_evidence');
    story.advance(1_500);
    expect(read(story, 'r2')).toBe(null);
  });

  it('goes on after a while when the platform is out', () => {
    const story = startStory();
    story.isPlatformUp = false;
    expect(read(story, 'r1')).toBe('no_evidence');
    story.advance(RESUME_WAIT_MS / 2);
    expect(read(story, 'r2')).toBe('no_evidence');
    story.advance(RESUME_WAIT_MS);
    expect(read(story, 'r3')).toBe(null);
  });
});
