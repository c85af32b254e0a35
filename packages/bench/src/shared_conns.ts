/**
 * The baseline without owners: each entry host has an equal share of every
 * endpoint's connections and a queue of its own for it, by rank and arrival.
 * It is told of every position and primary at once, and keeps sessions.
 */

import {RANKS} from '@lacewingroad/core';
import type {
  ConnId,
  EndpointId,
  Event,
  HostId,
  Reply,
  TableRow,
} from '@lacewingroad/core';
import {createFakeConns} from '@lacewingroad/fakes';
import type {FakeConns, FakeSite} from '@lacewingroad/fakes';

/** A request to serve. */
export interface SharedRequest {
  readonly host: HostId;
  /** The endpoints that may serve it; the primary alone for a write. */
  readonly endpoints: readonly EndpointId[];
  readonly row: TableRow;
  readonly sql: string;
  /** Called once; null when nobody knows what became of it. */
  readonly onEnd: (reply: Reply | null) => void;
}

/** The shares of all entry hosts. */
export interface SharedConns {
  readonly send: (req: SharedRequest) => void;
}

interface Job {
  readonly req: SharedRequest;
  /** The connection that runs it, or null while it waits. */
  conn: ConnId | null;
}

/** A host's connections to one endpoint. */
interface Share {
  readonly endpoint: EndpointId;
  /** Open connections and what runs on each. */
  readonly conns: Map<ConnId, Job | null>;
  opening: number;
  waiting: Job[];
}

/** Connections left to probes and to the owners, which stand idle. */
const RESERVED_CONNECTIONS = 6;
const OPEN_TIMEOUT_MS = 1_000;
const NOT_RUN: Reply = {
  type: 'error',
  error: {errno: 9101, sqlState: 'LW001', message: 'too late'},
  inTx: false,
};

/** Returns the connections that each host may open to an endpoint. */
export function readShare(maxConnections: number, hosts: number): number {
  const shared = maxConnections - RESERVED_CONNECTIONS;
  return Math.max(1, Math.floor(shared / hosts));
}

function countBusy(share: Share): number {
  const running = [...share.conns.values()].filter(job => job !== null);
  return running.length + share.waiting.length;
}

/** Creates the shares of one entry host. */
function createHostShares(site: FakeSite, id: HostId): SharedConns {
  const {runtime, network, endpoints} = site;
  const {node, process} = site.hosts.get(id)!;
  const shares = new Map<EndpointId, Share>();
  let nextConn = 1;

  const readShareOf = (endpoint: EndpointId): Share => {
    const known = shares.get(endpoint);
    const share = known ?? {
      endpoint,
      conns: new Map<ConnId, Job | null>(),
      opening: 0,
      waiting: [],
    };
    shares.set(endpoint, share);
    return share;
  };

  const start = (share: Share): void => {
    const {endpoint, conns} = share;
    for (const [conn, running] of conns) {
      const job = running === null ? share.waiting.shift() : undefined;
      if (job !== undefined) {
        job.conn = conn;
        conns.set(conn, job);
        fakeConns.performers.run_conn({
          type: 'run_conn',
          endpoint,
          conn,
          step: conn,
          statement: {sql: job.req.sql, params: null},
        });
      }
    }
    open(share);
  };

  const open = (share: Share): void => {
    const {maxConnections} = endpoints.get(share.endpoint)!.load;
    const limit = readShare(maxConnections, site.hostIds.length);
    const room = limit - share.conns.size - share.opening;
    const count = Math.min(room, share.waiting.length - share.opening);
    for (let opened = 0; opened < count; opened++) {
      share.opening += 1;
      fakeConns.performers.open_conn({
        type: 'open_conn',
        endpoint: share.endpoint,
        address: share.endpoint,
        port: 1,
        conn: nextConn++,
        deadline: runtime.now() + OPEN_TIMEOUT_MS,
      });
    }
  };

  const HANDLERS: {
    readonly [T in Event['type']]?: (event: Extract<Event, {type: T}>) => void;
  } = {
    conn_opened: ({endpoint, conn}) => {
      const share = readShareOf(endpoint);
      share.opening -= 1;
      share.conns.set(conn, null);
      start(share);
    },
    conn_closed: ({endpoint, conn, wasOpen}) => {
      const share = readShareOf(endpoint);
      share.opening -= wasOpen ? 0 : 1;
      const job = share.conns.get(conn);
      share.conns.delete(conn);
      job?.req.onEnd(null);
    },
    conn_answered: ({endpoint, conn, answer}) => {
      const share = readShareOf(endpoint);
      const job = share.conns.get(conn);
      share.conns.set(conn, null);
      const parts = {inTx: false, autocommit: true};
      job?.req.onEnd({...answer, ...parts});
      start(share);
    },
  };

  const fakeConns: FakeConns = createFakeConns({
    network,
    node,
    process,
    push: event => HANDLERS[event.type]?.(event as never),
    findEndpoint: endpoint => endpoints.get(endpoint) ?? null,
  });

  const expire = (share: Share, job: Job): void => {
    if (job.conn === null) {
      share.waiting = share.waiting.filter(other => other !== job);
      job.req.onEnd(NOT_RUN);
    }
  };

  return {
    send: req => {
      const [share] = req.endpoints
        .map(readShareOf)
        .sort((a, b) => countBusy(a) - countBusy(b));
      if (share === undefined) {
        req.onEnd(NOT_RUN);
        return;
      }
      const job: Job = {req, conn: null};
      const rank = RANKS.indexOf(req.row.rank);
      const at = share.waiting.findIndex(
        other => RANKS.indexOf(other.req.row.rank) > rank,
      );
      share.waiting.splice(at < 0 ? share.waiting.length : at, 0, job);
      process.at(runtime.now() + req.row.timeoutMs, () => expire(share, job));
      start(share);
    },
  };
}

/** Creates the shares of all entry hosts of a site. */
export function createSharedConns(site: FakeSite): SharedConns {
  const hosts = new Map<HostId, SharedConns>();
  return {
    send: req => {
      const host = hosts.get(req.host) ?? createHostShares(site, req.host);
      hosts.set(req.host, host);
      host.send(req);
    },
  };
}
