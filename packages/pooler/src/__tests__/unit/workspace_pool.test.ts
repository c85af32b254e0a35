/** Tests a pool whose connections speak for workspaces, in virtual time. */

import {beforeEach, describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import type {VirtualRuntime} from '@lacewingroad/runtime';
import type {RouteTable, WorkspaceDirectory} from '../../model/directory.js';
import type {RunMessage} from '../../model/message.js';
import type {RunResult} from '../../model/result.js';
import {createGroupPool} from '../../owner/group_pool.js';
import type {GroupPool} from '../../owner/group_pool.js';
import {createFakeGroup, readFakeStatus} from '../fake_group.js';
import type {FakeGroup} from '../fake_group.js';

const GROUP = 'ledger';
const DATABASE = 'commissions';
/** Connections that each endpoint accepts, its status probe included. */
const MAX_CONNECTIONS = 12;
const READ = {type: 'run', access: 'read', text: 'FETCH x'} as const;
const WRITE = {type: 'run', access: 'write', text: 'PUT x 1'} as const;

let runtime: VirtualRuntime;
let group: FakeGroup;
let pool: GroupPool;
let results: Map<string, RunResult>;
let workspaceOf: Map<string, string | null>;
let events: {event: string; fields: Readonly<Record<string, unknown>>}[];
let workspaces: WorkspaceDirectory | null;
let next: number;

/** Any key with the digest `key-W` belongs to workspace `W`. */
function createDirectory(names: readonly string[]): WorkspaceDirectory {
  return {
    limits: new Map(names.map(name => [name, null])),
    owners: new Map(names.map(name => [`key-${name}`, name])),
  };
}

function readTable(): RouteTable {
  return {
    version: 1,
    routes: new Map([
      [
        DATABASE,
        {
          database: DATABASE,
          group: GROUP,
          consistency: 'strict',
          maxStalenessMs: 0,
          timeoutMs: 800,
          targetMs: 150,
          priority: 0,
          isPublic: false,
        },
      ],
    ]),
    groups: new Map([
      [GROUP, {maxConnections: MAX_CONNECTIONS, syncReplicas: 1}],
    ]),
    txIdleMs: 3_000,
    workspaces,
  };
}

async function advanceTime(ms: number): Promise<void> {
  const end = runtime.now() + ms;
  while (runtime.now() < end) {
    runtime.runUntil(Math.min(end, runtime.now() + 1));
    pool.updateEndpoints();
    await Promise.resolve();
    await Promise.resolve();
    await Promise.resolve();
  }
}

function send(workspace: string | null, parts: Partial<RunMessage> = {}) {
  const request = `r${next++}`;
  workspaceOf.set(request, workspace);
  pool.run('b-1', {
    type: 'run',
    request,
    callerRequest: request,
    group: GROUP,
    database: DATABASE,
    workspace,
    keyDigest: workspace === null ? null : `key-${workspace}`,
    tableVersion: 1,
    tx: null,
    statement: READ,
    session: {values: []},
    consistency: 'strict',
    maxStalenessMs: 0,
    position: null,
    priority: 0,
    targetLeftMs: 100,
    timeoutLeftMs: 800,
    ...parts,
  });
  return request;
}

function countEvents(name: string): number {
  return events.filter(({event}) => event === name).length;
}

/** Fails if a statement ran on a connection of another workspace. */
function expectOwnConnections(): void {
  for (const {request, workspace} of group.ran) {
    expect(workspace).toBe(workspaceOf.get(request!));
  }
}

beforeEach(async () => {
  runtime = createVirtualRuntime(3);
  group = createFakeGroup(runtime, GROUP);
  results = new Map();
  workspaceOf = new Map();
  events = [];
  next = 1;
  workspaces = createDirectory(
    Array.from({length: 30}, (_, number) => `w${number}`),
  );
  group.endpoints.forEach(endpoint => {
    endpoint.maxConns = MAX_CONNECTIONS;
  });
  pool = createGroupPool(
    {
      group: GROUP,
      host: 'a-1',
      dataCentre: 'dc-1',
      ports: {
        runtime,
        record: (_level, event, fields) => events.push({event, fields}),
        openConn: group.openConn,
        promote: call => group.promote(call),
        send: (_host, msg) => {
          if (msg.type === 'ran') {
            results.set(msg.request, msg.result);
          }
        },
      },
      isLeaseValid: () => true,
      readGeneration: () => 7,
      keepPromotion: () => Promise.resolve('record'),
      readTable,
      readEndpoints: () => ({
        entries: group.readEntries(),
        readAt: runtime.now(),
      }),
      lineage: null,
      predecessorEndedAt: 0,
    },
    readFakeStatus,
  );
  await advanceTime(700);
});

describe('connections of workspaces', () => {
  it('opens none before a statement waits, but for the probes', () => {
    group.endpoints.forEach(({conns}) => expect(conns).toBe(1));
  });

  it('runs each statement on a connection of its own workspace', async () => {
    for (let turn = 0; turn < 200; turn++) {
      const statement = turn % 3 === 0 ? WRITE : READ;
      send(`w${(turn * 7) % 30}`, {statement});
      await advanceTime(8);
    }
    await advanceTime(800);
    expect(group.ran).toHaveLength(200);
    expectOwnConnections();
    expect([...results.values()].every(({type}) => type === 'done')).toBe(true);
    expect(countEvents('conn_evicted')).toBeGreaterThan(0);
    expect(countEvents('conn_refused')).toBe(0);
    expect(countEvents('conns_counted')).toBeGreaterThan(3);
  });

  it('never holds more than an endpoint accepts, under a surge of all', async () => {
    for (let turn = 0; turn < 60; turn++) {
      for (let number = 0; number < 4; number++) {
        send(`w${(turn * 4 + number) % 30}`, {statement: WRITE});
      }
      await advanceTime(4);
      for (const {conns} of group.endpoints.values()) {
        expect(conns).toBeLessThan(MAX_CONNECTIONS);
      }
    }
    expectOwnConnections();
  });

  // The wait key of a statement did not name its workspace, so a statement
  // without a connection held up those that had one.
  it('does not let one workspace wait for the connection of another', async () => {
    send('w1', {statement: WRITE});
    await advanceTime(100);
    const slow = send('w2', {statement: WRITE, targetLeftMs: 10});
    const quick = send('w1', {statement: WRITE, targetLeftMs: 100});
    await advanceTime(10);
    expect(results.has(quick)).toBe(true);
    expect(results.has(slow)).toBe(false);
    await advanceTime(100);
    expect(results.get(slow)).toMatchObject({type: 'done'});
  });

  it('leaves room at the primary for writes beside idle transactions', async () => {
    for (let number = 0; number < 20; number++) {
      send(`w${number}`, {
        tx: {id: `t${number}`, readOnly: false, isFirst: true},
        statement: WRITE,
        timeoutLeftMs: 2_000,
      });
    }
    await advanceTime(400);
    const write = send('w25', {statement: WRITE});
    await advanceTime(100);
    expect(results.get(write)).toMatchObject({type: 'done'});
    expectOwnConnections();
  });

  it('closes the connections that nobody uses any more', async () => {
    for (let number = 0; number < 8; number++) {
      send(`w${number}`, {statement: WRITE});
    }
    await advanceTime(300);
    expect(group.get('ledger-1').conns).toBeGreaterThan(3);
    await advanceTime(25_000);
    group.endpoints.forEach(({conns}) => expect(conns).toBe(1));
  });

  // A previous owner that is frozen keeps its connections.
  it('backs off where an endpoint refuses connections, and goes on', async () => {
    const primary = group.get('ledger-1');
    primary.maxConns = 4;
    let done = 0;
    for (let turn = 0; turn < 100; turn++) {
      const request = send(`w${turn % 8}`, {statement: WRITE});
      await advanceTime(20);
      done += results.get(request)?.type === 'done' ? 1 : 0;
      expect(primary.conns).toBeLessThanOrEqual(4 + 2);
    }
    expect(primary.refusedConns).toBeGreaterThan(0);
    expect(primary.refusedConns).toBeLessThan(8);
    expect(countEvents('conns_refused')).toBe(primary.refusedConns);
    expect(group.ran.length).toBeGreaterThan(70);
    expect(done).toBeGreaterThan(0);
    expectOwnConnections();
    primary.maxConns = MAX_CONNECTIONS;
    await advanceTime(10_000);
    const late = ['w20', 'w21', 'w22', 'w23'].map(name =>
      send(name, {statement: WRITE}),
    );
    await advanceTime(200);
    late.forEach(request =>
      expect(results.get(request)).toMatchObject({type: 'done'}),
    );
  });
});

describe('a table whose workspaces come or go', () => {
  it('serves callers without a workspace as before once there are none', async () => {
    for (let number = 0; number < 9; number++) {
      send(`w${number}`, {statement: WRITE});
    }
    await advanceTime(300);
    workspaces = null;
    await advanceTime(200);
    const before = group.endpoints.get('ledger-1')!.conns;
    // One for each slot, one beyond, and the probe.
    expect(before).toBe(4);
    const read = send(null);
    const write = send(null, {statement: WRITE});
    await advanceTime(50);
    expect(results.get(read)).toMatchObject({type: 'done'});
    expect(results.get(write)).toMatchObject({type: 'done'});
    expectOwnConnections();
  });

  it('serves a workspace that only the entry host knows yet', async () => {
    workspaces = null;
    await advanceTime(200);
    const early = send('new', {statement: WRITE, tableVersion: 2});
    await advanceTime(100);
    expect(results.get(early)).toMatchObject({type: 'done'});
    expectOwnConnections();
  });
});
