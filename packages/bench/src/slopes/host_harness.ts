/**
 * One engine under virtual time. Stubs answer in place of a healthy fleet, so
 * that the cost of the engine alone can be measured.
 */

import {createEntryEngine} from '@lacewingroad/core';
import type {
  Action,
  ActionOf,
  Engine,
  Event,
  GroupObject,
  HostId,
  ObjectChange,
  PeerMessage,
  Performers,
  RunMessage,
} from '@lacewingroad/core';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import type {VirtualRuntime} from '@lacewingroad/runtime';
import {readCpuMicros} from './cpu_time.js';
import {countWireBytes} from './message_bytes.js';
import {createMeter} from './meter.js';
import type {Meter} from './meter.js';
import {listObjects} from './fleet_objects.js';
import type {Fleet} from './fleet_objects.js';

/** Time until a stub answers, in milliseconds. */
const ANSWER_DELAY_MS = 2;
const SEED = 7;

/** An engine among stubs, with meters of its cost. */
export interface HostHarness {
  readonly host: HostId;
  readonly engine: Engine;
  readonly runtime: VirtualRuntime;
  /** Processor time by type of event, in microseconds. */
  readonly cpu: Meter;
  /** Bytes on the wire by type of message. */
  readonly sent: Meter;
  readonly received: Meter;
  /** Calls of the platform by type. */
  readonly platform: Meter;
  /** Answers to callers by type. */
  readonly replies: Meter;
  /** Dispatches an event to the engine now. */
  readonly push: (event: Event) => void;
  /** Delivers a message from another host now. */
  readonly receive: (host: HostId, msg: PeerMessage) => void;
  /** Changes an object; the host learns of it from its next sync or read. */
  readonly changeObject: (key: string, value: unknown) => void;
  /** Makes the platform reachable or not, for this host and its relays. */
  readonly setPlatformUp: (isUp: boolean) => void;
  readonly run: (spanMs: number) => void;
  /** Returns the relays that it sent its latest sync messages to. */
  readonly lastSyncTargets: () => readonly HostId[];
}

const OK_RESULT = {
  type: 'ok',
  affectedRows: 1,
  insertId: '0',
  info: '',
} as const;

/** Answers of the other hosts, by type of message. */
type AnswerTable = {
  readonly [T in PeerMessage['type']]?: (
    msg: Extract<PeerMessage, {type: T}>,
  ) => PeerMessage;
};

/** Answers a statement as the owner of a healthy endpoint would. */
function createRanMessage(msg: RunMessage): PeerMessage {
  return {
    type: 'ran',
    request: msg.request,
    attempt: msg.attempt,
    outcome: {
      type: 'done',
      result: OK_RESULT,
      position: msg.isWrite ? {term: 1, index: 7} : null,
      inTx: false,
    },
    report: null,
  };
}

function getMeterKey(event: Event): string {
  if (event.type === 'timer') {
    return `timer ${event.timer.name}`;
  }
  return event.type === 'peer_message'
    ? `message ${event.msg.type}`
    : event.type;
}

function findPrimary(
  groups: ReadonlyMap<string, GroupObject>,
  endpoint: string,
): string {
  return (
    [...groups.values()].find(group =>
      group.endpoints.some(candidate => candidate.id === endpoint),
    )?.primary ?? endpoint
  );
}

