/** Tests which connections are opened and which give way, without a pool. */

import {describe, expect, it} from 'vitest';
import {
  readConnLimit,
  recordRefusal,
} from '../../decisions/connection_limit.js';
import {
  computeNeed,
  planClosings,
  planOpenings,
} from '../../decisions/connection_plan.js';
import type {
  PlannedConn,
  PlannedEndpoint,
} from '../../decisions/connection_plan.js';
import {addUse, readUseRate} from '../../decisions/use_rate.js';

let nextConn = 1;

function conn(
  workspace: string | null,
  use: PlannedConn['use'] = 'free',
  idleSince = 0,
): PlannedConn {
  return {id: nextConn++, workspace, use, idleSince};
}

function endpoint(parts: Partial<PlannedEndpoint> = {}): PlannedEndpoint {
  return {
    id: 'e-1',
    isPrimary: false,
    limit: 10,
    maxOpening: 2,
    slots: 5,
    running: 0,
    serviceMs: 33,
    conns: [],
    readRate: () => 0,
    ...parts,
  };
}

const demand = (workspace: string | null, ...endpoints: string[]) => ({
  workspace,
  endpoints: endpoints.length === 0 ? ['e-1'] : endpoints,
});

describe('opening a connection', () => {
  it('is planned for a workspace that has none, and only once', () => {
    expect(planOpenings([endpoint()], [demand('a'), demand('b')])).toEqual([
      {endpoint: 'e-1', workspace: 'a', evicted: null},
      {endpoint: 'e-1', workspace: 'b', evicted: null},
    ]);
    const opening = endpoint({conns: [conn('a', 'opening')]});
    expect(planOpenings([opening], [demand('a')])).toEqual([]);
  });

  // A statement that only waits for a slot opened a connection each time.
  it('is not planned beside a free connection of the workspace', () => {
    const free = endpoint({running: 5, conns: [conn('a')]});
    expect(planOpenings([free], [demand('a')])).toEqual([]);
  });

  it('is planned only if the busy connections are free later than a new one', () => {
    const busy = [conn('a', 'running')];
    const quick = endpoint({serviceMs: 10, running: 1, conns: busy});
    expect(planOpenings([quick], [demand('a')])).toEqual([]);
    const slow = endpoint({serviceMs: 33, running: 1, conns: busy});
    expect(planOpenings([slow], [demand('a')])).toHaveLength(1);
  });

  it('does not count the connections of open transactions as free soon', () => {
    const pinned = endpoint({
      serviceMs: 10,
      conns: [conn('a', 'pinned'), conn('a', 'pinned')],
    });
    expect(planOpenings([pinned], [demand('a')])).toHaveLength(1);
  });

  it('is limited to a few at a time, and none during a pause', () => {
    const demands = ['a', 'b', 'c', 'd'].map(name => demand(name));
    expect(planOpenings([endpoint()], demands)).toHaveLength(2);
    expect(planOpenings([endpoint({maxOpening: 0})], demands)).toEqual([]);
  });

  it('gives a workspace no more connections than there are slots', () => {
    const all = Array.from({length: 5}, () => conn('a', 'running'));
    const full = endpoint({running: 5, serviceMs: 1_000, conns: all});
    expect(planOpenings([full], [demand('a')])).toEqual([]);
  });

  it('spreads reads over the endpoints, replicas first', () => {
    const all = [
      endpoint({id: 'e-1', isPrimary: true}),
      endpoint({id: 'e-2'}),
      endpoint({id: 'e-3', running: 3}),
    ];
    const read = (name: string) => demand(name, 'e-1', 'e-2', 'e-3');
    const planned = planOpenings(all, [read('a'), read('b'), read('c')]);
    expect(planned.map(({endpoint}) => endpoint)).toEqual([
      'e-2',
      'e-2',
      'e-1',
    ]);
  });
});

