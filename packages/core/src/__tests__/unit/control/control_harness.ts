/** Test harness: the control plane of one host under a virtual clock. */

import type {Action, ActionOf} from '../../../engine/action.js';
import type {Blackboard} from '../../../engine/blackboard.js';
import type {Event, TimerKey, UpdateResult} from '../../../engine/event.js';
import {createEntryEngine} from '../../../entry_engine.js';
import type {GroupObject} from '../../../model/group.js';
import type {HostObject} from '../../../model/host.js';
import type {ObjectChange, PeerMessage} from '../../../model/message.js';

export const GROUP = 'g';
const DATA_CENTRES = ['a', 'b', 'c'];
const STEP_MS = 25;

type Update = ActionOf<'update_platform'>;

function createHost(id: string): HostObject {
  const dataCentre = id.charAt(0);
  const address = `${id}:1`;
  return {
    id,
    dataCentre,
    state: 'live',
    peerAddress: address,
    callerAddress: address,
    operatorAddress: address,
  };
}

function listHost(id: string): ObjectChange {
  return {key: `hosts/${id}`, version: 1, revision: 1, value: createHost(id)};
}

/** Creates a group whose endpoints a, b, c are owned by a-1, b-1, c-1. */
export function createGroup(part: Partial<GroupObject> = {}): GroupObject {
  return {
    id: GROUP,
    term: 1,
    primary: 'a',
    fence: null,
    starts: [{term: 1, index: 0}],
    endpoints: DATA_CENTRES.map(id => ({
      id,
      dataCentre: id,
      address: id,
      port: 1,
      slots: 3,
      maxConnections: 24,
      leaving: false,
    })),
    owners: {a: 'a-1', b: 'b-1', c: 'c-1'},
    ...part,
  };
}

/** Runs a host and answers its probes, platform reads and promise requests. */
export class ControlHarness {
  now: number;
  readonly actions: Action[] = [];
  /** Log index of each endpoint; without one, probes of it are refused. */
  readonly indexes = new Map<string, number>([
    ['a', 10],
    ['b', 10],
    ['c', 10],
  ]);
  isPlatformUp: boolean;
  /** Data age that replicas report. */
  dataAgeMs = 0;
  /** Term that endpoints report, or null for that of the group. */
  endpointTerm: number | null = null;
  /** Hosts that grant every promise request. */
  promisingHosts: readonly string[] = ['a-1', 'b-1', 'c-1'];
  private hosts: readonly ObjectChange[];
  private group: GroupObject;
  private version = 1;
  private timers: {at: number; timer: TimerKey}[] = [];
  private readonly engine;

  constructor(
    readonly host: string,
    part: {
      group?: GroupObject;
      hosts?: readonly string[];
      /** Hosts from the settings; by default those of the platform. */
      seeds?: readonly string[];
      startedAt?: number;
      isPlatformUp?: boolean;
    } = {},
  ) {
    const hosts = part.hosts ?? ['a-1', 'b-1', 'c-1'];
    this.hosts = hosts.map(listHost);
    this.now = part.startedAt ?? 0;
    this.isPlatformUp = part.isPlatformUp ?? true;
    this.group = part.group ?? createGroup();
    this.engine = createEntryEngine({
      host,
      dataCentre: host.charAt(0),
      incarnation: 'i',
      startedAt: this.now,
      seeds: (part.seeds ?? hosts).map(createHost),
    });
    this.feed({type: 'started'});
  }

  get board(): Blackboard {
    return this.engine.getBoard();
  }

  /** The group object in the platform. */
  get storedGroup(): GroupObject {
    return this.group;
  }

  feed(event: Event): void {
    const ctx = {now: this.now, random: () => 0.5};
    const actions = this.engine.dispatch(event, ctx);
    this.actions.push(...actions);
    actions.forEach(action => this.perform(action));
  }

  private perform(action: Action): void {
    if (action.type === 'set_timer') {
      this.timers.push({at: action.at, timer: action.timer});
    }
    if (action.type === 'send' && action.host === this.host) {
      this.message(this.host, action.msg);
    }
    if (action.type === 'send' && action.msg.type === 'promise') {
      this.answerPromise(action.host, action.msg);
    }
    if (action.type === 'read_platform') {
      this.answerRead(action.since);
    }
    if (action.type === 'probe') {
      this.answerProbe(action.endpoint);
    }
  }

  private answerPromise(
    host: string,
    msg: Extract<PeerMessage, {type: 'promise'}>,
  ): void {
    if (this.promisingHosts.includes(host)) {
      this.message(host, {...msg, type: 'promised', granted: true});
    }
  }

