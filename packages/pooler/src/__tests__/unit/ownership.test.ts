/** Who owns a group's pool, over the loss of hosts, links and the store. */

import {beforeEach, describe, expect, it} from 'vitest';
import {createFleet, DATABASE, GROUP, TABLE} from '../fake_fleet.js';
import type {Fleet} from '../fake_fleet.js';

const CENTRES = ['lima-a', 'lima-b', 'lima-c'];
/** What the pages allow a service to be without an owner, in ms. */
const LONGEST_GAP_MS = 3_000;

let fleet: Fleet;
let owner: string;

function readOwner(): string {
  return fleet.store.record!.ownership.owner.host;
}

function findOther(...not: readonly string[]): string {
  return [...fleet.hosts.keys()].find(name => !not.includes(name))!;
}

/** Passes time while at most one host acts; returns how long none did. */
async function watchActing(ms: number): Promise<number> {
  let gap = 0;
  for (let passed = 0; passed < ms; passed += 10) {
    await fleet.passTime(10);
    const acting = fleet.findActing();
    expect(acting.length).toBeLessThanOrEqual(1);
    gap += acting.length === 0 ? 10 : 0;
  }
  return gap;
}

beforeEach(async () => {
  fleet = createFleet(CENTRES, 2);
  await fleet.passTime(4_000);
  owner = readOwner();
});

