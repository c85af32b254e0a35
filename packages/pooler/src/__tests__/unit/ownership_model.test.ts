/**
 * Random faults of hosts, links and the store against the rules of ownership:
 * never two owners that act, no write twice, "not run" is true, a promoted
 * endpoint has each acknowledged commit, fencing tokens never fall, and an owner
 * again once the faults are over. The store may be restored from an older copy
 * at any moment. More runs: `OWNERSHIP_RUNS=10000`.
 */

import fc from 'fast-check';
import {expect, it} from 'vitest';
import {createFleet, DATABASE} from '../fake_fleet.js';
import type {Fleet, StoreFault} from '../fake_fleet.js';
import type {FakeEndpoint} from '../fake_group.js';

const CENTRES = ['lima-a', 'lima-b', 'lima-c'];
const SEED = 20261205;
const RUNS = Number(process.env['OWNERSHIP_RUNS'] ?? 80);
const STEPS = 25;
const CHANGE_STEPS = 10;
const CLOCK_STEP_MS = 2_400;
/** Callers below it belong to `fleet.write`. */
const FIRST_CALLER = 1_000;
/** Time after the last fault in which the group has an owner again, in ms. */
const RECOVERY_MS = 18_000;
/**
 * The same after the store was restored, in ms: the record may be claimed only
 * 15 s after a host saw the new era, and once more if a late claim of the
 * earlier era is done meanwhile.
 */
const RESTORED_RECOVERY_MS = 34_000;

interface Step {
  readonly fault: keyof typeof FAULTS;
  readonly host: number;
  readonly waitMs: number;
}

type ApplyFault = (fleet: Fleet, name: string) => void;

function restart(fleet: Fleet, name: string): void {
  if (!fleet.get(name).isUp) {
    fleet.start(name);
  }
}

/** Returns the owner that acts now, or else `name`. */
function findOwner(fleet: Fleet, name: string): string {
  return fleet.listActiveOwners()[0] ?? name;
}

/** Kills a host and starts it again before its promises are over. */
function bounce(fleet: Fleet, name: string): void {
  FAULTS.kill(fleet, name);
  fleet.start(name);
}

function findPrimary({group}: Fleet): FakeEndpoint {
  return [...group.endpoints.values()]
    .filter(({role}) => role === 'primary')
    .reduce((best, other) => (other.term > best.term ? other : best));
}

/** Picks one of the replicas that run, by the name of a host. */
function findReplica(fleet: Fleet, name: string): FakeEndpoint | undefined {
  const replicas = [...fleet.group.endpoints.values()].filter(
    ({role, isUnresponsive}) => role === 'replica' && !isUnresponsive,
  );
  return replicas[[...fleet.hosts.keys()].indexOf(name) % replicas.length];
}

/** Crashes an endpoint; its entry expires while it is down. */
function crash(fleet: Fleet, endpoint: FakeEndpoint | undefined): void {
  const down = [...fleet.group.endpoints.values()].filter(
    ({isUnresponsive}) => isUnresponsive,
  );
  // Two of three may be down: one that is back later has all commits.
  if (endpoint !== undefined && down.length < 2) {
    endpoint.isUnresponsive = true;
    endpoint.reset();
  }
}

function expireEntries(fleet: Fleet): void {
  for (const [id, {isUnresponsive}] of fleet.group.endpoints) {
    if (isUnresponsive) {
      fleet.store.unlisted.add(id);
    }
  }
}

/** Starts crashed endpoints again; each still has its log. */
function startEndpoints(fleet: Fleet): void {
  for (const [id, endpoint] of fleet.group.endpoints) {
    endpoint.isUnresponsive = false;
    endpoint.isDeaf = false;
    fleet.store.unlisted.delete(id);
  }
  fleet.group.catchUp();
}

function listDeputies(fleet: Fleet): readonly string[] {
  const deputies = fleet.store.record?.ownership.deputies ?? [];
  return deputies.map(({host}) => host);
}

/** Lets the store execute the calls of a host 1 to 6 s after they failed. */
function delayWrites(fleet: Fleet, name: string): void {
  const number = [...fleet.hosts.keys()].indexOf(name) + 1;
  fleet.disturbStore(name, {delayMs: number * 1_000, failMs: 300});
}

