/**
 * Load pattern: the platform is away for longer than its entries of hosts
 * live. On its return all of them are gone at once, and those of hosts that
 * run come back within two seconds.
 */

import {describe, expect, it} from 'vitest';
import {HOST_RETURN_MS} from '../../../control/constants.js';
import {ControlStory} from './control_story.js';

const OUTAGE_MS = 30_000;

function isListed(story: ControlStory, host: string): boolean {
  return story.board.view.hosts.has(host);
}

describe('entries of hosts that lapsed while the platform was away', () => {
  function returnWithout(host: string): ControlStory {
    const story = new ControlStory('a-1', {hosts: ['a-1', 'b-1', 'c-1']});
    story.advance(2_000);
    story.isPlatformUp = false;
    story.advance(OUTAGE_MS);
    story.lapseHost(host);
    story.isPlatformUp = true;
    story.advance(1_000);
    return story;
  }

  it('count until hosts had the time to come back', () => {
    const story = returnWithout('b-1');
    expect(isListed(story, 'b-1')).toBe(true);
  });

  it('are taken as gone after that', () => {
    const story = returnWithout('b-1');
    story.advance(HOST_RETURN_MS);
    expect(isListed(story, 'b-1')).toBe(false);
  });

  it('stay for good once they are back', () => {
    const story = returnWithout('b-1');
    story.relistHost('b-1');
    story.advance(3 * HOST_RETURN_MS);
    expect(isListed(story, 'b-1')).toBe(true);
  });

  it('lapse again in a later outage', () => {
    const story = returnWithout('b-1');
    story.relistHost('b-1');
    story.advance(2 * HOST_RETURN_MS);
    story.isPlatformUp = false;
    story.advance(OUTAGE_MS);
    story.lapseHost('b-1');
    story.isPlatformUp = true;
    story.advance(1_000);
    expect(isListed(story, 'b-1')).toBe(true);
    story.advance(HOST_RETURN_MS);
    expect(isListed(story, 'b-1')).toBe(false);
  });

  it('do not keep a host that is removed while the platform answers', () => {
    const story = new ControlStory('a-1');
    story.advance(2_000);
    story.lapseHost('b-1');
    story.advance(1_000);
    expect(isListed(story, 'b-1')).toBe(false);
  });
});

describe('the platform', () => {
  it('is told as lost once, with the reason, and as regained once', () => {
    const story = new ControlStory('a-1');
    story.advance(2_000);
    story.isPlatformUp = false;
    story.advance(OUTAGE_MS);
    story.isPlatformUp = true;
    story.advance(2_000);
    const events = story.actions.filter(
      action =>
        action.type === 'record' &&
        ['platform_lost', 'platform_regained'].includes(action.event),
    );
    expect(events).toMatchObject([
      {event: 'platform_lost', fields: {kind: 'refused', detail: 'is down'}},
      {event: 'platform_regained'},
    ]);
  });
});
