/** Sends JSON requests over HTTP with a deadline. */

import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {CliError} from './cli_error.js';
import {Err, Ok} from './result.js';
import type {Result} from './result.js';

/** Error codes that guarantee that the request was not sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** An HTTP request with an optional JSON body. */
export interface JsonRequest {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
}

/** An HTTP response. */
export interface JsonAnswer {
  readonly status: number;
  /** Null when the response has no valid JSON body. */
  readonly body: unknown;
}

/**
 * Sends a request.
 *
 * @returns the response, with any status; `unreachable` when nothing was sent,
 *     `no_answer` when the request may have taken effect.
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
    return Err(describeRequestError(req.url, err));
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

function describeRequestError(url: string, err: unknown): CliError {
  const code = getErrorCode(err);
  if (NOT_SENT_CODES.has(code)) {
    return {kind: 'unreachable', message: `${url} is unreachable (${code})`};
  }
  return {kind: 'no_answer', message: `${url} did not answer (${code})`};
}

function getErrorCode(err: unknown): string {
  if (!(err instanceof Error)) {
    return String(err);
  }
  if (err.name === 'AbortError') {
    return 'deadline passed';
  }
  const cause = err.cause as {readonly code?: string} | undefined;
  return cause?.code ?? err.message;
}
