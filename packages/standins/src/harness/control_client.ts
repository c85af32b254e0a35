/** Clients of the stand-ins' control ports. */

import type {StoredObject} from '../platform/store.js';
import type {PlatformSwitches} from '../platform/platform.js';
import type {EndpointSwitches} from '../endpoint/endpoint.js';
import type {KeyRuns} from '../endpoint/ledger.js';
import type {FaultLink} from '../fault/fault.js';
import type {FaultRule} from '../fault/rules.js';

/** Sends a JSON request and returns the decoded answer. Throws on an error. */
async function callJson<T>(
  base: string,
  method: string,
  path: string,
  body?: unknown,
): Promise<T> {
  const res = await fetch(`http://${base}${path}`, {
    method,
    headers: {connection: 'close'},
    ...(body === undefined ? {} : {body: JSON.stringify(body)}),
  });
  const text = await res.text();
  if (!res.ok) {
    throw new Error(`${method} ${path} at ${base}: ${res.status} ${text}`);
  }
  return JSON.parse(text) as T;
}

/** State of an endpoint stand-in. */
export interface EndpointState {
  readonly id: string;
  readonly role: 'primary' | 'replica';
  readonly term: number;
  readonly acceptedTerm: number;
  readonly index: number;
  readonly follows: string | null;
  readonly dataAgeMs: number;
  /** Rows by table. */
  readonly rows: Readonly<Record<string, number>>;
  /** Runs by request key. */
  readonly requestKeys: Readonly<Record<string, KeyRuns>>;
  readonly connections: number;
  readonly connectionsTotal: number;
  readonly connectionsRefused: number;
  readonly statementsTotal: number;
  /** Statements received that read or write data; no status queries. */
  readonly dataStatementsTotal: number;
}

/** State of one link of the fault proxy. */
export interface LinkState {
  readonly name: string;
  /** `IP:PORT` of the proxy. */
  readonly address: string;
  readonly target: string;
  readonly accepted: number;
  readonly refused: number;
  readonly open: number;
  readonly bytesUp: number;
  readonly bytesDown: number;
}

/** Switches of a platform stand-in. */
export interface PlatformControl {
  readonly set: (switches: Partial<PlatformSwitches>) => Promise<void>;
  /** Calls counted by type. */
  readonly stats: () => Promise<Readonly<Record<string, number>>>;
  readonly objects: () => Promise<readonly StoredObject[]>;
  readonly putHost: (id: string, value: unknown) => Promise<void>;
  readonly deleteHost: (id: string) => Promise<void>;
}

/** Switches of an endpoint stand-in. */
export interface EndpointControl {
  readonly set: (switches: Partial<EndpointSwitches>) => Promise<void>;
  readonly state: () => Promise<EndpointState>;
}

/** Switches of a fault proxy. */
export interface FaultControl {
  readonly setLinks: (
    links: readonly FaultLink[],
  ) => Promise<readonly LinkState[]>;
  readonly setRules: (rules: readonly FaultRule[]) => Promise<void>;
  readonly links: () => Promise<readonly LinkState[]>;
}

/** Creates a client for a platform's control port `IP:PORT`. */
export function createPlatformControl(base: string): PlatformControl {
  const host = (id: string): string =>
    `/control/hosts/${encodeURIComponent(id)}`;
  return {
    set: async switches => {
      await callJson(base, 'PUT', '/control', switches);
    },
    stats: () => callJson(base, 'GET', '/control/stats'),
    objects: async () => {
      const answer = await callJson<{readonly changes: StoredObject[]}>(
        base,
        'GET',
        '/control/objects',
      );
      return answer.changes;
    },
    putHost: async (id, value) => {
      await callJson(base, 'PUT', host(id), value);
    },
    deleteHost: async id => {
      await callJson(base, 'DELETE', host(id));
    },
  };
}

/** Creates a client for an endpoint's control port `IP:PORT`. */
export function createEndpointControl(base: string): EndpointControl {
  return {
    set: async switches => {
      await callJson(base, 'PUT', '/control', switches);
    },
    state: () => callJson(base, 'GET', '/control/state'),
  };
}

/** Creates a client for a fault proxy's control port `IP:PORT`. */
export function createFaultControl(base: string): FaultControl {
  interface FaultState {
    readonly links: readonly LinkState[];
  }
  return {
    setLinks: async links => {
      const state = await callJson<FaultState>(
        base,
        'PUT',
        '/control/links',
        links,
      );
      return state.links;
    },
    setRules: async rules => {
      await callJson(base, 'PUT', '/control/rules', rules);
    },
    links: async () => {
      const state = await callJson<FaultState>(base, 'GET', '/control/state');
      return state.links;
    },
  };
}
