/** Ownership of a group's pool during losses of hosts, links and the store. */

import {beforeEach, describe, expect, it} from 'vitest';
import {createFleet, DATABASE, GROUP, TABLE} from '../fake_fleet.js';
import type {Fleet} from '../fake_fleet.js';
import type {RouteTable} from '../../model/directory.js';

const CENTRES = ['lima-a', 'lima-b', 'lima-c'];
/** Documented limit of the time that a group may be without an owner, ms. */
const MAX_OWNER_GAP_MS = 3_000;

let fleet: Fleet;
let owner: string;

function readOwner(): string {
  return fleet.store.record!.ownership.owner.host;
}

function findOther(...excluded: readonly string[]): string {
  return [...fleet.hosts.keys()].find(name => !excluded.includes(name))!;
}

/** Advances time, checks that no two hosts are active owners at once, and
 * returns how long there was none, in ms. */
async function measureOwnerGap(ms: number): Promise<number> {
  let gap = 0;
  for (let passed = 0; passed < ms; passed += 10) {
    await fleet.passTime(10);
    const active = fleet.listActiveOwners();
    expect(active.length).toBeLessThanOrEqual(1);
    gap += active.length === 0 ? 10 : 0;
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
    expect(fleet.listActiveOwners()).toEqual([owner]);
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

  it('is taken over when its owner crashes', async () => {
    fleet.kill(owner);
    const gap = await measureOwnerGap(MAX_OWNER_GAP_MS);
    expect(gap).toBeLessThan(MAX_OWNER_GAP_MS);
    expect(readOwner()).not.toBe(owner);
    const name = findOther(owner);
    expect(await fleet.write(name)).toMatchObject({type: 'done'});
  });

  it('is taken over and found without any record from a watch', async () => {
    await fleet.passTime(500);
    fleet.store.isWatchSilent = true;
    // Two renewals pass; deputies learn about them only from the owner.
    await fleet.passTime(11_000);
    const before = fleet.store.conflicts;
    fleet.kill(owner);
    const gap = await measureOwnerGap(MAX_OWNER_GAP_MS);
    expect(fleet.store.conflicts).toBe(before);
    expect(gap).toBeLessThan(MAX_OWNER_GAP_MS);
    expect(readOwner()).not.toBe(owner);
    for (const name of fleet.hosts.keys()) {
      if (name !== owner) {
        expect(await fleet.write(name)).toMatchObject({type: 'done'});
      }
    }
  });

  it('lets only its owner watch the endpoints', async () => {
    expect([...fleet.endpointWatchers]).toEqual([owner]);
    fleet.kill(owner);
    await fleet.passTime(MAX_OWNER_GAP_MS);
    const watchers = [...fleet.endpointWatchers].filter(name => name !== owner);
    expect(watchers).toEqual([readOwner()]);
  });

  it('moves to a much larger host once that host is back', async () => {
    const LARGE = 'lima-b-1';
    fleet = createFleet(CENTRES, 2, name => (name === LARGE ? 4 : 1));
    await fleet.passTime(4_000);
    expect(readOwner()).toBe(LARGE);
    fleet.kill(LARGE);
    await fleet.passTime(MAX_OWNER_GAP_MS);
    expect(readOwner()).not.toBe(LARGE);
    fleet.start(LARGE);
    const gap = await measureOwnerGap(10_000);
    expect(readOwner()).toBe(LARGE);
    expect(gap).toBeLessThan(500);
    expect(await fleet.write('lima-a-1')).toMatchObject({type: 'done'});
  });

  it('does not move between hosts of equal size', async () => {
    const {generation} = fleet.store.record!.ownership;
    await fleet.passTime(12_000);
    expect(fleet.store.record!.ownership.generation).toBe(generation);
  });

  it('has a record of the endpoints and the term for the next owner', async () => {
    await fleet.passTime(1_000);
    const {lineage} = fleet.store.record!.ownership;
    expect(lineage?.members.map(({endpoint}) => endpoint)).toEqual([
      'ledger-1',
      'ledger-2',
      'ledger-3',
    ]);
    expect(lineage?.term).toBe(1);
  });

  it('raises its generation with each owner', async () => {
    const before = fleet.store.record!.ownership.generation;
    fleet.kill(owner);
    await fleet.passTime(MAX_OWNER_GAP_MS);
    expect(fleet.store.record!.ownership.generation).toBeGreaterThan(before);
  });

  it('is taken over when its owner is cut off, after the owner stops acting', async () => {
    fleet.cut(owner);
    const gap = await measureOwnerGap(5_000);
    expect(readOwner()).not.toBe(owner);
    expect(gap).toBeLessThan(MAX_OWNER_GAP_MS);
    fleet.heal(owner);
    await measureOwnerGap(3_000);
  });

  it('keeps its owner through an outage of the store', async () => {
    fleet.store.isDown = true;
    expect(await measureOwnerGap(9_000)).toBe(0);
    expect(await fleet.write(findOther(owner))).toMatchObject({type: 'done'});
    fleet.store.isDown = false;
    expect(await measureOwnerGap(6_000)).toBe(0);
  });

  it('keeps its owner when a deputy is lost while the store is down', async () => {
    fleet.store.isDown = true;
    fleet.kill(fleet.store.record!.ownership.deputies[0]!.host);
    expect(await measureOwnerGap(6_000)).toBe(0);
  });

  it('is not taken over through a deputy that lost its promise in a restart', async () => {
    const {deputies} = fleet.store.record!.ownership;
    const [first, second] = deputies.map(({host}) => host);
    // The owner can neither renew its record nor replace the unreachable
    // deputy, so its lease depends on the promises of the other deputies.
    fleet.store.refusedHosts.add(owner);
    fleet.cutPairs.add([owner, second!].sort().join('~'));
    await measureOwnerGap(2_500);
    expect(fleet.listActiveOwners()).toEqual([owner]);
    fleet.kill(first!);
    fleet.start(first!);
    await measureOwnerGap(4_000);
  });

  it('is taken over although a deputy cannot reach the store', async () => {
    const [first] = fleet.store.record!.ownership.deputies;
    fleet.store.refusedHosts.add(first!.host);
    fleet.kill(owner);
    expect(await measureOwnerGap(5_000)).toBeLessThan(MAX_OWNER_GAP_MS + 1_000);
    expect(fleet.listActiveOwners()).toHaveLength(1);
  });

  it('is taken over by a non-deputy with the consent of the deputies', async () => {
    const {deputies} = fleet.store.record!.ownership;
    deputies.forEach(({host}) => fleet.store.refusedHosts.add(host));
    fleet.kill(owner);
    await measureOwnerGap(7_000);
    expect(fleet.listActiveOwners()).toHaveLength(1);
    expect(deputies.map(({host}) => host)).not.toContain(readOwner());
  });

  it('is not taken from an owner that two other hosts cannot reach', async () => {
    const {deputies} = fleet.store.record!.ownership;
    const nonDeputy = findOther(owner, ...deputies.map(({host}) => host));
    for (const name of [nonDeputy, deputies[0]!.host]) {
      fleet.cutPairs.add([name, owner].sort().join('~'));
      fleet.get(name).host.handleLinkChange(owner, false);
    }
    expect(await measureOwnerGap(8_000)).toBe(0);
    expect(readOwner()).toBe(owner);
  });

  it('is not taken from an owner that the store refuses', async () => {
    fleet.store.refusedHosts.add(owner);
    expect(await measureOwnerGap(9_000)).toBe(0);
    expect(readOwner()).toBe(owner);
  });

  it('does not let a suspended owner act after it resumes', async () => {
    fleet.pause(owner);
    const pausedAt = fleet.runtime.now();
    await measureOwnerGap(4_000);
    expect(readOwner()).not.toBe(owner);
    fleet.get(owner).pausedMs += fleet.runtime.now() - pausedAt;
    // Missed messages are dropped, so only the difference between the two
    // clocks reveals the suspension.
    fleet.get(owner).heldEvents = [];
    fleet.resume(owner);
    expect(fleet.get(owner).host.isActiveOwner(GROUP)).toBe(false);
    await measureOwnerGap(2_000);
  });

  it('is reclaimed at once by an owner that restarts', async () => {
    fleet.kill(owner);
    await fleet.passTime(300);
    fleet.start(owner);
    const gap = await measureOwnerGap(1_000);
    expect(gap).toBeLessThan(400);
    expect(readOwner()).toBe(owner);
  });

  it('is handed over in a graceful shutdown', async () => {
    let isDone = false;
    void fleet
      .get(owner)
      .host.handOver()
      .then(() => {
        isDone = true;
      });
    expect(await measureOwnerGap(600)).toBeLessThan(300);
    expect(isDone).toBe(true);
    expect(readOwner()).not.toBe(owner);
  });

  it('is handed over although the last renewal was not answered', async () => {
    const {revision} = fleet.store.record!;
    fleet.disturbStore(owner, {lostShare: 1, failMs: 5});
    while (fleet.store.record!.revision === revision) {
      await fleet.passTime(1);
    }
    await fleet.passTime(20);
    fleet.store.faults.delete(owner);
    void fleet.get(owner).host.handOver();
    expect(await measureOwnerGap(600)).toBeLessThan(300);
    expect(readOwner()).not.toBe(owner);
  });

  // The next owner let the old primary acknowledge commits, which were lost
  // when the promotion took effect.
  it('is not handed over while a requested promotion may take effect', async () => {
    const primary = fleet.group.get('ledger-1');
    primary.isUnresponsive = true;
    primary.reset();
    while (fleet.group.promotions.length === 0) {
      await fleet.passTime(10);
    }
    primary.isUnresponsive = false;
    void fleet.get(owner).host.handOver();
    await fleet.passTime(300);
    expect(readOwner()).toBe(owner);
    await fleet.passTime(1_500);
    expect(readOwner()).not.toBe(owner);
    expect(fleet.group.get('ledger-1').role).toBe('replica');
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
    expect(await measureOwnerGap(4_000)).toBeLessThan(MAX_OWNER_GAP_MS);
    const name = findOther('');
    expect(await fleet.write(name)).toMatchObject({type: 'done'});
  });
});