describe('a group', () => {
  it('has one owner, and deputies in the other data centres', () => {
    expect(fleet.findActing()).toEqual([owner]);
    const {deputies} = fleet.store.record!.ownership;
    expect(deputies).toHaveLength(3);
    const centres = new Set(
      [owner, ...deputies.slice(0, 2).map(({host}) => host)].map(
        host => fleet.get(host).dataCentre,
      ),
    );
    expect(centres.size).toBe(3);
  });

  it('serves callers of every host', async () => {
    for (const name of fleet.hosts.keys()) {
      expect(await fleet.write(name)).toMatchObject({type: 'done'});
    }
  });

  it('is taken over when its owner dies', async () => {
    fleet.kill(owner);
    const gap = await watchActing(LONGEST_GAP_MS);
    expect(gap).toBeLessThan(LONGEST_GAP_MS);
    expect(readOwner()).not.toBe(owner);
    const name = findOther(owner);
    expect(await fleet.write(name)).toMatchObject({type: 'done'});
  });

  it('is taken over, and found, before a watch brings any record', async () => {
    await fleet.passTime(500);
    fleet.store.isMute = true;
    // Two renewals pass that deputies learn of from the owner alone.
    await fleet.passTime(11_000);
    const before = fleet.store.conflicts;
    fleet.kill(owner);
    const gap = await watchActing(LONGEST_GAP_MS);
    expect(fleet.store.conflicts).toBe(before);
    expect(gap).toBeLessThan(LONGEST_GAP_MS);
    expect(readOwner()).not.toBe(owner);
    for (const name of fleet.hosts.keys()) {
      if (name !== owner) {
        expect(await fleet.write(name)).toMatchObject({type: 'done'});
      }
    }
  });

  it('lets its owner and deputies watch the endpoints, and nobody else', async () => {
    const readInvolved = (): readonly string[] => {
      const {owner, deputies} = fleet.store.record!.ownership;
      return [owner, ...deputies].map(({host}) => host).sort();
    };
    expect([...fleet.watching].sort()).toEqual(readInvolved());
    fleet.kill(owner);
    await fleet.passTime(LONGEST_GAP_MS);
    const living = [...fleet.watching].filter(name => name !== owner);
    expect(living.sort()).toEqual(readInvolved());
  });

  it('moves to a host that is much larger, once that is back', async () => {
    const LARGE = 'lima-b-1';
    fleet = createFleet(CENTRES, 2, name => (name === LARGE ? 4 : 1));
    await fleet.passTime(4_000);
    expect(readOwner()).toBe(LARGE);
    fleet.kill(LARGE);
    await fleet.passTime(LONGEST_GAP_MS);
    expect(readOwner()).not.toBe(LARGE);
    fleet.start(LARGE);
    const gap = await watchActing(10_000);
    expect(readOwner()).toBe(LARGE);
    expect(gap).toBeLessThan(500);
    expect(await fleet.write('lima-a-1')).toMatchObject({type: 'done'});
  });

  it('stays where it is among hosts of one size', async () => {
    const {generation} = fleet.store.record!.ownership;
    await fleet.passTime(12_000);
    expect(fleet.store.record!.ownership.generation).toBe(generation);
  });

  it('raises its generation with each owner', async () => {
    const before = fleet.store.record!.ownership.generation;
    fleet.kill(owner);
    await fleet.passTime(LONGEST_GAP_MS);
    expect(fleet.store.record!.ownership.generation).toBeGreaterThan(before);
  });

  it('is taken over when its owner is cut off, which stops first', async () => {
    fleet.cut(owner);
    const gap = await watchActing(5_000);
    expect(readOwner()).not.toBe(owner);
    expect(gap).toBeLessThan(LONGEST_GAP_MS);
    fleet.heal(owner);
    await watchActing(3_000);
  });

  it('keeps its owner through an outage of the store', async () => {
    fleet.store.isDown = true;
    expect(await watchActing(9_000)).toBe(0);
    expect(await fleet.write(findOther(owner))).toMatchObject({type: 'done'});
    fleet.store.isDown = false;
    expect(await watchActing(6_000)).toBe(0);
  });

  it('keeps its owner when a deputy is lost while the store is down', async () => {
    fleet.store.isDown = true;
    fleet.kill(fleet.store.record!.ownership.deputies[0]!.host);
    expect(await watchActing(6_000)).toBe(0);
  });

  it('is not taken from its owner by a deputy that forgot its promise', async () => {
    const {deputies} = fleet.store.record!.ownership;
    const [first, second] = deputies.map(({host}) => host);
    // The owner can neither renew nor replace a deputy: it rests on the others.
    fleet.store.refuses.add(owner);
    fleet.cuts.add([owner, second!].sort().join('~'));
    await watchActing(2_500);
    expect(fleet.findActing()).toEqual([owner]);
    fleet.kill(first!);
    fleet.start(first!);
    await watchActing(4_000);
  });

  it('is taken over although a deputy cannot reach the store', async () => {
    const [first] = fleet.store.record!.ownership.deputies;
    fleet.store.refuses.add(first!.host);
    fleet.kill(owner);
    expect(await watchActing(5_000)).toBeLessThan(LONGEST_GAP_MS + 1_000);
    expect(fleet.findActing()).toHaveLength(1);
  });

  it('is taken over by a host that is no deputy, with their consent', async () => {
    const {deputies} = fleet.store.record!.ownership;
    deputies.forEach(({host}) => fleet.store.refuses.add(host));
    fleet.kill(owner);
    await watchActing(7_000);
    expect(fleet.findActing()).toHaveLength(1);
    expect(deputies.map(({host}) => host)).not.toContain(readOwner());
  });

  it('is not taken from an owner that one other host cannot reach', async () => {
    const {deputies} = fleet.store.record!.ownership;
    const stranger = findOther(owner, ...deputies.map(({host}) => host));
    for (const name of [stranger, deputies[0]!.host]) {
      fleet.cuts.add([name, owner].sort().join('~'));
      fleet.get(name).host.notePeer(owner, false);
    }
    expect(await watchActing(8_000)).toBe(0);
    expect(readOwner()).toBe(owner);
  });

  it('is not taken from an owner that the store turns away', async () => {
    fleet.store.refuses.add(owner);
    expect(await watchActing(9_000)).toBe(0);
    expect(readOwner()).toBe(owner);
  });

  it('stops an owner that was suspended before it acts again', async () => {
    fleet.pause(owner);
    const pausedAt = fleet.runtime.now();
    await watchActing(4_000);
    expect(readOwner()).not.toBe(owner);
    fleet.get(owner).missedMs += fleet.runtime.now() - pausedAt;
    // Nothing that it missed tells it: only the two clocks differ.
    fleet.get(owner).held = [];
    fleet.resume(owner);
    expect(fleet.get(owner).host.isActing(GROUP)).toBe(false);
    await watchActing(2_000);
  });

  it('is claimed again at once by an owner that restarts', async () => {
    fleet.kill(owner);
    await fleet.passTime(300);
    fleet.start(owner);
    const gap = await watchActing(1_000);
    expect(gap).toBeLessThan(400);
    expect(readOwner()).toBe(owner);
  });

  it('is handed over in a graceful stop', async () => {
    let isDone = false;
    void fleet
      .get(owner)
      .host.handOver()
      .then(() => {
        isDone = true;
      });
    expect(await watchActing(600)).toBeLessThan(300);
    expect(isDone).toBe(true);
    expect(readOwner()).not.toBe(owner);
  });

  it('is not handed to a host that stops as well', async () => {
    const [deputy] = fleet.store.record!.ownership.deputies;
    void fleet.get(deputy!.host).host.handOver();
    await fleet.passTime(100);
    void fleet.get(owner).host.handOver();
    await fleet.passTime(500);
    expect(readOwner()).not.toBe(deputy!.host);
    expect(readOwner()).not.toBe(owner);
  });

  it('survives the loss of every host at once', async () => {
    [...fleet.hosts.keys()].forEach(fleet.kill);
    await fleet.passTime(1_000);
    [...fleet.hosts.keys()].forEach(fleet.start);
    expect(await watchActing(4_000)).toBeLessThan(LONGEST_GAP_MS);
    const name = findOther('');
    expect(await fleet.write(name)).toMatchObject({type: 'done'});
  });
});

describe('a host that reaches no other data centre', () => {
  it('says that it takes no callers, and takes them again afterwards', async () => {
    const name = findOther(owner);
    expect(fleet.get(name).host.isReady()).toBe(true);
    fleet.cut(name);
    await fleet.passTime(3_500);
    expect(fleet.get(name).host.isReady()).toBe(false);
    fleet.heal(name);
    await fleet.passTime(2_000);
    expect(fleet.get(name).host.isReady()).toBe(true);
  });
});

describe('a table', () => {
  it('is in force once it is told, and none before it comes back', () => {
    const {host} = fleet.get('lima-a-1');
    expect(host.entry.open(1, DATABASE)).toBe(true);
    host.noteTable({...TABLE, version: 3, routes: new Map()});
    expect(host.entry.open(2, DATABASE)).toBe(false);
    host.noteTable({...TABLE, version: 2});
    host.noteTable(TABLE);
    expect(host.entry.open(3, DATABASE)).toBe(false);
    host.noteTable({...TABLE, version: 4});
    expect(host.entry.open(4, DATABASE)).toBe(true);
  });
});
