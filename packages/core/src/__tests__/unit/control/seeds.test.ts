import {describe, expect, it} from 'vitest';
import {ControlStory} from './control_story.js';

describe('hosts of the settings', () => {
  it('are asked while the platform is out', () => {
    const hosts = ['a-1', 'b-1', 'c-1'];
    const story = new ControlStory('b-1', {hosts, isPlatformUp: false});
    story.advance(1_000);
    expect(story.sent('sync', 'a-1').length).toBeGreaterThan(0);
    expect(story.sent('sync', 'c-1').length).toBeGreaterThan(0);
  });

  it('no longer count once the platform was read', () => {
    const story = new ControlStory('b-1', {
      hosts: ['b-1', 'c-1'],
      seeds: ['a-1', 'b-1'],
    });
    story.advance(1_000);
    expect([...story.board.view.hosts.keys()].sort()).toEqual(['b-1', 'c-1']);
  });
});
