/** Parts of an entry host that tests and benchmarks can replace. */

import {createEntryEngine} from '@lacewingroad/core';
import type {Adapter, Engine, EntryConfig} from '@lacewingroad/core';
import {createCallerAdapter, createEndpointAdapter} from '@lacewingroad/mysql';
import type {Runtime} from '@lacewingroad/runtime';
import type {UserSettings} from '@lacewingroad/settings';

/** Configuration of the caller adapter. */
export interface CallerPortConfig {
  readonly runtime: Runtime;
  readonly address: string;
  readonly port: number;
  readonly users: readonly UserSettings[];
}

/** Interface of the caller adapter, which listens from its creation on. */
export interface CallerPort extends Adapter<'reply' | 'close_caller'> {
  readonly port: number;
  /** Accepts no new callers; existing connections stay open. */
  readonly stopListening: () => void;
  /** Replaces the users that may log in; existing connections stay open. */
  readonly setUsers: (users: readonly UserSettings[]) => void;
}

/** Configuration of the endpoint adapter. */
export interface EndpointPortConfig {
  readonly runtime: Runtime;
  readonly sourceAddress: string;
  readonly user: string;
  readonly password: string;
}

/** Interface of the endpoint adapter. */
export type EndpointPort = Adapter<
  'open_conn' | 'run_conn' | 'close_conn' | 'probe' | 'command_endpoint'
>;

/** Factories of the replaceable parts. */
export interface EntryParts {
  readonly createEntryEngine: (cfg: EntryConfig) => Engine;
  readonly createCallerAdapter: (cfg: CallerPortConfig) => Promise<CallerPort>;
  readonly createEndpointAdapter: (cfg: EndpointPortConfig) => EndpointPort;
}

/** The parts of a production daemon. */
export const DEFAULT_PARTS: EntryParts = {
  createEntryEngine,
  createCallerAdapter,
  createEndpointAdapter,
};
