/** Floods of the fuzz: many callers that send one statement each at once. */

import type {GroupId} from '@lacewingroad/core';
import type {FakeSite} from '../site.js';
import {createFuzzClient} from './client.js';
import type {FuzzClient} from './client.js';
import type {Oracle} from './oracle.js';

/** Sends floods and knows what of them is not answered yet. */
export interface Flood {
  /** Sends one statement by each of `count` new callers, at all hosts. */
  readonly send: (
    group: GroupId,
    kind: string,
    isWrite: boolean,
    count: number,
  ) => void;
  /** Statements without an answer, at callers whose connection is open. */
  readonly waiting: () => number;
}

/** Creates the floods of a world. */
export function createFlood(cfg: {
  readonly site: FakeSite;
  readonly oracle: Oracle;
  readonly log: (text: string) => void;
}): Flood {
  const {site} = cfg;
  let serial = 0;
  let open: FuzzClient[] = [];

  const closeAnswered = (): void => {
    const isWaiting = (client: FuzzClient): boolean => client.waiting() > 0;
    open.filter(client => !isWaiting(client)).forEach(one => one.close());
    open = open.filter(isWaiting);
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
    open.push(client);
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
    waiting: () => {
      closeAnswered();
      return open.reduce((sum, client) => sum + client.waiting(), 0);
    },
  };
}
