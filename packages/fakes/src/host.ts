/** A simulated entry host: one engine, with its actions on other fakes. */

import type {
  Action,
  CallerId,
  ConnFault,
  DataCentreId,
  Engine,
  EndpointId,
  Event,
  HostId,
  Performers,
  Reply,
} from '@lacewingroad/core';
import type {FakeEndpoint} from './endpoint.js';
import {createFakeConns} from './conns.js';
import type {FakeNetwork, NetNode} from './network.js';
import {createFakePeers} from './peers.js';
import type {FakePeers, FindPeers} from './peers.js';
import type {FakePlatform} from './platform.js';
import {createFakeProcess} from './process.js';
import type {FakeProcess} from './process.js';

type ExternalAction = Exclude<Action['type'], 'emit'>;

/** Receives the replies of a caller's connection, and its close. */
export interface CallerSink {
  readonly onReply: (seq: number, reply: Reply) => void;
  readonly onClosed: () => void;
}

/** Observes the events and actions of hosts. */
export interface HostObserver {
  readonly onEvent?: (host: HostId, event: Event) => void;
  readonly onAction?: (host: HostId, action: Action) => void;
  /** Called when a handler threw; the process has been killed. */
  readonly onFatal?: (host: HostId, err: unknown) => void;
}

/** Configuration and dependencies of a host. */
export interface FakeHostConfig {
  readonly network: FakeNetwork;
  readonly node: NetNode;
  readonly dataCentre: DataCentreId;
  readonly incarnation: string;
  readonly platform: FakePlatform;
  readonly createEngine: (cfg: {
    readonly host: HostId;
    readonly dataCentre: DataCentreId;
    readonly incarnation: string;
    readonly startedAt: number;
  }) => Engine;
  readonly findEndpoint: (id: EndpointId) => FakeEndpoint | null;
  readonly findPeers: FindPeers;
  readonly findNode: (host: HostId) => NetNode | null;
  readonly observer: HostObserver;
}

/** One process of an entry host; a restart creates a new one. */
export interface FakeHost {
  readonly node: NetNode;
  readonly incarnation: string;
  readonly engine: Engine;
  readonly process: FakeProcess;
  readonly peers: FakePeers;
  /** Delivers an event, as an adapter does. */
  readonly push: (event: Event) => void;
  readonly openCaller: (
    sink: CallerSink,
    opened: {
      readonly user: string;
      readonly service: string;
      readonly attributes: Readonly<Record<string, string>>;
    },
  ) => CallerId;
  readonly closeCaller: (caller: CallerId) => void;
  readonly isDrained: () => boolean;
  /** Ends the process at once. */
  readonly kill: () => void;
}

