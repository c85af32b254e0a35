/** Sessions of a host that stops or is cut off: none is closed on a statement. */

import {beforeEach, describe, expect, it} from 'vitest';
import {stopGracefully} from '../../stop.js';
import type {CallerStatement} from '../../model/statement.js';
import {createFleet, DATABASE, TABLE} from '../fake_fleet.js';
import type {Fleet} from '../fake_fleet.js';

const NAME = 'lima-a-1';
const SET: CallerStatement = {type: 'set', name: 'a', value: 'b'};
const READ: CallerStatement = {type: 'run', access: 'read', text: 'FETCH 1'};
const WRITE: CallerStatement = {type: 'run', access: 'write', text: 'PUT 1 a'};
/** Time from the stop signal until the host ends, in ms. */
const STOP_MS = 5_600;
/** Time from the stop signal until the host would be killed, in ms. */
const GRACE_MS = 6_000;
/** Time from an answer to the next statement of the same operation, in ms. */
const CALLER_MS = 8;

let fleet: Fleet;

function isClosed(caller: number): boolean {
  return fleet.get(NAME).closedCallers.has(caller);
}

/** Sends a statement and waits for its answer. */
async function ask(caller: number, statement: CallerStatement): Promise<void> {
  const {host, replies} = fleet.get(NAME);
  const before = replies.length;
  host.entry.serve(caller, `q${before}`, statement);
  for (let waited = 0; replies.length === before && waited < 500; waited += 2) {
    await fleet.passTime(2);
  }
  expect(replies).toHaveLength(before + 1);
}

beforeEach(async () => {
  fleet = createFleet(['lima-a', 'lima-b', 'lima-c'], 2);
  await fleet.passTime(4_000);
  expect(fleet.listActiveOwners()).not.toContain(NAME);
});

describe('a session of a group whose owner this host does not reach', () => {
  it('stays open while idle if the owner is merely replaced', async () => {
    const {entry} = fleet.get(NAME).host;
    entry.open(1, DATABASE);
    fleet.kill(fleet.listActiveOwners()[0]!);
    await fleet.passTime(5_000);
    expect(isClosed(1)).toBe(false);
    await ask(1, READ);
    expect(fleet.get(NAME).replies.at(-1)!.reply).toMatchObject({type: 'done'});
  });
});

describe('a host that closes its sessions', () => {
  it('closes none between two statements of an operation', async () => {
    const {entry} = fleet.get(NAME).host;
    entry.open(1, DATABASE);
    entry.beginClosing();
    for (const statement of [SET, READ, READ]) {
      await ask(1, statement);
      await fleet.passTime(CALLER_MS);
      expect(isClosed(1)).toBe(false);
    }
    await fleet.passTime(300);
    expect(isClosed(1)).toBe(true);
  });

  it('closes idle sessions at once', async () => {
    const {entry} = fleet.get(NAME).host;
    entry.open(1, DATABASE);
    await fleet.passTime(500);
    entry.beginClosing();
    expect(isClosed(1)).toBe(true);
  });

  it('answers a statement that arrived before its session is closed', async () => {
    const {host, replies, unreadInput} = fleet.get(NAME);
    host.entry.open(1, DATABASE);
    await fleet.passTime(500);
    unreadInput.push(() => host.entry.serve(1, 'q', READ));
    host.entry.beginClosing();
    expect(isClosed(1)).toBe(false);
    await fleet.passTime(50);
    expect(replies.at(-1)!.reply).toMatchObject({type: 'done'});
    await fleet.passTime(300);
    expect(isClosed(1)).toBe(true);
  });

  it('keeps them open if it takes callers again', async () => {
    const {entry} = fleet.get(NAME).host;
    entry.open(1, DATABASE);
    entry.beginClosing();
    entry.stopClosing();
    await fleet.passTime(500);
    expect(isClosed(1)).toBe(false);
  });

  it('stops only once the sessions in use are closed', async () => {
    const {host} = fleet.get(NAME);
    const deadline = fleet.runtime.now() + 5_600;
    let hasStopped = false;
    void stopGracefully(host, fleet.runtime, deadline).then(() => {
      hasStopped = true;
    });
    await fleet.passTime(2_000);
    host.entry.open(1, DATABASE);
    for (let asked = 0; asked < 20; asked++) {
      await ask(1, READ);
      await fleet.passTime(CALLER_MS);
      expect(isClosed(1)).toBe(false);
      expect(hasStopped).toBe(false);
    }
    await fleet.passTime(500);
    expect(isClosed(1)).toBe(true);
    expect(hasStopped).toBe(true);
  });
});

