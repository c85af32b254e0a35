/** Rules for a store that is restored from an older copy, and single cases. */

import {beforeEach, describe, expect, it} from 'vitest';
import {
  computeCopyClaimTime,
  getMissingRevision,
  isCopy,
  isMissing,
  isWrittenIn,
  joinRevision,
  mergeRecords,
  readEra,
  readStoreRevision,
} from '../../decisions/store_era.js';
import type {Ownership, StoredOwnership} from '../../model/ownership.js';
import {createFleet} from '../fake_fleet.js';
import type {Fleet} from '../fake_fleet.js';

const CENTRES = ['lima-a', 'lima-b', 'lima-c'];

function createRecord(
  revision: number,
  part: Partial<Ownership> = {},
): StoredOwnership {
  const ownership: Ownership = {
    group: 'ledger',
    owner: {host: 'a', address: 'a:1'},
    incarnation: 'a.1',
    generation: 11,
    deputies: [],
    renewals: 3,
    lineage: null,
    ...part,
  };
  return {ownership, revision};
}

describe('a revision', () => {
  it('rises with the era, whatever the store counts', () => {
    const revision = joinRevision(3, 70);
    expect(revision).toBeGreaterThan(joinRevision(2, 2 ** 42 - 1));
    expect(readEra(revision)).toBe(3);
    expect(readStoreRevision(revision)).toBe(70);
    expect(joinRevision(0, 70)).toBe(70);
    expect(Number.isSafeInteger(joinRevision(2 ** 10, 70))).toBe(true);
  });
});

describe('a record', () => {
  it('of an earlier version counts as written in era 0', () => {
    expect(isWrittenIn(createRecord(5), 0)).toBe(true);
    expect(isCopy(createRecord(joinRevision(1, 5)))).toBe(true);
  });

  it('is a copy until it is written in the era in which it is read', () => {
    const revision = joinRevision(2, 5);
    expect(isCopy(createRecord(revision, {era: 1}))).toBe(true);
    expect(isWrittenIn(createRecord(revision, {era: 2}), 2)).toBe(true);
    expect(isWrittenIn(createRecord(revision, {era: 2}), 3)).toBe(false);
  });

  it('that is a copy leaves the known owner, and gives its revision', () => {
    const known = createRecord(90, {generation: 12, incarnation: 'b.1'});
    const copy = createRecord(joinRevision(1, 70));
    expect(mergeRecords(known, copy)).toEqual({
      ownership: known.ownership,
      revision: copy.revision,
    });
  });

  // The lineage of the copy may lack runs that the known one has.
  it('that is a copy of an earlier renewal leaves the known lineage', () => {
    const lineage = {members: [], term: 4, promoting: []};
    const known = createRecord(90, {renewals: 5, lineage});
    const copy = createRecord(joinRevision(1, 70));
    expect(mergeRecords(known, copy).ownership.lineage).toBe(lineage);
  });

  it('that is a copy and newer than the known one is adopted', () => {
    const copy = createRecord(joinRevision(1, 70), {generation: 12});
    expect(mergeRecords(createRecord(60), copy)).toEqual(copy);
  });

  // A claim of the earlier era is done late, over the record of its owner.
  it('that was written by a late call leaves an owner of this era', () => {
    const known = createRecord(joinRevision(1, 71), {era: 1});
    const late = createRecord(joinRevision(1, 75), {generation: 71});
    const merged = mergeRecords(known, late);
    expect(merged.ownership).toBe(known.ownership);
    expect(merged.revision).toBe(late.revision);
  });

  it('that arrives late replaces a copy, and keeps its revision', () => {
    const copy = createRecord(joinRevision(1, 70));
    const late = createRecord(90, {generation: 12});
    expect(mergeRecords(copy, late)).toEqual({
      ownership: late.ownership,
      revision: copy.revision,
    });
  });

  it('that was written in this era replaces the known one', () => {
    const known = createRecord(joinRevision(1, 70), {generation: 12});
    const written = createRecord(joinRevision(1, 71), {era: 1});
    expect(mergeRecords(known, written)).toBe(written);
    expect(mergeRecords(written, known)).toBe(written);
  });

  it('that is missing in an era comes before all records of that era', () => {
    const missing = createRecord(getMissingRevision(1));
    expect(isMissing(missing)).toBe(true);
    expect(mergeRecords(createRecord(90), missing).revision).toBe(
      missing.revision,
    );
    const written = createRecord(joinRevision(1, 1), {era: 1});
    expect(mergeRecords(written, missing)).toBe(written);
  });

  it('may be claimed 15 s after both the era and the copy were seen', () => {
    const observed = {promisedUntil: 0, rank: 0};
    const known = {era: 1, seenAt: 4_000};
    expect(computeCopyClaimTime({...observed, seenAt: 1_000}, known)).toBe(
      19_000,
    );
    expect(computeCopyClaimTime({...observed, seenAt: 9_000}, known)).toBe(
      24_000,
    );
  });
});

