/** Tests a pool under overload against fake endpoints, in virtual time. */

import {beforeEach, describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import type {VirtualRuntime} from '@lacewingroad/runtime';
import {describeFault} from '../../entry/fault_texts.js';
import type {RunMessage} from '../../model/message.js';
import type {RunResult} from '../../model/result.js';
import {createGroupPool} from '../../owner/group_pool.js';
import type {GroupPool} from '../../owner/group_pool.js';
import {createFakeGroup, readFakeStatus} from '../fake_group.js';
import type {FakeGroup} from '../fake_group.js';

const GROUP = 'ledger';
const EXECUTION_MS = 30;

interface Answer {
  readonly at: number;
  readonly result: RunResult;
}

let runtime: VirtualRuntime;
let group: FakeGroup;
let pool: GroupPool;
let sentAt: Map<string, number>;
let answers: Map<string, Answer>;
let lines: {event: string; fields: Readonly<Record<string, unknown>>}[];

async function advanceTime(ms: number): Promise<void> {
  const end = runtime.now() + ms;
  while (runtime.now() < end) {
    runtime.runUntil(Math.min(end, runtime.now() + 1));
    await Promise.resolve();
    await Promise.resolve();
  }
}

function send(parts: Partial<RunMessage> = {}): string {
  const request = `r${sentAt.size}`;
  sentAt.set(request, runtime.now());
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
    statement: {type: 'run', access: 'read', text: 'FETCH x'},
    session: {values: []},
    consistency: 'bounded',
    maxStalenessMs: 1_500,
    position: null,
    priority: 1,
    targetLeftMs: 400,
    timeoutLeftMs: 2_000,
    ...parts,
  });
  return request;
}

/** Sends statements at a rate, for a time. */
async function sendSteadily(
  ms: number,
  perMs: number,
  parts: Partial<RunMessage>,
): Promise<readonly string[]> {
  const requests: string[] = [];
  for (let sent = 0, passed = 0; passed < ms; passed++) {
    for (; sent < passed * perMs; sent++) {
      requests.push(send(parts));
    }
    await advanceTime(1);
  }
  return requests;
}

function listRefused(reason: string): readonly string[] {
  return [...answers]
    .filter(
      ([, {result}]) => result.type === 'refused' && result.reason === reason,
    )
    .map(([request]) => request);
}

function findHeldMs(request: string): number {
  return answers.get(request)!.at - sentAt.get(request)!;
}

beforeEach(async () => {
  runtime = createVirtualRuntime(1);
  group = createFakeGroup(runtime, GROUP);
  group.endpoints.forEach(endpoint => {
    endpoint.executionMs = EXECUTION_MS;
  });
  sentAt = new Map();
  answers = new Map();
  lines = [];
  pool = createGroupPool(
    {
      group: GROUP,
      host: 'a-1',
      dataCentre: 'dc-1',
      ports: {
        runtime,
        record: (_level, event, fields) => {
          lines.push({event, fields});
        },
        openConn: group.openConn,
        promote: group.promote,
        send: (_host, msg) => {
          if (msg.type === 'ran') {
            answers.set(msg.request, {at: runtime.now(), result: msg.result});
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
      lineage: null,
      predecessorEndedAt: 0,
    },
    readFakeStatus,
  );
  await advanceTime(300);
  // The pool learns the service time.
  await sendSteadily(1_000, 0.1, {});
});

describe('a pool under overload', () => {
  it('does not refuse urgent work for a queue of less urgent work', async () => {
    for (let count = 0; count < 500; count++) {
      send({priority: 2, targetLeftMs: 1_500, timeoutLeftMs: 60_000});
    }
    const urgent = send({priority: 0});
    await advanceTime(100);
    expect(answers.get(urgent)?.result.type).toBe('done');
  });

  it('refuses on arrival what cannot be served, and tells when to return', async () => {
    await sendSteadily(2_000, 0.6, {});
    const refused = listRefused('queue_full');
    expect(refused.length).toBeGreaterThan(50);
    const delays = refused.map(request => {
      expect(findHeldMs(request)).toBe(0);
      const {result} = answers.get(request)!;
      return result.type === 'refused' ? (result.retryAfterMs ?? 0) : 0;
    });
    expect(Math.min(...delays)).toBeGreaterThan(0);
    // Callers that are refused together do not return together.
    expect(new Set(delays).size).toBeGreaterThan(delays.length / 4);
  });

  it('refuses what more urgent work overtakes before half of its time', async () => {
    const overtaken: string[] = [];
    for (let count = 0; count < 60; count++) {
      overtaken.push(send({priority: 2, targetLeftMs: 500}));
    }
    await sendSteadily(3_000, 0.6, {priority: 0});
    const ends = overtaken.map(request => answers.get(request)!);
    expect(ends.some(({result}) => result.type === 'refused')).toBe(true);
    for (const [request, {result}] of answers) {
      if (result.type === 'refused') {
        expect(result.reason).not.toBe('too_late');
        expect(findHeldMs(request)).toBeLessThanOrEqual(1_000);
      }
    }
  });

  it('refuses fewer statements of a workspace beside one that surges', async () => {
    await sendSteadily(2_000, 0.05, {workspace: 'calm'});
    const calm: string[] = [];
    for (let passed = 0; passed < 3_000; passed += 20) {
      calm.push(send({workspace: 'calm'}));
      await sendSteadily(20, 0.7, {workspace: 'surge'});
    }
    await advanceTime(500);
    const inTime = calm.filter(
      request =>
        answers.get(request)?.result.type === 'done' &&
        findHeldMs(request) <= 400,
    );
    expect(inTime.length).toBeGreaterThan(calm.length * 0.95);
    expect(listRefused('queue_full').length).toBeGreaterThan(300);
  });

  it('serves late what a calm queue can still serve', async () => {
    const late = Array.from({length: 150}, () =>
      send({targetLeftMs: 10, timeoutLeftMs: 2_000}),
    );
    await advanceTime(1_500);
    const served = late.filter(
      request => answers.get(request)?.result.type === 'done',
    );
    expect(served.length).toBeGreaterThan(100);
    expect(listRefused('too_late')).toEqual([]);
  });

  it('counts refusals by rank and reason, with the wait that decided them', async () => {
    await sendSteadily(2_500, 0.6, {priority: 2});
    const counts = lines.filter(({event}) => event === 'queue_refused');
    expect(counts.length).toBeGreaterThan(0);
    // One a second for each of the two reasons.
    expect(counts.length).toBeLessThanOrEqual(6);
    expect(counts[0]!.fields).toMatchObject({
      group: GROUP,
      rank: '2',
      reason: 'queue_full',
    });
    const waits = lines
      .filter(({event}) => event === 'job_refused')
      .map(({fields}) => fields['expected_wait_ms']);
    const refused = [...listRefused('queue_full'), ...listRefused('overtaken')];
    expect(waits).toHaveLength(refused.length);
    expect(waits.every(ms => ms === null || Number(ms) > 100)).toBe(true);
  });
});

describe('the text of a refusal', () => {
  it('says after how many milliseconds to return', () => {
    expect(describeFault('busy', 'overtaken', 'r1', 340)).toContain('340 ms');
    expect(describeFault('busy', 'overtaken', 'r1')).not.toContain('ms');
  });
});
