import {describe, expect, it} from 'vitest';
import {ControlHarness} from './control_harness.js';

describe('hosts from the settings', () => {
  it('are synced from while the platform is unavailable', () => {
    const hosts = ['a-1', 'b-1', 'c-1'];
    const harness = new ControlHarness('b-1', {hosts, isPlatformUp: false});
    harness.advance(1_000);
    expect(harness.sent('sync', 'a-1').length).toBeGreaterThan(0);
    expect(harness.sent('sync', 'c-1').length).toBeGreaterThan(0);
  });

  it('are dropped once the platform was read', () => {
    const harness = new ControlHarness('b-1', {
      hosts: ['b-1', 'c-1'],
      seeds: ['a-1', 'b-1'],
    });
    harness.advance(1_000);
    expect([...harness.board.view.hosts.keys()].sort()).toEqual(['b-1', 'c-1']);
  });
});