const FAULTS = {
  kill: (fleet, name) => {
    if (fleet.get(name).isUp) {
      fleet.kill(name);
    }
  },
  killOwner: (fleet, name) => FAULTS.kill(fleet, findOwner(fleet, name)),
  restart,
  bounce,
  bounceOwner: (fleet, name) => bounce(fleet, findOwner(fleet, name)),
  bounceDeputies: fleet =>
    listDeputies(fleet).forEach(name => bounce(fleet, name)),
  cutOwner: (fleet, name) => fleet.cut(findOwner(fleet, name)),
  /** Cuts off the host that the record names, active or not. */
  cutNamedOwner: (fleet, name) =>
    fleet.cut(fleet.store.record?.ownership.owner.host ?? name),
  cutFromOwner: (fleet, name) => fleet.cutPair(findOwner(fleet, name), name),
  cut: (fleet, name) => fleet.cut(name),
  cutCentre: (fleet, name) => fleet.cutCentre(fleet.get(name).dataCentre),
  heal: (fleet, name) => fleet.heal(name),
  pause: (fleet, name) => fleet.pause(name),
  pauseOwner: (fleet, name) => fleet.pause(findOwner(fleet, name)),
  resume: (fleet, name) => fleet.resume(name),
  crashPrimary: fleet => crash(fleet, findPrimary(fleet)),
  crashReplica: (fleet, name) => crash(fleet, findReplica(fleet, name)),
  deafReplica: (fleet, name) => {
    const replica = findReplica(fleet, name);
    if (replica !== undefined) {
      replica.isDeaf = true;
    }
  },
  expireEntries,
  losePrimary: fleet => {
    crash(fleet, findPrimary(fleet));
    expireEntries(fleet);
  },
  startEndpoints,
  powerCycle: fleet =>
    [...fleet.hosts.keys()].forEach(name => bounce(fleet, name)),
  storeDown: fleet => {
    fleet.store.isDown = true;
  },
  storeUp: fleet => {
    fleet.store.isDown = false;
  },
  refuse: (fleet, name) => fleet.store.refusedHosts.add(name),
  accept: (fleet, name) => fleet.store.refusedHosts.delete(name),
  loseAnswers: (fleet, name) =>
    fleet.disturbStore(name, {lostShare: 1, failMs: 5}),
  loseOwnerAnswers: (fleet, name) =>
    fleet.disturbStore(findOwner(fleet, name), {lostShare: 1}),
  loseDeputyAnswers: fleet =>
    listDeputies(fleet).forEach(name =>
      fleet.disturbStore(name, {lostShare: 1, failMs: 5}),
    ),
  loseSomeAnswers: fleet =>
    [...fleet.hosts.keys()].forEach(name =>
      fleet.disturbStore(name, {lostShare: 0.35, failMs: 300}),
    ),
  slowStore: fleet =>
    [...fleet.hosts.keys()].forEach(name =>
      fleet.disturbStore(name, {delayMs: 240}),
    ),
  lateWrites: (fleet, name) => delayWrites(fleet, name),
  lateOwnerWrites: (fleet, name) => delayWrites(fleet, findOwner(fleet, name)),
  lateDeputyWrites: fleet =>
    listDeputies(fleet).forEach(name => delayWrites(fleet, name)),
  answerAgain: (fleet, name) => fleet.store.faults.delete(name),
  answerAll: fleet => fleet.store.faults.clear(),
  rollBack1: fleet => fleet.rollBack(1),
  rollBack2: fleet => fleet.rollBack(2),
  rollBack5: fleet => fleet.rollBack(5),
  rollBackOwner: fleet => fleet.rollBack(fleet.countChangesByOwner()),
  /** Nobody but the owner, which is cut off, knows who it is. */
  forgetOwner: (fleet, name) => {
    const owner = findOwner(fleet, name);
    fleet.rollBack(fleet.countChangesByOwner());
    fleet.cut(owner);
    [...fleet.hosts.keys()]
      .filter(other => other !== owner)
      .forEach(other => bounce(fleet, other));
  },
  rollBackAll: fleet => fleet.rollBack(Infinity),
  stepForward: (fleet, name) => {
    fleet.get(name).wallStepMs += CLOCK_STEP_MS;
  },
  stepBack: (fleet, name) => {
    fleet.get(name).wallStepMs -= CLOCK_STEP_MS;
  },
} as const satisfies Record<string, ApplyFault>;

/** Advances time and checks that no two hosts act as the owner. */
async function passTime(fleet: Fleet, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 10) {
    await fleet.passTime(10);
    expect(fleet.listActiveOwners().length).toBeLessThanOrEqual(1);
  }
}

