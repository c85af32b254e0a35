/** Routing policies: where reads may go. */

/** How reads are routed. */
export interface RoutingPolicy {
  /** Whether replicas may serve reads. */
  readonly usesReplicas: boolean;
  /** Whether a replica must have reached the session's position. */
  readonly keepsSessions: boolean;
}

/** Names of the routing policies. */
export type RoutingName = 'session' | 'primary' | 'age';

/**
 * Every routing policy by name. The product uses `session`; the others are
 * there for the bench to compare with, and `age` breaks session consistency.
 */
export const ROUTING_POLICIES: Readonly<Record<RoutingName, RoutingPolicy>> = {
  session: {usesReplicas: true, keepsSessions: true},
  primary: {usesReplicas: false, keepsSessions: true},
  age: {usesReplicas: true, keepsSessions: false},
};
