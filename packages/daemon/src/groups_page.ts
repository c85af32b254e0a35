/** The response of GET /groups: primary, owners and endpoints of each group. */

import type {
  Blackboard,
  Fence,
  GroupEndpoint,
  GroupObject,
  Instant,
  TermStart,
} from '@lacewingroad/core';
import {compareText, computeAgeMs} from './pages.js';

/** One endpoint as known to this host; unknown values are null. */
export interface EndpointEntry {
  readonly id: string;
  readonly dataCentre: string;
  readonly role: 'primary' | 'replica' | null;
  readonly term: number | null;
  readonly index: number | null;
  /** Age of the data of the endpoint in milliseconds. */
  readonly dataAgeMs: number | null;
  /** Age of the status in milliseconds. */
  readonly statusAgeMs: number | null;
  /** Whether this host owns the endpoint's pool. */
  readonly owned: boolean;
}

/** One group and its endpoints. */
export interface GroupEntry {
  readonly id: string;
  readonly version: number;
  readonly term: number;
  readonly primary: string;
  readonly fence: Fence | null;
  readonly owners: Readonly<Record<string, string>>;
  readonly starts: readonly TermStart[];
  readonly endpoints: readonly EndpointEntry[];
}

/** Body of the response. */
export interface GroupsPage {
  readonly host: string;
  readonly groups: readonly GroupEntry[];
}

function toEndpointEntry(
  board: Blackboard,
  endpoint: GroupEndpoint,
  now: Instant,
): EndpointEntry {
  const view = board.endpoints.views.get(endpoint.id);
  const status = view?.status ?? null;
  return {
    id: endpoint.id,
    dataCentre: endpoint.dataCentre,
    role: status?.role ?? null,
    term: status?.position.term ?? null,
    index: status?.position.index ?? null,
    dataAgeMs: computeAgeMs(view?.dataAsOf, now),
    statusAgeMs: computeAgeMs(view?.statusAt, now),
    owned: board.endpoints.owned.has(endpoint.id),
  };
}

function toGroupEntry(
  board: Blackboard,
  version: number,
  group: GroupObject,
  now: Instant,
): GroupEntry {
  return {
    id: group.id,
    version,
    term: group.term,
    primary: group.primary,
    fence: group.fence,
    owners: group.owners,
    starts: group.starts,
    endpoints: group.endpoints.map(endpoint =>
      toEndpointEntry(board, endpoint, now),
    ),
  };
}

/** Builds the response from the blackboard; groups are sorted by id. */
export function buildGroupsPage(board: Blackboard, now: Instant): GroupsPage {
  const groups = [...board.view.groups.values()].map(({version, value}) =>
    toGroupEntry(board, version, value, now),
  );
  return {
    host: board.self.host,
    groups: groups.sort((a, b) => compareText(a.id, b.id)),
  };
}
