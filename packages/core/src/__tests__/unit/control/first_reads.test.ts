import {describe, expect, it} from 'vitest';
import {RELAY_COUNT} from '../../../control/constants.js';
import {ControlStory} from './control_story.js';

describe('a host that knows no others yet', () => {
  it('stops reading the platform once it knows the relays', () => {
    const hosts = ['b-1', 'b-2', 'b-3', 'b-4', 'b-5'];
    const reads = hosts.map(host => {
      const story = new ControlStory(host, {hosts, seeds: []});
      story.advance(4_000);
      return story.actions.filter(({type}) => type === 'read_platform').length;
    });
    const readers = reads.filter(count => count > 1);
    expect(reads.every(count => count > 0)).toBe(true);
    expect(readers.length).toBe(RELAY_COUNT);
  });
});
