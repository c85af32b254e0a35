/**
 * Promotions that an owner requests while it cannot write the record of its
 * group. Guards against a next owner that uses the old primary: the commits that
 * this acknowledges are lost once the old primary hears of the promoted one.
 */

import {beforeEach, describe, expect, it} from 'vitest';
import {createFleet} from '../fake_fleet.js';
import type {Fleet} from '../fake_fleet.js';

const CENTRES = ['lima-a', 'lima-b', 'lima-c'];
const [OLD, PROMOTED, OTHER] = ['ledger-1', 'ledger-2', 'ledger-3'] as const;
/** Time in which a primary is lost, replaced and adopted with the store up. */
const MAX_PRIMARY_GAP_MS = 2_000;
/** Time for which clients write after the owner has changed, in ms. */
const WRITE_MS = 6_000;

let fleet: Fleet;
let owner: string;

function listHosts(): readonly string[] {
  return [...fleet.hosts.keys()];
}

function listDeputies(): readonly string[] {
  return fleet.store.record!.ownership.deputies.map(({host}) => host);
}

/** Cuts the endpoints off from the promoted one, and hosts from an endpoint. */
function hide(endpoint: string, hosts: readonly string[]): void {
  hosts.forEach(host => fleet.cutPair(host, endpoint));
}

function separateEndpoints(): void {
  for (const id of [OLD, OTHER]) {
    fleet.group.get(id).unheard.add(PROMOTED);
    fleet.group.get(PROMOTED).unheard.add(id);
  }
}

/** Makes one endpoint unreachable for one host at once. */
function breakConns(host: string, endpoint: string): void {
  fleet.group.get(endpoint).reset();
  hide(endpoint, [host]);
}

async function waitForPromotion(ms: number): Promise<boolean> {
  const end = fleet.runtime.now() + ms;
  while (fleet.group.promotions.length === 0 && fleet.runtime.now() < end) {
    await fleet.passTime(2);
  }
  return fleet.group.promotions.length > 0;
}

/** Writes through a host for a while; returns the time without a write. */
async function writeFor(ms: number, name: string): Promise<number> {
  let longestMs = 0;
  let servedAt = fleet.runtime.now();
  for (const end = servedAt + ms; fleet.runtime.now() < end;) {
    const reply = await fleet.write(name);
    const now = fleet.runtime.now();
    longestMs = Math.max(longestMs, now - servedAt);
    servedAt = reply?.type === 'done' ? now : servedAt;
    await fleet.passTime(20);
  }
  return longestMs;
}

/** Checks that no statement ran at the old primary once it was replaced. */
function checkOldPrimaryUnused(promotedAt: number): void {
  const stale = fleet.group.ran.filter(
    ({at, endpoint, term}) => at > promotedAt && endpoint === OLD && term === 1,
  );
  expect(stale).toEqual([]);
}

/** Plays an owner that is cut off from the primary, and gone right after it
 * has requested a promotion that nobody else sees. */
async function promoteUnseen(): Promise<number> {
  let promotedAt = Infinity;
  fleet.group.onPromoted = () => {
    promotedAt = fleet.runtime.now();
  };
  separateEndpoints();
  hide(
    PROMOTED,
    listHosts().filter(name => name !== owner),
  );
  breakConns(owner, OLD);
  expect(await waitForPromotion(3_000)).toBe(true);
  await fleet.passTime(fleet.group.promotionMs - 20);
  fleet.kill(owner);
  await fleet.passTime(40);
  expect(promotedAt).toBeLessThan(Infinity);
  return promotedAt;
}

beforeEach(async () => {
  fleet = createFleet(CENTRES, 2);
  await fleet.passTime(4_000);
  owner = fleet.store.record!.ownership.owner.host;
});

describe('an owner that is cut off with its data centre and a replica', () => {
  it.each([0, 400, 800, 1_200, 2_000])(
    'loses no acknowledged write, cut %i ms after a renewal',
    async ms => {
      const {revision} = fleet.store.record!;
      while (fleet.store.record!.revision === revision) {
        await fleet.passTime(2);
      }
      await fleet.passTime(ms);
      fleet.refusesCutConns = true;
      const {dataCentre} = fleet.get(owner);
      const isInside = (name: string): boolean =>
        fleet.get(name).dataCentre === dataCentre;
      const outside = listHosts().filter(name => !isInside(name));
      fleet.group.get(OLD).reset();
      fleet.group.get(OTHER).reset();
      hide(PROMOTED, outside);
      hide(OLD, listHosts().filter(isInside));
      hide(OTHER, listHosts().filter(isInside));
      separateEndpoints();
      fleet.cutCentre(dataCentre);
      let promotedAt = Infinity;
      fleet.group.onPromoted = () => {
        promotedAt = fleet.runtime.now();
      };
      // The next owner starts after 0.9 to 2.4 s.
      expect(await writeFor(5_500, outside[0]!)).toBeLessThan(3_000);
      checkOldPrimaryUnused(promotedAt);
    },
  );
});

