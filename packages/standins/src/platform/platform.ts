/**
 * Simulates the platform: its object API, with behavior that tests can change.
 */

import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {waitUntil} from '@lacewingroad/runtime';
import type {Runtime} from '@lacewingroad/runtime';
import {
  listen,
  readBody,
  sendJson,
  startControl,
  trackSockets,
} from '../http.js';
import type {HostPort, JsonReply} from '../http.js';
import {createRateLimit} from './rate_limit.js';
import {createObjectStore} from './store.js';
import type {StoredObject} from './store.js';

const OBJECTS_PATH = '/v1/objects';
const HOSTS_PREFIX = 'hosts/';
const MAX_VALUE_BYTES = 1_048_576;
const DEFAULT_WRITES_PER_SECOND = 400;
const DEFAULT_READS_PER_SECOND = 2_000;

/** Behavior of the platform that tests can change at run time. */
export interface PlatformSwitches {
  /** `down` resets connections, `hang` leaves requests without a response. */
  readonly mode: 'up' | 'down' | 'hang';
  /** Delay of each response in milliseconds. */
  readonly delayMs: number;
  /** Number of upcoming updates that take effect but whose response is lost. */
  readonly loseAnswers: number;
  /** Delay before a change appears in the host list, in milliseconds. */
  readonly hostListLagMs: number;
}

/** Settings of a simulated platform. */
export interface PlatformConfig {
  readonly listen: HostPort;
  readonly control: HostPort;
  /** Initial objects by key. */
  readonly objects?: Readonly<Record<string, unknown>>;
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
  readonly hostListLagMs?: number;
}

/** A running stand-in (platform, endpoint or fault proxy). */
export interface Standin {
  readonly address: HostPort;
  readonly control: HostPort;
  readonly close: () => Promise<void>;
}

type CallType = 'list' | 'watch' | 'get' | 'put' | 'delete';

interface Call {
  readonly type: CallType;
  readonly key: string;
  readonly since: number;
  readonly waitMs: number;
  readonly version: number;
}

const WRITE_CALLS: ReadonlySet<CallType> = new Set(['put', 'delete']);

const METHOD_CALLS: Readonly<Record<string, CallType>> = {
  GET: 'get',
  PUT: 'put',
  DELETE: 'delete',
};

/** Parses a request into an API call; returns null if there is no such call. */
function parseCall(req: IncomingMessage): Call | null {
  const url = new URL(req.url ?? '/', 'http://platform');
  const version = Number(String(req.headers['if-match']).replaceAll('"', ''));
  const since = Number(url.searchParams.get('since') ?? 0);
  const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
  if (url.pathname === OBJECTS_PATH && req.method === 'GET') {
    const type = waitMs > 0 ? 'watch' : 'list';
    return {type, key: '', since, waitMs, version};
  }
  const type = METHOD_CALLS[req.method ?? ''];
  if (type === undefined || !url.pathname.startsWith(`${OBJECTS_PATH}/`)) {
    return null;
  }
  const key = decodeURIComponent(url.pathname.slice(OBJECTS_PATH.length + 1));
  return {type, key, since, waitMs, version};
}

