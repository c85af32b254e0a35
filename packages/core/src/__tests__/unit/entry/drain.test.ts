import {beforeEach, describe, expect, it} from 'vitest';
import {startEntryStory} from './entry_story.js';
import type {EntryStory} from './entry_story.js';

let story: EntryStory;

beforeEach(() => {
  story = startEntryStory();
});

function isDrained(): boolean {
  return story.actions.some(action => action.type === 'drained');
}

describe('a drain', () => {
  it('closes callers between statements, never during one', () => {
    story.open(2);
    const seq = story.send('SELECT 1');
    story.feed({type: 'drain', deadline: 60_000});
    story.advance(200);
    expect(story.isClosed(1)).toBe(false);
    expect(story.isClosed(2)).toBe(true);
    story.done();
    expect(story.ended(seq)).toBe('ok');
    story.advance(200);
    expect(story.isClosed(1)).toBe(true);
  });

  it('waits for open transactions and for statements that wait', () => {
    story.send('BEGIN');
    story.done(null, true);
    story.feed({type: 'drain', deadline: 60_000});
    story.advance(5_000);
    expect(story.isClosed()).toBe(false);
    story.send('INSERT INTO t VALUES (1)');
    const seq = story.send('COMMIT');
    story.done(null, true);
    story.advance(200);
    expect(story.isClosed()).toBe(false);
    story.done({term: 3, index: 120});
    expect(story.ended(seq)).toBe('ok');
    story.advance(200);
    expect(story.isClosed()).toBe(true);
  });

  it('ends once all is done, and not before others could learn of it', () => {
    story.feed({type: 'drain', deadline: 60_000});
    story.feed({type: 'caller_closed', caller: 1});
    story.advance(900);
    expect(isDrained()).toBe(false);
    story.advance(300);
    expect(isDrained()).toBe(true);
  });

  it('ends at its deadline whatever is open', () => {
    story.send('SELECT 1');
    story.feed({type: 'drain', deadline: 3_000});
    story.advance(2_900);
    expect(isDrained()).toBe(false);
    story.advance(200);
    expect(isDrained()).toBe(true);
  });

  it('turns new callers away', () => {
    story.feed({type: 'drain', deadline: 60_000});
    story.open(2);
    expect(story.isClosed(2)).toBe(true);
  });
});
