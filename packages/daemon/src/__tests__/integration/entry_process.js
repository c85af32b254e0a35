/** Runs the built daemon with an engine that tests steer by signals. */

import {Subject} from 'rxjs';
import {createEngine, unchanged} from '@lacewingroad/core';
import {runEntry} from '@lacewingroad/daemon';

const [settingsPath, behaviour] = process.argv.slice(2);

const DRAIN_DELAY_MS = 300;
/** What the engine does when it is asked to drain. */
const DRAIN_ACTIONS = {
  finish: now => [
    {type: 'set_timer', at: now + DRAIN_DELAY_MS, timer: {name: 'drain'}},
  ],
  hang: () => [],
  fail: () => {
    throw new Error('Invariant broken: asked to fail');
  },
};

const engine = createEngine({
  self: {host: 'a-1', dataCentre: 'a', drainDeadline: null},
  view: {freshAt: 0, hosts: new Map()},
});
engine.registerFeature({
  name: 'test',
  handlers: {
    drain: (board, _event, ctx) =>
      unchanged(board, ...DRAIN_ACTIONS[behaviour](ctx.now)),
    timer: board => unchanged(board, {type: 'drained'}),
  },
});

const createAdapter = () => ({
  events$: new Subject(),
  performers: {},
  port: 1,
  stopListening: () => undefined,
  setUsers: () => undefined,
  close: () => Promise.resolve(),
});

await runEntry(settingsPath, {
  parts: {
    createEntryEngine: () => engine,
    createCallerAdapter: () => Promise.resolve(createAdapter()),
    createEndpointAdapter: createAdapter,
  },
});
