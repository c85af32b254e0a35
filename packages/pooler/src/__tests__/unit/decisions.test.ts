/** Tests of the pure functions in decisions/. */

import {describe, expect, it} from 'vitest';
import {
  addWrite,
  areWritesStuck,
  mayTryWrite,
  NO_UNANSWERED_WRITES,
  removeWrite,
  WRITES_STUCK_MS,
} from '../../decisions/stuck_writes.js';
import type {UnansweredWrites} from '../../decisions/stuck_writes.js';
import {
  isFailing,
  NO_FAULTS,
  updateFaultRate,
} from '../../decisions/fault_level.js';
import type {FaultRate} from '../../decisions/fault_level.js';
import {chooseCandidate} from '../../decisions/candidate.js';
import type {Candidate} from '../../decisions/candidate.js';
import {
  ABANDONED_RECORD_MS,
  countConsentsNeeded,
  subtractSuspendedTime,
  countPromisesNeeded,
  isLeaseValid,
  PROMISE_MS,
  computeTakeoverTime,
  RECORD_LEASE_MS,
} from '../../decisions/lease.js';
import type {HeldLease} from '../../decisions/lease.js';
import {
  chooseLinks,
  listRemoteHosts,
  orderRemoteHosts,
} from '../../decisions/links.js';
import {
  assignGroups,
  chooseDeputies,
  findBetterHost,
} from '../../decisions/owner_choice.js';
import {chooseForRead, isExpectedToSatisfy} from '../../decisions/placement.js';
import type {EndpointView} from '../../decisions/placement.js';
import {
  STALENESS_MARGIN_MS,
  findRequiredPosition,
  isAtLeast,
} from '../../decisions/positions.js';
import {
  MAX_SKIPS,
  updateSkipCounts,
  orderJobs,
} from '../../decisions/queue_order.js';
import {
  computeWaitDeadline,
  isCutOff,
  RECONNECT_MS,
  TAKEOVER_MS,
} from '../../decisions/reach.js';
import type {WaitingJob} from '../../decisions/queue_order.js';
import type {HostEntry, Ownership} from '../../model/ownership.js';

const at = (index: number, term = 1) => ({term, index});

describe('a lease', () => {
  const lease = (parts: Partial<HeldLease>): HeldLease => ({
    renewedAt: 0,
    grants: new Map(),
    deputySets: [['a', 'b', 'c']],
    ...parts,
  });

  it('is valid for RECORD_LEASE_MS after a renewal without promises', () => {
    expect(isLeaseValid(lease({}), RECORD_LEASE_MS - 100)).toBe(true);
    expect(isLeaseValid(lease({}), RECORD_LEASE_MS)).toBe(false);
  });

  it('is extended by the promises of two of three deputies', () => {
    const now = 5_000;
    const two = new Map([
      ['a', now - 100],
      ['b', now - 100],
    ]);
    expect(isLeaseValid(lease({grants: two}), now)).toBe(true);
    expect(isLeaseValid(lease({grants: two}), now + PROMISE_MS)).toBe(false);
    const one = new Map([['a', now]]);
    expect(isLeaseValid(lease({grants: one}), now)).toBe(false);
  });

  it('needs a majority of both sets while the deputies change', () => {
    const now = 5_000;
    const grants = new Map([
      ['a', now],
      ['b', now],
    ]);
    const deputySets = [
      ['a', 'b', 'c'],
      ['a', 'd', 'e'],
    ];
    expect(isLeaseValid(lease({grants, deputySets}), now)).toBe(false);
    grants.set('d', now);
    expect(isLeaseValid(lease({grants, deputySets}), now)).toBe(true);
  });

  it('expires without a renewal even if all deputies promise', () => {
    const now = ABANDONED_RECORD_MS;
    const grants = new Map(['a', 'b', 'c'].map(host => [host, now]));
    expect(isLeaseValid(lease({grants}), now)).toBe(false);
  });

  it('expires while the process is suspended', () => {
    const held = lease({renewedAt: 1_000});
    expect(isLeaseValid(held, 1_100)).toBe(true);
    expect(isLeaseValid(subtractSuspendedTime(held, 3_000), 1_100)).toBe(false);
  });

  it('cannot be valid while enough deputies consent to a takeover', () => {
    for (let deputies = 1; deputies <= 5; deputies++) {
      const sum = countPromisesNeeded(deputies) + countConsentsNeeded(deputies);
      expect(sum).toBeGreaterThan(deputies);
    }
  });

  it('is not taken over before the promise and the record lease expire', () => {
    const watched = {seenAt: 0, promisedUntil: 9_000, rank: 0};
    expect(computeTakeoverTime(watched)).toBeGreaterThanOrEqual(9_000);
    const fresh = {seenAt: 8_500, promisedUntil: 0, rank: 0};
    expect(computeTakeoverTime(fresh)).toBeGreaterThanOrEqual(
      8_500 + RECORD_LEASE_MS,
    );
  });
});