describe('a host whose claim was executed and not answered', () => {
  let claimant: string;

  beforeEach(async () => {
    claimant = fleet.store.record!.ownership.deputies[0]!.host;
    fleet.disturbStore(claimant, {lostShare: 1, failMs: 5});
    fleet.kill(owner);
    while (readOwner() !== claimant) {
      await fleet.passTime(10);
    }
  });

  it('acts no longer than its record allows once a later claim is answered', async () => {
    await measureOwnerGap(1_000);
    fleet.store.faults.delete(claimant);
    while (fleet.listActiveOwners().length === 0) {
      await measureOwnerGap(10);
    }
    fleet.cut(claimant);
    await measureOwnerGap(5_000);
    expect(readOwner()).not.toBe(claimant);
  });

  /** Only a watch tells the claimant of its record, after a second. */
  async function learnFromWatch(): Promise<void> {
    fleet.disturbStore(claimant, {delayMs: 60_000, failMs: 5});
    await measureOwnerGap(1_000);
    fleet.get(claimant).host.updateOwnerships([fleet.store.record!], false);
    fleet.cut(claimant);
  }

  it('does not act because a later claim was refused', async () => {
    await learnFromWatch();
    fleet.store.faults.delete(claimant);
    await measureOwnerGap(5_000);
    expect(readOwner()).not.toBe(claimant);
  });

  it('does not act because a later claim got no answer', async () => {
    await learnFromWatch();
    await measureOwnerGap(5_000);
    expect(readOwner()).not.toBe(claimant);
  });
});

