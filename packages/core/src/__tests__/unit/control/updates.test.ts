import {describe, expect, it} from 'vitest';
import {RELAY_COUNT} from '../../../control/constants.js';
import {listRelays} from '../../../control/membership.js';
import {ControlHarness, createGroup} from './control_harness.js';

const HOSTS = ['a-1', 'b-1', 'b-2', 'b-3', 'c-1', 'c-2', 'c-3'];

describe('an applied update of a group', () => {
  it('is announced to all relays and forwarded by one per data centre', () => {
    const harness = new ControlHarness('a-1', {
      hosts: HOSTS,
      group: createGroup({owners: {}}),
    });
    harness.advance(1_000);
    harness.answerUpdate('updated', true);
    for (const dataCentre of ['b', 'c']) {
      const relays = listRelays(
        harness.board,
        dataCentre,
        RELAY_COUNT,
        harness.now,
      );
      const flags = relays.flatMap(relay =>
        harness.sent('changed', relay).map(({forward}) => forward),
      );
      expect(flags.sort()).toEqual([false, true]);
    }
  });
});
