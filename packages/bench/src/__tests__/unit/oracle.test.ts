/** The oracle gives upper bounds of what any order or route can reach. */

import {describe, expect, it} from 'vitest';
import {
  couldPrimaryServe,
  couldReplicaServe,
  computeBestValue,
} from '../../oracle.js';
import type {EndpointSnapshot, OfferedRequest} from '../../oracle.js';

const NO_FLOORS = {urgent: 0, standard: 0, background: 0};

function repeatRequest(
  count: number,
  request: OfferedRequest,
): readonly OfferedRequest[] {
  return Array.from({length: count}, () => ({...request}));
}

const URGENT: OfferedRequest = {
  rank: 'urgent',
  worth: 100,
  needsPrimary: false,
};
const WRITE: OfferedRequest = {rank: 'urgent', worth: 100, needsPrimary: true};
const LOW: OfferedRequest = {rank: 'background', worth: 1, needsPrimary: false};

describe('best order', () => {
  it('serves the requests of greatest worth that fit the slots', () => {
    const all = [...repeatRequest(10, LOW), ...repeatRequest(3, URGENT)];
    const capacity = {primary: 2, total: 6, floors: NO_FLOORS};
    expect(computeBestValue(all, capacity)).toBe(303);
  });

  it('limits requests for the primary by its slots', () => {
    const all = [...repeatRequest(10, WRITE), ...repeatRequest(10, LOW)];
    const capacity = {primary: 2, total: 6, floors: NO_FLOORS};
    expect(computeBestValue(all, capacity)).toBe(204);
  });

  it('serves the floors before requests of greater worth', () => {
    const all = [...repeatRequest(10, URGENT), ...repeatRequest(10, LOW)];
    const floors = {...NO_FLOORS, background: 20};
    expect(computeBestValue(all, {primary: 5, total: 10, floors})).toBe(802);
  });

  it('does not reserve more than is offered', () => {
    const all = [...repeatRequest(10, URGENT), ...repeatRequest(1, LOW)];
    const floors = {...NO_FLOORS, background: 50};
    expect(computeBestValue(all, {primary: 5, total: 10, floors})).toBe(901);
  });
});

describe('replica oracle', () => {
  const replica: EndpointSnapshot = {
    isPrimary: false,
    isReachable: true,
    isAlive: true,
    hasSessionWrites: true,
    dataAgeMs: 100,
  };

  it('checks the position and the age', () => {
    expect(couldReplicaServe([replica], null)).toBe(true);
    expect(
      couldReplicaServe([{...replica, hasSessionWrites: false}], null),
    ).toBe(false);
    expect(couldReplicaServe([replica], 100)).toBe(true);
    expect(couldReplicaServe([replica], 99)).toBe(false);
  });

  it('excludes the primary, and dead or unreachable replicas', () => {
    const others = [{isPrimary: true}, {isAlive: false}, {isReachable: false}];
    for (const part of others) {
      expect(couldReplicaServe([{...replica, ...part}], null)).toBe(false);
    }
  });

  it('excludes all replicas if the maximum staleness is 0', () => {
    expect(couldReplicaServe([replica], 0)).toBe(false);
  });

  it('can serve from a primary if the primary or most endpoints are reachable', () => {
    const primary = {...replica, isPrimary: true};
    const unreachable = {...replica, isReachable: false};
    expect(couldPrimaryServe([primary, unreachable, unreachable])).toBe(true);
    expect(
      couldPrimaryServe([{...primary, isReachable: false}, replica, replica]),
    ).toBe(true);
    expect(
      couldPrimaryServe([
        {...primary, isReachable: false},
        unreachable,
        replica,
      ]),
    ).toBe(false);
  });
});
