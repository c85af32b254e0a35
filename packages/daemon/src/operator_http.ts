/** The HTTP server for operators. */

import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Subject} from 'rxjs';
import type {Adapter, EndpointId, Event, GroupId} from '@lacewingroad/core';
import {waitUntil} from '@lacewingroad/runtime';
import type {Runtime, Unregister} from '@lacewingroad/runtime';
import {answerJson, findRoute} from './operator_routes.js';
import type {FailoverAnswer, OperatorSource} from './operator_routes.js';

/** Connections of operators at once. */
const MAX_CONNECTIONS = 512;
/** Time for the headers of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 5_000;
/** Time for a whole request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 10_000;
/** Time that an idle connection is kept between requests, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 5_000;
/** How often Node looks for connections over their time, in milliseconds. */
const TIMEOUT_CHECK_MS = 1_000;
/** Time that a planned change of primary may take, in milliseconds. */
const FAILOVER_TIMEOUT_MS = 60_000;

/** Time for the last answers to leave when closing, in milliseconds. */
const CLOSE_FLUSH_MS = 50;

/** What the operator adapter needs. */
export interface OperatorConfig {
  readonly runtime: Runtime;
  readonly address: string;
  /** 0 for any free port. */
  readonly port: number;
  readonly source: Omit<OperatorSource, 'now' | 'requestFailover'>;
}

/** Serves operators. */
export interface OperatorAdapter extends Adapter<'answer_operator'> {
  /** Starts to listen; resolves to the port, rejects when it is taken. */
  readonly listen: () => Promise<number>;
}

/** A request for a planned change that waits for its answer. */
interface PendingFailover {
  readonly finish: (answer: FailoverAnswer) => void;
}

/** Answer to a change that did not end in time. */
const FAILOVER_TIMED_OUT: FailoverAnswer = {
  ok: false,
  detail: `not over after ${FAILOVER_TIMEOUT_MS} ms; read GET /groups to see how it ended`,
};
/** Answer to a change that this host no longer follows. */
const FAILOVER_ABANDONED: FailoverAnswer = {
  ok: false,
  detail: 'this host is stopping; read GET /groups of another host',
};

/** Creates the adapter; it listens once `listen` is called. */
export function createOperatorAdapter(cfg: OperatorConfig): OperatorAdapter {
  const {runtime} = cfg;
  const events = new Subject<Event>();
  const pending = new Map<number, PendingFailover>();
  let nextAsk = 1;

  const requestFailover = (
    group: GroupId,
    to: EndpointId | null,
  ): Promise<FailoverAnswer> =>
    new Promise(resolve => {
      const ask = nextAsk++;
      const finish = (answer: FailoverAnswer): void => {
        pending.delete(ask);
        unregisterTimeout();
        resolve(answer);
      };
      const unregisterTimeout: Unregister = runtime.at(
        runtime.now() + FAILOVER_TIMEOUT_MS,
        () => finish(FAILOVER_TIMED_OUT),
      );
      pending.set(ask, {finish});
      events.next({type: 'operator_failover', ask, group, to});
    });

  const source = {...cfg.source, now: runtime.now, requestFailover};
  const server = createServer(
    {
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
    },
    (req, res) => void answer(source, req, res),
  );
  server.maxConnections = MAX_CONNECTIONS;

  return {
    events$: events.asObservable(),
    performers: {
      answer_operator: ({ask, ok, detail}) =>
        pending.get(ask)?.finish({ok, detail}),
    },
    listen: async () => {
      server.listen(cfg.port, cfg.address);
      await once(server, 'listening');
      // A fault while accepting one connection; the listener goes on.
      server.on('error', () => undefined);
      return (server.address() as AddressInfo).port;
    },
    close: async () => {
      events.complete();
      if (pending.size > 0) {
        [...pending.values()].forEach(({finish}) => finish(FAILOVER_ABANDONED));
        await waitUntil(runtime, runtime.now() + CLOSE_FLUSH_MS);
      }
      if (!server.listening) {
        return;
      }
      const closed = once(server, 'close');
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
}

/** Answers one request; a fault in doing so concerns this request only. */
async function answer(
  source: OperatorSource,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  try {
    const url = new URL(req.url ?? '/', 'http://host');
    const route = findRoute(req.method ?? '', url.pathname);
    const {status, contentType, body} = await route(source, req, url);
    res.writeHead(status, {'content-type': contentType});
    res.end(body);
  } catch (err) {
    const {status, contentType, body} = answerJson(500, {error: String(err)});
    if (!res.headersSent) {
      res.writeHead(status, {'content-type': contentType});
    }
    res.end(body);
  }
}
