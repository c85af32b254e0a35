/** Connections of a simulated entry host to endpoints. */

import type {
  ActionOf,
  ConnFault,
  ConnId,
  EndpointId,
  Event,
  Performers,
} from '@lacewingroad/core';
import type {FakeEndpoint} from './endpoint.js';
import type {FakeNetwork, NetNode, PipeEnd} from './network.js';
import type {FakeProcess} from './process.js';

/** Dependencies of the connections. */
export interface FakeConnsConfig {
  readonly network: FakeNetwork;
  readonly node: NetNode;
  readonly process: FakeProcess;
  readonly push: (event: Event) => void;
  readonly findEndpoint: (id: EndpointId) => FakeEndpoint | null;
}

/** The endpoint connections of one host process. */
export interface FakeConns {
  readonly performers: Performers<'open_conn' | 'run_conn' | 'close_conn'>;
  /** Closes all connections at once, as when the process exits. */
  readonly closeAll: () => void;
}

interface Conn {
  readonly end: PipeEnd;
  session: ReturnType<FakeEndpoint['sessions']['accept']>;
}

/** Creates a host's connections to endpoints. */
export function createFakeConns(cfg: FakeConnsConfig): FakeConns {
  const {network, node, process, push} = cfg;
  const {runtime} = network;
  const conns = new Map<ConnId, Conn>();

  const openConn = (action: ActionOf<'open_conn'>): void => {
    const {endpoint, conn} = action;
    const target = cfg.findEndpoint(endpoint);
    const close = (fault: ConnFault, wasOpen: boolean): void => {
      if (conns.delete(conn)) {
        push({type: 'conn_closed', endpoint, conn, fault, wasOpen});
      }
    };
    const isCut =
      target === null || network.pathState(node, target.node) === 'cut';
    if (isCut) {
      process.at(runtime.now(), () =>
        push({
          type: 'conn_closed',
          endpoint,
          conn,
          fault: 'refused',
          wasOpen: false,
        }),
      );
      return;
    }
    const {ends} = network.openPipe(node, target.node);
    const [localEnd, remoteEnd] = ends;
    const newConn: Conn = {end: localEnd, session: null};
    let isReady = false;
    conns.set(conn, newConn);
    localEnd.onClosed = () => process.receive(() => close('reset', isReady));
    const cancel = process.at(action.deadline, () => {
      localEnd.close();
      close('timeout', false);
    });
    const refuse = (fault: ConnFault): void =>
      remoteEnd.send(() =>
        process.receive(() => {
          cancel();
          localEnd.close();
          close(fault, false);
        }),
      );
    const accept = (): void => {
      if (!remoteEnd.isOpen()) {
        return;
      }
      newConn.session = target.sessions.accept(remoteEnd);
      if (newConn.session === null) {
        refuse('too_many');
        return;
      }
      remoteEnd.send(() =>
        process.receive(() => {
          if (conns.has(conn)) {
            cancel();
            isReady = true;
            push({type: 'conn_opened', endpoint, conn});
          }
        }),
      );
    };
    localEnd.send(() => {
      if (target.process().isDead()) {
        refuse('refused');
        return;
      }
      const acceptAt = runtime.now() + target.load.connectMs;
      target.process().receive(() => target.process().at(acceptAt, accept));
    });
  };

  const runConn = (action: ActionOf<'run_conn'>): void => {
    const {endpoint, conn, step, statement} = action;
    const open = conns.get(conn);
    const target = cfg.findEndpoint(endpoint);
    if (open === undefined || target === null) {
      return;
    }
    const localEnd = open.end;
    localEnd.send(() =>
      target.process().receive(() => {
        const {session} = open;
        if (session === null) {
          return;
        }
        target.sessions.run(session, statement.sql, answer =>
          session.end.send(() =>
            process.receive(() => {
              if (conns.get(conn) === open) {
                push({type: 'conn_answered', endpoint, conn, step, answer});
              }
            }),
          ),
        );
      }),
    );
  };

  return {
    performers: {
      open_conn: openConn,
      run_conn: runConn,
      close_conn: ({conn}) => {
        const open = conns.get(conn);
        conns.delete(conn);
        open?.end.close();
      },
    },
    closeAll: () => {
      conns.forEach(({end}) => end.close());
      conns.clear();
    },
  };
}
