/** Claims that are sent while an earlier one reads its record, virtual time. */

import {beforeEach, describe, expect} from 'vitest';
import {knownRed} from '../../../../fakes/src/__tests__/known_red.js';
import {createFleet} from '../fake_fleet.js';
import type {Fleet} from '../fake_fleet.js';

const CENTRES = ['lima-a', 'lima-b', 'lima-c'];

let fleet: Fleet;
let claimant: string;

function readOwner(): string {
  return fleet.store.record!.ownership.owner.host;
}

/** Advances time and returns the largest number of owners that act at once. */
async function countOwners(ms: number): Promise<number> {
  let most = 0;
  for (let passed = 0; passed < ms; passed += 5) {
    await fleet.passTime(5);
    most = Math.max(most, fleet.listActiveOwners().length);
  }
  return most;
}

/** Lists the results of the claims that the claimant has finished. */
function listOutcomes(): readonly unknown[] {
  return fleet
    .get(claimant)
    .logs.filter(({event}) => event === 'ownership_claimed')
    .map(({fields}) => fields['outcome']);
}

/** Lets the claimant read its record slowly, and learn it from a watch. */
async function beginReread(delayMs: number): Promise<void> {
  await countOwners(850);
  fleet.disturbStore(claimant, {delayMs, failMs: 5_000});
  await countOwners(60);
  fleet.get(claimant).host.updateOwnerships([fleet.store.record!], false);
}

beforeEach(async () => {
  fleet = createFleet(CENTRES, 2);
  await fleet.passTime(4_000);
  const owner = readOwner();
  claimant = fleet.store.record!.ownership.deputies[0]!.host;
  fleet.disturbStore(claimant, {lostShare: 1});
  fleet.kill(owner);
  while (readOwner() !== claimant) {
    await fleet.passTime(5);
  }
});

describe('a host whose next claim is sent before it has read its record', () => {
  knownRed('counts no lease from the next claim', async () => {
    await beginReread(300);
    fleet.disturbStore(claimant, {delayMs: 60_000, failMs: 60_000});
    fleet.store.isWatchSilent = true;
    for (const name of fleet.hosts.keys()) {
      if (name !== claimant) {
        fleet.cutPair(claimant, name);
      }
    }
    expect(await countOwners(5_000)).toBe(1);
  });

  knownRed('goes on if the next claim is refused meanwhile', async () => {
    await beginReread(650);
    fleet.disturbStore(claimant, {delayMs: 1});
    fleet.store.refusedHosts.add(claimant);
    await countOwners(200);
    fleet.store.refusedHosts.delete(claimant);
    await countOwners(3_000);
    expect(listOutcomes()).toContain('unknown');
  });
});
