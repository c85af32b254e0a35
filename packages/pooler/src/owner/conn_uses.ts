/** Records how often workspaces use the connections of a pool. */

import type {EndpointId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import {addUse, readUseRate} from '../decisions/use_rate.js';
import type {UseRate} from '../decisions/use_rate.js';
import type {WorkspaceId} from '../model/directory.js';
import type {Conn} from './state.js';

/** Rate below which a workspace is forgotten: one use in about a minute. */
const MIN_RATE = 0.0005;
/** Number of rates from which forgotten ones are looked for. */
const PRUNE_COUNT = 512;

/** The last use of a connection. */
interface LastUse {
  readonly request: string | null;
  readonly at: Instant;
}

/** The uses of the connections of a pool. */
export interface ConnUses {
  /** Counts the statements that were started since the last call. */
  readonly update: (conns: readonly Conn[], now: Instant) => void;
  /** Returns when a statement was last started on a connection. */
  readonly readUsedAt: (conn: Conn) => Instant;
  /** Returns the statements per second of a workspace at an endpoint. */
  readonly readRate: (
    endpoint: EndpointId,
    workspace: WorkspaceId | null,
    now: Instant,
  ) => number;
}

/** Names of workspaces contain no spaces; the empty one stands for null. */
function getRateKey(
  endpoint: EndpointId,
  workspace: WorkspaceId | null,
): string {
  return `${workspace ?? ''} ${endpoint}`;
}

/** Creates an empty record of uses. */
export function createConnUses(): ConnUses {
  const rates = new Map<string, UseRate>();
  const lastUses = new Map<number, LastUse>();

  const prune = (conns: readonly Conn[], now: Instant): void => {
    if (rates.size > PRUNE_COUNT) {
      for (const [key, rate] of rates) {
        if (readUseRate(rate, now) < MIN_RATE) {
          rates.delete(key);
        }
      }
    }
    if (lastUses.size > conns.length) {
      const ids = new Set(conns.map(({id}) => id));
      for (const id of lastUses.keys()) {
        if (!ids.has(id)) {
          lastUses.delete(id);
        }
      }
    }
  };

  return {
    update: (conns, now) => {
      for (const {id, endpoint, workspace, request} of conns) {
        const last = lastUses.get(id);
        if (last === undefined) {
          lastUses.set(id, {request, at: now});
        }
        if (request === null || request === last?.request) {
          continue;
        }
        lastUses.set(id, {request, at: now});
        const key = getRateKey(endpoint, workspace);
        rates.set(key, addUse(rates.get(key), now));
      }
      prune(conns, now);
    },
    readUsedAt: ({id, idleSince}) => lastUses.get(id)?.at ?? idleSince,
    readRate: (endpoint, workspace, now) =>
      readUseRate(rates.get(getRateKey(endpoint, workspace)), now),
  };
}
