import {describe, expect, it} from 'vitest';
import {RELAY_COUNT} from '../../../control/constants.js';
import {listRelays} from '../../../control/membership.js';
import {ControlStory, createGroup} from './control_story.js';

const HOSTS = ['a-1', 'b-1', 'b-2', 'b-3', 'c-1', 'c-2', 'c-3'];

describe('an update of a group that took effect', () => {
  it('is told to all relays, and passed on by one of each data centre', () => {
    const story = new ControlStory('a-1', {
      hosts: HOSTS,
      group: createGroup({owners: {}}),
    });
    story.advance(1_000);
    story.answerUpdate('updated', true);
    for (const dataCentre of ['b', 'c']) {
      const relays = listRelays(
        story.board,
        dataCentre,
        RELAY_COUNT,
        story.now,
      );
      const flags = relays.flatMap(relay =>
        story.sent('changed', relay).map(({forward}) => forward),
      );
      expect(flags.sort()).toEqual([false, true]);
    }
  });
});