function endFaults(fleet: Fleet): void {
  startEndpoints(fleet);
  fleet.store.isDown = false;
  fleet.store.refusedHosts.clear();
  fleet.store.faults.clear();
  for (const name of fleet.hosts.keys()) {
    fleet.heal(name);
    fleet.resume(name);
    restart(fleet, name);
  }
}

/** Sends a write through a host; the result is checked at the end. */
function startWrite(fleet: Fleet, name: string, caller: number): void {
  const {host, isUp} = fleet.get(name);
  if (isUp && host.entry.open(caller, DATABASE) === 'opened') {
    const text = `PUT ${caller}`;
    host.entry.serve(caller, text, {type: 'run', access: 'write', text});
  }
}

/** Checks that each answer says how often its write ran. */
function checkAnswers(fleet: Fleet): void {
  const counts = new Map<string, number>();
  for (const {text} of fleet.group.ran) {
    counts.set(text, (counts.get(text) ?? 0) + 1);
  }
  for (const count of counts.values()) {
    expect(count).toBe(1);
  }
  for (const {replies} of fleet.hosts.values()) {
    for (const {caller, reply} of replies) {
      const count = counts.get(`PUT ${caller}`) ?? 0;
      if (reply.type === 'done') {
        expect(count).toBe(1);
      } else if (reply.fault !== 'unknown') {
        expect(count).toBe(0);
      }
    }
  }
}

function createStep(
  faults: readonly Step['fault'][],
  waitsMs: readonly number[],
): fc.Arbitrary<Step> {
  return fc.record<Step>({
    fault: fc.constantFrom(...faults),
    host: fc.nat(5),
    waitMs: fc.constantFrom(...waitsMs),
  });
}

/** All faults, in any order. */
const ANY_STEP = createStep(
  Object.keys(FAULTS) as Step['fault'][],
  [10, 50, 200, 600, 1_300, 1_700],
);

/** Restorations close to changes of owner, and writes that are done late. */
const RESTORE_STEP = createStep(
  [
    'rollBack1',
    'rollBack2',
    'rollBack5',
    'rollBackAll',
    'rollBackOwner',
    'forgetOwner',
    'killOwner',
    'bounceOwner',
    'cutOwner',
    'cutNamedOwner',
    'pauseOwner',
    'bounceDeputies',
    'powerCycle',
    'restart',
    'heal',
    'resume',
    'lateOwnerWrites',
    'lateDeputyWrites',
    'loseAnswers',
    'answerAll',
    'storeDown',
    'storeUp',
    'losePrimary',
    'startEndpoints',
  ],
  [10, 50, 300, 1_300, 3_000, 8_000],
);

/** Changes of primary and of owner close to each other. */
const CHANGE_STEP = createStep(
  ['crashReplica', 'deafReplica', 'losePrimary', 'powerCycle'],
  [50, 300, 1_000, 2_000],
);

/** How the first deputy takes the group of a lost owner over. */
interface Takeover {
  readonly fault: Partial<StoreFault>;
  readonly faultMs: number;
  /** Time after the fault until it is cut off, in ms. */
  readonly cutAfterMs: number;
  readonly cut: 'cut' | 'refuse' | 'loseAnswers' | 'lateWrites';
}

const TAKEOVER = fc.record<Takeover>({
  fault: fc.record({
    lostShare: fc.constantFrom(0, 0.35, 1),
    delayMs: fc.constantFrom(4, 240, 1_000, 1_600, 3_000, 6_000),
    failMs: fc.constantFrom(5, 300, 900),
  }),
  faultMs: fc.integer({min: 1_000, max: 4_500}),
  cutAfterMs: fc.integer({min: 0, max: 600}),
  cut: fc.constantFrom('cut', 'refuse', 'loseAnswers', 'lateWrites'),
});

/** Returns the newest commit that a caller was told of, by its index. */
function findAckedIndex(fleet: Fleet): number {
  const replies = [...fleet.hosts.values()].flatMap(({replies}) => replies);
  const indexes = replies.map(({reply}) =>
    reply.type === 'done' ? (reply.position?.index ?? 0) : 0,
  );
  return Math.max(0, ...indexes);
}

/** An endpoint that became the primary, and when. */
interface Effect {
  readonly endpoint: string;
  readonly at: number;
}

