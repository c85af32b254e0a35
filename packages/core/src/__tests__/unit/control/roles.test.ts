import {describe, expect, it} from 'vitest';
import {COMMAND_SETTLE_MS} from '../../../control/constants.js';
import {setEndpointView} from '../../../control/probes.js';
import {rolesFeature} from '../../../control/roles.js';
import type {Blackboard} from '../../../engine/blackboard.js';
import type {Event} from '../../../engine/event.js';
import type {Change, Handler} from '../../../engine/engine.js';
import {ControlHarness, GROUP, createGroup} from './control_harness.js';

const ENDPOINT = 'b';

/** Returns a board with an owned replica in term 1, and its group in `term`. */
function createBoard(term: number): Blackboard {
  const harness = new ControlHarness('b-1', {
    group: createGroup({term, starts: [{term, index: 10}]}),
  });
  harness.advance(1_000);
  return setEndpointView(harness.board, ENDPOINT, {
    status: {
      role: 'replica',
      position: {term: 1, index: 10},
      dataAgeMs: 0,
      follows: 'a',
    },
    statusAt: 1_000,
    failingSince: null,
    command: null,
  });
}

function handle(board: Blackboard, event: Event, now: number): Change {
  const handler = rolesFeature.handlers[event.type] as Handler<Event['type']>;
  return handler(board, event as never, {now, random: () => 0.5});
}

function countCommands(change: Change): number {
  return change.actions.filter(action => action.type === 'command_endpoint')
    .length;
}

const OBSERVED = {type: 'endpoint_observed', endpoint: ENDPOINT} as const;
const COMMANDED = {
  type: 'endpoint_commanded',
  endpoint: ENDPOINT,
  ok: true,
  detail: '',
} as const;

describe('roles', () => {
  it('gives a command time to take effect', () => {
    const sent = handle(createBoard(2), OBSERVED, 2_000);
    expect(countCommands(sent)).toBe(1);
    const ended = handle(sent.board, COMMANDED, 2_010);
    const seen = handle(ended.board, OBSERVED, 2_020);
    expect(countCommands(seen)).toBe(0);
    const late = handle(seen.board, OBSERVED, 2_010 + COMMAND_SETTLE_MS);
    expect(countCommands(late)).toBe(1);
  });

  it('sends the command of a newer term at once', () => {
    const sent = handle(createBoard(2), OBSERVED, 2_000);
    const {version, revision, value} = sent.board.view.groups.get(GROUP)!;
    const newer = {version, revision, value: {...value, term: 3}};
    const board: Blackboard = {
      ...sent.board,
      view: {
        ...sent.board.view,
        groups: sent.board.view.groups.set(GROUP, newer),
      },
    };
    expect(countCommands(handle(board, OBSERVED, 2_020))).toBe(1);
  });
});