describe('a host that claims again while it reads the record of its claim', () => {
  it('becomes the owner once', async () => {
    const claimant = fleet.store.record!.ownership.deputies[0]!.host;
    fleet.disturbStore(claimant, {lostShare: 1});
    fleet.kill(owner);
    while (readOwner() !== claimant) {
      await fleet.passTime(10);
    }
    await measureOwnerGap(850);
    fleet.disturbStore(claimant, {delayMs: 300});
    await measureOwnerGap(3_000);
    const claims = fleet
      .get(claimant)
      .logs.filter(({event}) => event === 'ownership_claimed');
    expect(claims).toHaveLength(2);
    const gained = claims.filter(({fields}) => fields['is_owner']);
    expect(gained).toHaveLength(1);
  });
});

describe('a promotion call that a link holds', () => {
  it('does not reach the platform after the call of the next owner', async () => {
    const HOLD_MS = 1_200;
    for (const cutMs of [0, 150, 200, 400]) {
      fleet = createFleet(CENTRES, 2);
      await fleet.passTime(5_000);
      owner = readOwner();
      fleet.get(owner).holdCallsMs = HOLD_MS;
      fleet.cut(owner);
      await fleet.passTime(cutMs);
      const primary = fleet.group.get('ledger-1');
      primary.isUnresponsive = true;
      primary.reset();
      fleet.store.unlisted.add('ledger-1');
      await measureOwnerGap(6_000);
      const tokens = fleet.receivedCalls.map(({generation}) => generation);
      expect(tokens).toEqual([...tokens].sort((a, b) => a - b));
      expect(readOwner()).not.toBe(owner);
    }
  });
});

describe('a host whose process is suspended while a write is under way', () => {
  /** Suspends a host, and its monotonic clock, until another one owns. */
  async function suspend(name: string): Promise<void> {
    fleet.pause(name);
    const pausedAt = fleet.runtime.now();
    await measureOwnerGap(10);
    // The answer of the store is there, and what comes later is dropped.
    const held = [...fleet.get(name).heldEvents];
    await measureOwnerGap(4_000);
    expect(readOwner()).not.toBe(name);
    fleet.get(name).pausedMs += fleet.runtime.now() - pausedAt;
    fleet.cut(name);
    fleet.get(name).heldEvents = held;
    // It notices the suspension before it reads the answer.
    fleet.get(name).host.isActiveOwner(GROUP);
    fleet.resume(name);
    await measureOwnerGap(2_000);
  }

  it('does not count the lease of a renewal from before the suspension', async () => {
    const {renewals} = fleet.store.record!.ownership;
    while (fleet.store.record!.ownership.renewals === renewals) {
      await fleet.passTime(1);
    }
    await suspend(owner);
  });

  it('does not count the lease of a claim from before the suspension', async () => {
    const {deputies} = fleet.store.record!.ownership;
    const claimant = deputies[0]!.host;
    fleet.kill(owner);
    while (readOwner() !== claimant) {
      await fleet.passTime(1);
    }
    await suspend(claimant);
  });
});

