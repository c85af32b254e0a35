/** One HTTP call to the platform, with a deadline. */

import {request} from 'node:http';
import type {Agent, IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {Instant, Runtime} from '@lacewingroad/runtime';

/** Maximum size of an answer, in bytes. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** A call of the platform's object API. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Request body, sent as JSON; absent for none. */
  readonly body?: unknown;
  readonly deadline: Instant;
  /**
   * Asked once the connection stands; the call is sent only if it returns true.
   * Such a call is not delivered after its end either: its connection is reset.
   */
  readonly maySend?: () => boolean;
  /** Ends the call early. */
  readonly signal?: AbortSignal;
}

/** The result of a call. */
export type HttpResult =
  | {
      readonly type: 'answered';
      readonly status: number;
      /** By lower-case name. */
      readonly headers: IncomingHttpHeaders;
      /** The parsed JSON body, or undefined if it is not JSON. */
      readonly body: unknown;
    }
  /** Nothing was sent, so the call had no effect. */
  | {readonly type: 'not_sent'; readonly detail: string}
  /** The call was sent, but no complete answer arrived. */
  | {readonly type: 'no_answer'; readonly detail: string};

/** The server to call and how to connect to it. */
export interface HttpTarget {
  readonly runtime: Runtime;
  readonly url: URL;
  readonly agent: Agent;
  /** Local IP address of the connections, or null for any. */
  readonly sourceAddress: string | null;
}

/** Reads a whole answer as text; rejects if it is truncated or too large. */
async function readText(res: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of res as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) {
      throw new Error(`answer larger than ${MAX_ANSWER_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Parses JSON; returns undefined if the text is not valid. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Returns the headers of a call. */
function createHeaders(
  call: HttpCall,
  body: string | null,
): Record<string, string> {
  const content: Record<string, string> =
    body === null
      ? {}
      : {
          'content-type': 'application/json',
          'content-length': String(Buffer.byteLength(body)),
        };
  return {accept: 'application/json', ...content, ...call.headers};
}

/** Makes one call; never rejects, and resolves by the deadline. */
export function callHttp(
  target: HttpTarget,
  call: HttpCall,
): Promise<HttpResult> {
  const {runtime, url, agent, sourceAddress} = target;
  if (call.deadline <= runtime.now()) {
    const detail = 'the deadline had passed before the call';
    return Promise.resolve({type: 'not_sent', detail});
  }
  const body = call.body === undefined ? null : JSON.stringify(call.body);
  const basePath = url.pathname.replace(/\/$/, '');
  return new Promise(resolve => {
    const req = request({
      agent,
      host: url.hostname.replace(/^\[|\]$/g, ''),
      port: url.port,
      method: call.method,
      path: `${basePath}${call.path}`,
      headers: createHeaders(call, body),
      ...(sourceAddress === null ? {} : {localAddress: sourceAddress}),
    });
    let isSettled = false;
    const settle = (result: HttpResult): void => {
      if (isSettled) {
        return;
      }
      isSettled = true;
      unregisterDeadline();
      resolve(result);
    };
    let isHeldBack = call.maySend !== undefined;
    const fail = (detail: string): void => {
      const wasSent =
        !isHeldBack && req.socket !== null && !req.socket.connecting;
      settle({type: wasSent ? 'no_answer' : 'not_sent', detail});
      if (call.maySend !== undefined) {
        // The kernel would go on to deliver what it holds after a close.
        req.socket?.resetAndDestroy();
      }
      req.destroy();
    };
    const send = (): void => {
      if (call.maySend?.() === false) {
        fail('no longer wanted');
        return;
      }
      isHeldBack = false;
      req.end(body);
    };
    const unregisterDeadline = runtime.at(call.deadline, () =>
      fail('the deadline passed'),
    );
    req.on('error', (err: NodeJS.ErrnoException) => {
      const isConnectError =
        err.syscall === 'connect' || err.syscall === 'bind';
      if (isConnectError) {
        settle({type: 'not_sent', detail: err.message});
        return;
      }
      fail(err.message);
    });
    req.on('response', res => {
      readText(res).then(
        text =>
          settle({
            type: 'answered',
            status: res.statusCode ?? 0,
            headers: res.headers,
            body: parseJson(text),
          }),
        (err: unknown) => fail(String(err)),
      );
    });
    call.signal?.addEventListener('abort', () => fail('cancelled'), {
      once: true,
    });
    if (call.maySend === undefined) {
      send();
      return;
    }
    req.once('socket', socket => {
      if (socket.connecting) {
        socket.once('connect', send);
      } else {
        send();
      }
    });
  });
}