describe('the position that a read needs', () => {
  const commits = [
    {position: at(10), ackedAt: 1_000},
    {position: at(11), ackedAt: 2_000},
    {position: at(12), ackedAt: 2_900},
  ];
  const need = {maxStalenessMs: 1_500, position: null, receivedAt: 3_000};

  it('is the newest commit for a strict read', () => {
    const strict = {...need, consistency: 'strict'} as const;
    expect(findRequiredPosition(strict, at(9), commits)).toEqual(at(12));
    expect(findRequiredPosition(strict, at(9), [])).toEqual(at(9));
  });

  it('excludes commits younger than the allowed staleness, with a margin', () => {
    const bounded = {...need, consistency: 'bounded'} as const;
    expect(findRequiredPosition(bounded, at(9), commits)).toEqual(at(10));
    const later = {...bounded, receivedAt: 2_000 + 1_500 - STALENESS_MARGIN_MS};
    expect(findRequiredPosition(later, at(9), commits)).toEqual(at(11));
  });

  it('includes the commits of the session', () => {
    const session = {
      ...need,
      consistency: 'session',
      position: at(12),
    } as const;
    expect(findRequiredPosition(session, at(9), commits)).toEqual(at(12));
  });

  it('orders terms before indexes', () => {
    expect(isAtLeast(at(5, 2), at(9, 1))).toBe(true);
    expect(isAtLeast(at(9, 1), at(5, 2))).toBe(false);
    expect(isAtLeast(null, at(1))).toBe(false);
    expect(isAtLeast(null, null)).toBe(true);
  });
});

const VIEW: EndpointView = {
  id: 'x',
  isPrimary: false,
  isUsable: true,
  running: 0,
  limit: 3,
  hasConnection: true,
  applied: at(10),
  lagMs: 50,
  faultShare: 0,
  backoffUntil: 0,
  factor: 1,
  delayMs: null,
  isNear: false,
};

