/**
 * A change of primary while endpoints restart with empty logs, and the list of
 * endpoints does not say so yet; in virtual time.
 */

import {beforeEach, describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import type {VirtualRuntime} from '@lacewingroad/runtime';
import type {RunMessage} from '../../model/message.js';
import type {GroupLineage} from '../../model/ownership.js';
import type {Promote} from '../../ports.js';
import {createGroupPool} from '../../owner/group_pool.js';
import type {GroupPool} from '../../owner/group_pool.js';
import {createFakeGroup, readFakeStatus} from '../fake_group.js';
import type {FakeEndpoint, FakeGroup} from '../fake_group.js';

const GROUP = 'ledger';

let runtime: VirtualRuntime;
let group: FakeGroup;
let pool: GroupPool;
let promote: Promote;
let lineage: GroupLineage | null;
let acked: number;
let next: number;

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

function openPool(): GroupPool {
  return createGroupPool(
    {
      group: GROUP,
      host: 'a-1',
      dataCentre: 'dc-1',
      ports: {
        runtime,
        record: () => undefined,
        openConn: group.openConn,
        promote: call => promote(call),
        send: (_host, msg) => {
          if (msg.type === 'ran' && msg.result.type === 'done') {
            acked++;
          }
        },
      },
      isLeaseValid: () => true,
      readGeneration: () => 7,
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
      lineage,
      predecessorEndedAt: runtime.now(),
    },
    readFakeStatus,
  );
}

function send(parts: Partial<RunMessage>): void {
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
    statement: {type: 'run', access: 'write', text: 'PUT x 1'},
    session: {values: []},
    consistency: 'strict',
    maxStalenessMs: 0,
    position: null,
    priority: 0,
    targetLeftMs: 100,
    timeoutLeftMs: 800,
    ...parts,
  });
}

function write(): void {
  send({});
}

function crash(number: number): FakeEndpoint {
  const endpoint = group.get(`${GROUP}-${number}`);
  endpoint.isUnresponsive = true;
  return endpoint;
}

/** Starts an endpoint again, under its id, with an empty log. */
function restartEmpty(number: number): FakeEndpoint {
  const endpoint = group.get(`${GROUP}-${number}`);
  endpoint.reset();
  endpoint.isUnresponsive = false;
  endpoint.role = 'replica';
  endpoint.term = 0;
  endpoint.logTerm = 0;
  endpoint.received = 0;
  endpoint.applied = 0;
  endpoint.log = [];
  endpoint.isDeaf = true;
  return endpoint;
}

/** Returns the lengths of the logs that were promoted. */
function watchPromotions(): number[] {
  const lengths: number[] = [];
  group.onPromoted = ({received}) => lengths.push(received);
  return lengths;
}

beforeEach(async () => {
  runtime = createVirtualRuntime(1);
  group = createFakeGroup(runtime, GROUP);
  acked = 0;
  next = 1;
  promote = call => group.promote(call);
  lineage = null;
  pool = openPool();
  await advanceTime(300);
});

describe('a primary that is lost', () => {
  // Three writes at once: the newest that is surely acknowledged is the first.
  it('is not replaced by a log that lacks what a restarted replica had', async () => {
    [1, 2, 3].forEach(write);
    await advanceTime(40);
    expect(acked).toBe(3);
    group.get(`${GROUP}-3`).received = 1;
    group.get(`${GROUP}-3`).applied = 1;
    const lengths = watchPromotions();
    crash(1);
    restartEmpty(2);
    await advanceTime(4_000);
    expect(lengths.filter(length => length < acked)).toEqual([]);
  });

  it('is not replaced by a replica whose report is older than its restart', async () => {
    group.get(`${GROUP}-3`).isDeaf = true;
    [1, 2, 3].forEach(write);
    await advanceTime(40);
    expect(acked).toBe(3);
    let calls = 0;
    promote = call => {
      if (++calls > 1) {
        return group.promote(call);
      }
      const restarted = restartEmpty(2);
      restarted.needsSlotForStatus = true;
      restarted.running = restarted.entry.slots;
      return Promise.resolve({type: 'rejected', detail: 'not running'});
    };
    const lengths = watchPromotions();
    crash(1);
    await advanceTime(4_000);
    expect(calls).toBeGreaterThan(0);
    expect(lengths.filter(length => length < acked)).toEqual([]);
  });

  it('is not promoted again with an empty log after a call without effect', async () => {
    [1, 2, 3].forEach(write);
    await advanceTime(40);
    expect(acked).toBe(3);
    promote = call =>
      call.endpoint === `${GROUP}-1`
        ? group.promote(call)
        : Promise.resolve({type: 'unknown', detail: 'no answer'});
    const lengths = watchPromotions();
    crash(1);
    await advanceTime(1_500);
    const unseen = crash(2);
    unseen.role = 'primary';
    unseen.term = 2;
    crash(3);
    await advanceTime(300);
    restartEmpty(1);
    await advanceTime(5_000);
    expect(lengths.filter(length => length < acked)).toEqual([]);
  });
});

describe('a primary that answers again', () => {
  it('is used again without the platform once the called replica is seen', async () => {
    const called: string[] = [];
    promote = ({endpoint}) => {
      called.push(endpoint);
      return Promise.resolve({type: 'unknown', detail: 'no answer'});
    };
    crash(1);
    await advanceTime(1_500);
    crash(2);
    crash(3);
    group.get(`${GROUP}-1`).isUnresponsive = false;
    await advanceTime(4_000);
    group.get(`${GROUP}-2`).isUnresponsive = false;
    group.get(`${GROUP}-3`).isUnresponsive = false;
    await advanceTime(6_000);
    write();
    await advanceTime(900);
    expect(called).not.toEqual([]);
    expect(acked).toBe(1);
  });
});

describe('a new owner that learns of a promotion that its predecessor called', () => {
  it('runs reads at the promoted primary before its first write', async () => {
    pool.close();
    group.hasCommitTerms = true;
    crash(1);
    for (const [number, length] of [5, 7].entries()) {
      const replica = group.get(`${GROUP}-${number + 2}`);
      replica.received = length;
      replica.applied = length;
    }
    lineage = {
      members: [1, 2, 3].map(number => ({
        endpoint: `${GROUP}-${number}`,
        startedAt: 1,
      })),
      term: 1,
      promoting: [`${GROUP}-2`],
    };
    pool = openPool();
    await advanceTime(200);
    void group.promote({
      group: GROUP,
      endpoint: `${GROUP}-2`,
      generation: 6,
      maySend: () => true,
      signal: new AbortController().signal,
    });
    await advanceTime(2_000);
    expect(group.get(`${GROUP}-3`).received).toBe(5);
    send({statement: {type: 'run', access: 'read', text: 'FETCH x'}});
    await advanceTime(900);
    expect(acked).toBe(1);
  });
});

describe('a primary that starts again with an empty log, as a replica', () => {
  it('is replaced once the list tells of the restart', async () => {
    [1, 2, 3].forEach(write);
    await advanceTime(40);
    expect(acked).toBe(3);
    const lengths = watchPromotions();
    const primary = crash(1);
    await advanceTime(200);
    restartEmpty(1);
    primary.entry = {...primary.entry, startedAt: 2, role: 'replica'};
    // The fake platform needs a primary to count terms from.
    group.promote = ({endpoint}) => {
      runtime.at(runtime.now() + 600, () => {
        const next = group.get(endpoint);
        next.role = 'primary';
        next.term = 2;
        lengths.push(next.received);
      });
      return Promise.resolve({type: 'accepted'});
    };
    await advanceTime(6_000);
    expect(lengths).toEqual([3]);
  });
});
