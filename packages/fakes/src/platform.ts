/** A simulated platform: versioned objects, conditional updates and faults. */

import type {HostId, HostObject, ObjectChange} from '@lacewingroad/core';
import type {UpdateResult} from '@lacewingroad/core';
import type {FakeNetwork, NetNode} from './network.js';

/** Faults of the platform; may be changed at any time. */
export interface PlatformFaults {
  /** `down` refuses every call, `hang` neither performs nor answers one. */
  mode: 'up' | 'down' | 'hang';
  /** Time that each call takes, in milliseconds. */
  slowMs: number;
  /** Number of upcoming updates that take effect but whose answers are lost. */
  loseAnswers: number;
  /** Number of upcoming updates that are applied and answered after `lateMs`. */
  lateUpdates: number;
  lateMs: number;
  /** Delay until the list of hosts shows a start or stop, in milliseconds. */
  hostListLagMs: number;
}

/** Numbers of calls performed by the platform. */
export interface PlatformCalls {
  reads: number;
  updates: number;
}

/** Called for each update that takes effect, with the time. */
export type PlatformListener = (change: ObjectChange, at: number) => void;

/** One conditional update. */
export interface PlatformUpdate {
  readonly key: string;
  readonly baseVersion: number;
  readonly value: unknown;
}

/** The answer to a read of changes. */
export interface PlatformRead {
  readonly revision: number;
  readonly changes: readonly ObjectChange[];
}

/** A simulated platform. */
export interface FakePlatform {
  readonly node: NetNode;
  readonly faults: PlatformFaults;
  readonly calls: PlatformCalls;
  readonly revision: () => number;
  readonly find: (key: string) => ObjectChange | null;
  /** Replaces an object immediately, without a call over the network. */
  readonly put: (key: string, value: unknown) => void;
  /** Lists a host, or unlists it if null, after `hostListLagMs`. */
  readonly setHost: (id: HostId, value: HostObject | null) => void;
  /** Reads changes; `answer` gets null if refused, and may never be called. */
  readonly read: (
    from: NetNode,
    since: number,
    answer: (read: PlatformRead | null) => void,
  ) => void;
  readonly update: (
    from: NetNode,
    update: PlatformUpdate,
    answer: (result: UpdateResult) => void,
  ) => void;
  readonly onUpdate: (listener: PlatformListener) => void;
}

/** Creates an empty platform in its own zone. */
export function createFakePlatform(network: FakeNetwork): FakePlatform {
  const {runtime} = network;
  const node: NetNode = {id: 'platform', zone: 'platform'};
  const objects = new Map<string, ObjectChange>();
  /** All changes in order of revision, including superseded ones. */
  const changeLog: ObjectChange[] = [];
  const listeners: PlatformListener[] = [];
  const calls: PlatformCalls = {reads: 0, updates: 0};
  const faults: PlatformFaults = {
    mode: 'up',
    slowMs: 0,
    loseAnswers: 0,
    lateUpdates: 0,
    lateMs: 0,
    hostListLagMs: 0,
  };

  const put = (key: string, value: unknown): ObjectChange => {
    const change: ObjectChange = {
      key,
      version: (objects.get(key)?.version ?? 0) + 1,
      revision: changeLog.length + 1,
      value,
    };
    objects.set(key, change);
    changeLog.push(change);
    listeners.forEach(listener => listener(change, runtime.now()));
    return change;
  };

  const listChanges = (since: number): readonly ObjectChange[] =>
    changeLog
      .slice(since)
      .filter(change => objects.get(change.key) === change)
      .filter(change => since > 0 || change.value !== null);

  const apply = ({key, baseVersion, value}: PlatformUpdate): UpdateResult => {
    const current = objects.get(key);
    const version = current === undefined ? 0 : current.version;
    if (version !== baseVersion) {
      return {type: 'conflict', version};
    }
    const change = put(key, value);
    return {
      type: 'updated',
      version: change.version,
      revision: change.revision,
    };
  };

  /** Sends one call to the platform and its answer back. */
  const call = <T>(
    from: NetNode,
    refused: T,
    answer: (result: T) => void,
    run: (reply: (result: T) => void) => void,
  ): void => {
    const refuse = (): void => {
      runtime.at(runtime.now(), () => answer(refused));
    };
    const reply = (result: T): void =>
      network.transmit(node, from, () => answer(result));
    const arrive = (): void => {
      if (faults.mode === 'down') {
        reply(refused);
        return;
      }
      if (faults.mode === 'hang') {
        return;
      }
      if (faults.slowMs === 0) {
        run(reply);
        return;
      }
      runtime.at(runtime.now() + faults.slowMs, () => run(reply));
    };
    network.transmit(from, node, arrive, refuse);
  };

  return {
    node,
    faults,
    calls,
    revision: () => changeLog.length,
    find: key => objects.get(key) ?? null,
    put,
    setHost: (id, value) => {
      runtime.at(runtime.now() + faults.hostListLagMs, () => {
        put(`hosts/${id}`, value);
      });
    },
    read: (from, since, answer) =>
      call<PlatformRead | null>(from, null, answer, reply => {
        calls.reads++;
        reply({revision: changeLog.length, changes: listChanges(since)});
      }),
    update: (from, update, answer) =>
      call<UpdateResult>(from, {type: 'refused'}, answer, reply => {
        calls.updates++;
        if (faults.lateUpdates > 0) {
          faults.lateUpdates--;
          const at = runtime.now() + faults.lateMs;
          runtime.at(at, () => reply(apply(update)));
          return;
        }
        const result = apply(update);
        if (faults.loseAnswers > 0) {
          faults.loseAnswers--;
          return;
        }
        reply(result);
      }),
    onUpdate: listener => {
      listeners.push(listener);
    },
  };
}
