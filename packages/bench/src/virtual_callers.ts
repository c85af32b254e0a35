/** The callers of a run: connections by host, and sessions that roam. */

import type {LogPosition} from '@lacewingroad/core';
import type {FakeCaller, FakeSite} from '@lacewingroad/fakes';
import type {Arrival} from './arrivals.js';

/** What is known of a session from the answers that it got. */
export interface SessionState {
  /** Position of its last acknowledged write; null before any. */
  written: LogPosition | null;
}

/** A connection taken for one statement. */
interface Taken {
  readonly caller: FakeCaller;
  readonly session: SessionState;
  /** Makes the connection available again. */
  readonly release: () => void;
}

/** The callers of a run. */
export interface Callers {
  /** Takes an idle connection for an arrival, or opens one. */
  readonly take: (arrival: Arrival) => Taken;
}

interface NamedSession {
  readonly state: SessionState;
  host: string | null;
}

interface Connection {
  readonly caller: FakeCaller;
  readonly state: SessionState;
}

/** Creates callers; `random` draws the hosts as the balancer does. */
export function createCallers(site: FakeSite, random: () => number): Callers {
  const named = new Map<string, NamedSession>();
  const idle = new Map<string, Connection[]>();

  const isUp = (host: string): boolean =>
    !site.hosts.get(host)!.process.isDead();

  const drawHost = (): string => {
    const up = site.hostIds.filter(isUp);
    return up[Math.floor(random() * up.length)] ?? site.hostIds[0]!;
  };

  const takeIdle = (key: string): Connection | null => {
    const list = idle.get(key) ?? [];
    for (;;) {
      const connection = list.pop();
      if (connection === undefined || connection.caller.isOpen()) {
        return connection ?? null;
      }
    }
  };

  const connect = (
    key: string,
    host: string,
    open: () => Connection,
  ): Taken => {
    const place = `${key}@${host}`;
    const connection = takeIdle(place) ?? open();
    return {
      caller: connection.caller,
      session: connection.state,
      release: () => {
        const list = idle.get(place);
        if (list === undefined) {
          idle.set(place, [connection]);
        } else {
          list.push(connection);
        }
      },
    };
  };

  const takeOwn = ({service}: Arrival): Taken => {
    const host = drawHost();
    return connect(service, host, () => ({
      caller: site.openCaller(host, {service}),
      state: {written: null},
    }));
  };

  const takeNamed = (arrival: Arrival): Taken => {
    const {service} = arrival;
    const name = `${service}.${arrival.session}`;
    const known = named.get(name);
    const session = known ?? {state: {written: null}, host: null};
    named.set(name, session);
    const isLost = session.host === null || !isUp(session.host);
    const host = isLost || arrival.roams ? drawHost() : session.host!;
    session.host = host;
    return connect(name, host, () => ({
      caller: site.openCaller(host, {service, session: name}),
      state: session.state,
    }));
  };

  return {
    take: arrival =>
      arrival.isNamedSession ? takeNamed(arrival) : takeOwn(arrival),
  };
}
