/** The response of GET /hosts: the entry hosts as seen by this one. */

import {isReachable} from '@lacewingroad/core';
import type {Blackboard, HostObject, Instant} from '@lacewingroad/core';
import {compareText} from './pages.js';

/** One entry host. */
export interface HostEntry extends HostObject {
  /** False while this host itself observes the other one as unreachable. */
  readonly reachable: boolean;
}

/** Body of the response. */
export interface HostsPage {
  readonly host: string;
  readonly hosts: readonly HostEntry[];
}

/** Builds the response from the blackboard; hosts are sorted by id. */
export function buildHostsPage(board: Blackboard, now: Instant): HostsPage {
  const hosts = [...board.view.hosts.values()].map(({value}) => ({
    id: value.id,
    dataCentre: value.dataCentre,
    state: value.state,
    reachable: isReachable(board, value.id, now),
    peerAddress: value.peerAddress,
    callerAddress: value.callerAddress,
    operatorAddress: value.operatorAddress,
  }));
  return {
    host: board.self.host,
    hosts: hosts.sort((a, b) => compareText(a.id, b.id)),
  };
}
