/** Tests shares, buckets and loans of workspaces' limits one by one. */

import {beforeEach, describe, expect, it} from 'vitest';
import {
  chooseHomes,
  computeHomeShare,
} from '../../decisions/allowance_homes.js';
import {
  computeLoanMs,
  computeNeed,
  computeSpare,
  expectLoanMs,
  splitNeed,
} from '../../decisions/allowance_lending.js';
import {spreadReturn} from '../../decisions/allowance_wait.js';
import {
  addLoan,
  countTokens,
  createBucket,
  cutBucket,
  dropExpired,
  refill,
  takeTokens,
} from '../../decisions/token_bucket.js';
import type {PoolMessage} from '../../model/message.js';
import {
  createAllowanceWorld,
  findExcess,
  TOLERANCE,
} from '../allowance_world.js';
import type {AllowanceWorld} from '../allowance_world.js';

describe('a token bucket', () => {
  const inflow = {perMs: 0.01, capacity: 5};

  it('fills up to its capacity', () => {
    const bucket = createBucket(0);
    expect(refill(bucket, inflow, 200).level).toBeCloseTo(2);
    expect(refill(bucket, inflow, 10_000).level).toBe(5);
  });

  // An instant that goes back must not remove tokens, or mint them twice.
  it('ignores an instant before the last one', () => {
    const bucket = refill(createBucket(0), inflow, 300);
    expect(refill(bucket, inflow, 100).level).toBeCloseTo(3);
  });

  it('uses loans before its own tokens, the earliest to expire first', () => {
    const full = refill(createBucket(0), inflow, 10_000);
    const late = addLoan(full, {amount: 1, expiresAt: 900});
    const both = addLoan(late, {amount: 1, expiresAt: 500});
    const used = takeTokens(both, 1.5);
    expect(used.level).toBe(5);
    expect(used.loans).toEqual([{amount: 0.5, expiresAt: 900}]);
    expect(countTokens(dropExpired(used, 900))).toBe(5);
  });

  it('loses loans and what exceeds the new capacity when it is cut', () => {
    const full = refill(createBucket(0), inflow, 10_000);
    const lent = addLoan(full, {amount: 3, expiresAt: 99_999});
    expect(countTokens(cutBucket(lent, 2))).toBe(2);
  });
});

describe('the shares of homes', () => {
  const limit = {perSecond: 80, burst: 40};

  it('add up to the limit, within the slack', () => {
    for (const homes of [1, 6, 8]) {
      const share = computeHomeShare(limit, homes, TOLERANCE);
      expect(share.perMs * homes * 1_000).toBeCloseTo(limit.perSecond);
      const most = (share.capacity + share.initial) * homes;
      expect(most).toBeLessThanOrEqual(limit.burst + TOLERANCE.slack);
    }
  });

  // 0.4 s of the rate are lent beyond a span; more breaks the bound.
  it('leave room for the tokens that are valid beyond a span', () => {
    const {windowMs, overShare} = TOLERANCE;
    expect(computeLoanMs(TOLERANCE)).toBeLessThanOrEqual(windowMs * overShare);
    expect(computeLoanMs({...TOLERANCE, overShare: 0})).toBe(0);
  });

  it('are those of eight groups where there are more', () => {
    const groups = Array.from({length: 30}, (_, index) => `g${index}`);
    const homes = chooseHomes('w', groups);
    expect(homes).toHaveLength(8);
    expect(chooseHomes('w', [...groups].reverse())).toEqual(homes);
    expect(chooseHomes('w', ['a', 'b'])).toEqual(['a', 'b']);
  });

  it('are empty for a workspace that may run nothing', () => {
    const blocked = {perSecond: 0, burst: 0};
    expect(computeHomeShare(blocked, 6, TOLERANCE).capacity).toBe(0);
  });
});

describe('what is asked and lent', () => {
  const supply = {tokens: 4, mintPerMs: 0, demandPerMs: 0, waiting: 0};

  it('is nothing while an owner has enough', () => {
    const limit = {perSecond: 10, burst: 5};
    expect(computeNeed(supply, limit, 400)).toBe(0);
    const busy = {...supply, tokens: 0, demandPerMs: 0.01, waiting: 2};
    expect(computeNeed(busy, limit, 400)).toBeCloseTo(6);
  });

  // A lender that keeps more than half of its capacity wastes what it mints.
  it('leaves a lender what waits, and at most half of its capacity', () => {
    expect(computeSpare(supply, 4)).toBe(4);
    expect(computeSpare({...supply, demandPerMs: 1}, 4)).toBe(2);
    expect(computeSpare({...supply, waiting: 5}, 4)).toBe(0);
  });

  it('is asked of few lenders, and of none before its time', () => {
    const lenders = [
      {host: 'a', spare: 1, askableAt: 0},
      {host: 'b', spare: 3, askableAt: 0},
      {host: 'c', spare: 9, askableAt: 200},
    ];
    expect([...splitNeed(2, lenders, 100).keys()]).toEqual(['b']);
    expect([...splitNeed(4, lenders, 100)]).toEqual([
      ['b', 4],
      ['a', 1],
    ]);
    expect(expectLoanMs(4, lenders, 100)).toBeLessThan(50);
    expect(expectLoanMs(10, lenders, 100)).toBeGreaterThan(100);
    expect(expectLoanMs(20, lenders, 100)).toBe(Infinity);
  });

  it('spreads the return of refused callers', () => {
    expect(spreadReturn(0, 0.01, 1_000, 0.5)).toBe(1_100);
    expect(spreadReturn(1_100, 0.01, 1_000, 0.5)).toBe(1_200);
    expect(spreadReturn(1_000, 0, 1_000, 0.5)).toBe(4_750);
  });
});

