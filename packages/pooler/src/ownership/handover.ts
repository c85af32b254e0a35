/** Hands owned groups over to other hosts, without cutting their work. */

import type {GroupId} from '@lacewingroad/core';
import {waitUntil} from '@lacewingroad/runtime';
import type {HostAddress} from '../model/ownership.js';
import type {GroupPool} from '../owner/group_pool.js';
import type {HostPorts} from '../ports.js';
import type {OwnershipController} from './ownership_controller.js';

/** Time for open transactions to end before a group is handed over, in ms. */
const HANDOVER_TIMEOUT_MS = 1_000;
/** Time for a requested promotion to take effect before a handover, in ms. */
const SETTLE_TIMEOUT_MS = 3_000;
/** Interval at which a handover checks whether the pool is idle, in ms. */
const HANDOVER_POLL_MS = 20;

/** Dependencies of handovers. */
export interface HandoverConfig {
  readonly ports: Pick<HostPorts, 'runtime' | 'record'>;
  readonly ownership: OwnershipController;
  readonly findPool: (group: GroupId) => GroupPool | undefined;
}

/** Hands groups over. */
export interface Handover {
  /** Moves one group to a host with a much lower load, if there is one. */
  readonly moveOneGroup: () => void;
  /** Hands over all groups; resolves once that is done. */
  readonly releaseAll: () => Promise<void>;
}

/** Creates the handovers of a host. */
export function createHandover(cfg: HandoverConfig): Handover {
  const {ownership, findPool} = cfg;
  const {runtime, record} = cfg.ports;
  let isMoving = false;

  const releaseGroup = async (
    group: GroupId,
    to: HostAddress | null,
  ): Promise<void> => {
    const pool = findPool(group);
    // The next owner would let the old primary acknowledge commits that the
    // promotion loses.
    pool?.beginSettling();
    const settleDeadline = runtime.now() + SETTLE_TIMEOUT_MS;
    while (pool?.isSettled() === false && runtime.now() < settleDeadline) {
      await waitUntil(runtime, runtime.now() + HANDOVER_POLL_MS);
    }
    pool?.beginHandover();
    const deadline = runtime.now() + HANDOVER_TIMEOUT_MS;
    while (pool?.isIdle() === false && runtime.now() < deadline) {
      await waitUntil(runtime, runtime.now() + HANDOVER_POLL_MS);
    }
    await ownership.release(group, to);
  };

  return {
    moveOneGroup: () => {
      if (isMoving) {
        return;
      }
      for (const group of ownership.listOwnedGroups()) {
        const to = ownership.findBetterOwner(group);
        if (to !== null) {
          isMoving = true;
          record('info', 'group_moved', {group, to: to.host});
          void releaseGroup(group, to).finally(() => {
            isMoving = false;
          });
          return;
        }
      }
    },
    releaseAll: async () => {
      await Promise.all(
        ownership.listOwnedGroups().map(group => releaseGroup(group, null)),
      );
    },
  };
}
