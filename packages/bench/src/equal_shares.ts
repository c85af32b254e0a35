/**
 * The baseline without owners: each entry host has an equal share of every
 * endpoint's connections, and its own queue per endpoint, ordered by rank and
 * arrival. It knows every position and primary without delay, and keeps
 * sessions consistent.
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
export interface EqualSharesRequest {
  readonly host: HostId;
  /** The endpoints that may serve it; the primary alone for a write. */
  readonly endpoints: readonly EndpointId[];
  readonly row: TableRow;
  readonly sql: string;
  /** Called once, with null if the outcome is unknown. */
  readonly onEnd: (reply: Reply | null) => void;
}

/** Sends requests over the entry hosts' shares of the connections. */
export interface EqualShares {
  readonly send: (req: EqualSharesRequest) => void;
}

interface Job {
  readonly req: EqualSharesRequest;
  /** The connection that runs the request, or null while it waits. */
  conn: ConnId | null;
}

/** A host's share of the connections to one endpoint. */
interface Share {
  readonly endpoint: EndpointId;
  /** Open connections, each with the job it runs or null. */
  readonly conns: Map<ConnId, Job | null>;
  /** Number of connections that are being opened. */
  opening: number;
  waiting: Job[];
}

/** Connections reserved for probes and for the owners, which stay idle here. */
const RESERVED_CONNECTIONS = 6;
const OPEN_TIMEOUT_MS = 1_000;
const NOT_RUN: Reply = {
  type: 'error',
  error: {errno: 9101, sqlState: 'LW001', message: 'too late'},
  inTx: false,
};

/** Returns how many connections each host may open to an endpoint. */
export function computeShareSize(
  maxConnections: number,
  hosts: number,
): number {
  const available = maxConnections - RESERVED_CONNECTIONS;
  return Math.max(1, Math.floor(available / hosts));
}

function countPendingJobs(share: Share): number {
  const running = [...share.conns.values()].filter(job => job !== null);
  return running.length + share.waiting.length;
}

/** Creates the shares of one entry host. */
function createHostShares(site: FakeSite, id: HostId): EqualShares {
  const {runtime, network, endpoints} = site;
  const {node, process} = site.hosts.get(id)!;
  const shares = new Map<EndpointId, Share>();
  let nextConn = 1;

  const getShare = (endpoint: EndpointId): Share => {
    const existing = shares.get(endpoint);
    const share = existing ?? {
      endpoint,
      conns: new Map<ConnId, Job | null>(),
      opening: 0,
      waiting: [],
    };
    shares.set(endpoint, share);
    return share;
  };

  const runWaitingJobs = (share: Share): void => {
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
    openNeededConns(share);
  };

  const openNeededConns = (share: Share): void => {
    const {maxConnections} = endpoints.get(share.endpoint)!.load;
    const limit = computeShareSize(maxConnections, site.hostIds.length);
    const unused = limit - share.conns.size - share.opening;
    const count = Math.min(unused, share.waiting.length - share.opening);
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
      const share = getShare(endpoint);
      share.opening -= 1;
      share.conns.set(conn, null);
      runWaitingJobs(share);
    },
    conn_closed: ({endpoint, conn, wasOpen}) => {
      const share = getShare(endpoint);
      share.opening -= wasOpen ? 0 : 1;
      const job = share.conns.get(conn);
      share.conns.delete(conn);
      job?.req.onEnd(null);
    },
    conn_answered: ({endpoint, conn, answer}) => {
      const share = getShare(endpoint);
      const job = share.conns.get(conn);
      share.conns.set(conn, null);
      const txState = {inTx: false, autocommit: true};
      job?.req.onEnd({...answer, ...txState});
      runWaitingJobs(share);
    },
  };

  const fakeConns: FakeConns = createFakeConns({
    network,
    node,
    process,
    push: event => HANDLERS[event.type]?.(event as never),
    findEndpoint: endpoint => endpoints.get(endpoint) ?? null,
  });

  const expireWaitingJob = (share: Share, job: Job): void => {
    if (job.conn === null) {
      share.waiting = share.waiting.filter(other => other !== job);
      job.req.onEnd(NOT_RUN);
    }
  };

  return {
    send: req => {
      const [share] = req.endpoints
        .map(getShare)
        .sort((a, b) => countPendingJobs(a) - countPendingJobs(b));
      if (share === undefined) {
        req.onEnd(NOT_RUN);
        return;
      }
      const job: Job = {req, conn: null};
      const rank = RANKS.indexOf(req.row.rank);
      const index = share.waiting.findIndex(
        other => RANKS.indexOf(other.req.row.rank) > rank,
      );
      share.waiting.splice(index < 0 ? share.waiting.length : index, 0, job);
      process.at(runtime.now() + req.row.timeoutMs, () =>
        expireWaitingJob(share, job),
      );
      runWaitingJobs(share);
    },
  };
}

/** Creates the shares of all entry hosts of a site. */
export function createEqualShares(site: FakeSite): EqualShares {
  const hosts = new Map<HostId, EqualShares>();
  return {
    send: req => {
      const host = hosts.get(req.host) ?? createHostShares(site, req.host);
      hosts.set(req.host, host);
      host.send(req);
    },
  };
}
