/** Graceful shutdown of a host. */

import {waitUntil} from '@lacewingroad/runtime';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {Host} from './host.js';

/**
 * Time for which a stopping host still accepts callers, in ms: the platform
 * stops sending new ones after two failed readiness checks, one per second.
 */
const READINESS_DRAIN_MS = 2_100;
/** Share of the shutdown time after which open transactions are aborted. */
const TX_TIME_SHARE = 0.52;
/** Interval at which a stopping host checks for remaining work, in ms. */
const POLL_MS = 20;

/**
 * Stops a host: hands over its groups, accepts callers until the platform sends
 * no new ones, closes sessions as they become idle, and ends by the deadline.
 */
export async function stopGracefully(
  host: Host,
  runtime: Runtime,
  deadline: Instant,
): Promise<void> {
  const startedAt = runtime.now();
  const abortAt = startedAt + (deadline - startedAt) * TX_TIME_SHARE;
  const closeAt = Math.min(startedAt + READINESS_DRAIN_MS, abortAt);
  await host.handOver();
  await waitUntil(runtime, closeAt);
  host.entry.beginClosing();
  let hasAborted = false;
  while (host.entry.countBusyCallers() > 0 && runtime.now() < deadline) {
    if (!hasAborted && runtime.now() >= abortAt) {
      hasAborted = true;
      host.entry.abortTxs();
    }
    await waitUntil(runtime, runtime.now() + POLL_MS);
  }
}
