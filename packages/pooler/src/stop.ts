/** Graceful shutdown of a host. */

import {waitUntil} from '@lacewingroad/runtime';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {Host} from './host.js';

/**
 * Time for which a stopping host still accepts callers, in ms: the platform
 * stops sending new ones after two failed readiness checks, one per second.
 */
const READINESS_DRAIN_MS = 2_100;
/**
 * Share of the shutdown time after which new operations are refused: each one
 * that was accepted needs time to end.
 */
const OPERATION_TIME_SHARE = 0.52;
/**
 * Share of the shutdown time after which open transactions are aborted. The
 * shutdown ends a little before the grace period, of which they have half.
 */
const TX_TIME_SHARE = 0.55;
/** Interval at which a stopping host checks for remaining work, in ms. */
const POLL_MS = 20;

/**
 * Stops a host: hands over its groups, accepts callers until the platform sends
 * no new ones, closes sessions as they become idle, refuses new operations, and
 * ends by the deadline. Each request that it has received gets an answer.
 */
export async function stopGracefully(
  host: Host,
  runtime: Runtime,
  deadline: Instant,
): Promise<void> {
  const startedAt = runtime.now();
  const timeMs = deadline - startedAt;
  const refuseAt = startedAt + timeMs * OPERATION_TIME_SHARE;
  const abortAt = startedAt + timeMs * TX_TIME_SHARE;
  const closeAt = Math.min(startedAt + READINESS_DRAIN_MS, refuseAt);
  let isHandedOver = false;
  // Callers do not wait for it: the store may be slow.
  void host.handOver().finally(() => {
    isHandedOver = true;
  });
  await waitUntil(runtime, closeAt);
  host.entry.beginClosing();
  const hasWork = async (): Promise<boolean> => {
    await host.entry.receiveInput();
    return !isHandedOver || host.entry.countBusyCallers() > 0;
  };
  while (runtime.now() < deadline && (await hasWork())) {
    if (runtime.now() >= refuseAt) {
      host.entry.refuseOperations();
    }
    if (runtime.now() >= abortAt) {
      host.entry.abortTxs();
    }
    await waitUntil(runtime, runtime.now() + POLL_MS);
  }
  host.entry.endRequests();
  // What has arrived by now is refused; the sessions are closed after it.
  await host.entry.receiveInput();
  host.entry.endRequests();
}