/** Checks each promotion when it takes effect; returns them in order. */
function watchPromotions(fleet: Fleet): readonly Effect[] {
  const effects: Effect[] = [];
  fleet.group.onPromoted = ({entry, received}) => {
    expect(received).toBeGreaterThanOrEqual(findAckedIndex(fleet));
    effects.push({endpoint: entry.id, at: fleet.runtime.now()});
  };
  return effects;
}

/** Checks that tokens never fall as received, and that each has one holder. */
function checkTokens({receivedCalls}: Fleet): void {
  const tokens = receivedCalls.map(({generation}) => generation);
  expect(tokens).toEqual([...tokens].sort((a, b) => a - b));
  for (const {host, generation} of receivedCalls) {
    const holders = receivedCalls
      .filter(call => call.generation === generation)
      .map(call => call.host);
    expect(new Set(holders)).toEqual(new Set([host]));
  }
}

/** Checks that no replaced primary has acknowledged a commit. */
function checkCommits(fleet: Fleet, effects: readonly Effect[]): void {
  const acked = new Set(
    [...fleet.hosts.values()].flatMap(({replies}) =>
      replies
        .filter(({reply}) => reply.type === 'done')
        .map(({caller}) => `PUT ${caller}`),
    ),
  );
  for (const {at, endpoint, text} of fleet.group.ran) {
    const newest = effects.filter(effect => effect.at <= at).at(-1);
    if (acked.has(text) && newest !== undefined) {
      expect(endpoint).toBe(newest.endpoint);
    }
  }
}

async function play(steps: readonly Step[]): Promise<void> {
  const fleet = createFleet(CENTRES, 2);
  const names = [...fleet.hosts.keys()];
  const effects = watchPromotions(fleet);
  await passTime(fleet, 3_000);
  for (const [index, {fault, host, waitMs}] of steps.entries()) {
    FAULTS[fault](fleet, names[host]!);
    names.forEach((name, at) =>
      startWrite(fleet, name, FIRST_CALLER + index * names.length + at),
    );
    await passTime(fleet, waitMs);
  }
  endFaults(fleet);
  await passTime(
    fleet,
    fleet.store.era === 0 ? RECOVERY_MS : RESTORED_RECOVERY_MS,
  );
  expect(fleet.listActiveOwners()).toHaveLength(1);
  expect(await fleet.write(names[0]!)).toMatchObject({type: 'done'});
  checkAnswers(fleet);
  checkTokens(fleet);
  checkCommits(fleet, effects);
}

async function check(
  step: fc.Arbitrary<Step>,
  maxLength: number,
): Promise<void> {
  await fc.assert(
    fc.asyncProperty(fc.array(step, {minLength: 3, maxLength}), play),
    {seed: SEED, numRuns: RUNS, endOnFailure: process.env['CI'] === 'true'},
  );
}

it('keeps the rules of ownership under random faults', async () => {
  await check(ANY_STEP, STEPS);
}, 600_000);

// Before the era was known, an owner never renewed its record again, and former
// owners followed the copy.
it('keeps one owner while the store is restored from older copies', async () => {
  await check(RESTORE_STEP, STEPS);
}, 600_000);

// A list of all faults, in any order, hardly ever holds the few that lost
// acknowledged commits in review case 1.
it('loses no commit when primary and owner change together', async () => {
  await check(CHANGE_STEP, CHANGE_STEPS);
}, 600_000);

async function playTakeover(takeover: Takeover): Promise<void> {
  const {fault, faultMs, cutAfterMs, cut} = takeover;
  const fleet = createFleet(CENTRES, 2);
  await passTime(fleet, 4_000);
  const [claimant] = listDeputies(fleet);
  fleet.disturbStore(claimant!, fault);
  FAULTS.killOwner(fleet, claimant!);
  await passTime(fleet, faultMs);
  fleet.store.faults.clear();
  await passTime(fleet, cutAfterMs);
  FAULTS[cut](fleet, claimant!);
  await passTime(fleet, 3_000);
  endFaults(fleet);
  await passTime(fleet, 3_000);
  expect(fleet.listActiveOwners()).toHaveLength(1);
}

// A lease was counted from a claim that had only found the record of an
// earlier one (ONE).
it('keeps one owner while the store loses or delays the answers to claims', async () => {
  await fc.assert(fc.asyncProperty(TAKEOVER, playTakeover), {
    seed: SEED,
    numRuns: RUNS,
    endOnFailure: process.env['CI'] === 'true',
  });
}, 600_000);
