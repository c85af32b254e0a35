/** Logs when a promotion call is sent, and what is left of the lease then. */

import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {HostPorts, Promote} from '../ports.js';

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
      const isAllowed = call.maySend();
      ports.record('info', isAllowed ? 'promotion_sent' : 'promotion_held', {
        group: call.group,
        endpoint: call.endpoint,
        generation: call.generation,
        connect_ms: Math.round(now - calledAt),
        lease_left_ms: Math.round(readLeaseExpiry() - now),
      });
      return isAllowed;
    };
    return ports.promote({...call, maySend});
  };
}