/** Creates a host of a fleet without starting it. */
export function createHostHarness(fleet: Fleet, self: HostId): HostHarness {
  const runtime = createVirtualRuntime(SEED);
  const dataCentre =
    fleet.hosts.find(host => host.id === self)?.dataCentre ?? '';
  const engine = createEntryEngine({
    host: self,
    dataCentre,
    incarnation: 'slopes',
    startedAt: 0,
  });
  const objects = new Map(listObjects(fleet).map(obj => [obj.key, obj]));
  const groups = new Map(fleet.groups.map(group => [group.id, group]));
  const primaries = new Map<string, string>();
  const meters = {
    cpu: createMeter(),
    sent: createMeter(),
    received: createMeter(),
    platform: createMeter(),
    replies: createMeter(),
  };
  const {replies} = meters;
  let revision = objects.size;
  const recentChanges: ObjectChange[] = [];
  let isPlatformUp = true;
  let viewReadAt = 0;
  const lastSyncAt = new Map<HostId, number>();

  const push = (event: Event): void => {
    const before = readCpuMicros();
    const actions = engine.dispatch(event, {
      now: runtime.now(),
      random: runtime.random,
    });
    meters.cpu.add(getMeterKey(event), readCpuMicros() - before);
    actions.forEach(action => perform(action));
  };

  const pushLater = (event: () => Event): void => {
    runtime.at(runtime.now() + ANSWER_DELAY_MS, () => push(event()));
  };

  const receive = (host: HostId, msg: PeerMessage): void => {
    meters.received.add(msg.type, countWireBytes(msg));
    push({type: 'peer_message', host, generation: 1, msg});
  };

  const listSince = (since: number): readonly ObjectChange[] =>
    since === 0
      ? [...objects.values()]
      : recentChanges.filter(change => change.revision > since);

  const updateViewAge = (): number => {
    viewReadAt = isPlatformUp ? runtime.now() : viewReadAt;
    return runtime.now() - viewReadAt;
  };

  const answers: AnswerTable = {
    sync: msg => ({
      type: 'synced',
      ask: msg.ask,
      revision,
      ageMs: updateViewAge(),
      changes: listSince(msg.since),
      silentHosts: [],
      drainingHosts: [],
    }),
    promise: msg => ({...msg, type: 'promised', granted: true}),
    suspect: msg => ({
      ...msg,
      type: 'suspected',
      reachesPrimary: true,
      report: null,
      isReportNew: false,
    }),
    put_session: ({ask}) => ({type: 'session_stored', ask}),
    get_session: ({ask}) => ({type: 'session', ask, positions: {}, ageMs: 0}),
    run: createRanMessage,
  };

  const send = ({host, msg}: ActionOf<'send'>): void => {
    meters.sent.add(msg.type, countWireBytes(msg));
    if (msg.type === 'sync') {
      lastSyncAt.set(host, runtime.now());
    }
    const answer = answers[msg.type]?.(msg as never) ?? null;
    if (answer !== null) {
      runtime.at(runtime.now() + ANSWER_DELAY_MS, () => receive(host, answer));
    }
  };

  const probe = ({endpoint}: ActionOf<'probe'>): void => {
    const primary = primaries.get(endpoint) ?? findPrimary(groups, endpoint);
    primaries.set(endpoint, primary);
    const sentAt = runtime.now();
    pushLater(() => ({
      type: 'probed',
      endpoint,
      sentAt,
      status: {
        role: endpoint === primary ? 'primary' : 'replica',
        position: {term: 1, index: 7},
        dataAgeMs: 0,
        follows: endpoint === primary ? null : primary,
      },
      fault: null,
    }));
  };

  const readPlatform = ({since}: ActionOf<'read_platform'>): void => {
    meters.platform.add('read', 1);
    const sentAt = runtime.now();
    pushLater(() =>
      isPlatformUp
        ? {
            type: 'platform_read',
            sentAt,
            revision,
            changes: listSince(since),
          }
        : {
            type: 'platform_read_failed',
            sentAt,
            kind: 'refused',
            detail: 'the platform is down',
          },
    );
  };

  const updatePlatform = (action: ActionOf<'update_platform'>): void => {
    meters.platform.add('write', 1);
    const {key, attempt, baseVersion} = action;
    pushLater(() => ({
      type: 'platform_updated',
      key,
      attempt,
      baseVersion,
      result: {type: 'refused'},
    }));
  };

  const performers: Partial<Performers<Action['type']>> = {
    set_timer: ({at, timer}) => {
      runtime.at(at, () => push({type: 'timer', timer}));
    },
    send,
    probe,
    read_platform: readPlatform,
    update_platform: updatePlatform,
    open_conn: ({endpoint, conn}) =>
      pushLater(() => ({type: 'conn_opened', endpoint, conn})),
    run_conn: ({endpoint, conn, step}) =>
      pushLater(() => ({
        type: 'conn_answered',
        endpoint,
        conn,
        step,
        answer: {
          type: 'result',
          result: OK_RESULT,
          position: {term: 1, index: 7},
          inTx: false,
        },
      })),
    reply: ({reply}) => replies.add(reply.type, 1),
  };

  const perform = (action: Action): void => {
    performers[action.type]?.(action as never);
  };

  return {
    host: self,
    engine,
    runtime,
    ...meters,
    push,
    receive,
    changeObject: (key, value) => {
      const version = (objects.get(key)?.version ?? 0) + 1;
      revision += 1;
      const changed = {key, version, revision, value};
      objects.set(key, changed);
      recentChanges.push(changed);
    },
    setPlatformUp: isUp => {
      isPlatformUp = isUp;
    },
    lastSyncTargets: () => {
      const last = Math.max(...lastSyncAt.values());
      return [...lastSyncAt.keys()].filter(
        host => lastSyncAt.get(host) === last,
      );
    },
    run: spanMs => runtime.runUntil(runtime.now() + spanMs),
  };
}
