/** A fake platform: versioned objects, conditional updates and faults. */

import type {HostId, HostObject, ObjectChange} from '@lacewingroad/core';
import type {UpdateResult} from '@lacewingroad/core';
import type {FakeNetwork, NetNode} from './network.js';

/** Faults of the platform; may be changed at any time. */
export interface PlatformFaults {
  /** `down` refuses every call, `hang` answers none and does nothing. */
  mode: 'up' | 'down' | 'hang';
  /** Time that each call takes, in milliseconds. */
  slowMs: number;
  /** The next updates take effect, but their answers are lost. */
  loseAnswers: number;
  /** The next updates take effect this much later, unanswered until then. */
  lateUpdates: number;
  lateMs: number;
  /** Time by which the list of hosts lags behind the truth. */
  hostListLagMs: number;
}

/** Calls that the platform counted. */
export interface PlatformCalls {
  reads: number;
  updates: number;
}

/** Called for each update that takes effect, with the instant. */
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

/** A fake platform. */
export interface FakePlatform {
  readonly node: NetNode;
  readonly faults: PlatformFaults;
  readonly calls: PlatformCalls;
  readonly revision: () => number;
  readonly find: (key: string) => ObjectChange | null;
  /** Replaces an object at once, without a call. */
  readonly put: (key: string, value: unknown) => void;
  /** Makes a host listed, or unlisted by null, after the list's lag. */
  readonly setHost: (id: HostId, value: HostObject | null) => void;
  /** Performs a read; `answer` is not called where there is no answer. */
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

/** Creates an empty platform in a place of its own. */
export function createFakePlatform(network: FakeNetwork): FakePlatform {
  const {runtime} = network;
  const node: NetNode = {id: 'platform', zone: 'platform'};
  const objects = new Map<string, ObjectChange>();
  /** Changes in order of revision; those overtaken by later ones stay. */
  const log: ObjectChange[] = [];
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
      revision: log.length + 1,
      value,
    };
    objects.set(key, change);
    log.push(change);
    listeners.forEach(listener => listener(change, runtime.now()));
    return change;
  };

  const listChanges = (since: number): readonly ObjectChange[] =>
    log
      .slice(since)
      .filter(change => objects.get(change.key) === change)
      .filter(change => since > 0 || change.value !== null);

  const apply = ({key, baseVersion, value}: PlatformUpdate): UpdateResult => {
    const standing = objects.get(key);
    const version = standing === undefined ? 0 : standing.version;
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

  /** Carries one call there and its answer back. */
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
    revision: () => log.length,
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
        reply({revision: log.length, changes: listChanges(since)});
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
