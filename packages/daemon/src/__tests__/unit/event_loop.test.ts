import {describe, expect, it} from 'vitest';
import {createEngine, unchanged} from '@lacewingroad/core';
import type {Event, Performers} from '@lacewingroad/core';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import {createEventLoop} from '../../event_loop.js';
import type {EventLoop, ExternalAction} from '../../event_loop.js';
import {createBoard} from './fake_parts.js';

describe('createEventLoop', () => {
  it('handles events pushed by a performer after the current event', () => {
    const order: string[] = [];
    const engine = createEngine(createBoard('a-1', 0));
    engine.registerFeature({
      name: 'test',
      handlers: {
        caller_closed: (board, {caller}) => {
          order.push(`event ${caller}`);
          return caller === 1
            ? unchanged(
                board,
                {type: 'close_caller', caller: 2},
                {type: 'close_caller', caller: 3},
              )
            : unchanged(board);
        },
      },
    });
    const closed = (caller: number): Event => ({type: 'caller_closed', caller});
    const performers = {
      close_caller: ({caller}: {caller: number}) => {
        order.push(`action ${caller}`);
        loop.push(closed(caller));
      },
    };
    const loop: EventLoop = createEventLoop({
      engine,
      runtime: createVirtualRuntime(1),
      performers: performers as unknown as Performers<ExternalAction>,
      onFatal: err => {
        throw err;
      },
    });
    loop.push(closed(1));
    expect(order).toEqual([
      'event 1',
      'action 2',
      'action 3',
      'event 2',
      'event 3',
    ]);
    loop.stop();
    loop.push(closed(1));
    expect(order).toHaveLength(5);
  });
});
