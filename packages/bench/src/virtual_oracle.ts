/** Asks the oracle about the fakes of a run. */

import {hasReached} from '@lacewingroad/core';
import type {
  EndpointId,
  GroupId,
  GroupObject,
  LogPosition,
} from '@lacewingroad/core';
import type {FakeEndpoint, FakeSite, NetNode} from '@lacewingroad/fakes';
import {couldPrimaryServe, couldReplicaServe} from './oracle.js';
import type {EndpointTruth} from './oracle.js';

/** What is asked of the oracle. */
export interface OracleQuestion {
  /** The entry host that the request came to. */
  readonly host: NetNode;
  readonly group: GroupId;
  readonly isWrite: boolean;
  /** The last acknowledged write of its session, or null. */
  readonly wanted: LogPosition | null;
  readonly maxStalenessMs: number | null;
}

/** What an oracle could have done with a request at its arrival. */
export interface OracleAnswer {
  readonly byReplica: boolean;
  readonly atAll: boolean;
  /** Endpoints that could serve it now: the replicas, else the primary. */
  readonly endpoints: readonly EndpointId[];
}

function isLinked({network}: FakeSite, a: NetNode, b: NetNode): boolean {
  return network.pathState(a, b) === 'up' && network.pathState(b, a) === 'up';
}

/** Tells whether a host reaches an endpoint, itself or through another. */
function isReached(site: FakeSite, host: NetNode, endpoint: NetNode): boolean {
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

function readTruth(
  site: FakeSite,
  {host, wanted}: OracleQuestion,
  group: GroupObject,
  endpoint: FakeEndpoint,
): EndpointTruth {
  const process = endpoint.process();
  const {position, dataAgeMs} = endpoint.readStatus();
  return {
    isPrimary: endpoint.node.id === group.primary,
    isReached: isReached(site, host, endpoint.node),
    isAlive: !process.isDead() && !process.isPaused(),
    hasSession: wanted === null || hasReached(position, wanted, group.starts),
    dataAgeMs,
  };
}

/** Tells what could have been done with a request that arrives now. */
export function askOracle(
  site: FakeSite,
  question: OracleQuestion,
): OracleAnswer {
  const {isWrite, maxStalenessMs} = question;
  const group = site.readGroup(question.group);
  const truths = group.endpoints.map(({id}) => ({
    id,
    truth: readTruth(site, question, group, site.endpoints.get(id)!),
  }));
  const all = truths.map(({truth}) => truth);
  const replicas = truths
    .filter(({truth}) => !isWrite && couldReplicaServe([truth], maxStalenessMs))
    .map(({id}) => id);
  const byReplica = replicas.length > 0;
  return {
    byReplica,
    atAll: byReplica || couldPrimaryServe(all),
    endpoints: byReplica ? replicas : [group.primary],
  };
}
