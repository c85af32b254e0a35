/** Gauges of an entry host, computed from its blackboard at each scrape. */

import {RANKS, readEvidenceExpiry} from '@lacewingroad/core';
import type {Blackboard, Instant} from '@lacewingroad/core';
import type {GaugeDefinition, GaugeSample} from '@lacewingroad/telemetry';

const MS_PER_SECOND = 1_000;

/** Source of the blackboard and the clock that the gauges read. */
export interface GaugeSource {
  readonly getBoard: () => Blackboard;
  readonly now: () => Instant;
}

type BoardReader = (board: Blackboard, now: Instant) => readonly GaugeSample[];

function singleSample(value: number | null): readonly GaugeSample[] {
  return value === null ? [] : [{labels: {}, value}];
}

function toSeconds(ms: number): number {
  return ms / MS_PER_SECOND;
}

const readViewAge: BoardReader = ({view}, now) =>
  singleSample(view.freshAt === null ? null : toSeconds(now - view.freshAt));

const readQueues: BoardReader = board =>
  [...board.pools.byEndpoint.entries()].flatMap(([endpoint, pool]) =>
    RANKS.map(rank => ({
      labels: {endpoint, rank},
      value: pool.jobs.queued.count(job => job.msg.rank === rank),
    })),
  );

const readConnections: BoardReader = board =>
  [...board.pools.byEndpoint.entries()].map(([endpoint, pool]) => ({
    labels: {endpoint},
    value: pool.conns.size,
  }));

const readTransactions: BoardReader = board =>
  [...board.pools.byEndpoint.entries()].map(([endpoint, pool]) => ({
    labels: {endpoint},
    value: pool.txs.size,
  }));

/** Data age of each endpoint whose pool this host owns. */
const readDataAges: BoardReader = (board, now) =>
  [...board.endpoints.owned.keys()].flatMap(endpoint => {
    const asOf = board.endpoints.views.get(endpoint)?.dataAsOf ?? null;
    return asOf === null
      ? []
      : [{labels: {endpoint}, value: toSeconds(now - asOf)}];
  });

/** Time for which this host may acknowledge writes without new evidence. */
const readEvidence: BoardReader = (board, now) =>
  [...board.failovers.writers.entries()]
    .filter(([, writer]) => writer.isRegistered)
    .flatMap(([group]) => {
      const expiry = readEvidenceExpiry(board, group);
      return expiry === null
        ? []
        : [{labels: {group}, value: Math.max(0, toSeconds(expiry - now))}];
    });

interface BoardGauge {
  readonly name: string;
  readonly help: string;
  readonly labelNames: readonly string[];
  readonly read: BoardReader;
}

const BOARD_GAUGES: readonly BoardGauge[] = [
  {
    name: 'lacewingroad_view_age_seconds',
    help: 'Age of what this host knows of the platform.',
    labelNames: [],
    read: readViewAge,
  },
  {
    name: 'lacewingroad_callers',
    help: 'Connected callers.',
    labelNames: [],
    read: board => singleSample(board.callers.byId.size),
  },
  {
    name: 'lacewingroad_requests_in_progress',
    help: 'Requests that are not yet answered.',
    labelNames: [],
    read: board => singleSample(board.requests.byId.size),
  },
  {
    name: 'lacewingroad_retry_tokens',
    help: 'Retries that may be spent.',
    labelNames: [],
    read: board => singleSample(board.requests.retryTokens),
  },
  {
    name: 'lacewingroad_sessions_held',
    help: 'Named sessions whose positions this host keeps.',
    labelNames: [],
    read: board => singleSample(board.sessions.held.size),
  },
  {
    name: 'lacewingroad_pool_queued',
    help: 'Requests that wait for a slot of an endpoint that this host owns.',
    labelNames: ['endpoint', 'rank'],
    read: readQueues,
  },
  {
    name: 'lacewingroad_pool_connections',
    help: 'Connections to an endpoint that this host owns.',
    labelNames: ['endpoint'],
    read: readConnections,
  },
  {
    name: 'lacewingroad_pool_transactions',
    help: 'Open transactions at an endpoint that this host owns.',
    labelNames: ['endpoint'],
    read: readTransactions,
  },
  {
    name: 'lacewingroad_endpoint_data_age_seconds',
    help: 'Age of the data of an endpoint that this host owns.',
    labelNames: ['endpoint'],
    read: readDataAges,
  },
  {
    name: 'lacewingroad_write_evidence_seconds',
    help: 'Time for which writes of a group may still be acknowledged; 0: none.',
    labelNames: ['group'],
    read: readEvidence,
  },
];

/** Creates the gauges of an entry host. */
export function createBoardGauges(
  source: GaugeSource,
): readonly GaugeDefinition[] {
  return BOARD_GAUGES.map(gauge => ({
    ...gauge,
    read: () => gauge.read(source.getBoard(), source.now()),
  }));
}
