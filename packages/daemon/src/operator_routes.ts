/** Routes of the HTTP interface for operators. */

import type {IncomingMessage} from 'node:http';
import type {
  Blackboard,
  EndpointId,
  GroupId,
  Instant,
} from '@lacewingroad/core';
import type {TimelineEvent} from '@lacewingroad/telemetry';
import {buildGroupsPage} from './groups_page.js';
import {buildHostsPage} from './hosts_page.js';
import {computeReadiness} from './readiness.js';
import {buildTablePage} from './table_page.js';

/** Maximum size of a request body, in bytes. */
const MAX_BODY_BYTES = 64 * 1024;
const JSON_TYPE = 'application/json; charset=utf-8';

/** An HTTP response to an operator. */
export interface OperatorAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Data and functions that the routes use. */
export interface OperatorSource {
  readonly now: () => Instant;
  readonly getBoard: () => Blackboard;
  readonly isDraining: () => boolean;
  readonly readEvents: (afterSeq: number) => readonly TimelineEvent[];
  readonly readMetrics: () => Promise<string>;
  readonly metricsType: string;
  /** Requests a planned change of primary; resolves once it has ended. */
  readonly requestFailover: (
    group: GroupId,
    to: EndpointId | null,
  ) => Promise<FailoverAnswer>;
}

/** How a planned change of primary ended. */
export interface FailoverAnswer {
  readonly ok: boolean;
  readonly detail: string;
}

/** Handler of one route. */
export type OperatorRoute = (
  source: OperatorSource,
  req: IncomingMessage,
  url: URL,
) => OperatorAnswer | Promise<OperatorAnswer>;

/** Returns a JSON response. */
export function answerJson(status: number, value: unknown): OperatorAnswer {
  const body = `${JSON.stringify(value)}\n`;
  return {status, contentType: JSON_TYPE, body};
}

/** Reads a request body; returns null if it exceeds the maximum size. */
async function readBody(req: IncomingMessage): Promise<string | null> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) {
      return null;
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Parses the body of POST /failover; returns null if it is not valid. */
function parseFailover(
  text: string,
): {readonly group: GroupId; readonly to: EndpointId | null} | null {
  try {
    const value = JSON.parse(text) as {group?: unknown; to?: unknown} | null;
    const group = value?.group;
    const to = value?.to ?? null;
    const isValid =
      typeof group === 'string' &&
      group !== '' &&
      (to === null || typeof to === 'string');
    return isValid ? {group, to} : null;
  } catch {
    return null;
  }
}

const answerReadiness: OperatorRoute = source => {
  const readiness = computeReadiness(source.getBoard(), source.isDraining());
  return answerJson(readiness.ready ? 200 : 503, readiness);
};

const answerMetrics: OperatorRoute = async source => ({
  status: 200,
  contentType: source.metricsType,
  body: await source.readMetrics(),
});

const answerEvents: OperatorRoute = (source, _req, url) => {
  const after = Number(url.searchParams.get('after') ?? '0');
  if (!Number.isSafeInteger(after) || after < 0) {
    const error =
      'after must be a non-negative integer: the last seq already read';
    return answerJson(400, {error});
  }
  const {host} = source.getBoard().self;
  return answerJson(200, {host, events: source.readEvents(after)});
};

const answerFailover: OperatorRoute = async (source, req) => {
  const text = await readBody(req);
  const command = text === null ? null : parseFailover(text);
  if (command === null) {
    const detail =
      'send {"group": ID, "to": ENDPOINT or null} as JSON; nothing was changed';
    return answerJson(400, {ok: false, detail});
  }
  const answer = await source.requestFailover(command.group, command.to);
  return answerJson(200, answer);
};

/** All routes, by method and path. */
const ROUTES: Readonly<Record<string, OperatorRoute>> = {
  'GET /healthz': () => answerJson(200, {ok: true}),
  'GET /readyz': answerReadiness,
  'GET /metrics': answerMetrics,
  'GET /table': source =>
    answerJson(200, buildTablePage(source.getBoard(), source.now())),
  'GET /groups': source =>
    answerJson(200, buildGroupsPage(source.getBoard(), source.now())),
  'GET /hosts': source =>
    answerJson(200, buildHostsPage(source.getBoard(), source.now())),
  'GET /events': answerEvents,
  'POST /failover': answerFailover,
};

/** Answers an unknown route with the list of routes. */
const answerNotFound: OperatorRoute = () =>
  answerJson(404, {
    error: `no such call; available calls: ${Object.keys(ROUTES).join(', ')}`,
  });

/** Returns the handler for a method and path. */
export function findRoute(method: string, path: string): OperatorRoute {
  const name = `${method} ${path}`;
  return Object.hasOwn(ROUTES, name)
    ? (ROUTES[name] ?? answerNotFound)
    : answerNotFound;
}