  private answerRead(since: number): void {
    const sentAt = this.now;
    if (!this.isPlatformUp) {
      const reason = {kind: 'refused', detail: 'is down'} as const;
      this.feed({type: 'platform_read_failed', sentAt, ...reason});
      return;
    }
    const {version, group: value} = this;
    const change = {key: `groups/${GROUP}`, version, revision: version, value};
    this.feed({
      type: 'platform_read',
      sentAt,
      revision: version,
      changes: [...this.hosts, change].filter(each => each.revision > since),
    });
  }

  private answerProbe(endpoint: string): void {
    const index = this.indexes.get(endpoint);
    const sentAt = this.now;
    if (index === undefined) {
      this.feed({
        type: 'probed',
        endpoint,
        sentAt,
        status: null,
        fault: 'refused',
      });
      return;
    }
    const {term, primary} = this.group;
    const isPrimary = endpoint === primary;
    this.feed({
      type: 'probed',
      endpoint,
      sentAt,
      fault: null,
      status: {
        role: isPrimary ? 'primary' : 'replica',
        position: {term: this.endpointTerm ?? term, index},
        dataAgeMs: isPrimary ? 0 : this.dataAgeMs,
        follows: isPrimary ? null : primary,
      },
    });
  }

  message(host: string, msg: PeerMessage): void {
    this.feed({type: 'peer_message', host, generation: 1, msg});
  }

  /** Changes the group object in the platform as another host would. */
  change(part: Partial<GroupObject>): void {
    this.group = {...this.group, ...part};
    this.version += 1;
  }

  /** Removes a host's entry from the platform. */
  lapseHost(id: string): void {
    this.changeHost(id, null);
  }

  /** Adds a host's entry to the platform again. */
  relistHost(id: string): void {
    this.changeHost(id, createHost(id));
  }

  private changeHost(id: string, value: HostObject | null): void {
    this.version += 1;
    const revision = this.version;
    this.hosts = this.hosts.map(change =>
      change.key === `hosts/${id}`
        ? {...change, version: change.version + 1, revision, value}
        : change,
    );
  }

  advance(ms: number): void {
    const until = this.now + ms;
    while (this.now < until) {
      this.now = Math.min(until, this.now + STEP_MS);
      const due = this.timers.filter(({at}) => at <= this.now);
      this.timers = this.timers.filter(({at}) => at > this.now);
      due.forEach(({timer}) => this.feed({type: 'timer', timer}));
    }
  }

  /** Returns the updates of the group that this host sent. */
  updates(): readonly Update[] {
    return this.actions.filter(action => action.type === 'update_platform');
  }

  /** Answers the last update, after applying it if `hasEffect`. */
  answerUpdate(result: UpdateResult['type'], hasEffect: boolean): void {
    const {key, attempt, baseVersion, value} = this.updates().at(-1)!;
    if (hasEffect && baseVersion === this.version) {
      this.change(value as GroupObject);
    }
    const {version} = this;
    const results: Readonly<Record<UpdateResult['type'], UpdateResult>> = {
      updated: {type: 'updated', version, revision: version},
      conflict: {type: 'conflict', version},
      refused: {type: 'refused'},
      unknown: {type: 'unknown'},
    };
    this.feed({
      type: 'platform_updated',
      key,
      attempt,
      baseVersion,
      result: results[result],
    });
  }

  /** Returns the sent messages of a type, to all hosts or to one. */
  sent<T extends PeerMessage['type']>(
    type: T,
    to?: string,
  ): readonly Extract<PeerMessage, {type: T}>[] {
    return this.actions
      .filter(action => action.type === 'send')
      .filter(({host}) => to === undefined || host === to)
      .map(action => action.msg)
      .filter(
        (msg): msg is Extract<PeerMessage, {type: T}> => msg.type === type,
      );
  }

  /** Answers the last `suspect` query as a host that can't reach the primary. */
  answerSuspect(
    host: string,
    endpoint: string | null,
    isReportNew = true,
  ): void {
    const {ask, term} = this.sent('suspect').at(-1)!;
    const index = this.indexes.get(endpoint ?? '') ?? 0;
    const report =
      endpoint === null
        ? null
        : {
            endpoint,
            role: 'replica' as const,
            position: {term, index},
            dataAgeMs: 0,
            ageMs: 0,
          };
    this.message(host, {
      type: 'suspected',
      ask,
      group: GROUP,
      term,
      reachesPrimary: false,
      report,
      isReportNew,
    });
  }
}
