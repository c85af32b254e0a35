/** Reports the connections of workspaces to operators. */

import type {EndpointId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import {getConnLimit} from './conn_limit.js';
import {countAllConns, NO_CONNS} from './connections.js';
import type {Pool} from './state.js';

/** Interval at which the numbers of connections are counted, in ms. */
const COUNT_INTERVAL_MS = 1_000;
/** Interval of log lines about evictions and refusals, in ms. */
const LOG_INTERVAL_MS = 10_000;

interface Contention {
  readonly evicted: number;
  readonly refused: number;
}

/** Counts what happens to the connections of a pool. */
export interface ConnReport {
  readonly countEviction: (endpoint: EndpointId) => void;
  readonly countRefusal: (endpoint: EndpointId) => void;
  /** Records the numbers when they are due. */
  readonly tick: () => void;
  /** Records that the pool holds no connections any more. */
  readonly close: () => void;
}

/** Creates the report of a pool. */
export function createConnReport(pool: Pool): ConnReport {
  const {group, ports} = pool.cfg;
  const contention = new Map<EndpointId, Contention>();
  const reported = new Set<EndpointId>();
  let countAt: Instant = -Infinity;
  let logAt = pool.now() + LOG_INTERVAL_MS;

  const count = (endpoint: EndpointId, part: Partial<Contention>): void => {
    const {evicted = 0, refused = 0} = contention.get(endpoint) ?? {};
    contention.set(endpoint, {
      evicted: evicted + (part.evicted ?? 0),
      refused: refused + (part.refused ?? 0),
    });
  };

  const recordCounts = (): void => {
    const counts = countAllConns(pool);
    for (const state of pool.endpoints.list()) {
      const {id} = state.entry;
      const {total, pinned, running, free, freeWorkspaces} =
        counts.get(id) ?? NO_CONNS;
      const fields = {
        group,
        endpoint: id,
        held: total,
        limit: getConnLimit(pool, state),
        pinned,
        running,
        free,
        free_workspaces: freeWorkspaces.size,
      };
      reported.add(id);
      ports.record('debug', 'conns_counted', fields);
      const contended = contention.get(id);
      if (contended !== undefined && pool.now() >= logAt) {
        ports.record('info', 'conns_contended', {...fields, ...contended});
      }
    }
    if (pool.now() >= logAt) {
      contention.clear();
      logAt = pool.now() + LOG_INTERVAL_MS;
    }
  };

  return {
    countEviction: endpoint => count(endpoint, {evicted: 1}),
    countRefusal: endpoint => count(endpoint, {refused: 1}),
    tick: () => {
      if (pool.now() >= countAt) {
        countAt = pool.now() + COUNT_INTERVAL_MS;
        recordCounts();
      }
    },
    close: () => {
      for (const endpoint of reported) {
        ports.record('debug', 'conns_counted', {group, endpoint, held: 0});
      }
    },
  };
}
