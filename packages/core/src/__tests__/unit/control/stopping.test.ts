import {describe, expect, it} from 'vitest';
import {findOwner} from '../../../control/membership.js';
import {ControlHarness, GROUP} from './control_harness.js';

/** Returns the host that requests for the primary are sent to. */
function findOwnerOfPrimary(harness: ControlHarness): string | null {
  const {board, now} = harness;
  const group = board.view.groups.get(GROUP)!.value;
  const primary = group.endpoints.find(({id}) => id === group.primary)!;
  return findOwner(board, group, primary, now);
}

describe('a host that refused work because it is stopping', () => {
  it('is sent no more work until its connection has ended', () => {
    const hosts = ['a-1', 'a-2', 'b-1', 'c-1'];
    const harness = new ControlHarness('b-1', {hosts});
    harness.advance(1_000);
    expect(findOwnerOfPrimary(harness)).toBe('a-1');
    harness.message('a-1', {
      type: 'ran',
      request: 'r',
      attempt: 1,
      outcome: {type: 'not_run', reason: 'draining'},
      report: null,
    });
    expect(findOwnerOfPrimary(harness)).toBe('a-2');
    harness.feed({type: 'peer_down', host: 'a-1', generation: 1});
    harness.feed({type: 'peer_up', host: 'a-1', generation: 2});
    expect(findOwnerOfPrimary(harness)).toBe('a-1');
  });
});