describe('placement', () => {
  const view = (parts: Partial<EndpointView>): EndpointView => ({
    ...VIEW,
    ...parts,
  });
  const need = {required: at(10), requiredSince: 0, avoided: []};

  it('chooses the least loaded endpoint that has the position', () => {
    const views = [
      view({id: 'p', isPrimary: true}),
      view({id: 'r1', running: 2}),
      view({id: 'r2', running: 0}),
      view({id: 'r3', running: 0, applied: at(3), lagMs: 9_999}),
    ];
    expect(chooseForRead(views, {...need, requiredSince: 900}, 1_000)).toBe(
      'r2',
    );
  });

  it('waits if all endpoints are full, unusable or to be avoided', () => {
    const views = [
      view({id: 'a', running: 3}),
      view({id: 'b', isUsable: false}),
      view({id: 'c'}),
      view({id: 'd', hasConnection: false}),
      view({id: 'e', backoffUntil: 2_000}),
    ];
    expect(chooseForRead(views, {...need, avoided: ['c']}, 1_000)).toBeNull();
  });

  const work = {serviceMs: 12, countWaiting: () => 1, waitedMs: 0};

  // Guards against reads at an endpoint that takes several times as long.
  it('prefers a quicker endpoint though it is busier', () => {
    const views = [
      view({id: 'slow', factor: 5}),
      view({id: 'busy', running: 2}),
    ];
    expect(chooseForRead(views, need, 1_000, work)).toBe('busy');
  });

  // Guards against an endpoint that stays unused while a backlog grows.
  it('waits for a quicker endpoint while that is sooner', () => {
    const views = [view({id: 'slow', factor: 5}), view({id: 'a', running: 3})];
    expect(chooseForRead(views, need, 1_000, work)).toBeNull();
    const backlog = {...work, countWaiting: () => 20};
    expect(chooseForRead(views, need, 1_000, backlog)).toBe('slow');
    const held = {...work, waitedMs: 60};
    expect(chooseForRead(views, need, 1_000, held)).toBe('slow');
    const unusable = [views[0]!, {...views[1]!, isUsable: false}];
    expect(chooseForRead(unusable, need, 1_000, work)).toBe('slow');
  });

  // Guards against bytes between data centres without a gain in time.
  it('stays in the data centre of the owner while that is no slower', () => {
    const far = view({id: 'far', delayMs: 3});
    const near = view({id: 'near', delayMs: 0.3, isNear: true});
    expect(chooseForRead([far, near], need, 1_000, work)).toBe('near');
    const slowNear = {...near, factor: 2};
    expect(chooseForRead([far, slowNear], need, 1_000, work)).toBe('far');
  });

  it('expects a replica to have a commit after its lag', () => {
    const behind = view({applied: at(5), lagMs: 50});
    const recentCommit = {...need, requiredSince: 980};
    const olderCommit = {...need, requiredSince: 800};
    expect(isExpectedToSatisfy(behind, recentCommit, 1_000)).toBe(false);
    expect(isExpectedToSatisfy(behind, olderCommit, 1_000)).toBe(true);
    expect(
      isExpectedToSatisfy({...behind, isPrimary: true}, recentCommit, 1_000),
    ).toBe(true);
  });
});

describe('the order of waiting statements', () => {
  const job = (order: number, parts: Partial<WaitingJob> = {}): WaitingJob => ({
    order,
    priority: 1,
    workspace: null,
    isInTx: false,
    receivedAt: 0,
    targetAt: 1_000,
    deadline: 10_000,
    expectedMs: 0,
    ...parts,
  });
  const isOverShare = (): boolean => false;

  it('puts urgent ranks first, then open transactions, then targets', () => {
    const jobs = [
      job(1, {priority: 2, isInTx: true}),
      job(2, {targetAt: 900}),
      job(3, {isInTx: true}),
      job(4, {priority: 0}),
      job(5, {targetAt: 800}),
    ];
    expect(
      orderJobs(jobs, new Map(), 0, isOverShare).map(({order}) => order),
    ).toEqual([4, 3, 5, 2, 1]);
  });

  it('puts late statements behind those that can meet their target', () => {
    const jobs = [job(1, {targetAt: 100}), job(2, {targetAt: 900})];
    expect(orderJobs(jobs, new Map(), 500, isOverShare)[0]?.order).toBe(2);
  });

  it('gives the lowest rank about a tenth of the slots under overload', () => {
    let skipCounts: ReadonlyMap<number, number> = new Map();
    const jobs = [job(1, {priority: 0}), job(2, {priority: 2})];
    let low = 0;
    for (let slot = 0; slot < 110; slot++) {
      const [next] = orderJobs(jobs, skipCounts, 0, isOverShare);
      low += next!.priority === 2 ? 1 : 0;
      skipCounts = updateSkipCounts(skipCounts, next!.priority, [0, 2]);
    }
    expect(low).toBe(Math.floor(110 / (MAX_SKIPS + 1)));
  });
});

