/** The adapter between the decision library and the platform. */

import {Subject} from 'rxjs';
import type {ActionOf, Adapter, Event, UpdateResult} from '@lacewingroad/core';
import {PlatformClient, toUpdateResult} from './platform_client.js';
import type {PlatformClientConfig} from './platform_client.js';

/** Maximum number of concurrent connections; further calls wait. */
const MAX_CONNECTIONS = 8;

/** Configuration of a platform adapter. */
export type PlatformAdapterConfig = Omit<
  PlatformClientConfig,
  'maxConnections'
>;

/** Creates the adapter; its calls share a pool of keep-alive connections. */
export function createPlatformAdapter(
  cfg: PlatformAdapterConfig,
): Adapter<'read_platform' | 'update_platform'> {
  const events = new Subject<Event>();
  const client = new PlatformClient({...cfg, maxConnections: MAX_CONNECTIONS});

  const read = async (action: ActionOf<'read_platform'>): Promise<void> => {
    const sentAt = cfg.runtime.now();
    const listed = await client.listObjects(action.since, action.deadline);
    if (listed.ok) {
      events.next({type: 'platform_read', sentAt, ...listed.val});
      return;
    }
    const {kind, detail} = listed.val;
    events.next({type: 'platform_read_failed', sentAt, kind, detail});
  };

  const update = async (action: ActionOf<'update_platform'>): Promise<void> => {
    const {key, attempt, baseVersion, value, deadline} = action;
    const put = await client.putObject(key, baseVersion, value, deadline);
    const result: UpdateResult = toUpdateResult(put);
    events.next({type: 'platform_updated', key, attempt, baseVersion, result});
  };

  return {
    events$: events.asObservable(),
    performers: {
      read_platform: action => void read(action),
      update_platform: action => void update(action),
    },
    close: () => {
      events.complete();
      client.close();
      return Promise.resolve();
    },
  };
}