describe('a host that stops', () => {
  let hasStopped: boolean;

  beforeEach(() => {
    hasStopped = false;
  });

  function stop(): void {
    const {host} = fleet.get(NAME);
    const deadline = fleet.runtime.now() + STOP_MS;
    void stopGracefully(host, fleet.runtime, deadline).then(() => {
      hasStopped = true;
    });
  }

  // The group was left without an owner until its last one came back.
  it('hands a group to another host when its deputies stop as well', async () => {
    const owner = fleet.listActiveOwners()[0]!;
    const stopping = [
      ...fleet.store.record!.ownership.deputies.map(({host}) => host),
      owner,
    ];
    for (const name of stopping) {
      void fleet.get(name).host.handOver();
      await fleet.passTime(20);
    }
    await fleet.passTime(500);
    expect(fleet.listActiveOwners()).toHaveLength(1);
    expect(stopping).not.toContain(fleet.listActiveOwners()[0]);
  });

  // Its statements were sent to the former owner until their deadline.
  it('refuses statements at once when no host takes over', async () => {
    fleet.hosts.forEach(({host}) => void host.handOver());
    await fleet.passTime(3_000);
    const {host, replies} = fleet.get(NAME);
    for (const [caller, limitMs] of [
      [1, 400],
      [2, 50],
    ] as const) {
      host.entry.open(caller, DATABASE);
      host.entry.serve(caller, 'q', READ);
      await fleet.passTime(limitMs);
      expect(replies.at(-1)).toMatchObject({caller, reply: {fault: 'busy'}});
    }
  });

  it('answers what arrived last before it ends', async () => {
    const {host, replies, unreadInput} = fleet.get(NAME);
    host.entry.open(1, DATABASE);
    stop();
    await ask(1, {type: 'begin', readOnly: false});
    await fleet.passTime(STOP_MS - 50);
    expect(hasStopped).toBe(false);
    unreadInput.push(() => host.entry.serve(1, 'last', READ));
    await fleet.passTime(100);
    expect(hasStopped).toBe(true);
    expect(replies).toHaveLength(2);
  });

  // It served callers that never paused until it ended, and cut off what they
  // had sent last (LOST, review case 2).
  it('answers a caller that never pauses, then refuses it and closes', async () => {
    const {host, replies} = fleet.get(NAME);
    host.entry.open(1, DATABASE);
    stop();
    const startedAt = fleet.runtime.now();
    while (!isClosed(1)) {
      expect(hasStopped).toBe(false);
      await ask(1, READ);
      await fleet.passTime(CALLER_MS);
    }
    expect(replies.at(-1)!.reply).toMatchObject({fault: 'busy', state: 'idle'});
    expect(fleet.runtime.now() - startedAt).toBeLessThan(3_000);
    expect(host.entry.open(2, DATABASE)).toBe('stopping');
  });

  it('lets an open transaction end in half of the grace period', async () => {
    const {host, replies} = fleet.get(NAME);
    host.entry.open(1, DATABASE);
    await ask(1, {type: 'begin', readOnly: false});
    await ask(1, WRITE);
    stop();
    await fleet.passTime(GRACE_MS / 2 - 20);
    await ask(1, {type: 'commit'});
    expect(replies.at(-1)!.reply).toMatchObject({type: 'done', state: 'idle'});
  });

  it('ends an open transaction, and refuses the next operation', async () => {
    const {entry} = fleet.get(NAME).host;
    entry.open(1, DATABASE);
    stop();
    await fleet.passTime(2_000);
    await ask(1, {type: 'begin', readOnly: false});
    while (fleet.get(NAME).replies.at(-1)!.reply.state !== 'failed') {
      await ask(1, READ);
      await fleet.passTime(CALLER_MS);
    }
    await ask(1, {type: 'rollback'});
    await ask(1, WRITE);
    expect(fleet.get(NAME).replies.at(-1)!.reply).toMatchObject({
      fault: 'busy',
    });
    expect(isClosed(1)).toBe(true);
  });

  it('answers all that it has received before it ends', async () => {
    const route = {...TABLE.routes.get(DATABASE)!, timeoutMs: 20_000};
    fleet.setTable({
      ...TABLE,
      version: 2,
      routes: new Map([[DATABASE, route]]),
    });
    await fleet.passTime(100);
    const {host, replies} = fleet.get(NAME);
    [1, 2, 3].forEach(caller => host.entry.open(caller, DATABASE));
    stop();
    await fleet.passTime(2_000);
    host.entry.serve(2, 'b1', {type: 'begin', readOnly: false});
    await fleet.passTime(500);
    fleet.group.get('ledger-1').lostReplies.add('PUT 1 a');
    host.entry.serve(1, 'w1', WRITE);
    host.entry.serve(1, 'w2', READ);
    await fleet.passTime(50);
    host.entry.serve(2, 'b2', WRITE);
    fleet.group.endpoints.forEach(endpoint => {
      endpoint.isUnresponsive = true;
    });
    host.entry.serve(3, 'r1', READ);
    await fleet.passTime(STOP_MS - 2_500 + 100);
    expect(hasStopped).toBe(true);
    const faults = (caller: number): readonly (string | null)[] =>
      replies
        .filter(entry => entry.caller === caller)
        .map(({reply}) => (reply.type === 'done' ? null : reply.fault));
    expect(faults(1)).toEqual(['unknown', 'busy']);
    expect(faults(2)).toEqual([null, 'aborted']);
    expect(faults(3)).toEqual(['busy']);
  });

  it('does not wait for a slow store before it closes sessions', async () => {
    const owner = fleet.listActiveOwners()[0]!;
    const {host} = fleet.get(owner);
    host.entry.open(1, DATABASE);
    fleet.store.isDown = true;
    void stopGracefully(host, fleet.runtime, fleet.runtime.now() + STOP_MS);
    await fleet.passTime(3_000);
    expect(fleet.get(owner).closedCallers.has(1)).toBe(true);
  });
});