describe('a host that cannot reach any other data centre', () => {
  it('reports not ready, and ready again once the links are back', async () => {
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

describe('a routing table', () => {
  it('takes effect on receipt, and older versions are ignored', async () => {
    const {host} = fleet.get('lima-a-1');
    const receive = async (table: RouteTable): Promise<void> => {
      fleet.setTable(table);
      await fleet.passTime(20);
    };
    expect(host.entry.open(1, DATABASE)).toBe('opened');
    await receive({...TABLE, version: 3, routes: new Map()});
    expect(host.entry.open(2, DATABASE)).toBe('no_database');
    await receive({...TABLE, version: 2});
    await receive(TABLE);
    expect(host.entry.open(3, DATABASE)).toBe('no_database');
    await receive({...TABLE, version: 4});
    expect(host.entry.open(4, DATABASE)).toBe('opened');
  });
});

describe('a data centre that is cut off together with the owner of a group', () => {
  let inside: readonly string[];

  beforeEach(() => {
    const {dataCentre} = fleet.get(owner);
    inside = [...fleet.hosts.values()]
      .filter(host => host.dataCentre === dataCentre)
      .map(({name}) => name);
    fleet.cutCentre(dataCentre);
  });

  it('takes no callers once its owner may no longer act', async () => {
    await fleet.passTime(2_000);
    const ready = inside.filter(name => fleet.get(name).host.isReady());
    expect(ready).toEqual([]);
  });

  it('refuses a statement at once that cannot run there', async () => {
    await fleet.passTime(2_000);
    for (const name of inside) {
      const sentAt = fleet.runtime.now();
      expect(await fleet.write(name)).toMatchObject({fault: 'busy'});
      expect(fleet.runtime.now() - sentAt).toBeLessThan(100);
    }
  });

  it('answers what waits in the pool before its time is over', async () => {
    await fleet.passTime(1_100);
    const replied = fleet.write(owner);
    const sentAt = fleet.runtime.now();
    expect(await replied).toMatchObject({fault: 'busy'});
    expect(fleet.runtime.now() - sentAt).toBeLessThan(600);
  });

  it('takes callers again once it is connected', async () => {
    await fleet.passTime(5_500);
    inside.forEach(fleet.heal);
    await fleet.passTime(1_000);
    for (const name of inside) {
      expect(fleet.get(name).host.isReady()).toBe(true);
      expect(await fleet.write(name)).toMatchObject({type: 'done'});
    }
  });
});

describe('an owner whose lease has expired and is valid again', () => {
  it('serves a host that was not connected when it became valid', async () => {
    const deputies = fleet.store.record!.ownership.deputies.map(
      ({host}) => host,
    );
    const other = findOther(owner, ...deputies);
    // One deputy promises, and no two can consent to a takeover.
    deputies.slice(1).forEach(fleet.cut);
    fleet.store.refusedHosts.add(owner);
    await fleet.passTime(6_500);
    expect(fleet.listActiveOwners()).toEqual([]);
    fleet.cutPair(owner, other);
    await fleet.passTime(1_500);
    fleet.store.refusedHosts.delete(owner);
    await fleet.passTime(1_500);
    expect(fleet.listActiveOwners()).toEqual([owner]);
    fleet.heal(other);
    await fleet.passTime(1_500);
    expect(await fleet.write(other)).toMatchObject({type: 'done'});
  });
});

describe('the last data centre with hosts', () => {
  it('takes a group over once its record is abandoned', async () => {
    const {dataCentre} = fleet.get(owner);
    const left = [...fleet.hosts.values()].filter(
      host => host.dataCentre !== dataCentre,
    );
    const last = left[0]!.dataCentre;
    [...fleet.hosts.values()]
      .filter(host => host.dataCentre !== last)
      .forEach(({name}) => fleet.kill(name));
    await fleet.passTime(18_000);
    expect(fleet.listActiveOwners()).toHaveLength(1);
    const [name] = fleet.listActiveOwners();
    expect(await fleet.write(name!)).toMatchObject({type: 'done'});
  });
});