/** Starts an entry host. */
export function startFakeHost(cfg: FakeHostConfig): FakeHost {
  const {network, node, platform, observer} = cfg;
  const {runtime} = network;
  const process = createFakeProcess(runtime);
  const callers = new Map<CallerId, CallerSink>();
  let nextCaller = 1;
  let isDrained = false;
  let pendingEvents: Event[] = [];
  let isDispatching = false;
  const engine = cfg.createEngine({
    host: node.id,
    dataCentre: cfg.dataCentre,
    incarnation: cfg.incarnation,
    startedAt: runtime.now(),
  });

  const handle = (event: Event): void => {
    observer.onEvent?.(node.id, event);
    const ctx = {now: runtime.now(), random: runtime.random};
    for (const action of engine.dispatch(event, ctx)) {
      observer.onAction?.(node.id, action);
      performers[action.type as ExternalAction](action as never);
    }
  };

  const drainEvents = (): void => {
    while (pendingEvents.length > 0 && !process.isDead()) {
      const events = pendingEvents;
      pendingEvents = [];
      events.forEach(event => {
        if (!process.isDead()) {
          handle(event);
        }
      });
    }
  };

  const push = (event: Event): void => {
    pendingEvents.push(event);
    if (isDispatching || process.isDead()) {
      return;
    }
    isDispatching = true;
    try {
      drainEvents();
    } catch (err) {
      kill();
      observer.onFatal?.(node.id, err);
    } finally {
      isDispatching = false;
    }
  };

  /** Delivers an event as if from a socket. */
  const receive = (event: Event): void => process.receive(() => push(event));

  const pushAsync = (event: Event): void => {
    process.at(runtime.now(), () => push(event));
  };

  const peers = createFakePeers(
    network,
    {
      node,
      incarnation: cfg.incarnation,
      process,
      push,
      knowsAddress: host => engine.getBoard().view.hosts.has(host),
    },
    cfg.findPeers,
    cfg.findNode,
  );

  const conns = createFakeConns({
    network,
    node,
    process,
    push,
    findEndpoint: cfg.findEndpoint,
  });

  /** Sends a request to an endpoint; a failure yields null and the fault. */
  const callEndpoint = <T>(
    id: EndpointId,
    deadline: number,
    perform: (endpoint: FakeEndpoint) => T,
    onResult: (answer: T | null, fault: ConnFault | null) => void,
  ): void => {
    const target = cfg.findEndpoint(id);
    let isDone = false;
    const finish = (answer: T | null, fault: ConnFault | null): void => {
      if (!isDone) {
        isDone = true;
        cancel();
        onResult(answer, fault);
      }
    };
    const cancel = process.at(deadline, () => finish(null, 'timeout'));
    const sendAnswer = (answer: T | null, fault: ConnFault | null): void =>
      network.transmit(
        target!.node,
        node,
        () => process.receive(() => finish(answer, fault)),
        () => process.receive(() => finish(null, 'reset')),
      );
    const refuse = (): void => {
      process.at(runtime.now(), () => finish(null, 'refused'));
    };
    if (target === null) {
      refuse();
      return;
    }
    const handleArrival = (): void => {
      if (target.process().isDead()) {
        sendAnswer(null, 'refused');
        return;
      }
      target.process().receive(() => sendAnswer(perform(target), null));
    };
    network.transmit(node, target.node, handleArrival, refuse);
  };

  const performers: Performers<ExternalAction> = {
    reply: ({caller, seq, reply}) => callers.get(caller)?.onReply(seq, reply),
    close_caller: ({caller}) => {
      const sink = callers.get(caller);
      callers.delete(caller);
      sink?.onClosed();
      if (sink !== undefined) {
        pushAsync({type: 'caller_closed', caller});
      }
    },
    ...conns.performers,
    probe: ({endpoint, deadline}) => {
      const sentAt = runtime.now();
      callEndpoint(
        endpoint,
        deadline,
        target => target.readStatus(),
        (status, fault) =>
          push({type: 'probed', endpoint, sentAt, status, fault}),
      );
    },
    command_endpoint: ({endpoint, command, deadline}) =>
      callEndpoint(
        endpoint,
        deadline,
        target => ({refusal: target.command(command)}),
        answer =>
          push({
            type: 'endpoint_commanded',
            endpoint,
            ok: answer !== null && answer.refusal === null,
            detail: answer === null ? 'no answer' : (answer.refusal ?? ''),
          }),
      ),
    send: ({host, msg}) => peers.send(host, msg),
    read_platform: ({since, deadline}) => {
      const sentAt = runtime.now();
      let isDone = false;
      const finish = (event: Event): void => {
        if (!isDone) {
          isDone = true;
          cancel();
          push(event);
        }
      };
      const cancel = process.at(deadline, () =>
        finish({
          type: 'platform_read_failed',
          sentAt,
          kind: 'refused',
          detail: 'the deadline passed',
        }),
      );
      platform.read(node, since, read =>
        process.receive(() =>
          finish(
            read === null
              ? {
                  type: 'platform_read_failed',
                  sentAt,
                  kind: 'refused',
                  detail: 'the platform is down',
                }
              : {type: 'platform_read', sentAt, ...read},
          ),
        ),
      );
    },
    update_platform: ({key, attempt, baseVersion, value, deadline}) => {
      let isDone = false;
      const finish = (result: PlatformUpdateResult): void => {
        if (!isDone) {
          isDone = true;
          cancel();
          push({type: 'platform_updated', key, attempt, baseVersion, result});
        }
      };
      const cancel = process.at(deadline, () => finish({type: 'unknown'}));
      platform.update(node, {key, baseVersion, value}, result =>
        process.receive(() => finish(result)),
      );
    },
    set_timer: ({at, timer}) => {
      process.at(at, () => push({type: 'timer', timer}));
    },
    record: () => undefined,
    answer_operator: () => undefined,
    drained: () => {
      isDrained = true;
    },
  };

  const kill = (): void => {
    process.kill();
    peers.closeAll();
    conns.closeAll();
    const sinks = [...callers.values()];
    callers.clear();
    sinks.forEach(sink => sink.onClosed());
  };

  return {
    node,
    incarnation: cfg.incarnation,
    engine,
    process,
    peers,
    push: receive,
    openCaller: (sink, {user, service, attributes}) => {
      const caller = nextCaller++;
      callers.set(caller, sink);
      receive({
        type: 'caller_opened',
        caller,
        user,
        service,
        allowedServices: ['*'],
        attributes,
      });
      return caller;
    },
    closeCaller: caller => {
      if (callers.delete(caller)) {
        receive({type: 'caller_closed', caller});
      }
    },
    isDrained: () => isDrained,
    kill,
  };
}

type PlatformUpdateResult = Extract<
  Event,
  {type: 'platform_updated'}
>['result'];
