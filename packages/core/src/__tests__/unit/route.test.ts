import {Map as ImmutableMap} from 'immutable';
import {describe, expect, it} from 'vitest';
import type {Blackboard, GroupObject} from '@lacewingroad/core';
import {createControlSlices, createEndpointView} from '../../control/state.js';
import {PRIMARY_PENALTY} from '../../entry/constants.js';
import {countOutstanding} from '../../entry/requests.js';
import {chooseRoute} from '../../entry/route.js';
import {createEntrySlices} from '../../entry/state.js';
import type {Caller, Request} from '../../entry/state.js';
import {FALLBACK_ROW} from '../../model/table.js';
import type {Rank} from '../../model/table.js';
import {createOwnerSlices} from '../../owner/state.js';

const NOW = 100_000;

const GROUP: GroupObject = {
  id: 'g1',
  term: 1,
  primary: 'e1',
  fence: null,
  starts: [{term: 1, index: 0}],
  endpoints: ['e1', 'e2'].map(id => ({
    id,
    dataCentre: 'a',
    address: '127.0.1.1',
    port: 3306,
    slots: 3,
    maxConnections: 24,
    leaving: false,
  })),
  owners: {e1: 'a-1', e2: 'a-1'},
};

/** A host whose last report of the replica e2 has index 5 and a lag. */
function createBoard(lagMs: number): Blackboard {
  const control = createControlSlices();
  const view = {
    ...createEndpointView(),
    status: {
      role: 'replica' as const,
      position: {term: 1, index: 5},
      dataAgeMs: lagMs,
      follows: 'e1',
    },
    statusAt: NOW - 200,
    dataAsOf: NOW - 200 - lagMs,
  };
  return {
    self: {
      host: 'a-1',
      dataCentre: 'a',
      incarnation: 'i',
      startedAt: 0,
      drainDeadline: null,
      drainNoticeUntil: null,
      isDrained: false,
    },
    ...control,
    endpoints: {
      ...control.endpoints,
      views: ImmutableMap({e2: view}),
    },
    ...createOwnerSlices(),
    ...createEntrySlices(0),
  };
}

/** A session that wrote index 9 some time ago. */
function createCaller(wroteAgoMs: number): Caller {
  return {
    id: 1,
    user: 'app',
    service: 'shop',
    allowedServices: ['*'],
    session: 's',
    isNamedSession: false,
    positions: ImmutableMap({g1: {term: 1, index: 9}}),
    positionsAt: NOW - wroteAgoMs,
    proof: 'complete',
    hasUnknownWrite: false,
    kind: '*',
    autocommit: true,
    tx: null,
    lastInsertId: '0',
    waiting: [],
    servingSeq: 1,
    deferredStatement: null,
    request: 'r',
  };
}

function createRead(maxStalenessMs: number | null): Request {
  return {
    id: 'r',
    caller: 1,
    seq: 1,
    statement: {sql: 'SELECT 1', params: null},
    group: 'g1',
    service: 'shop',
    row: {...FALLBACK_ROW, maxStalenessMs},
    kind: '*',
    key: null,
    isWrite: false,
    mode: 'autocommit',
    statementAfterBegin: null,
    receivedAt: NOW,
    targetAt: NOW + 1_000,
    deadline: NOW + 15_000,
    cancelAnswerDeadline: null,
    attempt: 0,
    sentTo: null,
    backoffCount: 0,
    retryAt: null,
    excludedEndpoints: [],
    mayHaveRun: false,
  };
}

function route(
  lagMs: number,
  wroteAgoMs: number,
  maxStalenessMs: number | null,
) {
  return chooseRoute(
    createBoard(lagMs),
    GROUP,
    createCaller(wroteAgoMs),
    createRead(maxStalenessMs),
    {now: NOW, random: () => 0.5},
  );
}

describe('chooseRoute', () => {
  it('chooses a replica that is expected to have the write by now', () => {
    expect(route(20, 100, null)).toMatchObject({
      endpoint: 'e2',
      minPosition: {term: 1, index: 9},
      term: null,
    });
  });

  it('chooses the primary while the replica is expected to lack the write', () => {
    expect(route(5_000, 100, null)).toMatchObject({endpoint: 'e1'});
  });

  it('chooses the replica again after its lag has passed', () => {
    expect(route(5_000, 5_000, null)).toMatchObject({endpoint: 'e2'});
  });

  it('chooses the primary, with a term, if the row allows no staleness', () => {
    expect(route(0, 10_000, 0)).toMatchObject({endpoint: 'e1', term: 1});
  });

  it('chooses the primary if the replica is older than the row allows', () => {
    expect(route(5_000, 60_000, 1_000)).toMatchObject({endpoint: 'e1'});
  });
});

describe('chooseRoute with busy replicas', () => {
  /** Routes a read while the replica has requests of rank `busy` in progress. */
  function routeWithBusyReplica(rank: Rank, busy: Rank, count: number) {
    const read = createRead(null);
    const board = Array.from({length: count}).reduce<Blackboard>(
      current => countOutstanding(current, 'e2', busy, 1),
      createBoard(20),
    );
    const request = {...read, row: {...read.row, rank}};
    return chooseRoute(board, GROUP, createCaller(1_000), request, {
      now: NOW,
      random: () => 0.5,
    });
  }

  it('chooses the primary if the replica is much busier', () => {
    const few = routeWithBusyReplica(
      'background',
      'background',
      PRIMARY_PENALTY,
    );
    const many = routeWithBusyReplica(
      'background',
      'background',
      PRIMARY_PENALTY + 1,
    );
    expect(few).toMatchObject({endpoint: 'e2'});
    expect(many).toMatchObject({endpoint: 'e1', minPosition: {index: 9}});
  });

  it('counts only requests of the same or a more urgent rank', () => {
    const urgent = routeWithBusyReplica('urgent', 'background', 100);
    const low = routeWithBusyReplica('background', 'urgent', 100);
    expect(urgent).toMatchObject({endpoint: 'e2'});
    expect(low).toMatchObject({endpoint: 'e1'});
  });
});
