/** Implements the operator port over HTTP. */

import type {Runtime} from '@lacewingroad/runtime';
import {requestJson} from './http_json.js';
import type {JsonRequest} from './http_json.js';
import type {OperatorPort} from './ports.js';
import {Err, Ok} from './result.js';

/** Timeout of a GET request, in milliseconds. */
const READ_TIMEOUT_MS = 3_000;
/** Timeout of a planned change of primary, in milliseconds. */
const COMMAND_TIMEOUT_MS = 60_000;
const HTTP_OK = 200;

/** Creates a client of the entry hosts' operator HTTP interface. */
export function createHttpOperators(runtime: Runtime): OperatorPort {
  const send = async (req: JsonRequest, timeoutMs: number) => {
    const res = await requestJson(runtime, req, runtime.now() + timeoutMs);
    if (res.err) {
      return res;
    }
    if (res.val.status === HTTP_OK) {
      return Ok(res.val.body);
    }
    const detail = JSON.stringify(res.val.body);
    return Err({
      kind: 'refused' as const,
      message: `${req.url} answered with status ${res.val.status}: ${detail}`,
    });
  };
  return {
    get: (address, path) =>
      send({method: 'GET', url: `http://${address}${path}`}, READ_TIMEOUT_MS),
    post: (address, path, body) =>
      send(
        {method: 'POST', url: `http://${address}${path}`, body},
        COMMAND_TIMEOUT_MS,
      ),
  };
}
