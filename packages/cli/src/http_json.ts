/** JSON over HTTP with a deadline. */

import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {CliError} from './cli_error.js';
import {Err, Ok} from './result.js';
import type {Result} from './result.js';

/** Faults of the connection after which surely nothing was sent. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** An HTTP request with a JSON body, or without one. */
export interface JsonRequest {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
}

/** An HTTP answer. */
export interface JsonAnswer {
  readonly status: number;
  /** Null when the answer carries no JSON. */
  readonly body: unknown;
}

/**
 * Sends a request.
 *
 * @returns the answer of whatever status; `unreachable` when nothing was sent,
 *     `no_answer` when nobody knows what became of it.
 */
export async function requestJson(
  runtime: Runtime,
  req: JsonRequest,
  deadline: Instant,
): Promise<Result<JsonAnswer, CliError>> {
  const aborter = new AbortController();
  const unregister = runtime.at(deadline, () => aborter.abort());
  try {
    const res = await fetch(req.url, {
      method: req.method,
      headers: {'content-type': 'application/json', ...req.headers},
      body: req.body === undefined ? null : JSON.stringify(req.body),
      signal: aborter.signal,
    });
    return Ok({status: res.status, body: parseJson(await res.text())});
  } catch (err) {
    return Err(describeFault(req.url, err));
  } finally {
    unregister();
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return null;
  }
}

function describeFault(url: string, err: unknown): CliError {
  const code = readFaultCode(err);
  if (UNSENT_CODES.has(code)) {
    return {kind: 'unreachable', message: `${url} is unreachable (${code})`};
  }
  return {kind: 'no_answer', message: `${url} did not answer (${code})`};
}

function readFaultCode(err: unknown): string {
  if (!(err instanceof Error)) {
    return String(err);
  }
  if (err.name === 'AbortError') {
    return 'deadline passed';
  }
  const cause = err.cause as {readonly code?: string} | undefined;
  return cause?.code ?? err.message;
}