describe('a group whose owner is unreachable', () => {
  it('is waited for until a connection is usually restored', () => {
    expect(computeWaitDeadline(1_000, 1_050, 1_800)).toBe(1_000 + RECONNECT_MS);
    expect(computeWaitDeadline(null, 1_050, 1_200)).toBe(1_200);
  });

  it('is waited for only if a takeover is expected before the deadline', () => {
    const now = 1_000 + RECONNECT_MS;
    expect(
      computeWaitDeadline(1_000, now, 1_000 + TAKEOVER_MS + 1),
    ).not.toBeNull();
    expect(computeWaitDeadline(1_000, now, 1_000 + TAKEOVER_MS - 1)).toBeNull();
    expect(computeWaitDeadline(1_000, 9_000, 20_000)).toBeNull();
  });

  it('makes a host take no callers if most groups are affected', () => {
    const isolatedAt = null;
    const check = (lostAt: readonly (number | null)[]): boolean =>
      isCutOff({lostAt, isolatedAt}, 5_000);
    expect(check([0, 0, null])).toBe(true);
    expect(check([0, null, null])).toBe(false);
    expect(check([4_900, 4_900, 4_900])).toBe(false);
  });

  it('makes a host that is cut off with some owners take no callers at once', () => {
    const lostAt = [5_000, 5_000, null];
    const isolatedAt = 5_000 - RECONNECT_MS;
    expect(isCutOff({lostAt, isolatedAt}, 5_000)).toBe(true);
    expect(isCutOff({lostAt, isolatedAt: isolatedAt + 1}, 5_000)).toBe(false);
    // Owners that still hold their leases are worth their callers.
    const served = {lostAt: [5_000, null, null], isolatedAt};
    expect(isCutOff(served, 5_000)).toBe(false);
  });
});

describe('the failure rate of an endpoint', () => {
  const computeRate = (faults: readonly boolean[]): FaultRate =>
    faults.reduce(
      (rate, isFault, n) => updateFaultRate(rate, isFault, 1_000 + n * 10),
      NO_FAULTS,
    );

  it('marks it as failing if half of its statements fail', () => {
    const rate = computeRate(Array.from({length: 20}, (_, n) => n % 2 === 0));
    expect(isFailing(rate, 1_200)).toBe(true);
  });

  it('does not mark it as failing if one statement in five fails', () => {
    const rate = computeRate(Array.from({length: 40}, (_, n) => n % 5 === 0));
    expect(isFailing(rate, 1_400)).toBe(false);
  });

  it('decays within a few seconds without statements', () => {
    const rate = computeRate(Array.from({length: 30}, () => true));
    expect(isFailing(rate, 1_300)).toBe(true);
    expect(isFailing(rate, 4_300)).toBe(false);
  });

  it('ranks it behind a busier endpoint without failures', () => {
    const views = [
      {...VIEW, id: 'failing', faultShare: 0.5},
      {...VIEW, id: 'busy', running: 2},
    ];
    const need = {required: null, requiredSince: null, avoided: []};
    expect(chooseForRead(views, need, 100)).toBe('busy');
  });
});