describe('an owner that cannot write its record', () => {
  beforeEach(() => {
    fleet.store.isDown = true;
  });

  it('replaces a primary that is lost', async () => {
    await fleet.passTime(1_000);
    fleet.group.get(OLD).isUnresponsive = true;
    fleet.group.get(OLD).reset();
    expect(await writeFor(4_000, listDeputies()[0]!)).toBeLessThan(
      MAX_PRIMARY_GAP_MS,
    );
    expect(fleet.group.promotions).toHaveLength(1);
  });

  it('tells the next owner through its deputies', async () => {
    const name = listDeputies()[0]!;
    const promotedAt = await promoteUnseen();
    fleet.store.isDown = false;
    await writeFor(WRITE_MS, name);
    checkOldPrimaryUnused(promotedAt);
    expect(await fleet.write(name)).toMatchObject({type: 'done'});
  });

  it('tells its own next run through its deputies', async () => {
    const name = listDeputies()[0]!;
    const promotedAt = await promoteUnseen();
    fleet.store.isDown = false;
    fleet.heal(owner);
    hide(PROMOTED, [owner]);
    fleet.start(owner);
    await writeFor(WRITE_MS, name);
    checkOldPrimaryUnused(promotedAt);
    expect(await fleet.write(name)).toMatchObject({type: 'done'});
  });

  it.each([300, 1_500])(
    'is followed by one that asks the platform if all restart and claim %i ms later',
    async ms => {
      const name = listDeputies()[0]!;
      const promotedAt = await promoteUnseen();
      listHosts().forEach(fleet.kill);
      fleet.heal(owner);
      hide(PROMOTED, [owner]);
      await fleet.passTime(300);
      fleet.store.isDown = false;
      listHosts().forEach(fleet.start);
      fleet.store.isDown = true;
      await fleet.passTime(ms);
      fleet.store.isDown = false;
      await writeFor(WRITE_MS, name);
      checkOldPrimaryUnused(promotedAt);
      expect(await fleet.write(name)).toMatchObject({type: 'done'});
    },
  );

  // The deputies were told that nothing was requested any more.
  it('tells the next owner of a primary that it has used', async () => {
    const name = listDeputies()[0]!;
    separateEndpoints();
    hide(
      PROMOTED,
      listHosts().filter(host => host !== owner),
    );
    breakConns(owner, OLD);
    expect(await waitForPromotion(3_000)).toBe(true);
    await fleet.passTime(fleet.group.promotionMs + 1_000);
    const promotedAt = fleet.runtime.now();
    fleet.kill(owner);
    fleet.store.isDown = false;
    await writeFor(WRITE_MS, name);
    checkOldPrimaryUnused(promotedAt);
    // Commits may be acknowledged there: nothing else can lead before it is seen.
    listHosts().forEach(fleet.heal);
    fleet.group.catchUp();
    await writeFor(WRITE_MS, name);
    expect(await fleet.write(name)).toMatchObject({type: 'done'});
  });

  it('requests no promotion while it reaches no deputy either', async () => {
    listDeputies().forEach(name => fleet.cutPair(owner, name));
    breakConns(owner, OLD);
    expect(await waitForPromotion(3_000)).toBe(false);
  });
});

describe('a promotion that took effect and was never seen', () => {
  // The record named it for 2.5 s only.
  it.each([0, 3_000])(
    'is known to an owner that takes over %i ms later',
    async ms => {
      const name = listDeputies()[0]!;
      let promotedAt = Infinity;
      fleet.group.onPromoted = () => {
        promotedAt = fleet.runtime.now();
      };
      separateEndpoints();
      hide(
        PROMOTED,
        listHosts().filter(host => host !== owner),
      );
      breakConns(owner, OLD);
      expect(await waitForPromotion(3_000)).toBe(true);
      breakConns(owner, PROMOTED);
      breakConns(owner, OTHER);
      await fleet.passTime(fleet.group.promotionMs + ms);
      expect(promotedAt).toBeLessThan(Infinity);
      fleet.kill(owner);
      await writeFor(WRITE_MS, name);
      checkOldPrimaryUnused(promotedAt);
      expect(await fleet.write(name)).toMatchObject({type: 'done'});
    },
  );

  it('is known to an owner that finds the old primary late', async () => {
    const name = listDeputies()[0]!;
    const promotedAt = await promoteUnseen();
    const others = listHosts().filter(host => host !== owner);
    [OLD, OTHER].forEach(id => {
      fleet.group.get(id).reset();
      hide(id, others);
    });
    await fleet.passTime(6_000);
    others.forEach(fleet.heal);
    hide(PROMOTED, others);
    await writeFor(WRITE_MS, name);
    checkOldPrimaryUnused(promotedAt);
    expect(await fleet.write(name)).toMatchObject({type: 'done'});
  });
});
