import {describe, expect, it} from 'vitest';
import {findOwner} from '../../../control/membership.js';
import {ControlStory, GROUP} from './control_story.js';

/** Whom the host asks for the primary. */
function ownerOfPrimary(story: ControlStory): string | null {
  const {board, now} = story;
  const group = board.view.groups.get(GROUP)!.value;
  const primary = group.endpoints.find(({id}) => id === group.primary)!;
  return findOwner(board, group, primary, now);
}

describe('a host that refused work because it stops', () => {
  it('is sent nothing more until its connection has ended', () => {
    const hosts = ['a-1', 'a-2', 'b-1', 'c-1'];
    const story = new ControlStory('b-1', {hosts});
    story.advance(1_000);
    expect(ownerOfPrimary(story)).toBe('a-1');
    story.message('a-1', {
      type: 'ran',
      request: 'r',
      attempt: 1,
      outcome: {type: 'not_run', reason: 'draining'},
      report: null,
    });
    expect(ownerOfPrimary(story)).toBe('a-2');
    story.feed({type: 'peer_down', host: 'a-1', generation: 1});
    story.feed({type: 'peer_up', host: 'a-1', generation: 2});
    expect(ownerOfPrimary(story)).toBe('a-1');
  });
});
