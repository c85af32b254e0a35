/** The callers of a run: connections by host, and sessions that switch hosts. */

import type {LogPosition} from '@lacewingroad/core';
import type {FakeCaller, FakeSite} from '@lacewingroad/fakes';
import type {Arrival} from './arrivals.js';

/** State of a session, derived from its answers. */
export interface SessionState {
  /** Position of the last acknowledged write, or null before the first. */
  written: LogPosition | null;
}

/** A connection reserved for one statement. */
interface CallerLease {
  readonly caller: FakeCaller;
  readonly session: SessionState;
  /** Returns the connection to the idle ones. */
  readonly release: () => void;
}

/** Pools of the callers' connections. */
export interface Callers {
  /** Acquires an idle connection for an arrival, or opens one. */
  readonly acquire: (arrival: Arrival) => CallerLease;
}

interface NamedSession {
  readonly state: SessionState;
  host: string | null;
}

interface Connection {
  readonly caller: FakeCaller;
  readonly state: SessionState;
}

/** Creates callers; `random` draws the hosts as a load balancer would. */
export function createCallers(site: FakeSite, random: () => number): Callers {
  const namedSessions = new Map<string, NamedSession>();
  const idleConnections = new Map<string, Connection[]>();

  const isUp = (host: string): boolean =>
    !site.hosts.get(host)!.process.isDead();

  const drawHost = (): string => {
    const up = site.hostIds.filter(isUp);
    return up[Math.floor(random() * up.length)] ?? site.hostIds[0]!;
  };

  const takeIdle = (key: string): Connection | null => {
    const list = idleConnections.get(key) ?? [];
    for (;;) {
      const connection = list.pop();
      if (connection === undefined || connection.caller.isOpen()) {
        return connection ?? null;
      }
    }
  };

  const acquireConnection = (
    key: string,
    host: string,
    open: () => Connection,
  ): CallerLease => {
    const poolKey = `${key}@${host}`;
    const connection = takeIdle(poolKey) ?? open();
    return {
      caller: connection.caller,
      session: connection.state,
      release: () => {
        const list = idleConnections.get(poolKey);
        if (list === undefined) {
          idleConnections.set(poolKey, [connection]);
        } else {
          list.push(connection);
        }
      },
    };
  };

  const acquireUnnamed = ({service}: Arrival): CallerLease => {
    const host = drawHost();
    return acquireConnection(service, host, () => ({
      caller: site.openCaller(host, {service}),
      state: {written: null},
    }));
  };

  const acquireNamed = (arrival: Arrival): CallerLease => {
    const {service} = arrival;
    const name = `${service}.${arrival.session}`;
    const existing = namedSessions.get(name);
    const session = existing ?? {state: {written: null}, host: null};
    namedSessions.set(name, session);
    const needsHost = session.host === null || !isUp(session.host);
    const host = needsHost || arrival.roams ? drawHost() : session.host!;
    session.host = host;
    return acquireConnection(name, host, () => ({
      caller: site.openCaller(host, {service, session: name}),
      state: session.state,
    }));
  };

  return {
    acquire: arrival =>
      arrival.isNamedSession ? acquireNamed(arrival) : acquireUnnamed(arrival),
  };
}
