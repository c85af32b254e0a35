import {describe, expect, it} from 'vitest';
import {REPLICA, startStory} from './owner_story.js';

const NEXT_TERM = {
  term: 4,
  primary: REPLICA,
  starts: [
    {term: 3, index: 100},
    {term: 4, index: 200},
  ],
};

describe('a primary that was replaced', () => {
  it('ends what runs there at once, as unknown', () => {
    const story = startStory();
    const id = story.write();
    const {conn} = story.lastRun();
    story.changeGroup({});
    expect(story.ended(id)).toBeUndefined();
    story.changeGroup(NEXT_TERM);
    expect(story.ended(id)).toBe('unknown replaced_primary');
    expect(story.closed(conn)).toBe(true);
  });

  it('lets reads go on that need no evidence', () => {
    const story = startStory();
    const id = story.run();
    story.changeGroup(NEXT_TERM);
    story.rows(['1']);
    expect(story.ended(id)).toBe('done');
  });
});
