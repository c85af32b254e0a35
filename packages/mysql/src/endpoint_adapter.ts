/** Connects to endpoints: MySQL clients built on mysql2. */

import {Subject} from 'rxjs';
import type {ActionOf, Adapter, ConnId, Event} from '@lacewingroad/core';
import {runEndpointCommand} from './endpoint_command.js';
import {
  openEndpointConn,
  type EndpointConn,
  type EndpointConnConfig,
} from './endpoint_conn.js';
import {createLostSessions} from './lost_sessions.js';
import {createProber} from './probe.js';

/** Settings of an endpoint adapter. */
export type EndpointAdapterConfig = EndpointConnConfig;

/** Opens connections to endpoints, runs statements, probes and commands. */
export type EndpointAdapter = Adapter<
  'open_conn' | 'run_conn' | 'close_conn' | 'probe' | 'command_endpoint'
>;

/** Creates the adapter; it connects only when an action requires it. */
export function createEndpointAdapter(
  settings: EndpointAdapterConfig,
): EndpointAdapter {
  const cfg = {...settings, lostSessions: createLostSessions()};
  const events = new Subject<Event>();
  const conns = new Map<ConnId, EndpointConn>();
  const commands = new Set<() => void>();
  const emit = (event: Event): void => events.next(event);
  const prober = createProber(cfg, emit);

  const openConn = (action: ActionOf<'open_conn'>): void => {
    const {endpoint, conn} = action;
    const opened = openEndpointConn(cfg, action, {
      onOpen: () => emit({type: 'conn_opened', endpoint, conn}),
      onLost: (fault, wasOpen) => {
        conns.delete(conn);
        emit({type: 'conn_closed', endpoint, conn, fault, wasOpen});
      },
    });
    conns.set(conn, opened);
  };

  const runConn = (action: ActionOf<'run_conn'>): void => {
    const {endpoint, conn, step, statement} = action;
    conns.get(conn)?.run(statement, answer => {
      emit({type: 'conn_answered', endpoint, conn, step, answer});
    });
  };

  const closeConn = (action: ActionOf<'close_conn'>): void => {
    conns.get(action.conn)?.destroy();
    conns.delete(action.conn);
  };

  const runCommand = (action: ActionOf<'command_endpoint'>): void => {
    const cancel = runEndpointCommand(cfg, action, event => {
      commands.delete(cancel);
      emit(event);
    });
    commands.add(cancel);
  };

  return {
    events$: events.asObservable(),
    performers: {
      open_conn: openConn,
      run_conn: runConn,
      close_conn: closeConn,
      probe: prober.probe,
      command_endpoint: runCommand,
    },
    close: async () => {
      conns.forEach(conn => conn.destroy());
      conns.clear();
      commands.forEach(cancel => cancel());
      commands.clear();
      prober.close();
      events.complete();
    },
  };
}
