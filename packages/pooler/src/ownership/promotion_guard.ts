/**
 * Sends a promotion call only if it arrives within the lease, and logs it: after
 * a call of the next owner it would carry a lower token.
 */

import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {HostPorts, Promote} from '../ports.js';

/**
 * Time in which a call is delivered, in ms: the promises of the deputies, which
 * are renewed every 300 ms, leave over 700 ms of a lease that is not in danger.
 */
const DELIVERY_MS = 500;

/** Dependencies of the guard. */
export interface PromotionGuardConfig {
  readonly runtime: Runtime;
  readonly ports: Pick<HostPorts, 'promote' | 'record'>;
  readonly readLeaseExpiry: () => Instant;
}

/** Wraps the port that requests promotions. */
export function createPromotionGuard({
  runtime,
  ports,
  readLeaseExpiry,
}: PromotionGuardConfig): Promote {
  return call => {
    const calledAt = runtime.now();
    const maySend = (): boolean => {
      const now = runtime.now();
      const leaseLeftMs = readLeaseExpiry() - now;
      const isAllowed = call.maySend() && leaseLeftMs >= DELIVERY_MS;
      ports.record('info', isAllowed ? 'promotion_sent' : 'promotion_held', {
        group: call.group,
        endpoint: call.endpoint,
        generation: call.generation,
        connect_ms: Math.round(now - calledAt),
        lease_left_ms: Math.round(leaseLeftMs),
      });
      return isAllowed;
    };
    return ports.promote({...call, maySend});
  };
}
