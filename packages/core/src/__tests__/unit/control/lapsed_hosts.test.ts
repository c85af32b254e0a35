/**
 * An outage of the platform outlasts the lifetime of its host entries. All of
 * them are gone when it ends, and running hosts register again within two
 * seconds. Dropping the hosts at once would leave none to send work to.
 */

import {describe, expect, it} from 'vitest';
import {HOST_RETURN_MS} from '../../../control/constants.js';
import {ControlHarness} from './control_harness.js';

const OUTAGE_MS = 30_000;

function isListed(harness: ControlHarness, host: string): boolean {
  return harness.board.view.hosts.has(host);
}

describe('host entries that expired during a platform outage', () => {
  function startAfterOutageWithout(host: string): ControlHarness {
    const harness = new ControlHarness('a-1', {hosts: ['a-1', 'b-1', 'c-1']});
    harness.advance(2_000);
    harness.isPlatformUp = false;
    harness.advance(OUTAGE_MS);
    harness.lapseHost(host);
    harness.isPlatformUp = true;
    harness.advance(1_000);
    return harness;
  }

  it('stay listed until hosts had time to register again', () => {
    const harness = startAfterOutageWithout('b-1');
    expect(isListed(harness, 'b-1')).toBe(true);
  });

  it('are removed after that', () => {
    const harness = startAfterOutageWithout('b-1');
    harness.advance(HOST_RETURN_MS);
    expect(isListed(harness, 'b-1')).toBe(false);
  });

  it('stay listed once they are back', () => {
    const harness = startAfterOutageWithout('b-1');
    harness.relistHost('b-1');
    harness.advance(3 * HOST_RETURN_MS);
    expect(isListed(harness, 'b-1')).toBe(true);
  });

  it('expire again in a later outage', () => {
    const harness = startAfterOutageWithout('b-1');
    harness.relistHost('b-1');
    harness.advance(2 * HOST_RETURN_MS);
    harness.isPlatformUp = false;
    harness.advance(OUTAGE_MS);
    harness.lapseHost('b-1');
    harness.isPlatformUp = true;
    harness.advance(1_000);
    expect(isListed(harness, 'b-1')).toBe(true);
    harness.advance(HOST_RETURN_MS);
    expect(isListed(harness, 'b-1')).toBe(false);
  });

  it('do not delay the removal of a host while the platform answers', () => {
    const harness = new ControlHarness('a-1');
    harness.advance(2_000);
    harness.lapseHost('b-1');
    harness.advance(1_000);
    expect(isListed(harness, 'b-1')).toBe(false);
  });
});

describe('the platform', () => {
  it('is logged as lost once, with the reason, and as regained once', () => {
    const harness = new ControlHarness('a-1');
    harness.advance(2_000);
    harness.isPlatformUp = false;
    harness.advance(OUTAGE_MS);
    harness.isPlatformUp = true;
    harness.advance(2_000);
    const events = harness.actions.filter(
      action =>
        action.type === 'record' &&
        ['platform_lost', 'platform_regained'].includes(action.event),
    );
    expect(events).toMatchObject([
      {event: 'platform_lost', fields: {kind: 'refused', detail: 'is down'}},
      {event: 'platform_regained'},
    ]);
  });
});
