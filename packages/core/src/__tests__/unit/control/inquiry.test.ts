import {describe, expect, it} from 'vitest';
import {inquiryFeature} from '../../../control/inquiry.js';
import {setEndpointView} from '../../../control/probes.js';
import {setFailovers} from '../../../control/updates.js';
import type {Blackboard} from '../../../engine/blackboard.js';
import {ControlStory, GROUP, createGroup} from './control_story.js';

const ASKED_AT = 5_000;

/** An owner of two replicas that was asked; neither was probed since. */
function createAskedBoard(): Blackboard {
  const owners = {a: 'a-1', b: 'b-1', c: 'b-1'};
  const story = new ControlStory('b-1', {group: createGroup({owners})});
  story.advance(2_000);
  const question = {
    host: 'c-1',
    ask: 1,
    group: GROUP,
    term: 1,
    receivedAt: ASKED_AT,
    awaitsPrimary: false,
  };
  const board = setFailovers(story.board, {pendingSuspects: [question]});
  return ['b', 'c'].reduce(
    (current, id) =>
      setEndpointView(current, id, {statusAt: 1_900, probeDeadline: null}),
    board,
  );
}

/** Returns the endpoints that are probed after one was observed. */
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

describe('a question about a primary', () => {
  it('probes a replica again that was last seen before the question', () => {
    expect(listProbed(createAskedBoard(), 'b')).toEqual(['b']);
  });

  it('does not probe a replica again that fails while another is awaited', () => {
    const board = setEndpointView(createAskedBoard(), 'b', {
      failingSince: ASKED_AT + 1,
      lastFault: 'refused',
    });
    expect(listProbed(board, 'b')).toEqual([]);
  });
});