describe('closing an idle connection for another workspace', () => {
  const rates: Record<string, number> = {large: 20, small: 0.5, idle: 0.01};
  const readRate = (name: string | null) => rates[name ?? ''] ?? 0;

  it('takes that of the workspace that is least likely to need it', () => {
    const conns = [conn('large'), conn('idle'), conn('small')];
    const full = endpoint({limit: 3, conns, readRate});
    expect(planOpenings([full], [demand('new')])).toEqual([
      {endpoint: 'e-1', workspace: 'new', evicted: conns[1]!.id},
    ]);
  });

  // The last connection of a small workspace is worth more than the fifth one
  // of a large workspace.
  it('takes a surplus one of a large workspace before the only one of a small', () => {
    const many = Array.from({length: 5}, () => conn('large'));
    const full = endpoint({
      limit: 6,
      conns: [conn('small'), ...many],
      readRate,
    });
    const [planned] = planOpenings([full], [demand('new')]);
    expect(many.map(({id}) => id)).toContain(planned!.evicted);
  });

  it('does not take what a busier workspace needs for a second connection', () => {
    const conns = [conn('idle', 'running'), conn('large')];
    const full = endpoint({limit: 2, running: 1, conns, readRate});
    expect(planOpenings([full], [demand('idle')])).toEqual([]);
  });

  it('takes none that a waiting statement is about to use', () => {
    const full = endpoint({limit: 1, running: 5, conns: [conn('a')]});
    expect(planOpenings([full], [demand('a'), demand('b')])).toEqual([]);
  });

  it('takes none that is in use or held by a transaction', () => {
    const conns = [conn('a', 'pinned'), conn('b', 'running')];
    const full = endpoint({limit: 2, conns, readRate});
    expect(planOpenings([full], [demand('new')])).toEqual([]);
  });

  it('takes the one that was idle the longest if none is needed', () => {
    const conns = [conn('a', 'free', 50), conn('b', 'free', 20)];
    const full = endpoint({limit: 2, conns});
    expect(planOpenings([full], [demand('c')])).toMatchObject([
      {evicted: conns[1]!.id},
    ]);
  });
});

it('closes idle connections until a lowered limit is kept', () => {
  const conns = [conn('a', 'pinned'), conn('b'), conn('c'), conn('d')];
  expect(planClosings(endpoint({limit: 2, conns}))).toHaveLength(2);
  expect(planClosings(endpoint({limit: 0, conns}))).toHaveLength(3);
  expect(planClosings(endpoint({limit: 4, conns}))).toEqual([]);
});

it('computes the need of a connection from use and service time', () => {
  expect(computeNeed(2, 33, 1)).toBe(2);
  expect(computeNeed(2, 33, 2)).toBeCloseTo(2 * (1 - Math.exp(-0.066)));
  expect(computeNeed(0, 33, 1)).toBe(0);
  for (let count = 1; count < 20; count++) {
    const needs = [count, count + 1].map(k => computeNeed(200, 33, k));
    expect(needs[1]).toBeLessThan(needs[0]!);
    expect(needs[1]).toBeGreaterThanOrEqual(0);
  }
});

it('lets the rate of uses decay', () => {
  let rate = addUse(undefined, 0);
  for (let at = 1_000; at <= 60_000; at += 1_000) {
    rate = addUse(rate, at);
  }
  expect(readUseRate(rate, 60_000)).toBeCloseTo(1, 0);
  expect(readUseRate(rate, 90_000)).toBeLessThan(0.06);
});

// Without a pause, a full endpoint would be asked again at once and for ever.
it('lowers the limit of an endpoint that refused, and raises it later', () => {
  const refusal = recordRefusal(20, 1_000);
  expect(readConnLimit(58, refusal, 1_000)).toBe(19);
  expect(readConnLimit(58, refusal, 1_900)).toBe(19);
  expect(readConnLimit(58, refusal, 4_000)).toBe(38);
  expect(readConnLimit(58, refusal, 60_000)).toBe(58);
  expect(readConnLimit(58, recordRefusal(0, 0), 0)).toBe(1);
  expect(readConnLimit(58, null, 0)).toBe(58);
});