describe('when the store is restored', () => {
  let fleet: Fleet;
  let owner: string;

  const readOwnership = (): Ownership => fleet.store.record!.ownership;

  /** Advances time; returns the hosts that acted, and the longest gap. */
  const watchOwners = async (
    ms: number,
  ): Promise<{owners: readonly string[]; gapMs: number}> => {
    const owners = new Set<string>();
    let gapMs = 0;
    let longestMs = 0;
    for (let passed = 0; passed < ms; passed += 10) {
      await fleet.passTime(10);
      const active = fleet.listActiveOwners();
      expect(active.length).toBeLessThanOrEqual(1);
      active.forEach(name => owners.add(name));
      gapMs = active.length === 0 ? gapMs + 10 : 0;
      longestMs = Math.max(longestMs, gapMs);
    }
    return {owners: [...owners], gapMs: longestMs};
  };

  const changeOwner = async (): Promise<string> => {
    const former = owner;
    fleet.kill(former);
    await watchOwners(4_000);
    fleet.start(former);
    await watchOwners(1_000);
    owner = readOwnership().owner.host;
    expect(owner).not.toBe(former);
    return former;
  };

  beforeEach(async () => {
    fleet = createFleet(CENTRES, 2);
    await watchOwners(4_000);
    owner = readOwnership().owner.host;
  });

  it('a living owner goes on without a gap, with the same token', async () => {
    const {generation} = readOwnership();
    fleet.rollBack(1);
    expect(await watchOwners(25_000)).toEqual({owners: [owner], gapMs: 0});
    expect(readOwnership()).toMatchObject({generation, era: 1});
  });

  it('a record that the copy lacks is written again by its owner', async () => {
    const {generation} = readOwnership();
    fleet.rollBack(Infinity);
    expect(fleet.store.record).toBeNull();
    expect(await watchOwners(20_000)).toEqual({owners: [owner], gapMs: 0});
    expect(readOwnership()).toMatchObject({generation, era: 1});
  });

  it('twice, the owner goes on both times', async () => {
    const {generation} = readOwnership();
    fleet.rollBack(1);
    await watchOwners(300);
    fleet.rollBack(1);
    expect(await watchOwners(20_000)).toEqual({owners: [owner], gapMs: 0});
    expect(readOwnership()).toMatchObject({generation, era: 2});
  });

  it('a former owner that the copy names does not act', async () => {
    const former = await changeOwner();
    fleet.rollBack(1);
    while (readOwnership().owner.host === owner) {
      fleet.rollBack(1);
    }
    expect(readOwnership().owner.host).toBe(former);
    expect(await watchOwners(20_000)).toEqual({owners: [owner], gapMs: 0});
  });

  it('a restarted host that the copy names waits for the lost owner', async () => {
    const former = await changeOwner();
    const {generation} = readOwnership();
    while (readOwnership().owner.host === owner) {
      fleet.rollBack(1);
    }
    // The owner acts for as long as its lease lasts; nobody hears of it.
    fleet.cut(owner);
    const {store} = fleet;
    [...fleet.hosts.keys()]
      .filter(name => name !== owner)
      .forEach(name => {
        fleet.kill(name);
        fleet.start(name);
      });
    expect(store.record!.ownership.owner.host).toBe(former);
    expect((await watchOwners(14_000)).owners).toEqual([owner]);
    const {owners} = await watchOwners(8_000);
    expect(owners).not.toContain(owner);
    expect(owners).toHaveLength(1);
    expect(readOwnership().generation).toBeGreaterThan(generation);
  });

  it('a claim that was sent before and is done after it counts no lease', async () => {
    fleet.kill(owner);
    [...fleet.hosts.keys()].forEach(name =>
      fleet.disturbStore(name, {delayMs: 3_000, failMs: 4_000}),
    );
    await watchOwners(3_000);
    // The copy has the very revision that the claims are to replace.
    fleet.rollBack(0);
    fleet.store.faults.clear();
    expect((await watchOwners(14_000)).owners).toEqual([]);
    expect(readOwnership().owner.host).not.toBe(owner);
    expect(readOwnership().era).toBe(0);
    expect((await watchOwners(20_000)).owners).toHaveLength(1);
    expect(readOwnership().era).toBe(1);
  });

  it('an owner whose lease had expired before does not go on', async () => {
    fleet.cut(owner);
    await watchOwners(4_000);
    const next = readOwnership().owner.host;
    expect(next).not.toBe(owner);
    while (readOwnership().owner.host === next) {
      fleet.rollBack(1);
    }
    [...fleet.hosts.keys()]
      .filter(name => name !== owner)
      .forEach(name => fleet.cut(name));
    fleet.heal(owner);
    [...fleet.hosts.keys()]
      .filter(name => name !== owner)
      .forEach(name => fleet.cutPair(owner, name));
    expect((await watchOwners(10_000)).owners).not.toContain(owner);
  });

  it('a handover that is half done ends with one owner', async () => {
    void fleet.get(owner).host.handOver();
    await fleet.passTime(12);
    fleet.rollBack(1);
    await watchOwners(35_000);
    expect(fleet.listActiveOwners()).toHaveLength(1);
    expect(readOwnership().era).toBe(1);
  });
});
