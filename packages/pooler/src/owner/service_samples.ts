/** Records what the completion of a statement says about its endpoint. */

import type {EndpointReply} from '../model/statement.js';
import {SERVICE_SMOOTHING_FACTOR} from './limits.js';
import {recordUse} from './overload.js';
import type {Conn, Job, Pool} from './state.js';

/** Updates an endpoint's service time and applied position after a reply. */
export function recordServiceTime(
  pool: Pool,
  conn: Conn,
  job: Job,
  reply: EndpointReply,
): void {
  const state = pool.endpoints.get(conn.endpoint);
  if (state === undefined || job.sentAt === null) {
    return;
  }
  const tookMs = pool.now() - job.sentAt;
  pool.endpoints.update(conn.endpoint, {
    serviceMs:
      state.serviceMs + SERVICE_SMOOTHING_FACTOR * (tookMs - state.serviceMs),
    applied: reply.position ?? state.applied,
  });
  recordUse(pool, job, tookMs, reply);
}
