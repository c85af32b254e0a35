/** Floods: many new callers that send one statement each at the same time. */

import type {GroupId} from '@lacewingroad/core';
import type {FakeSite} from '../site.js';
import {createFuzzClient} from './client.js';
import type {FuzzClient} from './client.js';
import type {Oracle} from './oracle.js';

/** Sends floods and counts their unanswered statements. */
export interface Flood {
  /** Sends one statement from each of `count` new callers, over all hosts. */
  readonly send: (
    group: GroupId,
    kind: string,
    isWrite: boolean,
    count: number,
  ) => void;
  /** Number of unanswered statements of callers whose connection is open. */
  readonly pendingCount: () => number;
}

/** Creates the sender of floods of a world. */
export function createFlood(cfg: {
  readonly site: FakeSite;
  readonly oracle: Oracle;
  readonly log: (text: string) => void;
}): Flood {
  const {site} = cfg;
  let serial = 0;
  let openClients: FuzzClient[] = [];

  const closeAnswered = (): void => {
    const isWaiting = (client: FuzzClient): boolean =>
      client.pendingCount() > 0;
    openClients
      .filter(client => !isWaiting(client))
      .forEach(one => one.close());
    openClients = openClients.filter(isWaiting);
  };

  const sendOne = (group: GroupId, kind: string, isWrite: boolean): void => {
    const prefix = `f${++serial}`;
    const service = `s${group}`;
    const client = createFuzzClient({
      ...cfg,
      prefix,
      mode: 'connection',
      service,
      group,
    });
    openClients.push(client);
    client.roam(site.hostIds[serial % site.hostIds.length]!);
    if (isWrite) {
      client.write(kind, false);
    } else {
      client.read(kind);
    }
  };

  return {
    send: (group, kind, isWrite, count) => {
      closeAnswered();
      for (let sent = 0; sent < count; sent++) {
        sendOne(group, kind, isWrite);
      }
    },
    pendingCount: () => {
      closeAnswered();
      return openClients.reduce(
        (sum, client) => sum + client.pendingCount(),
        0,
      );
    },
  };
}
