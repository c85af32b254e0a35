/** What operators read at /hosts: the entry hosts as this one sees them. */

import {isReachable} from '@lacewingroad/core';
import type {Blackboard, HostObject, Instant} from '@lacewingroad/core';
import {compareText} from './pages.js';

/** One entry host. */
export interface HostEntry extends HostObject {
  /** False once this host found it dead by direct observation. */
  readonly reachable: boolean;
}

/** The page. */
export interface HostsPage {
  readonly host: string;
  readonly hosts: readonly HostEntry[];
}

/** Reads the page from the blackboard. */
export function readHostsPage(board: Blackboard, now: Instant): HostsPage {
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
