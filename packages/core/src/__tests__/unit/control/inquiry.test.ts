import {describe, expect, it} from 'vitest';
import {inquiryFeature} from '../../../control/inquiry.js';
import {setEndpointView} from '../../../control/probes.js';
import {setFailovers} from '../../../control/updates.js';
import type {Blackboard} from '../../../engine/blackboard.js';
import {ControlHarness, GROUP, createGroup} from './control_harness.js';

const ASKED_AT = 5_000;

/** Returns the board of an owner of two replicas, none probed since a query. */
function createAskedBoard(): Blackboard {
  const owners = {a: 'a-1', b: 'b-1', c: 'b-1'};
  const harness = new ControlHarness('b-1', {group: createGroup({owners})});
  harness.advance(2_000);
  const question = {
    host: 'c-1',
    ask: 1,
    group: GROUP,
    term: 1,
    receivedAt: ASKED_AT,
    awaitsPrimaryProbe: false,
  };
  const board = setFailovers(harness.board, {
    pendingSuspectQueries: [question],
  });
  return ['b', 'c'].reduce(
    (current, id) =>
      setEndpointView(current, id, {statusAt: 1_900, probeDeadline: null}),
    board,
  );
}

/** Returns the endpoints that are probed after one probe has ended. */
function listProbed(board: Blackboard, endpoint: string): readonly string[] {
  const {actions} = inquiryFeature.handlers.endpoint_observed!(
    board,
    {type: 'endpoint_observed', endpoint},
    {now: ASKED_AT + 1, random: () => 0.5},
  );
  return actions
    .filter(action => action.type === 'probe')
    .map(action => action.endpoint);
}

describe('a query about a suspected primary', () => {
  it('probes a replica again whose status is older than the query', () => {
    expect(listProbed(createAskedBoard(), 'b')).toEqual(['b']);
  });

  it('does not probe a failing replica again while it waits for another', () => {
    const board = setEndpointView(createAskedBoard(), 'b', {
      failingSince: ASKED_AT + 1,
      lastFault: 'refused',
    });
    expect(listProbed(board, 'b')).toEqual([]);
  });
});
