import {describe, expect, it} from 'vitest';
import {EVIDENCE_LAPSE_MS} from '../../../control/constants.js';
import {ControlStory, GROUP, createGroup} from './control_story.js';

function askPromise(story: ControlStory): boolean {
  story.message('a-1', {type: 'promise', ask: 1, group: GROUP, term: 1});
  return story.sent('promised').at(-1)!.granted;
}

describe('a promoter', () => {
  it('promises once it has read the platform', () => {
    const story = new ControlStory('b-1');
    story.advance(1_000);
    expect(askPromise(story)).toBe(true);
  });

  it('promises nothing by a view from before its start', () => {
    const hosts = ['a-1', 'b-1', 'b-2', 'c-1'];
    const story = new ControlStory('b-1', {
      hosts,
      startedAt: 60_000,
      isPlatformUp: false,
    });
    // Its reads fail; a relay gives it a view that is 30 s old.
    const change = {
      key: `groups/${GROUP}`,
      version: 1,
      revision: 1,
      value: createGroup(),
    };
    const {ask} = story.sent('sync', 'b-2').at(-1)!;
    story.message('b-2', {
      type: 'synced',
      ask,
      revision: 1,
      ageMs: 30_000,
      changes: [change],
      silentHosts: [],
      drainingHosts: [],
    });
    expect(story.board.view.groups.has(GROUP)).toBe(true);
    expect(askPromise(story)).toBe(false);
  });

  it('promises while its own registration is in progress', () => {
    const owners = {a: 'a-1', b: 'b-1'};
    const story = new ControlStory('c-1', {group: createGroup({owners})});
    story.advance(1_000);
    expect(askPromise(story)).toBe(true);
  });

  it('promises nothing to a host that is not the write owner', () => {
    const owners = {a: 'a-2', b: 'b-1'};
    const story = new ControlStory('b-1', {group: createGroup({owners})});
    story.advance(1_000);
    expect(askPromise(story)).toBe(false);
  });

  /** Returns a host that finds primary and write owner dead. */
  function startSuspicion(owners: Readonly<Record<string, string>>) {
    const story = new ControlStory('b-1', {group: createGroup({owners})});
    story.advance(2 * EVIDENCE_LAPSE_MS);
    story.indexes.delete('a');
    for (let round = 0; round < 20; round += 1) {
      story.advance(500);
      if (story.sent('suspect').length > 0) {
        story.answerSuspect('c-1', 'c');
      }
    }
    return story;
  }

  it('raises a fence as a registered owner', () => {
    const story = startSuspicion({a: 'a-1', b: 'b-1', c: 'c-1'});
    expect(story.updates().length).toBeGreaterThan(0);
    expect(story.updates()[0]!.value).toMatchObject({fence: {by: 'b-1'}});
  });

  it('raises no fence while the write owner does not know of it', () => {
    const story = startSuspicion({a: 'a-1', b: 'b-9', c: 'c-1'});
    expect(story.board.endpoints.owned.has('b')).toBe(true);
    expect(story.updates()).toEqual([]);
  });
});
