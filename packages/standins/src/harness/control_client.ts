/** Clients of the stand-ins' control ports. */

import type {StoredObject} from '../platform/store.js';
import type {PlatformSwitches} from '../platform/platform.js';
import type {EndpointSwitches} from '../endpoint/endpoint.js';
import type {RequestKeyRuns} from '../endpoint/ledger.js';
import type {FaultLink} from '../fault/fault.js';
import type {FaultRule} from '../fault/rules.js';

/**
 * Sends a JSON request and returns the decoded response. Throws on an error
 * status.
 */
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

/** State of a simulated endpoint. */
export interface EndpointState {
  readonly id: string;
  readonly role: 'primary' | 'replica';
  /** Term for which the log is known to match the primary's. */
  readonly term: number;
  /** Term accepted by the last promotion or by following a primary. */
  readonly acceptedTerm: number;
  readonly index: number;
  readonly follows: string | null;
  readonly dataAgeMs: number;
  /** Number of committed rows by table. */
  readonly rows: Readonly<Record<string, number>>;
  /** Number of commits by request key. */
  readonly requestKeys: Readonly<Record<string, RequestKeyRuns>>;
  readonly connections: number;
  readonly connectionsTotal: number;
  readonly connectionsRefused: number;
  readonly statementsTotal: number;
  /** Received statements that read or write data, without status queries. */
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

/** Controls a simulated platform. */
export interface PlatformControl {
  readonly set: (switches: Partial<PlatformSwitches>) => Promise<void>;
  /** Number of calls by type. */
  readonly stats: () => Promise<Readonly<Record<string, number>>>;
  readonly objects: () => Promise<readonly StoredObject[]>;
  readonly putHost: (id: string, value: unknown) => Promise<void>;
  readonly deleteHost: (id: string) => Promise<void>;
}

/** Controls a simulated endpoint. */
export interface EndpointControl {
  readonly set: (switches: Partial<EndpointSwitches>) => Promise<void>;
  readonly state: () => Promise<EndpointState>;
}

/** Controls a fault proxy. */
export interface FaultControl {
  readonly setLinks: (
    links: readonly FaultLink[],
  ) => Promise<readonly LinkState[]>;
  readonly setRules: (rules: readonly FaultRule[]) => Promise<void>;
  readonly links: () => Promise<readonly LinkState[]>;
}

/** Creates a client for the control port `IP:PORT` of a platform. */
export function createPlatformControl(base: string): PlatformControl {
  const hostPath = (id: string): string =>
    `/control/hosts/${encodeURIComponent(id)}`;
  return {
    set: async switches => {
      await callJson(base, 'PUT', '/control', switches);
    },
    stats: () => callJson(base, 'GET', '/control/stats'),
    objects: async () => {
      const response = await callJson<{readonly changes: StoredObject[]}>(
        base,
        'GET',
        '/control/objects',
      );
      return response.changes;
    },
    putHost: async (id, value) => {
      await callJson(base, 'PUT', hostPath(id), value);
    },
    deleteHost: async id => {
      await callJson(base, 'DELETE', hostPath(id));
    },
  };
}

/** Creates a client for the control port `IP:PORT` of an endpoint. */
export function createEndpointControl(base: string): EndpointControl {
  return {
    set: async switches => {
      await callJson(base, 'PUT', '/control', switches);
    },
    state: () => callJson(base, 'GET', '/control/state'),
  };
}

/** Creates a client for the control port `IP:PORT` of a fault proxy. */
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
