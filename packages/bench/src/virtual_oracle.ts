/** Applies the oracle to the fake site of a run. */

import {hasReached} from '@lacewingroad/core';
import type {
  EndpointId,
  GroupId,
  GroupObject,
  LogPosition,
} from '@lacewingroad/core';
import type {FakeEndpoint, FakeSite, NetNode} from '@lacewingroad/fakes';
import {couldPrimaryServe, couldReplicaServe} from './oracle.js';
import type {EndpointSnapshot} from './oracle.js';

/** A request to evaluate. */
export interface OracleQuery {
  /** The entry host that received the request. */
  readonly host: NetNode;
  readonly group: GroupId;
  readonly isWrite: boolean;
  /** Position of its session's last acknowledged write, or null. */
  readonly wanted: LogPosition | null;
  readonly maxStalenessMs: number | null;
}

/** What an oracle could do with a request at its arrival. */
export interface OracleResult {
  readonly couldReplicaServe: boolean;
  readonly couldServe: boolean;
  /** Endpoints to use: replicas that could serve it, or else the primary. */
  readonly endpoints: readonly EndpointId[];
}

function isLinked({network}: FakeSite, a: NetNode, b: NetNode): boolean {
  return network.pathState(a, b) === 'up' && network.pathState(b, a) === 'up';
}

/** Returns whether a host reaches an endpoint, directly or through another. */
function isReachable(
  site: FakeSite,
  host: NetNode,
  endpoint: NetNode,
): boolean {
  if (isLinked(site, host, endpoint)) {
    return true;
  }
  return [...site.hosts.values()].some(
    ({node, process}) =>
      !process.isDead() &&
      isLinked(site, host, node) &&
      isLinked(site, node, endpoint),
  );
}

function takeSnapshot(
  site: FakeSite,
  {host, wanted}: OracleQuery,
  group: GroupObject,
  endpoint: FakeEndpoint,
): EndpointSnapshot {
  const process = endpoint.process();
  const {position, dataAgeMs} = endpoint.readStatus();
  return {
    isPrimary: endpoint.node.id === group.primary,
    isReachable: isReachable(site, host, endpoint.node),
    isAlive: !process.isDead() && !process.isPaused(),
    hasSessionWrites:
      wanted === null || hasReached(position, wanted, group.starts),
    dataAgeMs,
  };
}

/** Returns what an oracle could do with a request that arrives now. */
export function queryOracle(site: FakeSite, query: OracleQuery): OracleResult {
  const {isWrite, maxStalenessMs} = query;
  const group = site.readGroup(query.group);
  const snapshots = group.endpoints.map(({id}) => ({
    id,
    snapshot: takeSnapshot(site, query, group, site.endpoints.get(id)!),
  }));
  const all = snapshots.map(({snapshot}) => snapshot);
  const replicas = snapshots
    .filter(
      ({snapshot}) => !isWrite && couldReplicaServe([snapshot], maxStalenessMs),
    )
    .map(({id}) => id);
  const isReplicaEligible = replicas.length > 0;
  return {
    couldReplicaServe: isReplicaEligible,
    couldServe: isReplicaEligible || couldPrimaryServe(all),
    endpoints: isReplicaEligible ? replicas : [group.primary],
  };
}
