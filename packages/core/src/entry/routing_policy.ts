/** Routing policies for reads. */

/** A routing policy for reads. */
export interface RoutingPolicy {
  /** Whether replicas may serve reads. */
  readonly usesReplicas: boolean;
  /** Whether a replica must have reached the session's position. */
  readonly checksPositions: boolean;
}

/** Names of the routing policies. */
export type RoutingName = 'session' | 'primary' | 'age';

/**
 * Every routing policy by name. Production uses `session`; benchmarks compare
 * it with the others, of which `age` violates session consistency.
 */
export const ROUTING_POLICIES: Readonly<Record<RoutingName, RoutingPolicy>> = {
  session: {usesReplicas: true, checksPositions: true},
  primary: {usesReplicas: false, checksPositions: true},
  age: {usesReplicas: true, checksPositions: false},
};
