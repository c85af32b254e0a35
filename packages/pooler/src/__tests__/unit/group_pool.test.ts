/** Tests the pool of a group against fake endpoints, in virtual time. */

import {beforeEach, describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import type {VirtualRuntime} from '@lacewingroad/runtime';
import type {RunMessage, TxRef} from '../../model/message.js';
import type {EndpointRun, GroupLineage} from '../../model/ownership.js';
import type {RunResult} from '../../model/result.js';
import type {EndpointFault} from '../../model/statement.js';
import type {AllowanceGate} from '../../owner/allowance_gate.js';
import {createGroupPool} from '../../owner/group_pool.js';
import type {GroupPool} from '../../owner/group_pool.js';
import {createFakeGroup, readFakeStatus} from '../fake_group.js';
import type {FakeGroup} from '../fake_group.js';
import type {Promote} from '../../ports.js';

const GROUP = 'ledger';
const GENERATION = 7;

let runtime: VirtualRuntime;
let group: FakeGroup;
let pool: GroupPool;
let results: Map<string, RunResult>;
let isLeaseValid: boolean;
let events: string[];
/** Fields of the events that say why a promotion waits. */
let waits: Record<string, unknown>[];
/** Fields of the events that tell a changed capacity of an endpoint. */
let capacities: Record<string, unknown>[];
/** Endpoints that are missing from the endpoint list. */
let unlisted: Set<string>;
let isListCurrent: boolean;
let promote: Promote;
/** What the pool is told of earlier owners. */
let lineage: GroupLineage | null;
let next: number;
/** The gate of limits; null for none. */
let allowances: AllowanceGate | null;

/**
 * Advances virtual time in steps of 1 ms and runs the microtasks of each step.
 */
async function advanceTime(ms: number): Promise<void> {
  const end = runtime.now() + ms;
  while (runtime.now() < end) {
    runtime.runUntil(Math.min(end, runtime.now() + 1));
    // The host does the same after each list that it receives.
    pool.updateEndpoints();
    await Promise.resolve();
    await Promise.resolve();
    await Promise.resolve();
  }
}

function openPool(): GroupPool {
  return createGroupPool(
    {
      group: GROUP,
      host: 'a-1',
      dataCentre: 'dc-1',
      ports: {
        runtime,
        record: (_level, event, fields) => {
          events.push(event);
          if (event === 'promotion_waits') {
            waits.push(fields);
          }
          if (event === 'endpoint_capacity') {
            capacities.push(fields);
          }
        },
        openConn: group.openConn,
        promote: call => promote(call),
        send: (_host, msg) => {
          if (msg.type === 'ran') {
            results.set(msg.request, msg.result);
          }
        },
      },
      isLeaseValid: () => isLeaseValid,
      readGeneration: () => GENERATION,
      keepPromotion: () => Promise.resolve('record'),
      readTable: () => ({
        version: 1,
        routes: new Map(),
        groups: new Map([[GROUP, {maxConnections: 12, syncReplicas: 1}]]),
        txIdleMs: 3_000,
        workspaces: null,
      }),
      readEndpoints: () => ({
        entries: new Map(
          [...group.readEntries()].filter(([id]) => !unlisted.has(id)),
        ),
        readAt: isListCurrent ? runtime.now() : 0,
      }),
      lineage,
      predecessorEndedAt: runtime.now(),
      allowances,
    },
    readFakeStatus,
  );
}

/** Sends a statement; returns its request. */
function send(parts: Partial<RunMessage> = {}, host = 'b-1'): string {
  const request = `r${next++}`;
  pool.run(host, {
    type: 'run',
    request,
    callerRequest: request,
    group: GROUP,
    database: 'db',
    workspace: null,
    keyDigest: null,
    tableVersion: 1,
    tx: null,
    statement: {type: 'run', access: 'read', text: 'FETCH x'},
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

const WRITE = {type: 'run', access: 'write', text: 'PUT x 1'} as const;
const COMMIT = {type: 'commit'} as const;

function firstInTx(id: string, readOnly = false): TxRef {
  return {id, readOnly, isFirst: true};
}

function laterInTx(id: string): TxRef {
  return {id, readOnly: false, isFirst: false};
}

function listEndpointsOf(request: string): readonly string[] {
  return group.ran
    .filter(ran => ran.request === request)
    .map(({endpoint}) => endpoint);
}

beforeEach(async () => {
  runtime = createVirtualRuntime(1);
  group = createFakeGroup(runtime, GROUP);
  results = new Map();
  isLeaseValid = true;
  events = [];
  waits = [];
  capacities = [];
  unlisted = new Set();
  isListCurrent = true;
  lineage = null;
  allowances = null;
  promote = call => group.promote(call);
  next = 1;
  pool = openPool();
  await advanceTime(300);
});

describe('a pool', () => {
  it('runs reads, writes and transactions', async () => {
    const read = send();
    const write = send({statement: WRITE});
    const begun = send({tx: firstInTx('t1'), statement: WRITE});
    await advanceTime(60);
    const commit = send({tx: laterInTx('t1'), statement: COMMIT});
    await advanceTime(60);
    for (const request of [read, write, begun, commit]) {
      expect(results.get(request)).toMatchObject({type: 'done'});
    }
    expect(listEndpointsOf(begun)).toEqual(['ledger-1']);
    expect(listEndpointsOf(commit)).toEqual(['ledger-1']);
    expect(pool.isIdle()).toBe(true);
  });

  it('runs no read before it knows the commits acknowledged by earlier owners', async () => {
    // With one synchronous replica, an acknowledged commit is at one of the
    // replicas at least, but one of them alone may lack it.
    for (const id of ['ledger-1', 'ledger-2']) {
      group.get(id).received = 40;
      group.get(id).applied = 40;
      group.get(id).isUnresponsive = true;
    }
    pool.close();
    pool = openPool();
    const read = send({timeoutLeftMs: 600});
    await advanceTime(100);
    expect(listEndpointsOf(read)).toEqual([]);
    group.get('ledger-1').isUnresponsive = false;
    await advanceTime(900);
    expect(listEndpointsOf(read)).not.toContain('ledger-3');
  });

  it('runs reads before it has a primary, once all but one endpoint reported', async () => {
    group.get('ledger-2').received = 40;
    group.get('ledger-2').applied = 40;
    group.get('ledger-1').isUnresponsive = true;
    pool.close();
    pool = openPool();
    const read = send({timeoutLeftMs: 600});
    const write = send({statement: WRITE, timeoutLeftMs: 600});
    await advanceTime(200);
    expect(listEndpointsOf(read)).toEqual(['ledger-2']);
    expect(results.get(read)).toMatchObject({type: 'done'});
    expect(listEndpointsOf(write)).toEqual([]);
  });

  it('runs a strict read only at an endpoint with every acknowledged commit', async () => {
    group.get('ledger-2').lagMs = 400;
    group.get('ledger-3').lagMs = 400;
    const write = send({statement: WRITE});
    await advanceTime(20);
    expect(results.get(write)?.type).toBe('done');
    const reads = Array.from({length: 6}, () => send());
    await advanceTime(200);
    for (const read of reads) {
      expect(results.get(read)?.type).toBe('done');
      expect(listEndpointsOf(read)).toEqual(['ledger-1']);
    }
  });

  it('runs a bounded read at replicas within its staleness limit', async () => {
    group.get('ledger-2').lagMs = 200;
    group.get('ledger-3').lagMs = 200;
    send({statement: WRITE});
    await advanceTime(20);
    const reads = Array.from({length: 12}, () =>
      send({consistency: 'bounded', maxStalenessMs: 1_500}),
    );
    await advanceTime(200);
    const usedEndpoints = new Set(reads.flatMap(listEndpointsOf));
    expect(usedEndpoints).toContain('ledger-2');
    expect(usedEndpoints).toContain('ledger-3');
  });

  it("runs a session read only at an endpoint with the session's own commit", async () => {
    group.get('ledger-2').lagMs = 300;
    group.get('ledger-3').lagMs = 300;
    const write = send({statement: WRITE});
    await advanceTime(20);
    const result = results.get(write);
    const position = result?.type === 'done' ? result.position : null;
    const read = send({
      consistency: 'session',
      maxStalenessMs: 2_500,
      position,
    });
    await advanceTime(100);
    expect(results.get(read)?.type).toBe('done');
    expect(listEndpointsOf(read)).toEqual(['ledger-1']);
  });

  it('keeps a connection if the replica lacks the position at begin', async () => {
    for (const id of ['ledger-2', 'ledger-3']) {
      group.get(id).lagMs = 60_000;
    }
    const write = send({statement: WRITE});
    await advanceTime(100);
    const result = results.get(write);
    const reading = send({
      tx: firstInTx('t1', true),
      consistency: 'session',
      maxStalenessMs: 2_500,
      position: result?.type === 'done' ? result.position : null,
    });
    await advanceTime(100);
    expect(results.get(reading)?.type).toBe('done');
    const begins = group.commands.filter(({type}) => type === 'begin');
    expect(begins.length).toBeGreaterThan(1);
    expect(events).not.toContain('conn_lost');
  });

  it('sends at most one statement more than an endpoint has slots', async () => {
    for (let count = 0; count < 40; count++) {
      send({consistency: 'bounded', maxStalenessMs: 1_500});
    }
    await advanceTime(400);
    for (const {maxRunning} of group.endpoints.values()) {
      expect(maxRunning).toBeLessThanOrEqual(3);
    }
    const done = [...results.values()].filter(({type}) => type === 'done');
    expect(done).toHaveLength(40);
  });

  it('reports unknown for a write whose reply is lost, and runs it once', async () => {
    group.get('ledger-1').lostReplies.add('PUT x 1');
    const write = send({statement: WRITE});
    await advanceTime(900);
    expect(results.get(write)).toEqual({type: 'unknown', reason: 'timed_out'});
    expect(listEndpointsOf(write)).toHaveLength(1);
  });

  it('retries a read elsewhere if its reply is lost', async () => {
    for (const endpoint of group.endpoints.values()) {
      endpoint.lostReplies.add('FETCH x');
    }
    const read = send({consistency: 'bounded', maxStalenessMs: 1_500});
    await advanceTime(50);
    group.endpoints.forEach(endpoint => endpoint.lostReplies.clear());
    await advanceTime(500);
    expect(results.get(read)?.type).toBe('done');
    expect(new Set(listEndpointsOf(read)).size).toBe(2);
  });

  it('refuses a write that waits past its deadline, without running it', async () => {
    group.get('ledger-1').isUnresponsive = true;
    const write = send({statement: WRITE, timeoutLeftMs: 200});
    // The first write was sent and may have run; the waiting ones have not.
    const waiting = Array.from({length: 8}, () =>
      send({statement: WRITE, timeoutLeftMs: 200}),
    );
    await advanceTime(400);
    expect(results.get(write)?.type).toBe('unknown');
    const last = waiting.at(-1)!;
    expect(results.get(last)?.type).toBe('refused');
    expect(listEndpointsOf(last)).toEqual([]);
  });

  it('acknowledges no write once its lease has expired', async () => {
    const write = send({statement: WRITE});
    await advanceTime(2);
    isLeaseValid = false;
    await advanceTime(50);
    expect(results.get(write)).toEqual({
      type: 'unknown',
      reason: 'lease_expired',
    });
    const late = send({statement: WRITE, timeoutLeftMs: 100});
    await advanceTime(200);
    expect(results.get(late)?.type).toBe('refused');
    expect(listEndpointsOf(late)).toEqual([]);
  });

  it('replaces an unresponsive primary and loses no acknowledged commit', async () => {
    const write = send({statement: WRITE});
    await advanceTime(30);
    expect(results.get(write)?.type).toBe('done');
    group.get('ledger-1').isUnresponsive = true;
    const silentAt = runtime.now();
    let late = '';
    while (results.get(late)?.type !== 'done') {
      late = send({statement: WRITE, timeoutLeftMs: 500});
      await advanceTime(520);
      expect(runtime.now() - silentAt).toBeLessThan(4_000);
    }
    expect(group.promotions).toHaveLength(1);
    expect(group.promotions[0]!.generation).toBe(GENERATION);
    const newPrimary = group.get(group.promotions[0]!.endpoint);
    expect(newPrimary.received).toBeGreaterThanOrEqual(1);
    expect(listEndpointsOf(late)).toEqual([newPrimary.entry.id]);
  });

  // Reads kept all slots of the replicas taken, and the next primary was not
  // noticed for seconds.
  it('notices its next primary while reads fill all slots', async () => {
    for (const endpoint of group.endpoints.values()) {
      endpoint.needsSlotForStatus = true;
      endpoint.executionMs = 30;
    }
    group.get(`${GROUP}-1`).isUnresponsive = true;
    for (let round = 0; round < 250; round++) {
      for (let count = 0; count < 6; count++) {
        send({consistency: 'bounded', maxStalenessMs: 5_000});
      }
      await advanceTime(10);
    }
    expect(group.promotions).toHaveLength(1);
    const adopted = events.filter(event => event === 'primary_adopted');
    expect(adopted).toHaveLength(2);
  });

  it('promotes no replica that lacks an acknowledged commit', async () => {
    send({statement: WRITE});
    await advanceTime(30);
    group.get('ledger-2').received = 0;
    group.get('ledger-3').received = 0;
    group.get('ledger-1').isUnresponsive = true;
    await advanceTime(3_000);
    expect(group.promotions).toEqual([]);
    group.get('ledger-3').received = 1;
    await advanceTime(1_500);
    expect(group.promotions.map(({endpoint}) => endpoint)).toEqual([
      'ledger-3',
    ]);
  });

  it('as a new owner promotes the most advanced of all but one endpoint', async () => {
    pool.close();
    group.get('ledger-1').isUnresponsive = true;
    group.get('ledger-2').received = 5;
    group.get('ledger-3').received = 9;
    pool = openPool();
    await advanceTime(3_500);
    expect(group.promotions.map(({endpoint}) => endpoint)).toEqual([
      'ledger-3',
    ]);
  });

  it('as a new owner promotes soon when the silent endpoint accepts no connection', async () => {
    pool.close();
    group.get('ledger-1').isUnresponsive = true;
    pool = openPool();
    await advanceTime(1_000);
    expect(group.promotions).toHaveLength(1);
  });

  it('as a new owner waits longer for an endpoint that accepts connections', async () => {
    pool.close();
    pool = openPool();
    // The connections are open, and the first probe is lost.
    await advanceTime(12);
    group.get('ledger-1').isUnresponsive = true;
    await advanceTime(850);
    expect(group.promotions).toEqual([]);
    group.get('ledger-1').isUnresponsive = false;
    await advanceTime(1_500);
    expect(group.promotions).toEqual([]);
  });

  it('as a new owner promotes no endpoint if two endpoints are unresponsive', async () => {
    pool.close();
    group.get('ledger-1').isUnresponsive = true;
    group.get('ledger-3').isUnresponsive = true;
    pool = openPool();
    await advanceTime(5_000);
    expect(group.promotions).toEqual([]);
  });

  it('probes an endpoint ten times a second without a primary, not more often', async () => {
    pool.close();
    group.get('ledger-1').isUnresponsive = true;
    group.get('ledger-3').isUnresponsive = true;
    pool = openPool();
    await advanceTime(1_000);
    const before = group.commands.length;
    await advanceTime(5_000);
    const probes = group.commands
      .slice(before)
      .filter(({type}) => type === 'status');
    expect(probes.length).toBeGreaterThan(40);
    expect(probes.length).toBeLessThanOrEqual(51);
  });

  /**
   * Sends a statement every 10 ms for `ms`; returns how many did not succeed.
   */
  const sendSteadily = async (
    ms: number,
    parts: Partial<RunMessage>,
  ): Promise<number> => {
    const requests: string[] = [];
    for (let passed = 0; passed < ms; passed += 10) {
      requests.push(send(parts));
      await advanceTime(10);
    }
    await advanceTime(300);
    return requests.filter(id => results.get(id)?.type !== 'done').length;
  };

  it('routes reads away from a replica that fails half of them', async () => {
    group.get('ledger-2').failEveryNth = 2;
    const read = {consistency: 'bounded', maxStalenessMs: 1_500} as const;
    await sendSteadily(500, read);
    const before = group.ran.length;
    expect(await sendSteadily(2_000, read)).toBe(0);
    const ran = group.ran.slice(before);
    const ranAtReplica = ran.filter(({endpoint}) => endpoint === 'ledger-2');
    expect(ranAtReplica.length).toBeLessThan(ran.length / 10);
  });

  it('replaces a primary that keeps failing half of its writes', async () => {
    await advanceTime(5_000);
    group.get('ledger-1').failEveryNth = 2;
    await sendSteadily(2_500, {statement: WRITE});
    expect(group.promotions).toHaveLength(1);
    expect(await sendSteadily(1_000, {statement: WRITE})).toBe(0);
  });

  it('does not replace a primary that fails one write in six', async () => {
    await advanceTime(5_000);
    group.get('ledger-1').failEveryNth = 6;
    await sendSteadily(5_000, {statement: WRITE});
    expect(group.promotions).toEqual([]);
  });

  it('keeps the connection of a statement that runs past its deadline', async () => {
    group.get('ledger-1').executionMs = 200;
    const slow = send({statement: WRITE, timeoutLeftMs: 100});
    await advanceTime(150);
    expect(results.get(slow)).toMatchObject({type: 'unknown'});
    await advanceTime(200);
    expect(events).not.toContain('conn_lost');
    group.get('ledger-1').executionMs = 4;
    const next = send({statement: WRITE});
    await advanceTime(50);
    expect(results.get(next)?.type).toBe('done');
  });

  it('closes the connection if there is still no reply after that', async () => {
    group.get('ledger-1').lostReplies.add('PUT x 1');
    send({statement: WRITE, timeoutLeftMs: 100});
    await advanceTime(400);
    expect(events).not.toContain('conn_lost');
    await advanceTime(500);
    expect(events).toContain('conn_lost');
  });

  it('gives no slot to a statement with too little time left', async () => {
    for (const id of ['ledger-1', 'ledger-2', 'ledger-3']) {
      group.get(id).executionMs = 40;
    }
    await sendSteadily(2_000, {});
    events = [];
    const late = send({timeoutLeftMs: 20});
    await advanceTime(100);
    expect(events).not.toContain('job_started');
    expect(results.get(late)).toMatchObject({type: 'refused'});
  });

  it('keeps using an endpoint whose entry is missing for a moment', async () => {
    unlisted.add('ledger-1');
    await advanceTime(2_000);
    const write = send({statement: WRITE});
    await advanceTime(50);
    expect(results.get(write)?.type).toBe('done');
    unlisted.delete('ledger-1');
    await advanceTime(4_000);
    expect(events).not.toContain('endpoint_gone');
  });

  it('keeps using it until a current endpoint list shows that it is gone', async () => {
    unlisted.add('ledger-1');
    isListCurrent = false;
    await advanceTime(10_000);
    const write = send({statement: WRITE});
    await advanceTime(50);
    expect(listEndpointsOf(write)).toEqual(['ledger-1']);
    expect(events).not.toContain('endpoint_gone');
  });

  it('removes an endpoint whose entry stays missing', async () => {
    unlisted.add('ledger-3');
    await advanceTime(4_000);
    expect(events).toContain('endpoint_gone');
    expect(group.get('ledger-3').conns).toBe(0);
  });

  it('replaces a primary that is leaving once its transactions ended', async () => {
    const begun = send({tx: firstInTx('t1'), statement: WRITE});
    await advanceTime(40);
    expect(results.get(begun)?.type).toBe('done');
    const primary = group.get('ledger-1');
    primary.entry = {...primary.entry, isLeaving: true};
    await advanceTime(200);
    expect(group.promotions).toEqual([]);
    const commit = send({tx: laterInTx('t1'), statement: COMMIT});
    await advanceTime(1_200);
    expect(results.get(commit)?.type).toBe('done');
    expect(group.promotions).toHaveLength(1);
    const write = send({statement: WRITE});
    await advanceTime(100);
    expect(results.get(write)?.type).toBe('done');
    expect(listEndpointsOf(write)).not.toContain('ledger-1');
  });

  it('sends nothing new to a replica that is leaving', async () => {
    const replica = group.get('ledger-2');
    replica.entry = {...replica.entry, isLeaving: true};
    pool.updateEndpoints();
    const reads = Array.from({length: 12}, () =>
      send({consistency: 'bounded', maxStalenessMs: 1_500}),
    );
    await advanceTime(300);
    expect(new Set(reads.flatMap(listEndpointsOf))).not.toContain('ledger-2');
  });

  it('ends the transactions of a host that is gone', async () => {
    send({tx: firstInTx('t1'), statement: WRITE}, 'c-1');
    await advanceTime(40);
    expect(pool.isIdle()).toBe(false);
    pool.dropHost('c-1');
    await advanceTime(40);
    expect(pool.isIdle()).toBe(true);
    expect(group.get('ledger-1').received).toBe(0);
    const late = send({tx: laterInTx('t1'), statement: COMMIT}, 'c-1');
    await advanceTime(40);
    expect(results.get(late)).toEqual({type: 'refused', reason: 'tx_gone'});
  });

  it('asks no read for a position that no commit was acknowledged with', async () => {
    const replicas = ['ledger-2', 'ledger-3'];
    replicas.forEach(id => (group.get(id).isUnresponsive = true));
    const unconfirmed = send({statement: WRITE});
    await advanceTime(50);
    const read = {type: 'run', access: 'read', text: 'FETCH x'} as const;
    send({tx: firstInTx('t1'), statement: read});
    await advanceTime(50);
    // It wrote nothing, and its reply shows the position of the other write.
    const commit = send({tx: laterInTx('t1'), statement: COMMIT});
    await advanceTime(50);
    expect(results.get(commit)).toMatchObject({position: {index: 1}});
    replicas.forEach(id => (group.get(id).isUnresponsive = false));
    await advanceTime(3_000);
    expect(results.get(unconfirmed)).toMatchObject({type: 'unknown'});
    const reads = [1, 2, 3, 4, 5].map(() => send());
    await advanceTime(100);
    const used = new Set(reads.flatMap(listEndpointsOf));
    expect([...used].sort()).toEqual(['ledger-1', ...replicas]);
  });

  describe('whose primary is cut off from its replicas', () => {
    const REPLICAS = ['ledger-2', 'ledger-3'];

    /** Sends writes and reads at short intervals, as callers do. */
    async function sendLoad(ms: number): Promise<readonly string[]> {
      const reads: string[] = [];
      for (let passed = 0; passed < ms; passed += 50) {
        send({statement: WRITE});
        reads.push(send());
        await advanceTime(50);
      }
      return reads;
    }

    beforeEach(async () => {
      await advanceTime(5_000);
      REPLICAS.forEach(id => (group.get(id).isUnresponsive = true));
      await sendLoad(3_000);
    });

    it('refuses writes at once, and serves reads', async () => {
      const reads = await sendLoad(2_000);
      await advanceTime(300);
      const done = reads.filter(id => results.get(id)?.type === 'done');
      expect(done.length).toBeGreaterThan(reads.length * 0.9);
      // One write is tried now and then, to find out when writes are confirmed.
      const writes = [1, 2, 3].map(() => send({statement: WRITE}));
      await advanceTime(50);
      const notRun = {type: 'refused', reason: 'no_replica'};
      const refused = writes.filter(id => results.has(id));
      expect(refused.length).toBeGreaterThanOrEqual(2);
      for (const id of refused) {
        expect(results.get(id)).toEqual(notRun);
        expect(listEndpointsOf(id)).toEqual([]);
      }
      expect(group.promotions).toEqual([]);
    });

    it('runs writes again once they are confirmed, or a replica replaced it', async () => {
      REPLICAS.forEach(id => (group.get(id).isUnresponsive = false));
      await sendLoad(3_000);
      const write = send({statement: WRITE});
      await advanceTime(200);
      expect(results.get(write)).toMatchObject({type: 'done'});
    });

    it('is replaced by a replica that the owner reaches', async () => {
      group.get('ledger-2').isUnresponsive = false;
      group.get('ledger-1').lostReplies.add(WRITE.text);
      await sendLoad(4_000);
      expect(group.promotions).toMatchObject([{endpoint: 'ledger-2'}]);
    });
  });

  /** Starts a statement whose connection cannot be prepared for now. */
  async function sendDuringSilence(
    parts: Partial<RunMessage>,
  ): Promise<string> {
    const request = send(parts);
    await advanceTime(1);
    group.get('ledger-1').isUnresponsive = true;
    await advanceTime(10);
    group.get('ledger-1').isUnresponsive = false;
    return request;
  }

  it('frees the slot of a statement that was not sent when its host was lost', async () => {
    await sendDuringSilence({tx: firstInTx('t1'), statement: WRITE});
    expect(pool.isIdle()).toBe(false);
    pool.dropHost('b-1');
    expect(pool.isIdle()).toBe(true);
  });

  it('reports no result of a lost attempt that the host repeats', async () => {
    const first = {tx: firstInTx('t1'), statement: WRITE};
    const request = send(first);
    await advanceTime(5);
    pool.dropHost('b-1');
    await advanceTime(20);
    expect(results.has(request)).toBe(false);
  });

  it('runs the first statement of a transaction once if its host sends it again', async () => {
    const first = {tx: firstInTx('t1'), statement: WRITE};
    const request = await sendDuringSilence(first);
    next--;
    expect(send(first)).toBe(request);
    await advanceTime(60);
    const commit = send({tx: laterInTx('t1'), statement: COMMIT});
    await advanceTime(60);
    expect(results.get(commit)).toMatchObject({type: 'done'});
    const conns = group.commands
      .filter(({request: id}) => id === request || id === commit)
      .map(({conn}) => conn);
    expect(conns).toHaveLength(2);
    expect(new Set(conns).size).toBe(1);
    // No slot stays occupied by the first attempt.
    const more = [1, 2, 3].map(() => send({statement: WRITE}));
    group.get('ledger-1').maxRunning = 0;
    await advanceTime(60);
    expect(group.get('ledger-1').maxRunning).toBe(3);
    more.forEach(id => expect(results.get(id)).toMatchObject({type: 'done'}));
  });

  it('rolls a transaction back, and then uses its connection again', async () => {
    send({tx: firstInTx('t1'), statement: WRITE});
    await advanceTime(40);
    const before = group.get('ledger-1').conns;
    pool.closeTx('b-1', 't1');
    await advanceTime(40);
    expect(pool.isIdle()).toBe(true);
    expect(group.get('ledger-1').conns).toBe(before);
    expect(group.get('ledger-1').received).toBe(0);
  });

  it('ends a transaction that is idle for too long', async () => {
    send({tx: firstInTx('t1'), statement: WRITE});
    await advanceTime(3_300);
    expect(pool.isIdle()).toBe(true);
  });

  it('refuses new work during a handover while a transaction ends', async () => {
    send({tx: firstInTx('t1'), statement: WRITE});
    await advanceTime(40);
    pool.beginHandover();
    const read = send();
    const commit = send({tx: laterInTx('t1'), statement: COMMIT});
    await advanceTime(60);
    expect(results.get(read)).toEqual({type: 'refused', reason: 'not_owner'});
    expect(results.get(commit)?.type).toBe('done');
  });

  it('waits while an endpoint is busy, and runs the statement once', async () => {
    group.get('ledger-1').faults.push('busy', 'busy');
    const write = send({statement: WRITE});
    await advanceTime(200);
    expect(results.get(write)?.type).toBe('done');
    expect(listEndpointsOf(write)).toHaveLength(1);
  });

  it('sets the values of a session before its statement, and clears others', async () => {
    const values = [['zone', 'lima']] as const;
    const ask = async (parts: Partial<RunMessage>): Promise<string[]> => {
      const request = send({...parts, statement: WRITE});
      await advanceTime(60);
      expect(results.get(request)?.type).toBe('done');
      const last = group.commands.find(ran => ran.request === request)!;
      const own = group.commands.filter(({conn}) => conn === last.conn);
      return own.map(({type}) => type).slice(0, own.indexOf(last));
    };
    expect((await ask({session: {values}})).at(-1)).toBe('set');
    // A session without values must not run where those of another are set.
    const types = await Promise.all(
      Array.from({length: 6}, () => ask({session: {values: []}})),
    );
    for (const before of types) {
      expect(before.lastIndexOf('reset')).toBeGreaterThanOrEqual(
        before.lastIndexOf('set'),
      );
    }
  });

  describe('with prepared statements', () => {
    function execute(shape: string): string {
      return send({
        statement: {
          type: 'execute',
          access: 'read',
          name: 's1',
          shape,
          args: 'x',
        },
      });
    }

    // Shapes that begin alike shared a name, and one ran for the other
    // (PINNED, review case 5).
    it('runs each shape under a name of its own, however alike', async () => {
      const prefix = 'q'.repeat(10_000);
      const shapes = [
        `${prefix}a`,
        `${prefix}b`,
        prefix,
        `r_${prefix}`,
        'two words',
        'two',
      ];
      for (const shape of [...shapes, ...shapes]) {
        const request = execute(shape);
        await advanceTime(20);
        expect(results.get(request)).toMatchObject({type: 'done'});
        expect(group.ran.at(-1)?.shape).toBe(shape);
      }
    });

    it('keeps a limited number of them on a connection', async () => {
      for (let number = 0; number < 1_000; number++) {
        const request = execute(`shape ${number}`);
        await advanceTime(20);
        expect(results.get(request)).toMatchObject({type: 'done'});
        expect(group.ran.at(-1)?.shape).toBe(`shape ${number}`);
      }
      const held = new Map<number, number>();
      for (const {conn, type} of group.commands) {
        const before = type === 'reset' ? 0 : (held.get(conn) ?? 0);
        held.set(conn, before + (type === 'prepare' ? 1 : 0));
        expect(held.get(conn)).toBeLessThanOrEqual(200);
      }
    });
  });

  // Review case 7: the next client's reads ran with the values of one that had
  // left, or would have run a prepared name that the endpoint had lost.
  describe('whose endpoints fail the reset of an idle connection', () => {
    /** Longer than the time after which an idle connection is reset, in ms. */
    const IDLE_MS = 3_500;

    /** Runs the reads of several sessions at once; checks their values. */
    async function readAll(
      values: Readonly<Record<string, string>>,
      parts: Partial<RunMessage> = {},
    ): Promise<void> {
      const session = {values: Object.entries(values)};
      const requests = Array.from({length: 12}, () =>
        send({consistency: 'bounded', session, ...parts}),
      );
      await advanceTime(300);
      for (const request of requests) {
        expect(results.get(request)).toMatchObject({type: 'done'});
        const ran = group.ran.filter(entry => entry.request === request);
        expect(ran.map(entry => entry.values)).toEqual([values]);
      }
    }

    function failResets(fault: EndpointFault, count: number): void {
      for (const {commandFaults} of group.endpoints.values()) {
        const faults = Array.from({length: count}, () => fault);
        commandFaults.set('reset', faults);
      }
    }

    const countConns = (): number =>
      new Set(group.commands.map(({conn}) => conn)).size;

    it.each(['busy', 'failed', 'timed_out', 'aborted', 'other'] as const)(
      'runs no statement with foreign values after %s',
      async fault => {
        await readAll({region: 'north'});
        failResets(fault, 8);
        await advanceTime(IDLE_MS);
        await readAll({});
        await readAll({region: 'south'});
        await readAll({});
      },
    );

    it.each(['busy', 'failed', 'other'] as const)(
      'runs the prepared shape after %s',
      async fault => {
        const statement = {
          type: 'execute',
          access: 'read',
          name: 's1',
          shape: 'q2c',
          args: 'x',
        } as const;
        await readAll({}, {statement});
        failResets(fault, 8);
        await advanceTime(IDLE_MS);
        await readAll({}, {statement});
        expect(new Set(group.ran.map(({shape}) => shape)).size).toBe(1);
      },
    );

    // A connection that is opened again occupies a slot of its endpoint.
    it('keeps a connection after busy, and resets it later', async () => {
      await readAll({region: 'north'});
      failResets('busy', 1);
      const before = countConns();
      await advanceTime(2 * IDLE_MS);
      const sent = group.commands.length;
      await readAll({});
      expect(countConns()).toBe(before);
      const types = group.commands.slice(sent).map(({type}) => type);
      expect(types).not.toContain('reset');
    });
  });

  it('reports unknown for a write whose connection is reset, and runs it once', async () => {
    group.get('ledger-1').executionMs = 30;
    const write = send({statement: WRITE});
    await advanceTime(10);
    group.get('ledger-1').reset();
    await advanceTime(300);
    expect(results.get(write)).toEqual({
      type: 'unknown',
      reason: 'connection_lost',
    });
    expect(listEndpointsOf(write).length).toBeLessThanOrEqual(1);
  });

  it('gives each transaction its own connection', async () => {
    const begun = ['t1', 't2', 't3'].map(id =>
      send({tx: firstInTx(id), statement: WRITE}),
    );
    await advanceTime(100);
    const commits = ['t1', 't2', 't3'].map(id =>
      send({tx: laterInTx(id), statement: COMMIT}),
    );
    await advanceTime(100);
    const findConn = (request: string): number =>
      group.commands.find(ran => ran.request === request)!.conn;
    expect(new Set(begun.map(findConn)).size).toBe(3);
    expect(commits.map(findConn)).toEqual(begun.map(findConn));
  });

  it('serves the urgent rank first under an overload of the lowest', async () => {
    for (let count = 0; count < 150; count++) {
      send({
        consistency: 'bounded',
        maxStalenessMs: 1_500,
        priority: 2,
        targetLeftMs: 1_000,
        timeoutLeftMs: 2_000,
      });
    }
    await advanceTime(20);
    const sentAt = runtime.now();
    const urgent = send({statement: WRITE});
    while (!results.has(urgent)) {
      await advanceTime(1);
    }
    expect(results.get(urgent)?.type).toBe('done');
    expect(runtime.now() - sentAt).toBeLessThan(40);
  });
});

describe('a primary that crashes while commits are on their way', () => {
  /** Writes until the primary has commits that no replica has, and crashes it. */
  async function crashAhead(): Promise<readonly string[]> {
    group.replicationMs = 5;
    const primary = group.get(`${GROUP}-1`);
    const requests: string[] = [];
    const isAhead = (): boolean =>
      [...results].some(
        ([, result]) =>
          result.type === 'done' &&
          (result.position?.index ?? 0) > group.get(`${GROUP}-2`).received,
      );
    while (!isAhead()) {
      requests.push(send({statement: WRITE}));
      await advanceTime(2);
    }
    primary.isUnresponsive = true;
    primary.reset();
    return requests;
  }

  // The position after a commit covers others that are on their way. No replica
  // had it, and the group stayed without a primary until the old one was back.
  it('is replaced by a replica that has what was acknowledged', async () => {
    const requests = await crashAhead();
    const acked = requests.filter(
      request => results.get(request)?.type === 'done',
    );
    const crashedAt = runtime.now();
    let promotedAt = Infinity;
    group.onPromoted = ({received}) => {
      promotedAt = runtime.now();
      expect(received).toBeGreaterThanOrEqual(acked.length);
    };
    await advanceTime(6_000);
    expect(acked.length).toBeGreaterThan(0);
    expect(promotedAt - crashedAt).toBeLessThan(1_500);
  });

  // Only the report of the replica that was called before counted.
  it('is replaced though the first call got lost', async () => {
    await crashAhead();
    let calls = 0;
    promote = call =>
      ++calls === 1
        ? Promise.resolve({type: 'unknown', detail: 'no answer'})
        : group.promote(call);
    await advanceTime(1_500);
    expect(group.promotions).toHaveLength(1);
  });

  // Transactions needed a position that only the lost log had.
  it('is followed by one that begins transactions', async () => {
    group.hasCommitTerms = true;
    await crashAhead();
    await advanceTime(2_000);
    const first = send({tx: firstInTx('t1'), statement: WRITE});
    await advanceTime(500);
    expect(results.get(first)).toMatchObject({type: 'done'});
  });
});

describe('a new owner after the loss of the primary', () => {
  const runOf = (number: number, startedAt = 1): EndpointRun => ({
    endpoint: `${GROUP}-${number}`,
    startedAt,
  });

  /** Replaces the owner: the primary is down and its entry has expired. */
  async function changeOwner(endpoints: number): Promise<void> {
    pool.close();
    group = createFakeGroup(runtime, GROUP, endpoints);
    group.get(`${GROUP}-1`).isUnresponsive = true;
    unlisted.add(`${GROUP}-1`);
  }

  // A replica that lacked acknowledged commits was promoted, because the list
  // of endpoints was taken for all of them (LOST, review case 1).
  it('waits for the replica that has the acknowledged commits', async () => {
    await changeOwner(3);
    const ahead = group.get(`${GROUP}-3`);
    ahead.received = 5;
    ahead.applied = 5;
    ahead.isUnresponsive = true;
    pool = openPool();
    await advanceTime(4_000);
    expect(group.promotions).toEqual([]);
    ahead.isUnresponsive = false;
    await advanceTime(1_000);
    expect(group.promotions).toMatchObject([{endpoint: `${GROUP}-3`}]);
  });

  // Three of five logs may lack a commit that two others have.
  it('counts endpoints that left the list before it became the owner', async () => {
    lineage = {
      members: [1, 2, 3, 4, 5].map(n => runOf(n)),
      term: 1,
      promoting: [],
    };
    await changeOwner(5);
    unlisted.add(`${GROUP}-5`);
    pool = openPool();
    await advanceTime(8_000);
    expect(group.promotions).toEqual([]);
    unlisted.delete(`${GROUP}-5`);
    group.get(`${GROUP}-5`).received = 7;
    await advanceTime(2_000);
    expect(group.promotions).toMatchObject([{endpoint: `${GROUP}-5`}]);
  });

  // A restarted endpoint may have lost its log.
  it('does not take a restarted endpoint for its earlier run', async () => {
    lineage = {
      members: [runOf(1), runOf(2), runOf(3, 0)],
      term: 1,
      promoting: [],
    };
    await changeOwner(3);
    pool = openPool();
    await advanceTime(5_000);
    expect(group.promotions).toEqual([]);
  });

  // The earlier run of the crashed endpoint was counted as one more place.
  it('counts the runs of one endpoint as one place', async () => {
    lineage = {
      members: [runOf(1, 0), runOf(1), runOf(2), runOf(3)],
      term: 1,
      promoting: [],
    };
    await changeOwner(3);
    pool = openPool();
    await advanceTime(2_000);
    expect(group.promotions).toHaveLength(1);
  });

  // No write ran until the crashed primary was back, or for 15 s.
  it('needs no report of an ended run whose commits are reported', async () => {
    const ended = {...runOf(3, 0), ackedBefore: {term: 1, index: 4}};
    lineage = {
      members: [runOf(1), runOf(2), ended, runOf(3)],
      term: 1,
      promoting: [],
    };
    await changeOwner(3);
    group.get(`${GROUP}-2`).received = 3;
    pool = openPool();
    await advanceTime(4_000);
    expect(group.promotions).toEqual([]);
    group.get(`${GROUP}-2`).received = 4;
    await advanceTime(1_000);
    expect(group.promotions).toMatchObject([{endpoint: `${GROUP}-2`}]);
  });

  // Of two places that have not reported, only the run that ended is covered.
  it('needs the report of a run that goes on beside an ended one', async () => {
    const ended = {...runOf(4, 0), ackedBefore: {term: 1, index: 0}};
    lineage = {
      members: [runOf(1), runOf(2), runOf(3), ended, runOf(4)],
      term: 1,
      promoting: [],
    };
    await changeOwner(4);
    unlisted.add(`${GROUP}-3`);
    pool = openPool();
    await advanceTime(5_000);
    expect(group.promotions).toEqual([]);
  });

  it('says once why no promotion is requested', async () => {
    lineage = {
      members: [runOf(1), runOf(2), runOf(3, 0)],
      term: 1,
      promoting: [],
    };
    await changeOwner(3);
    pool = openPool();
    await advanceTime(5_000);
    expect(waits).toMatchObject([
      {
        reason: 'reports_missing',
        promotion: 'no_primary',
        reports: 'ledger-2:1.0,ledger-3:1.0',
        reports_needed: 3,
        acked: null,
        best: '1.0',
      },
    ]);
    expect(String(waits[0]!['members']).split(',')).toEqual([
      expect.stringMatching(/^ledger-1@1\/left_\d+_ms$/),
      'ledger-2@1/listed',
      expect.stringMatching(/^ledger-3@0\/left_\d+_ms$/),
      'ledger-3@1/listed',
    ]);
  });

  it('gives up endpoints that left for good', async () => {
    lineage = {
      members: [runOf(1), runOf(2), runOf(3), runOf(4)],
      term: 1,
      promoting: [],
    };
    await changeOwner(3);
    pool = openPool();
    await advanceTime(14_000);
    expect(group.promotions).toEqual([]);
    await advanceTime(3_000);
    expect(group.promotions).toHaveLength(1);
    expect(events).toContain('commits_given_up');
  });

  // A replaced primary that is cut off was adopted when it was the only one
  // in the list.
  it('does not adopt a primary of a lower term than an owner used', async () => {
    lineage = {members: [runOf(1), runOf(2), runOf(3)], term: 2, promoting: []};
    pool.close();
    unlisted.add(`${GROUP}-2`);
    unlisted.add(`${GROUP}-3`);
    events = [];
    pool = openPool();
    await advanceTime(3_000);
    expect(events).not.toContain('primary_adopted');
  });

  it('leaves the members and the term to the next owner', async () => {
    expect(pool.readLineage()).toEqual({
      members: [runOf(1), runOf(2), runOf(3)],
      term: 1,
      promoting: [],
    });
  });

  // A commit that the run confirmed was on its way to the owner when it ended,
  // and would not have been covered.
  it('leaves which commits an ended run may have confirmed', async () => {
    group.get(`${GROUP}-3`).isDeaf = true;
    const replica = group.get(`${GROUP}-2`);
    group.get(`${GROUP}-1`).executionMs = 20;
    const early = send({statement: WRITE});
    await advanceTime(10);
    replica.entry = {...replica.entry, startedAt: 2};
    await advanceTime(30);
    expect(results.get(early)?.type).toBe('done');
    expect(pool.readLineage()?.members).toContainEqual(runOf(2));
    send({statement: WRITE});
    await advanceTime(40);
    expect(pool.readLineage()?.members).toContainEqual({
      ...runOf(2),
      ackedBefore: {term: 1, index: 2},
    });
  });

  it('learns from the primary what an ended run may have confirmed', async () => {
    send({statement: WRITE});
    await advanceTime(40);
    group.get(`${GROUP}-3`).isDeaf = true;
    group.get(`${GROUP}-3`).received = 0;
    const replica = group.get(`${GROUP}-2`);
    replica.entry = {...replica.entry, startedAt: 2};
    replica.received = 0;
    replica.isDeaf = true;
    await advanceTime(1_200);
    expect(pool.readLineage()?.members).toContainEqual({
      ...runOf(2),
      ackedBefore: {term: 1, index: 1},
    });
  });

  // Its entry had only expired: it may have confirmed commits until it ended.
  it('leaves nothing of a run whose entry expired', async () => {
    group.get(`${GROUP}-3`).isDeaf = true;
    unlisted.add(`${GROUP}-2`);
    send({statement: WRITE});
    await advanceTime(4_000);
    expect(pool.readLineage()?.members).toContainEqual(runOf(2));
    const replica = group.get(`${GROUP}-2`);
    replica.entry = {...replica.entry, startedAt: 2};
    unlisted.delete(`${GROUP}-2`);
    await advanceTime(10);
    expect(pool.readLineage()?.members).toContainEqual(runOf(2));
  });

  it('keeps an endpoint that left until others have its commits', async () => {
    group.get(`${GROUP}-2`).isUnresponsive = true;
    send({statement: WRITE});
    await advanceTime(100);
    unlisted.add(`${GROUP}-3`);
    group.get(`${GROUP}-3`).isUnresponsive = true;
    await advanceTime(4_000);
    expect(pool.readLineage()?.members).toContainEqual(runOf(3));
    group.get(`${GROUP}-2`).isUnresponsive = false;
    group.get(`${GROUP}-2`).received = 1;
    await advanceTime(2_000);
    expect(pool.readLineage()?.members).toEqual([runOf(1), runOf(2)]);
  });
});

describe('a requested promotion', () => {
  /** Sends writes for a while; returns the newest acknowledged position. */
  async function writeFor(ms: number): Promise<number> {
    let newest = 0;
    for (const end = runtime.now() + ms; runtime.now() < end;) {
      const request = send({statement: WRITE});
      await advanceTime(20);
      const result = results.get(request);
      if (result?.type === 'done') {
        newest = Math.max(newest, result.position?.index ?? 0);
      }
    }
    return newest;
  }

  /** Checks that a promoted endpoint has all commits acknowledged so far. */
  async function checkNoneLost(ms: number): Promise<void> {
    const lost: number[] = [];
    let acked = 0;
    group.onPromoted = ({received}) => lost.push(acked - received);
    for (let passed = 0; passed < ms; passed += 20) {
      acked = Math.max(acked, await writeFor(20));
    }
    expect(lost.length).toBeGreaterThan(0);
    expect(Math.max(...lost)).toBeLessThanOrEqual(0);
  }

  // The old primary was used again, and what it acknowledged was lost when the
  // promotion took effect.
  it('keeps the old primary out if its answer was lost', async () => {
    promote = async call => {
      await group.promote(call);
      return {type: 'unknown', detail: 'no answer'};
    };
    const primary = group.get(`${GROUP}-1`);
    primary.isUnresponsive = true;
    primary.reset();
    await advanceTime(500);
    expect(group.promotions).toHaveLength(1);
    group.get(`${GROUP}-2`).isDeaf = true;
    group.get(`${GROUP}-3`).isDeaf = false;
    primary.isUnresponsive = false;
    await checkNoneLost(3_000);
  });

  // The repeated call had no effect; the first one was forgotten with it.
  it.each(['not_sent', 'rejected'] as const)(
    'keeps the old primary out if its repetition was %s',
    async type => {
      let calls = 0;
      promote = call => {
        calls++;
        if (calls > 1) {
          return Promise.resolve({type, detail: 'refused'});
        }
        runtime.at(runtime.now() + 800, () => void group.promote(call));
        return Promise.resolve({type: 'unknown', detail: 'no answer'});
      };
      const primary = group.get(`${GROUP}-1`);
      primary.isUnresponsive = true;
      primary.reset();
      await advanceTime(500);
      expect(calls).toBe(1);
      group.get(`${GROUP}-2`).isDeaf = true;
      primary.isUnresponsive = false;
      await checkNoneLost(3_000);
    },
  );

  /** Promotes endpoint 2, which takes effect and is not seen by anybody. */
  async function promoteUnseen(): Promise<void> {
    await writeFor(200);
    const [primary, next, other] = [1, 2, 3].map(n =>
      group.get(`${GROUP}-${n}`),
    );
    other!.unheard.add(next!.entry.id);
    primary!.unheard.add(next!.entry.id);
    primary!.isUnresponsive = true;
    primary!.reset();
    group.onPromoted = ({entry}) => {
      if (entry.id === next!.entry.id) {
        next!.isUnresponsive = true;
        next!.reset();
      }
    };
    await advanceTime(500);
    expect(group.promotions).toMatchObject([{endpoint: `${GROUP}-2`}]);
    primary!.isUnresponsive = false;
  }

  // A promoted endpoint that was lost at once counted as never promoted.
  it('keeps the old primary out until the platform knows it again', async () => {
    await promoteUnseen();
    const promotedAt = runtime.now() + 500;
    await writeFor(5_000);
    const stale = group.ran.filter(({at, term}) => at > promotedAt && term < 3);
    expect(stale).toHaveLength(0);
    const last = group.promotions.at(-1)!.endpoint;
    expect(group.get(last).term).toBe(3);
    expect(await writeFor(200)).toBeGreaterThan(0);
  });

  it('keeps the old primary out at the next owner', async () => {
    await writeFor(200);
    pool.close();
    const readLease = (): boolean => true;
    void group.promote({
      group: GROUP,
      endpoint: `${GROUP}-2`,
      generation: GENERATION,
      maySend: readLease,
      signal: new AbortController().signal,
    });
    lineage = {
      members: [],
      term: 1,
      promoting: [`${GROUP}-2`],
    };
    pool = openPool();
    group.get(`${GROUP}-2`).isDeaf = true;
    await checkNoneLost(3_000);
  });

  it('is forgotten once it cannot take effect any more', async () => {
    pool.close();
    lineage = {members: [], term: 1, promoting: ['gone']};
    pool = openPool();
    await advanceTime(200);
    expect(pool.readLineage()?.promoting).toEqual(['gone']);
    await advanceTime(3_000);
    expect(pool.readLineage()?.promoting).not.toContain('gone');
    expect(await writeFor(1_500)).toBeGreaterThan(0);
  });

  it('is not sent after the lease has expired, and withdrawn then', async () => {
    let call: Parameters<Promote>[0] | null = null;
    promote = made => {
      call = made;
      return new Promise(() => undefined);
    };
    group.get(`${GROUP}-1`).isUnresponsive = true;
    group.get(`${GROUP}-1`).reset();
    await advanceTime(1_000);
    expect(call!.maySend()).toBe(true);
    isLeaseValid = false;
    expect(call!.maySend()).toBe(false);
    await advanceTime(100);
    expect(call!.signal.aborted).toBe(true);
  });
});

describe('a read that takes long everywhere', () => {
  // It was cut off at each endpoint after 300 ms, used four slots in turn and
  // was refused.
  it('is served', async () => {
    group.endpoints.forEach(endpoint => (endpoint.executionMs = 350));
    const request = send({timeoutLeftMs: 3_000});
    await advanceTime(1_500);
    expect(results.get(request)?.type).toBe('done');
    expect(listEndpointsOf(request).length).toBeLessThanOrEqual(3);
  });
});

describe('the capacity of endpoints', () => {
  /** Sends reads at a steady rate; returns how many each endpoint ran. */
  async function sendReads(
    seconds: number,
    perStep = 1,
  ): Promise<Readonly<Record<string, number>>> {
    const before = group.ran.length;
    for (let sent = 0; sent < seconds * 100; sent++) {
      Array.from({length: perStep}, () => send());
      await advanceTime(10);
    }
    const counts: Record<string, number> = {};
    for (const {endpoint} of group.ran.slice(before)) {
      counts[endpoint] = (counts[endpoint] ?? 0) + 1;
    }
    return counts;
  }

  // Guards against reads that are spread evenly over uneven endpoints, and
  // against a log line for each reply.
  it('takes reads away from a slow endpoint, and gives them back', async () => {
    group.endpoints.forEach(endpoint => (endpoint.executionMs = 10));
    const even = await sendReads(3);
    group.get('ledger-3').executionMs = 50;
    await sendReads(1);
    const slow = await sendReads(3);
    expect(slow['ledger-3'] ?? 0).toBeLessThan(even['ledger-3']! / 4);
    expect(capacities).toContainEqual(
      expect.objectContaining({endpoint: 'ledger-3', slots: 2}),
    );
    expect(capacities.length).toBeLessThanOrEqual(3 * 5);
    group.get('ledger-3').executionMs = 10;
    await sendReads(6);
    const again = await sendReads(3);
    expect(again['ledger-3']).toBeGreaterThan(even['ledger-3']! / 2);
  });

  // Guards against an endpoint that attracts reads by failing them quickly.
  it('learns no speed from failures', async () => {
    group.endpoints.forEach(endpoint => (endpoint.executionMs = 20));
    const failing = group.get('ledger-3');
    failing.executionMs = 1;
    failing.failEveryNth = 1;
    // More than the others can run, so that it gets reads despite its failures.
    await sendReads(3, 5);
    expect(capacities.filter(({endpoint}) => endpoint === 'ledger-3')).toEqual(
      [],
    );
  });

  // Guards against a limit that holds up writes, which no replica can take.
  it('leaves a slow primary half of its slots for writes', async () => {
    group.endpoints.forEach(endpoint => (endpoint.executionMs = 10));
    await sendReads(2);
    group.get('ledger-1').executionMs = 50;
    await sendReads(2);
    const writes = Array.from({length: 10}, () =>
      send({statement: WRITE, timeoutLeftMs: 1_000}),
    );
    await advanceTime(1_000);
    expect(writes.map(request => results.get(request)?.type)).toEqual(
      writes.map(() => 'done'),
    );
  });
});

describe('operations of a workspace with a limit', () => {
  let admitted: string[];
  let started: string[];
  let ended: string[];
  let answer: ReturnType<AllowanceGate['admit']>;
  let isStartOpen: boolean;

  beforeEach(async () => {
    [admitted, started, ended] = [[], [], []];
    answer = {type: 'granted'};
    isStartOpen = true;
    allowances = {
      admit: ({request}) => {
        admitted.push(request);
        return answer;
      },
      mayStart: () => isStartOpen,
      start: request => started.push(request),
      end: request => ended.push(request),
      grantWaiting: () => undefined,
      close: () => undefined,
    };
    pool.close();
    pool = openPool();
    await advanceTime(300);
  });

  it('are refused at once with the time of their return', () => {
    answer = {type: 'refused', retryAfterMs: 70};
    const request = send({workspace: 'w'});
    expect(results.get(request)).toEqual({
      type: 'refused',
      reason: 'over_allowance',
      retryAfterMs: 70,
    });
  });

  // Counting each statement would refuse transactions below the limit.
  it('count once for a whole transaction', async () => {
    const first = send({
      workspace: 'w',
      tx: firstInTx('t'),
      statement: WRITE,
    });
    await advanceTime(50);
    const last = send({
      workspace: 'w',
      tx: laterInTx('t'),
      statement: COMMIT,
    });
    await advanceTime(50);
    expect(results.get(last)?.type).toBe('done');
    expect(admitted).toEqual([first]);
    expect(ended).toContain(first);
  });

  it('reach no endpoint until they may start', async () => {
    isStartOpen = false;
    const request = send({workspace: 'w'});
    await advanceTime(50);
    expect(listEndpointsOf(request)).toEqual([]);
    isStartOpen = true;
    await advanceTime(50);
    expect(results.get(request)?.type).toBe('done');
    expect(started).toEqual([request]);
  });

  it('are forgotten when their host is gone', async () => {
    isStartOpen = false;
    const request = send({workspace: 'w'}, 'c-1');
    pool.dropHost('c-1');
    await advanceTime(10);
    expect(ended).toContain(request);
  });

  it('do not concern callers without a workspace', () => {
    send();
    expect(admitted).toEqual([]);
  });
});
