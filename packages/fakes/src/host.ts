/** A host driver: one engine, its events, and its actions against fakes. */

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

type OutsideAction = Exclude<Action['type'], 'emit'>;

/** What a caller hears of its connection. */
export interface CallerSink {
  readonly onReply: (seq: number, reply: Reply) => void;
  readonly onClosed: () => void;
}

/** Observes a host, for records and checks. */
export interface HostObserver {
  readonly onEvent?: (host: HostId, event: Event) => void;
  readonly onAction?: (host: HostId, action: Action) => void;
  /** A handler threw; the process is dead from here on. */
  readonly onFatal?: (host: HostId, err: unknown) => void;
}

/** What a host is created with. */
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

/** One start of an entry host. */
export interface FakeHost {
  readonly node: NetNode;
  readonly incarnation: string;
  readonly engine: Engine;
  readonly process: FakeProcess;
  readonly peers: FakePeers;
  /** Hands an event in, as an adapter does. */
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
  let pending: Event[] = [];
  let isRunning = false;
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
      performers[action.type as OutsideAction](action as never);
    }
  };

  const run = (): void => {
    while (pending.length > 0 && !process.isDead()) {
      const events = pending;
      pending = [];
      events.forEach(event => {
        if (!process.isDead()) {
          handle(event);
        }
      });
    }
  };

  const push = (event: Event): void => {
    pending.push(event);
    if (isRunning || process.isDead()) {
      return;
    }
    isRunning = true;
    try {
      run();
    } catch (err) {
      kill();
      observer.onFatal?.(node.id, err);
    } finally {
      isRunning = false;
    }
  };

  /** Hands an event in as if from a socket or at a timer. */
  const arrive = (event: Event): void => process.receive(() => push(event));

  const soon = (event: Event): void => {
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

  /** Asks an endpoint once; `over` gets null and the fault where it fails. */
  const askOnce = <T>(
    id: EndpointId,
    deadline: number,
    ask: (endpoint: FakeEndpoint) => T,
    over: (answer: T | null, fault: ConnFault | null) => void,
  ): void => {
    const target = cfg.findEndpoint(id);
    let isOver = false;
    const finish = (answer: T | null, fault: ConnFault | null): void => {
      if (!isOver) {
        isOver = true;
        cancel();
        over(answer, fault);
      }
    };
    const cancel = process.at(deadline, () => finish(null, 'timeout'));
    const back = (answer: T | null, fault: ConnFault | null): void =>
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
    const arriveThere = (): void => {
      if (target.process().isDead()) {
        back(null, 'refused');
        return;
      }
      target.process().receive(() => back(ask(target), null));
    };
    network.transmit(node, target.node, arriveThere, refuse);
  };

  const performers: Performers<OutsideAction> = {
    reply: ({caller, seq, reply}) => callers.get(caller)?.onReply(seq, reply),
    close_caller: ({caller}) => {
      const sink = callers.get(caller);
      callers.delete(caller);
      sink?.onClosed();
      if (sink !== undefined) {
        soon({type: 'caller_closed', caller});
      }
    },
    ...conns.performers,
    probe: ({endpoint, deadline}) => {
      const sentAt = runtime.now();
      askOnce(
        endpoint,
        deadline,
        target => target.readStatus(),
        (status, fault) =>
          push({type: 'probed', endpoint, sentAt, status, fault}),
      );
    },
    command_endpoint: ({endpoint, command, deadline}) =>
      askOnce(
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
      let isOver = false;
      const finish = (event: Event): void => {
        if (!isOver) {
          isOver = true;
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
      let isOver = false;
      const finish = (result: EventResult): void => {
        if (!isOver) {
          isOver = true;
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
    push: arrive,
    openCaller: (sink, {user, service, attributes}) => {
      const caller = nextCaller++;
      callers.set(caller, sink);
      arrive({
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
        arrive({type: 'caller_closed', caller});
      }
    },
    isDrained: () => isDrained,
    kill,
  };
}

type EventResult = Extract<Event, {type: 'platform_updated'}>['result'];
