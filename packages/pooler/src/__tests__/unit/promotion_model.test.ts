/**
 * Random faults around a change of primary, with commits on their way to the
 * replicas, slow promotions and calls that are lost or run late. Each promoted
 * log holds all commits that callers were told of, none is acknowledged that
 * was made at a replaced primary, and writes run again in time. More runs:
 * `PROMOTION_RUNS=2000 PROMOTION_SEED=7`.
 */

import fc from 'fast-check';
import {expect, it} from 'vitest';
import {createFleet} from '../fake_fleet.js';
import {
  breakControl,
  FAULTS,
  passTime,
  startEndpoints,
  watchRules,
} from '../promotion_world.js';
import type {Step, Watch, World} from '../promotion_world.js';

const CENTRES = ['lima-a', 'lima-b', 'lima-c'];
const SEED = Number(process.env['PROMOTION_SEED'] ?? 2);
const RUNS = Number(process.env['PROMOTION_RUNS'] ?? 3);
const STEPS = 8;
const REPLICATION_MS = 5;
const EXECUTION_MS = 1;
const SLOTS = 6;
/** Time until a replaced primary that reaches the new one steps down, in ms. */
const STEP_DOWN_MS = 1_000;
/** Time after the last fault in which writes run again, in ms. */
const RECOVERY_MS = 18_000;
/** Acknowledged writes from which they count as running again. */
const ENOUGH_WRITES = 20;
/** Longest time without writes after the loss of a primary, in ms. */
const MAX_PAUSE_MS = 6_000;
const CRASH: Step = {fault: 'crashPrimary', target: 0, waitMs: 0};

let longestMs = 0;

/** Starts a fleet whose hosts write, and plays some steps. */
async function start(
  steps: readonly Step[],
): Promise<{world: World; watch: Watch}> {
  const fleet = createFleet(CENTRES, 2);
  const {group} = fleet;
  const world: World = {fleet, control: 'well'};
  group.replicationMs = REPLICATION_MS;
  for (const endpoint of group.endpoints.values()) {
    endpoint.executionMs = EXECUTION_MS;
    endpoint.entry = {...endpoint.entry, slots: SLOTS};
  }
  group.stepDownMs = STEP_DOWN_MS;
  breakControl(world);
  const watch = watchRules(world);
  await passTime(fleet, watch, 3_000);
  for (const {fault, target, waitMs} of steps) {
    FAULTS[fault](world, target);
    await passTime(fleet, watch, waitMs);
  }
  return {world, watch};
}

function endFaults(world: World): void {
  const {fleet} = world;
  world.control = 'well';
  FAULTS.stay(world);
  startEndpoints(world);
  FAULTS.hear(world);
  [...fleet.hosts.keys()].forEach(name => {
    fleet.heal(name);
    fleet.resume(name);
  });
}

/** Waits until writes run again; returns after how long, in ms. */
async function waitForWrites(
  {fleet}: World,
  watch: Watch,
  limitMs: number,
): Promise<number> {
  const since = fleet.runtime.now();
  const before = watch.ackedAt.size;
  while (watch.ackedAt.size < before + ENOUGH_WRITES) {
    expect(fleet.runtime.now() - since).toBeLessThan(limitMs);
    await passTime(fleet, watch, 100);
  }
  return fleet.runtime.now() - since;
}

async function play(steps: readonly Step[]): Promise<void> {
  const {world, watch} = await start(steps);
  endFaults(world);
  await waitForWrites(world, watch, RECOVERY_MS);
}

/** A primary is lost for good, after some faults that have ended. */
interface Loss {
  readonly before: readonly Step[];
  readonly calmMs: number;
  /** What happens to the hosts right before the loss. */
  readonly first: Step;
  /** What happens to them after it. */
  readonly last: Step;
}

async function losePrimary({before, calmMs, first, last}: Loss): Promise<void> {
  const {world, watch} = await start(before);
  endFaults(world);
  await passTime(world.fleet, watch, calmMs);
  for (const {fault, target, waitMs} of [first, CRASH, last]) {
    FAULTS[fault](world, target);
    await passTime(world.fleet, watch, waitMs);
  }
  const tookMs = await waitForWrites(world, watch, MAX_PAUSE_MS);
  longestMs = Math.max(longestMs, tookMs);
}

function createStep(
  faults: readonly Step['fault'][],
  waitsMs: readonly number[],
): fc.Arbitrary<Step> {
  return fc.record<Step>({
    fault: fc.constantFrom(...faults),
    target: fc.nat(5),
    waitMs: fc.constantFrom(...waitsMs),
  });
}

const ANY_STEP = createStep(
  Object.keys(FAULTS) as Step['fault'][],
  [40, 300, 700, 1_300, 2_800],
);

/** Calls that are lost or run late while the primary is away for a moment. */
const CALL_STEP = createStep(
  [
    'crashPrimary',
    'startEndpoints',
    'loseAnswers',
    'delayCalls',
    'refuseCalls',
    'deafReplica',
    'bounceOwner',
  ],
  [40, 300, 700],
);

/** Owners that see, and endpoints that hear, only some of the others. */
const CUT_STEP = createStep(
  [
    'unhear',
    'deafReplica',
    'cutFromPrimary',
    'healHost',
    'pauseOwner',
    'bounceOwner',
    'handOver',
    'leave',
    'stay',
  ],
  [40, 300, 700, 1_300],
);

const HOST_STEP = createStep(
  ['powerCycle', 'bounceOwner', 'handOver', 'pauseOwner', 'stay'],
  [0, 300, 1_000],
);

async function checkSteps(step: fc.Arbitrary<Step>): Promise<void> {
  await fc.assert(
    fc.asyncProperty(fc.array(step, {minLength: 3, maxLength: STEPS}), play),
    {seed: SEED, numRuns: RUNS, endOnFailure: process.env['CI'] === 'true'},
  );
}

it('keeps what was acknowledged under random faults', async () => {
  await checkSteps(ANY_STEP);
}, 3_600_000);

it('keeps what was acknowledged when calls are lost or late', async () => {
  await checkSteps(CALL_STEP);
}, 3_600_000);

it('keeps what was acknowledged when links are cut', async () => {
  await checkSteps(CUT_STEP);
}, 3_600_000);

it('replaces a primary that is lost for good in time', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.record<Loss>({
        before: fc.array(ANY_STEP, {maxLength: 5}),
        calmMs: fc.constantFrom(1_500, 3_000, 8_000),
        first: HOST_STEP,
        last: HOST_STEP,
      }),
      losePrimary,
    ),
    {seed: SEED, numRuns: RUNS, endOnFailure: process.env['CI'] === 'true'},
  );
  if (process.env['PROMOTION_RUNS'] !== undefined) {
    process.stderr.write(`longest pause: ${longestMs} ms\n`);
  }
}, 3_600_000);

it('replaces a primary right after the return of the one before', () =>
  losePrimary({
    before: [{fault: 'crashPrimary', target: 0, waitMs: 1_300}],
    calmMs: 300,
    first: {fault: 'powerCycle', target: 0, waitMs: 0},
    last: {fault: 'powerCycle', target: 0, waitMs: 0},
  }));
