import {describe, expect, it} from 'vitest';
import {RELAY_COUNT} from '../../../control/constants.js';
import {ControlHarness} from './control_harness.js';

describe('a host that knows no other hosts yet', () => {
  it('stops reading the platform once it knows the relays', () => {
    const hosts = ['b-1', 'b-2', 'b-3', 'b-4', 'b-5'];
    const reads = hosts.map(host => {
      const harness = new ControlHarness(host, {hosts, seeds: []});
      harness.advance(4_000);
      return harness.actions.filter(({type}) => type === 'read_platform')
        .length;
    });
    const readers = reads.filter(count => count > 1);
    expect(reads.every(count => count > 0)).toBe(true);
    expect(readers.length).toBe(RELAY_COUNT);
  });
});