describe('the next primary', () => {
  const candidate = (
    id: string,
    index: number,
    parts: Partial<Candidate> = {},
  ): Candidate => ({
    id,
    received: at(index),
    isLeaving: false,
    isFailing: false,
    isNear: false,
    factor: 1,
    ...parts,
  });
  const need = {acked: at(10), surelyAcked: null, reportsNeeded: 2};

  it('has every acknowledged commit', () => {
    expect(chooseCandidate([candidate('a', 9)], need)).toBeNull();
    expect(
      chooseCandidate([candidate('a', 9), candidate('b', 10)], need)?.id,
    ).toBe('b');
  });

  it('lacks what no replica had received when the primary was lost', () => {
    const reports = [candidate('a', 9), candidate('b', 7)];
    expect(chooseCandidate(reports, need)?.id).toBe('a');
    expect(chooseCandidate(reports, {...need, surelyAcked: at(10)})).toBeNull();
    expect(chooseCandidate(reports, {...need, reportsNeeded: 3})).toBeNull();
  });

  // Guards against a slow primary, to whose speed all writes are then bound.
  it('is the faster one of equal logs, then the nearer one', () => {
    const slow = candidate('slow', 10, {factor: 5, isNear: true});
    const fast = candidate('fast', 10, {factor: 1});
    const near = candidate('near', 10, {factor: 1.3, isNear: true});
    const ahead = candidate('ahead', 11, {factor: 5});
    expect(chooseCandidate([slow, fast], need)?.id).toBe('fast');
    expect(chooseCandidate([slow, fast, near], need)?.id).toBe('near');
    expect(chooseCandidate([fast, near, ahead], need)?.id).toBe('ahead');
  });

  it('is requested again, though the reports of others count', () => {
    const reports = [candidate('a', 9), candidate('b', 9)];
    const unknown = {...need, acked: null};
    expect(chooseCandidate(reports, unknown, [reports[1]!])?.id).toBe('b');
    const behind = candidate('b', 8);
    expect(
      chooseCandidate([reports[0]!, behind], unknown, [behind]),
    ).toBeNull();
  });

  it('is not a leaving endpoint if there is another candidate', () => {
    const leaving = candidate('a', 12, {isLeaving: true});
    expect(chooseCandidate([leaving, candidate('b', 10)], need)?.id).toBe('b');
    expect(chooseCandidate([leaving], need)?.id).toBe('a');
  });

  it('is the most advanced replica if the last acknowledged commit is unknown', () => {
    const unknown = {...need, acked: null};
    expect(chooseCandidate([candidate('a', 9)], unknown)).toBeNull();
    expect(
      chooseCandidate([candidate('a', 9), candidate('b', 7)], unknown)?.id,
    ).toBe('a');
    const without = {...unknown, reportsNeeded: 3};
    expect(
      chooseCandidate([candidate('a', 9), candidate('b', 7)], without),
    ).toBeNull();
  });
});

