/** The parts of an entry host that tests and benches may replace. */

import {createEntryEngine} from '@lacewingroad/core';
import type {Adapter, Engine, EntryConfig} from '@lacewingroad/core';
import {createCallerAdapter, createEndpointAdapter} from '@lacewingroad/mysql';
import type {Runtime} from '@lacewingroad/runtime';
import type {UserSettings} from '@lacewingroad/settings';

/** What the adapter towards callers needs. */
export interface CallerPortConfig {
  readonly runtime: Runtime;
  readonly address: string;
  readonly port: number;
  readonly users: readonly UserSettings[];
}

/** The adapter towards callers; it listens from its creation. */
export interface CallerPort extends Adapter<'reply' | 'close_caller'> {
  readonly port: number;
  /** Takes no new callers; those connected go on. */
  readonly stopListening: () => void;
  /** Replaces the users that may log in; callers logged in go on. */
  readonly setUsers: (users: readonly UserSettings[]) => void;
}

/** What the adapter towards endpoints needs. */
export interface EndpointPortConfig {
  readonly runtime: Runtime;
  readonly sourceAddress: string;
  readonly user: string;
  readonly password: string;
}

/** The adapter towards endpoints. */
export type EndpointPort = Adapter<
  'open_conn' | 'run_conn' | 'close_conn' | 'probe' | 'command_endpoint'
>;

/** The parts. */
export interface EntryParts {
  readonly createEntryEngine: (cfg: EntryConfig) => Engine;
  readonly createCallerAdapter: (cfg: CallerPortConfig) => Promise<CallerPort>;
  readonly createEndpointAdapter: (cfg: EndpointPortConfig) => EndpointPort;
}

/** The parts of a daemon. */
export const DEFAULT_PARTS: EntryParts = {
  createEntryEngine,
  createCallerAdapter,
  createEndpointAdapter,
};
