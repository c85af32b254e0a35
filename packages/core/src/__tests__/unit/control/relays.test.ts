import {describe, expect, it} from 'vitest';
import {HOST_SILENT_MS, RELAY_COUNT} from '../../../control/constants.js';
import {listRelays} from '../../../control/membership.js';
import {ControlHarness} from './control_harness.js';

function syncAndListSilent(
  harness: ControlHarness,
  host: string,
): readonly string[] {
  const part = {ask: 1, since: 0, isDraining: false};
  harness.message(host, {type: 'sync', ...part});
  return harness.sent('synced', host).at(-1)!.silentHosts;
}

describe('a relay', () => {
  it('reports silent hosts of its own data centre only', () => {
    const hosts = ['a-1', 'b-1', 'b-2', 'b-3', 'c-1'];
    const harness = new ControlHarness('b-1', {hosts});
    harness.advance(1_000);
    // A host of another data centre syncs once, before it has a view.
    syncAndListSilent(harness, 'a-1');
    syncAndListSilent(harness, 'b-2');
    harness.advance(HOST_SILENT_MS + 500);
    expect(syncAndListSilent(harness, 'b-3')).toEqual(['b-2']);
  });

  it('keeps syncing from another relay that is marked unreachable', () => {
    const hosts = ['a-1', 'b-1', 'b-2', 'c-1'];
    const harness = new ControlHarness('b-1', {hosts});
    harness.advance(1_000);
    syncAndListSilent(harness, 'b-2');
    harness.feed({type: 'peer_down', host: 'b-2', generation: 1});
    harness.advance(2 * HOST_SILENT_MS);
    const before = harness.sent('sync', 'b-2').length;
    harness.advance(2 * HOST_SILENT_MS);
    expect(harness.sent('sync', 'b-2').length).toBeGreaterThan(before + 2);
  });
});

describe('a host with two relays', () => {
  const HOSTS = ['b-1', 'b-2', 'b-3', 'b-4'];

  /** Returns a host that is not a relay, and its relays. */
  function findRelayClient(): {
    harness: ControlHarness;
    relays: readonly string[];
  } {
    for (const host of HOSTS) {
      const harness = new ControlHarness(host, {hosts: HOSTS});
      harness.advance(1_000);
      const {board, now} = harness;
      const relays = listRelays(board, 'b', RELAY_COUNT, now);
      if (!relays.includes(host)) {
        return {harness, relays};
      }
    }
    throw new Error('every host is a relay');
  }

  it('syncs from them in turn, one every half second', () => {
    const {harness, relays} = findRelayClient();
    const before = relays.map(host => harness.sent('sync', host).length);
    harness.advance(10_000);
    const asked = relays.map(
      (host, at) => harness.sent('sync', host).length - before[at]!,
    );
    expect(asked).toEqual([10, 10]);
  });

  it('syncs from both when a sync is requested ahead of schedule', () => {
    const {harness, relays} = findRelayClient();
    harness.advance(10_000);
    const before = relays.map(host => harness.sent('sync', host).length);
    harness.advance(100);
    harness.feed({type: 'sync_wanted'});
    relays.forEach((host, at) =>
      expect(harness.sent('sync', host).length).toBeGreaterThan(before[at]!),
    );
  });
});
