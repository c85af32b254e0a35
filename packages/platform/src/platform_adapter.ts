/** The adapter between the decision library and the platform. */

import {Agent} from 'node:http';
import {Subject} from 'rxjs';
import type {
  ActionOf,
  Adapter,
  Event,
  PlatformReadEvent,
  PlatformReadFailedEvent,
  UpdateResult,
} from '@lacewingroad/core';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import {parseObject, parseObjectList, parseUpdated} from './answers.js';
import {callHttp} from './http_call.js';
import type {HttpResult, HttpTarget} from './http_call.js';
import {isRefusal, listCall, putCall} from './object_calls.js';

/** Connections to the platform at once; further calls wait. */
const MAX_CONNECTIONS = 8;

/** What a platform adapter needs. */
export interface PlatformAdapterConfig {
  readonly runtime: Runtime;
  /** `http://IP:PORT` of the platform. */
  readonly url: string;
  /** Local IP address of the connections, or null for any. */
  readonly sourceAddress: string | null;
}

/** Tells what became of an update; anything without proof is unknown. */
function toUpdateResult(result: HttpResult): UpdateResult {
  if (result.type === 'not_sent') {
    return {type: 'refused'};
  }
  if (result.type === 'no_answer') {
    return {type: 'unknown'};
  }
  if (isRefusal(result.status)) {
    return {type: 'refused'};
  }
  if (result.status === 200) {
    const updated = parseUpdated(result.body);
    return updated === null ? {type: 'unknown'} : {type: 'updated', ...updated};
  }
  if (result.status === 409) {
    const standing = parseObject(result.body);
    return standing === null
      ? {type: 'unknown'}
      : {type: 'conflict', version: standing.version};
  }
  return {type: 'unknown'};
}

/** Turns the end of a read into its event. */
function toReadEvent(
  result: HttpResult,
  sentAt: Instant,
): PlatformReadEvent | PlatformReadFailedEvent {
  const isAnswer = result.type === 'answered' && result.status === 200;
  const list = isAnswer ? parseObjectList(result.body) : null;
  if (list === null) {
    return {type: 'platform_read_failed', sentAt};
  }
  const {revision, changes} = list;
  return {type: 'platform_read', sentAt, revision, changes};
}

/** Creates the adapter; its calls share a few kept-alive connections. */
export function createPlatformAdapter(
  cfg: PlatformAdapterConfig,
): Adapter<'read_platform' | 'update_platform'> {
  const events = new Subject<Event>();
  const agent = new Agent({keepAlive: true, maxSockets: MAX_CONNECTIONS});
  const target: HttpTarget = {
    runtime: cfg.runtime,
    url: new URL(cfg.url),
    agent,
    sourceAddress: cfg.sourceAddress,
  };

  const read = async (action: ActionOf<'read_platform'>): Promise<void> => {
    const sentAt = cfg.runtime.now();
    const call = listCall(action.since, action.deadline);
    events.next(toReadEvent(await callHttp(target, call), sentAt));
  };

  const update = async (action: ActionOf<'update_platform'>): Promise<void> => {
    const {key, attempt, baseVersion, value, deadline} = action;
    const call = putCall(key, baseVersion, value, deadline);
    const result = toUpdateResult(await callHttp(target, call));
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
      agent.destroy();
      return Promise.resolve();
    },
  };
}
