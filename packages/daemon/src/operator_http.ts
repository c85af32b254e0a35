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

/** Maximum number of concurrent operator connections. */
const MAX_CONNECTIONS = 512;
/** Timeout for the headers of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 5_000;
/** Timeout for a whole request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 10_000;
/** Time for which an idle connection stays open, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 5_000;
/** Interval at which Node checks connections for timeouts, in milliseconds. */
const TIMEOUT_CHECK_MS = 1_000;
/** Timeout of a planned change of primary, in milliseconds. */
const FAILOVER_TIMEOUT_MS = 60_000;

/** Time to send the last answers before closing, in milliseconds. */
const CLOSE_FLUSH_MS = 50;

/** Configuration of the operator adapter. */
export interface OperatorConfig {
  readonly runtime: Runtime;
  readonly address: string;
  /** Port to listen on; 0 selects any free port. */
  readonly port: number;
  readonly source: Omit<OperatorSource, 'now' | 'requestFailover'>;
}

/** Serves the HTTP interface for operators. */
export interface OperatorAdapter extends Adapter<'answer_operator'> {
  /** Starts to listen; resolves to the port, rejects if the port is in use. */
  readonly listen: () => Promise<number>;
}

/** A request for a planned change of primary without an answer yet. */
interface PendingFailover {
  readonly finish: (answer: FailoverAnswer) => void;
}

/** Answer to a change that did not finish within the timeout. */
const FAILOVER_TIMED_OUT: FailoverAnswer = {
  ok: false,
  detail: `not finished after ${FAILOVER_TIMEOUT_MS} ms; read GET /groups for the outcome`,
};
/** Answer to a change still in progress when this host stops. */
const FAILOVER_ABANDONED: FailoverAnswer = {
  ok: false,
  detail: 'this host is stopping; read GET /groups of another host',
};

/** Creates the adapter; `listen` opens its port. */
export function createOperatorAdapter(cfg: OperatorConfig): OperatorAdapter {
  const {runtime} = cfg;
  const events = new Subject<Event>();
  const pending = new Map<number, PendingFailover>();
  let nextRequestId = 1;

  const requestFailover = (
    group: GroupId,
    to: EndpointId | null,
  ): Promise<FailoverAnswer> =>
    new Promise(resolve => {
      const requestId = nextRequestId++;
      const finish = (answer: FailoverAnswer): void => {
        pending.delete(requestId);
        unregisterTimeout();
        resolve(answer);
      };
      const unregisterTimeout: Unregister = runtime.at(
        runtime.now() + FAILOVER_TIMEOUT_MS,
        () => finish(FAILOVER_TIMED_OUT),
      );
      pending.set(requestId, {finish});
      events.next({type: 'operator_failover', ask: requestId, group, to});
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
      // Ignores errors while accepting a connection; the listener continues.
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

/** Answers one request; an error affects only this request, as status 500. */
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