describe('the choice of owners', () => {
  const host = (name: string, cpuShare = 1): HostEntry => ({
    host: name,
    address: `${name}:1`,
    dataCentre: name.slice(0, 1),
    cpuShare,
  });
  const hosts = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].map(name => host(name));

  it('moves a group only from an overloaded small host to a large idle one', () => {
    const small = host('a1', 0.3);
    const owned = (group: string): Ownership => ({
      group,
      owner: small,
      incarnation: '',
      generation: 1,
      deputies: [],
      renewals: 0,
      lineage: null,
    });
    const both = [owned('g1'), owned('g2')];
    const large = host('b1', 1.3);
    expect(findBetterHost('g1', small, [large], both)).toEqual(large);
    const equalHost = host('c1', 0.3);
    expect(findBetterHost('g1', small, [equalHost], [both[0]!])).toBeNull();
    expect(findBetterHost('g1', small, [], both)).toBeNull();
  });

  it('does not move a group because its owner is also a deputy', () => {
    const owner = host('a1');
    const idle = host('b1');
    const ownership = (group: string, at: HostEntry): Ownership => ({
      group,
      owner: at,
      incarnation: '',
      generation: 1,
      deputies: [owner],
      renewals: 0,
      lineage: null,
    });
    const known = [ownership('g1', owner), ownership('g2', host('c1'))];
    expect(findBetterHost('g1', owner, [idle], known)).toBeNull();
  });

  it('prefers large hosts that own a group to small idle ones as deputies', () => {
    const large = ['a1', 'b1', 'c1', 'd1'].map(name => host(name, 1.35));
    const small = ['a2', 'b2', 'c2', 'd2'].map(name => host(name, 0.324));
    const known = large.map((owner, n): Ownership => ({
      group: `g${n}`,
      owner,
      incarnation: '',
      generation: 1,
      deputies: large.filter(other => other !== owner),
      renewals: 0,
      lineage: null,
    }));
    const all = [...small, ...large];
    const deputies = chooseDeputies('g0', large[0]!, all, known);
    expect(deputies.map(({cpuShare}) => cpuShare)).toEqual([1.35, 1.35, 1.35]);
  });

  it('spreads groups over hosts that start together', () => {
    const assigned = assignGroups(['g1', 'g2', 'g3'], hosts);
    expect(new Set(assigned.values()).size).toBe(3);
  });

  it('prefers hosts with a larger CPU share', () => {
    const mixed = [host('a1', 0.3), host('b1', 0.3), host('c1', 1.3)];
    expect(assignGroups(['g1'], mixed).get('g1')).toBe('c1');
  });

  it('chooses deputies in other data centres first', () => {
    const deputies = chooseDeputies('g1', host('a1'), hosts, []);
    expect(
      deputies
        .map(({dataCentre}) => dataCentre)
        .slice(0, 2)
        .sort(),
    ).toEqual(['b', 'c']);
    expect(deputies[2]?.dataCentre).toBe('a');
  });

  it('adds no remote hosts if enough owners are remote', () => {
    const remoteHosts = ['b1', 'b2', 'c1', 'c2', 'c3', 'c4'];
    const ownerships = remoteHosts.slice(0, 4).map((name): Ownership => ({
      group: `g-${name}`,
      owner: host(name),
      incarnation: '',
      generation: 1,
      deputies: [],
      renewals: 0,
      lineage: null,
    }));
    const self = host('a1');
    expect(chooseLinks(self, remoteHosts, [], ownerships)).toEqual(
      remoteHosts.slice(0, 4),
    );
    expect(
      chooseLinks(self, remoteHosts, [], ownerships.slice(0, 1)),
    ).toHaveLength(4);
  });

  it('keeps connections only to owners, deputies and a few remote hosts', () => {
    const many = Array.from({length: 300}, (_, n) =>
      host(`${'abc'[n % 3]}${n}`),
    );
    const ownership: Ownership = {
      group: 'g1',
      owner: many[5]!,
      incarnation: '',
      generation: 1,
      deputies: [many[1]!, many[2]!],
      renewals: 0,
      lineage: null,
    };
    const [first] = many;
    const remoteHosts = orderRemoteHosts(first!, listRemoteHosts(first!, many));
    expect(remoteHosts.every(id => !id.startsWith('a'))).toBe(true);
    const links = chooseLinks(first!, remoteHosts, [], [ownership]);
    expect(links).toContain(many[5]!.host);
    expect(links.length).toBeLessThan(8);
    // A deputy needs the consent of the others.
    expect(chooseLinks(many[1]!, [], [], [ownership])).toEqual(
      expect.arrayContaining([many[2]!.host, many[5]!.host]),
    );
    expect(chooseLinks(many[5]!, [], [], [ownership])).toEqual(
      expect.arrayContaining([many[1]!.host, many[2]!.host]),
    );
  });
});

describe('writes that a primary does not answer', () => {
  const sendAll = (...times: readonly number[]): UnansweredWrites =>
    times.reduce(addWrite, NO_UNANSWERED_WRITES);

  it('are stuck once several got no answer for a while', () => {
    expect(areWritesStuck(sendAll(0, 10, 20), WRITES_STUCK_MS)).toBe(true);
    expect(areWritesStuck(sendAll(0, 10, 20), WRITES_STUCK_MS - 1)).toBe(false);
    expect(areWritesStuck(sendAll(0, 10), 10_000)).toBe(false);
  });

  it('are not stuck once one was confirmed', () => {
    const writes = removeWrite(sendAll(0, 10, 20, 30), true);
    expect(areWritesStuck(writes, 10_000)).toBe(false);
  });

  it('do not count if the endpoint answered them with an error', () => {
    const writes = removeWrite(sendAll(0, 10, 20), false);
    expect(areWritesStuck(writes, 10_000)).toBe(false);
  });

  it('are tried one at a time while they are stuck', () => {
    const writes = sendAll(0, 10, 1_500);
    expect(mayTryWrite(writes, 3_000)).toBe(false);
    expect(mayTryWrite(writes, 3_500)).toBe(true);
    expect(mayTryWrite(addWrite(writes, 3_500), 3_501)).toBe(false);
  });
});
