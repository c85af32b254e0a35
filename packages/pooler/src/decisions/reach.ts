/** How a host handles callers of groups whose owners it cannot reach. */

import type {Instant} from '@lacewingroad/runtime';

/** Time in which a lost connection between hosts is usually restored, in ms. */
export const RECONNECT_MS = 300;
/**
 * Time in which a group whose owner failed usually has a new owner, in ms:
 * deputies' promises expire, and the new owner learns the state of endpoints.
 */
export const TAKEOVER_MS = 1_500;
/** Time after which a lost owner counts as unreachable, in ms. */
const UNREACHABLE_AFTER_MS = 1_200;

/**
 * Returns until when a statement may wait for its group's owner, or null if it
 * should be refused at once. Applies to statements that arrive while the group
 * has no owner or while this host is cut off from the owner. A statement that
 * is not expected to run in time does not wait, since its caller's next attempt
 * goes to another host.
 */
export function computeWaitDeadline(
  lostAt: Instant | null,
  now: Instant,
  deadline: Instant,
): Instant | null {
  if (lostAt === null || now < lostAt + RECONNECT_MS) {
    return Math.min(deadline, (lostAt ?? now) + RECONNECT_MS);
  }
  const ownedAgainAt = lostAt + TAKEOVER_MS;
  return now < ownedAgainAt && ownedAgainAt < deadline ? deadline : null;
}

/**
 * Returns whether the idle sessions of a group should go to other hosts, since
 * the group has been without a reachable owner for longer than a takeover
 * takes. When hosts are split into two sides, the owners on either side keep
 * their leases, and no host is cut off from most of them: callers are served
 * only once they are on their owner's side.
 */
export function shouldMoveSessions(
  lostAt: Instant | null,
  now: Instant,
): boolean {
  return lostAt !== null && now - lostAt >= TAKEOVER_MS;
}

/** What a host knows about the owners of all groups. */
export interface OwnersReach {
  /**
   * Since when each group's owner is unreachable or has no valid lease; null
   * for the others.
   */
  readonly lostAt: readonly (Instant | null)[];
  /** Since when no other data centre is reachable, or null. */
  readonly isolatedAt: Instant | null;
}

/**
 * Returns whether a host should take no callers, because it cannot serve most
 * groups while hosts elsewhere may. A data centre that is cut off also holds
 * owners: they are reachable, but their leases end about when the connections
 * to the others do, and nobody replaces them there. It leaves the rotation as
 * soon as both is known. A host that still reaches others waits for owners to
 * be replaced.
 */
export function isCutOff(
  {lostAt, isolatedAt}: OwnersReach,
  now: Instant,
): boolean {
  const isIsolated = isolatedAt !== null && now - isolatedAt >= RECONNECT_MS;
  const afterMs = isIsolated ? 0 : UNREACHABLE_AFTER_MS;
  const lost = lostAt.filter(since => since !== null && now - since >= afterMs);
  return lost.length * 2 > lostAt.length;
}
