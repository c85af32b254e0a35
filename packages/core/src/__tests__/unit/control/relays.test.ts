import {describe, expect, it} from 'vitest';
import {HOST_SILENT_MS, RELAY_COUNT} from '../../../control/constants.js';
import {listRelays} from '../../../control/membership.js';
import {ControlStory} from './control_story.js';

function ask(story: ControlStory, host: string): readonly string[] {
  const part = {ask: 1, since: 0, isDraining: false};
  story.message(host, {type: 'sync', ...part});
  return story.sent('synced', host).at(-1)!.silentHosts;
}

describe('a relay', () => {
  it('reports silent hosts of its own data centre only', () => {
    const hosts = ['a-1', 'b-1', 'b-2', 'b-3', 'c-1'];
    const story = new ControlStory('b-1', {hosts});
    story.advance(1_000);
    // A host of another data centre asks once, before it has a view.
    ask(story, 'a-1');
    ask(story, 'b-2');
    story.advance(HOST_SILENT_MS + 500);
    expect(ask(story, 'b-3')).toEqual(['b-2']);
  });

  it('goes on to ask another relay that seems unreachable', () => {
    const hosts = ['a-1', 'b-1', 'b-2', 'c-1'];
    const story = new ControlStory('b-1', {hosts});
    story.advance(1_000);
    ask(story, 'b-2');
    story.feed({type: 'peer_down', host: 'b-2', generation: 1});
    story.advance(2 * HOST_SILENT_MS);
    const before = story.sent('sync', 'b-2').length;
    story.advance(2 * HOST_SILENT_MS);
    expect(story.sent('sync', 'b-2').length).toBeGreaterThan(before + 2);
  });
});

describe('a host with two relays', () => {
  const HOSTS = ['b-1', 'b-2', 'b-3', 'b-4'];

  /** Returns a host that is no relay, and its relays. */
  function findFollower(): {story: ControlStory; relays: readonly string[]} {
    for (const host of HOSTS) {
      const story = new ControlStory(host, {hosts: HOSTS});
      story.advance(1_000);
      const {board, now} = story;
      const relays = listRelays(board, 'b', RELAY_COUNT, now);
      if (!relays.includes(host)) {
        return {story, relays};
      }
    }
    throw new Error('every host is a relay');
  }

  it('asks them in turns, one each half second', () => {
    const {story, relays} = findFollower();
    const before = relays.map(host => story.sent('sync', host).length);
    story.advance(10_000);
    const asked = relays.map(
      (host, at) => story.sent('sync', host).length - before[at]!,
    );
    expect(asked).toEqual([10, 10]);
  });

  it('asks both when an answer is wanted out of turn', () => {
    const {story, relays} = findFollower();
    story.advance(10_000);
    const before = relays.map(host => story.sent('sync', host).length);
    story.advance(100);
    story.feed({type: 'sync_wanted'});
    relays.forEach((host, at) =>
      expect(story.sent('sync', host).length).toBeGreaterThan(before[at]!),
    );
  });
});
