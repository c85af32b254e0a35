/** The oracle bounds what any order or route could reach. */

import {describe, expect, it} from 'vitest';
import {
  couldPrimaryServe,
  couldReplicaServe,
  readBestValue,
} from '../../oracle.js';
import type {EndpointTruth, Offer} from '../../oracle.js';

const NO_FLOORS = {urgent: 0, standard: 0, background: 0};

function offers(count: number, offer: Offer): readonly Offer[] {
  return Array.from({length: count}, () => ({...offer}));
}

const URGENT: Offer = {rank: 'urgent', worth: 100, needsPrimary: false};
const WRITE: Offer = {rank: 'urgent', worth: 100, needsPrimary: true};
const LOW: Offer = {rank: 'background', worth: 1, needsPrimary: false};

describe('best order', () => {
  it('takes the worthiest that there is room for', () => {
    const all = [...offers(10, LOW), ...offers(3, URGENT)];
    const capacity = {primary: 2, total: 6, floors: NO_FLOORS};
    expect(readBestValue(all, capacity)).toBe(303);
  });

  it('limits requests for the primary by its slots', () => {
    const all = [...offers(10, WRITE), ...offers(10, LOW)];
    const capacity = {primary: 2, total: 6, floors: NO_FLOORS};
    expect(readBestValue(all, capacity)).toBe(204);
  });

  it('serves the floors before the worthiest', () => {
    const all = [...offers(10, URGENT), ...offers(10, LOW)];
    const floors = {...NO_FLOORS, background: 20};
    expect(readBestValue(all, {primary: 5, total: 10, floors})).toBe(802);
  });

  it('does not reserve more than is offered', () => {
    const all = [...offers(10, URGENT), ...offers(1, LOW)];
    const floors = {...NO_FLOORS, background: 50};
    expect(readBestValue(all, {primary: 5, total: 10, floors})).toBe(901);
  });
});

describe('replica oracle', () => {
  const replica: EndpointTruth = {
    isPrimary: false,
    isReached: true,
    isAlive: true,
    hasSession: true,
    dataAgeMs: 100,
  };

  it('asks for the position and the age', () => {
    expect(couldReplicaServe([replica], null)).toBe(true);
    expect(couldReplicaServe([{...replica, hasSession: false}], null)).toBe(
      false,
    );
    expect(couldReplicaServe([replica], 100)).toBe(true);
    expect(couldReplicaServe([replica], 99)).toBe(false);
  });

  it('leaves out the primary and replicas dead or out of reach', () => {
    const others = [{isPrimary: true}, {isAlive: false}, {isReached: false}];
    for (const part of others) {
      expect(couldReplicaServe([{...replica, ...part}], null)).toBe(false);
    }
  });

  it('leaves out rows for the primary', () => {
    expect(couldReplicaServe([replica], 0)).toBe(false);
  });

  it('has a primary wherever most endpoints or the primary are', () => {
    const primary = {...replica, isPrimary: true};
    const far = {...replica, isReached: false};
    expect(couldPrimaryServe([primary, far, far])).toBe(true);
    expect(
      couldPrimaryServe([{...primary, isReached: false}, replica, replica]),
    ).toBe(true);
    expect(
      couldPrimaryServe([{...primary, isReached: false}, far, replica]),
    ).toBe(false);
  });
});
