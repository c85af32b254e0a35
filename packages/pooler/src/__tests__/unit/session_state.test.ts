/**
 * The session values and prepared statements of pooled connections, when an
 * endpoint refuses to reset them. Guards against statements that run with the
 * values of another client, or with a prepared name that the endpoint lost.
 */

import {createVirtualRuntime} from '@lacewingroad/runtime';
import type {VirtualRuntime} from '@lacewingroad/runtime';
import {beforeEach, describe, expect, it} from 'vitest';
import type {RunMessage} from '../../model/message.js';
import type {RunResult} from '../../model/result.js';
import type {EndpointFault} from '../../model/statement.js';
import {createGroupPool} from '../../owner/group_pool.js';
import type {GroupPool} from '../../owner/group_pool.js';
import {createFakeGroup, readFakeStatus} from '../fake_group.js';
import type {FakeGroup} from '../fake_group.js';

const GROUP = 'ledger';
const READ = {type: 'run', access: 'read', text: 'FETCH x'} as const;
const EXECUTE = {
  type: 'execute',
  access: 'read',
  name: 's1',
  shape: 'q2c',
  args: 'x',
} as const;
/** Longer than the time after which an idle connection is reset, in ms. */
const IDLE_MS = 3_500;
const SESSIONS = 12;

let runtime: VirtualRuntime;
let group: FakeGroup;
let pool: GroupPool;
let results: Map<string, RunResult>;
let next: number;

async function advanceTime(ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 2) {
    runtime.runUntil(runtime.now() + 2);
    await Promise.resolve();
    await Promise.resolve();
  }
}

function send(parts: Partial<RunMessage>): string {
  const request = `r${next++}`;
  pool.run('b-1', {
    type: 'run',
    request,
    callerRequest: request,
    group: GROUP,
    database: 'db',
    workspace: null,
    keyDigest: null,
    tableVersion: 1,
    tx: null,
    statement: READ,
    session: {values: []},
    consistency: 'bounded',
    maxStalenessMs: 1_500,
    position: null,
    priority: 0,
    targetLeftMs: 500,
    timeoutLeftMs: 1_500,
    ...parts,
  });
  return request;
}

/** Runs the reads of several sessions at once; checks what they ran with. */
async function runAll(
  parts: Partial<RunMessage>,
  values: Readonly<Record<string, string>> = {},
): Promise<void> {
  const session = {values: Object.entries(values)};
  const requests = Array.from({length: SESSIONS}, () =>
    send({...parts, session}),
  );
  await advanceTime(300);
  for (const request of requests) {
    expect(results.get(request)).toMatchObject({type: 'done'});
    const ran = group.ran.filter(entry => entry.request === request);
    expect(ran.map(entry => entry.values)).toEqual([values]);
  }
}

/** Lets all endpoints fail their next resets. */
function failResets(fault: EndpointFault, count: number): void {
  for (const endpoint of group.endpoints.values()) {
    const faults = Array.from({length: count}, () => fault);
    endpoint.commandFaults.set('reset', faults);
  }
}

function countOpened(): number {
  return new Set(group.commands.map(({conn}) => conn)).size;
}

beforeEach(async () => {
  runtime = createVirtualRuntime(1);
  group = createFakeGroup(runtime, GROUP);
  results = new Map();
  next = 1;
  pool = createGroupPool(
    {
      group: GROUP,
      host: 'a-1',
      dataCentre: 'dc-1',
      ports: {
        runtime,
        record: () => undefined,
        openConn: group.openConn,
        promote: group.promote,
        send: (_host, msg) => {
          if (msg.type === 'ran') {
            results.set(msg.request, msg.result);
          }
        },
      },
      isLeaseValid: () => true,
      readGeneration: () => 1,
      keepPromotion: () => Promise.resolve('record'),
      readTable: () => ({
        version: 1,
        routes: new Map(),
        groups: new Map([[GROUP, {maxConnections: 12, syncReplicas: 1}]]),
        txIdleMs: 3_000,
        workspaces: null,
      }),
      readEndpoints: () => ({
        entries: group.readEntries(),
        readAt: runtime.now(),
      }),
      lineage: null,
      predecessorEndedAt: 0,
    },
    readFakeStatus,
  );
  await advanceTime(300);
});

describe('a connection whose reset', () => {
  // Review case 7: the next client's reads ran with the values of one that had
  // left.
  it.each(['busy', 'failed', 'timed_out', 'aborted', 'other'] as const)(
    'failed as %s runs no statement with foreign values',
    async fault => {
      await runAll({}, {region: 'north'});
      failResets(fault, 8);
      await advanceTime(IDLE_MS);
      await runAll({});
      await runAll({}, {region: 'south'});
      await runAll({});
    },
  );

  it.each(['busy', 'failed', 'other'] as const)(
    'failed as %s runs the prepared shape',
    async fault => {
      await runAll({statement: EXECUTE});
      failResets(fault, 8);
      await advanceTime(IDLE_MS);
      await runAll({statement: EXECUTE});
      const shapes = group.ran.map(({shape}) => shape);
      expect(new Set(shapes)).toEqual(new Set([EXECUTE.shape]));
    },
  );

  // A connection that is opened again occupies a slot of its endpoint.
  it('was refused as busy is kept, and is reset later', async () => {
    await runAll({}, {region: 'north'});
    failResets('busy', 1);
    const opened = countOpened();
    await advanceTime(2 * IDLE_MS);
    const before = group.commands.length;
    await runAll({});
    expect(countOpened()).toBe(opened);
    const types = group.commands.slice(before).map(({type}) => type);
    expect(types).not.toContain('reset');
  });
});