/** Starts a simulated platform. */
export async function startPlatform(
  cfg: PlatformConfig,
  runtime: Runtime,
): Promise<Standin> {
  const store = createObjectStore();
  const allowWrite = createRateLimit(
    cfg.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
    runtime,
  );
  const allowRead = createRateLimit(
    cfg.readsPerSecond ?? DEFAULT_READS_PER_SECOND,
    runtime,
  );
  const counts = new Map<string, number>();
  let switches: PlatformSwitches = {
    mode: 'up',
    delayMs: 0,
    loseAnswers: 0,
    hostListLagMs: cfg.hostListLagMs ?? 0,
  };
  Object.entries(cfg.objects ?? {}).forEach(([key, value]) =>
    store.force(key, value),
  );

  const count = (name: string): void => {
    counts.set(name, (counts.get(name) ?? 0) + 1);
  };

  const listChanges = (since: number): JsonReply => ({
    status: 200,
    body: {revision: store.revision(), changes: store.changesSince(since)},
  });

  const watch = (call: Call, req: IncomingMessage): Promise<JsonReply> => {
    const hasChanged = (): boolean => store.revision() > call.since;
    if (hasChanged()) {
      return Promise.resolve(listChanges(call.since));
    }
    return new Promise(resolve => {
      const finish = (): void => {
        unsubscribe();
        cancelTimer();
        req.socket.off('close', finish);
        resolve(listChanges(call.since));
      };
      const unsubscribe = store.onChange(finish);
      const cancelTimer = runtime.at(runtime.now() + call.waitMs, finish);
      req.socket.on('close', finish);
    });
  };

  const update = (call: Call, value: unknown): JsonReply => {
    if (!Number.isInteger(call.version)) {
      return {status: 428, body: {error: 'send If-Match: VERSION'}};
    }
    if (call.key.startsWith(HOSTS_PREFIX)) {
      return {status: 403, body: {error: 'the host list is read-only'}};
    }
    const result = store.update(call.key, call.version, value);
    if (result.type === 'conflict') {
      return {status: 409, body: result.object};
    }
    const {key, version, revision} = result.object;
    return {status: 200, body: {key, version, revision}};
  };

  const put = (call: Call, raw: Buffer): JsonReply => {
    if (raw.length > MAX_VALUE_BYTES) {
      return {status: 413, body: {error: 'the value exceeds 1 MiB'}};
    }
    const value: unknown = JSON.parse(raw.toString('utf8'));
    if (value === null) {
      return {status: 400, body: {error: 'use DELETE to delete an object'}};
    }
    return update(call, value);
  };

  const get = (call: Call): JsonReply => {
    const object: StoredObject | null = store.get(call.key);
    return object === null
      ? {status: 404, body: {error: `object ${call.key} does not exist`}}
      : {status: 200, body: object};
  };

  const handlers: Readonly<
    Record<
      CallType,
      (
        call: Call,
        raw: Buffer,
        req: IncomingMessage,
      ) => JsonReply | Promise<JsonReply>
    >
  > = {
    list: call => listChanges(call.since),
    watch: (call, _raw, req) => watch(call, req),
    get,
    put,
    delete: call => update(call, null),
  };

  const runCall = (
    call: Call,
    raw: Buffer,
    req: IncomingMessage,
  ): JsonReply | Promise<JsonReply> => {
    count(call.type);
    const isAllowed = WRITE_CALLS.has(call.type) ? allowWrite() : allowRead();
    if (!isAllowed) {
      count('refused');
      return {status: 429, body: {error: 'rate limit exceeded: retry later'}};
    }
    return handlers[call.type](call, raw, req);
  };

  /**
   * Returns whether to drop the response to this call, and if so decrements
   * `loseAnswers`.
   */
  const shouldDropResponse = (call: Call, reply: JsonReply): boolean => {
    const isUpdate = WRITE_CALLS.has(call.type) && reply.status === 200;
    if (!isUpdate || switches.loseAnswers <= 0) {
      return false;
    }
    switches = {...switches, loseAnswers: switches.loseAnswers - 1};
    return true;
  };

  const serve = async (
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> => {
    if (switches.mode === 'down') {
      req.socket.resetAndDestroy();
      return;
    }
    if (switches.mode === 'hang') {
      count('hung');
      return;
    }
    const call = parseCall(req);
    const raw = await readBody(req);
    if (call === null) {
      sendJson(res, {
        status: 404,
        body: {error: `unknown API call: ${req.url}`},
      });
      return;
    }
    const reply = await runCall(call, raw, req);
    if (shouldDropResponse(call, reply)) {
      req.socket.destroy();
      return;
    }
    if (switches.delayMs > 0) {
      await waitUntil(runtime, runtime.now() + switches.delayMs);
    }
    // The mode may have changed while the call was waiting.
    if (switches.mode === 'up') {
      sendJson(res, reply);
    }
  };

  const server = createServer((req, res) => {
    serve(req, res).catch(err =>
      sendJson(res, {status: 400, body: {error: String(err)}}),
    );
  });
  const sockets = trackSockets(server);
  server.on('connection', socket => {
    if (switches.mode === 'down') {
      socket.resetAndDestroy();
    }
  });
  const address = await listen(server, cfg.listen);

  const setListedHost = (key: string, value: unknown): JsonReply => {
    const changeAt = runtime.now() + switches.hostListLagMs;
    const change = (): void => {
      store.force(HOSTS_PREFIX + key, value);
    };
    if (switches.hostListLagMs > 0) {
      runtime.at(changeAt, change);
    } else {
      change();
    }
    return {status: 200, body: {}};
  };

  const parseHostId = (req: IncomingMessage): string =>
    decodeURIComponent((req.url ?? '').split('/').at(-1) ?? '');

  const control = await startControl(cfg.control, {
    'PUT /control': (_req, body) => {
      switches = {...switches, ...(body as Partial<PlatformSwitches>)};
      if (switches.mode === 'down') {
        sockets.forEach(socket => socket.resetAndDestroy());
      }
      return {status: 200, body: switches};
    },
    'GET /control': () => ({status: 200, body: switches}),
    'GET /control/stats': () => ({
      status: 200,
      body: Object.fromEntries(counts),
    }),
    'GET /control/objects': () => listChanges(0),
    'PUT /control/hosts/*': (req, body) =>
      setListedHost(parseHostId(req), body),
    'DELETE /control/hosts/*': req => setListedHost(parseHostId(req), null),
  });

  return {
    address,
    control: control.address,
    close: async () => {
      const closed = new Promise<void>(resolve =>
        server.close(() => resolve()),
      );
      sockets.forEach(socket => socket.destroy());
      await Promise.all([closed, control.close()]);
    },
  };
}