describe('a loan', () => {
  /** Two homes with 24 tokens each, which mint one in two seconds. */
  const LIMIT = {perSecond: 1, burst: 40};
  const SHARE = 24;
  const FULL_AT = 60_000;
  let world: AllowanceWorld;

  const runFor = (ms: number): void =>
    world.runtime.runUntil(world.runtime.now() + ms);
  const offerMany = (group: string, count: number): void => {
    for (let index = 0; index < count; index++) {
      world.offer('w', group);
    }
  };
  const countStarted = (): number => world.tally('w').startedAt.length;
  const listGrants = (): readonly PoolMessage[] =>
    world.messages
      .map(({msg}) => msg)
      .filter(({type}) => type === 'allowance_grant');

  beforeEach(() => {
    world = createAllowanceWorld(2, new Map([['w', LIMIT]]));
    world.runtime.runUntil(FULL_AT);
  });

  it('brings what another owner can spare', () => {
    offerMany('g1', SHARE + 6);
    runFor(100);
    expect(countStarted()).toBe(SHARE + 6);
  });

  it('counts once when its answer is duplicated', () => {
    offerMany('g1', SHARE + 6);
    runFor(30);
    const [grant] = listGrants();
    for (let copy = 0; copy < 5; copy++) {
      world.deliver('h2', 'h1', grant!);
    }
    for (let round = 0; round < 10; round++) {
      offerMany('g1', 20);
      runFor(100);
    }
    expect(countStarted()).toBeLessThanOrEqual(2 * SHARE + 2);
  });

  it('is void when its answer comes late or from another host', () => {
    world.cutPairs.add('h1~h2');
    offerMany('g1', SHARE + 6);
    world.cutPairs.clear();
    offerMany('g1', 6);
    world.links.lostShare = 0;
    runFor(1);
    const ask = world.messages.find(({msg}) => msg.type === 'allowance_ask');
    expect(ask).toBeDefined();
    world.cutPairs.add('h1~h2');
    world.deliver('h1', 'h2', ask!.msg);
    const [grant] = listGrants();
    world.deliver('h3', 'h1', grant!);
    runFor(450);
    world.deliver('h2', 'h1', grant!);
    offerMany('g1', 20);
    runFor(100);
    expect(countStarted()).toBeLessThanOrEqual(SHARE + 1);
  });

  it('ends 400 ms after it was asked for', () => {
    offerMany('g1', SHARE + 6);
    runFor(20);
    const before = countStarted();
    world.cutPairs.add('h1~h2');
    runFor(500);
    offerMany('g1', 50);
    runFor(100);
    expect(countStarted() - before).toBeLessThanOrEqual(1);
  });

  // The monotonic clock of a suspended process may stop.
  it('ends while the borrower is suspended', () => {
    offerMany('g1', SHARE + 6);
    runFor(20);
    const before = countStarted();
    world.cutPairs.add('h1~h2');
    world.freeze('h1', 900);
    runFor(901);
    offerMany('g1', 50);
    runFor(100);
    expect(countStarted() - before).toBeLessThanOrEqual(1);
  });

  it('is refused by a host that no longer owns a home', () => {
    world.offer('w', 'g2');
    world.groups.get('g2')!.leaseUntil = 0;
    offerMany('g1', SHARE + 6);
    runFor(200);
    expect(countStarted()).toBeLessThanOrEqual(1 + SHARE + 1);
  });

  // A new owner with a full bucket would add a burst with each change.
  it('is not replaced by the bucket of a new owner, which is empty', () => {
    offerMany('g1', 2 * SHARE);
    runFor(300);
    const before = countStarted();
    world.move('g1', 'h2');
    offerMany('g1', 50);
    runFor(100);
    const initial = TOLERANCE.slack / 4;
    expect(countStarted()).toBeLessThanOrEqual(2 * SHARE + initial + 1);
    expect(countStarted() - before).toBeGreaterThan(0);
  });
});

describe('operations that were admitted while no endpoint ran them', () => {
  it('reach endpoints within the limit afterwards', () => {
    const limit = {perSecond: 60, burst: 10};
    const world = createAllowanceWorld(6, new Map([['w', limit]]));
    const groups = [...world.groups.keys()];
    world.offerSteadily('w', groups, 90, 20_000);
    world.runtime.at(8_000, () =>
      groups.forEach(group => world.stall(group, 3_500)),
    );
    world.runtime.runUntil(20_000);
    const {startedAt} = world.tally('w');
    expect(startedAt.length).toBeGreaterThan(700);
    expect(findExcess(startedAt, limit)).toBeLessThanOrEqual(0);
  });
});
