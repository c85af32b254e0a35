/** The environment of a fuzz run: a site, clients, oracles and the timeline. */

import {
  createEntryEngine,
  type Action,
  type Engine,
  type EntryConfig,
  type GroupObject,
  type HostId,
  type TableRow,
} from '@lacewingroad/core';
import type {EndpointId} from '@lacewingroad/core';
import {createFakeSite} from '../site.js';
import type {FakeSite} from '../site.js';
import type {FakeEndpoint} from '../endpoint.js';
import {createFuzzClient} from './client.js';
import type {FuzzClient, SessionMode} from './client.js';
import {createFlood} from './flood.js';
import type {Flood} from './flood.js';
import {createLeavingOracle} from './leaving_oracle.js';
import type {LeavingOracle} from './leaving_oracle.js';
import {createOracle} from './oracle.js';
import type {Oracle} from './oracle.js';

const SETTLE_MS = 4_000;
const HOST_LIST_LAG_MS = 1_000;

function createRow(kind: string, parts: Partial<TableRow>): TableRow {
  return {
    kind,
    rank: 'standard',
    worth: 1,
    targetMs: 500,
    timeoutMs: 3_000,
    maxStalenessMs: 0,
    connectionLimit: 8,
    floorPercent: 0,
    mayRepeat: false,
    ack: 'primary',
    ...parts,
  };
}

/** Table rows of both services: one for each kind of request. */
export const FUZZ_ROWS: readonly TableRow[] = [
  createRow('payment', {rank: 'urgent'}),
  createRow('approval', {mayRepeat: true, timeoutMs: 5_000}),
  createRow('durable', {ack: 'replica'}),
  createRow('session_read', {maxStalenessMs: null}),
  createRow('aged_read', {rank: 'background', maxStalenessMs: 1_000}),
  createRow('fresh_read', {maxStalenessMs: 0}),
  createRow('bulk', {rank: 'background', maxStalenessMs: 5_000}),
];

/** Data centres of the site. */
export const FUZZ_DATA_CENTRES = ['a', 'b', 'c'] as const;
const GROUPS = [
  {id: 'g', endpoints: ['a', 'b', 'c']},
  {id: 'h', endpoints: ['b', 'c']},
] as const;
const CLIENT_MODES: readonly SessionMode[] = [
  'token',
  'named',
  'connection',
  'token',
  'named',
];

/** A site with clients, oracles and a timeline of events. */
export interface FuzzWorld {
  readonly site: FakeSite;
  readonly oracle: Oracle;
  readonly clients: readonly FuzzClient[];
  readonly flood: Flood;
  readonly endpointIds: readonly EndpointId[];
  readonly timeline: readonly string[];
  readonly log: (text: string) => void;
  readonly endpoint: (index: number) => FakeEndpoint;
  readonly hostId: (index: number) => HostId;
  /** Sets the time that statements take at all endpoints, in ms. */
  readonly setServiceTime: (ms: number) => void;
  /** Records which hosts cannot read the platform; call on fault changes. */
  readonly updatePlatformAccess: () => void;
  /** Throws if an oracle has found a violation. */
  readonly check: () => void;
}

/** Configuration of a world. */
export interface FuzzWorldConfig {
  readonly seed: number;
  readonly withTimeline: boolean;
}

/** Reports a violation when a host replaces an object with an older version. */
function checkVersionsNeverDecrease(
  engine: Engine,
  fail: (text: string) => void,
  host: HostId,
): void {
  engine.registerListener((board, previous) => {
    for (const name of ['tables', 'groups'] as const) {
      if (board.view[name] === previous.view[name]) {
        continue;
      }
      previous.view[name].forEach((old, id) => {
        const version = board.view[name].get(id)?.version ?? 0;
        if (version < old.version) {
          fail(
            `${host} went from version ${old.version} of ${name}/${id} to ${version}`,
          );
        }
      });
    }
  });
}

/** Creates a world and runs it until the site has started. */
export function createFuzzWorld(cfg: FuzzWorldConfig): FuzzWorld {
  const timeline: string[] = [];
  let isSettled = false;
  let leaving: LeavingOracle | null = null;
  const now = (): number => site.runtime.now();
  const log = (text: string): void => {
    if (cfg.withTimeline && isSettled) {
      timeline.push(`${now().toFixed(1).padStart(9)} ${text}`);
    }
  };
  const createEngine = (entry: EntryConfig): Engine => {
    const engine = createEntryEngine(entry);
    engine.registerFeature({
      name: 'spy',
      handlers: {
        peer_message: (board, event) => {
          if (event.host === entry.host) {
            oracle.observeMessage(entry.host, event.msg);
          }
          return {board, actions: []};
        },
      },
    });
    checkVersionsNeverDecrease(engine, text => oracle.fail(text), entry.host);
    return engine;
  };

  const observeAction = (host: HostId, action: Action): void => {
    leaving?.observeAction(host, action);
    if (action.type === 'send') {
      const {msg} = action;
      oracle.observeMessage(host, msg);
      if (msg.type === 'run' || msg.type === 'ran') {
        log(`${host} sends ${msg.type} ${msg.request} to ${action.host}`);
      }
    }
    if (action.type === 'drained') {
      // End the process, as the daemon does, unless it was restarted meanwhile.
      const drainedHost = site.hosts.get(host);
      site.runtime.at(now(), () => {
        if (site.hosts.get(host) === drainedHost) {
          site.killHost(host);
        }
      });
    }
    if (action.type === 'record' && cfg.withTimeline) {
      const fields = JSON.stringify(action.fields);
      log(`${host} ${action.event} ${fields}`);
    }
  };

  const site: FakeSite = createFakeSite({
    seed: cfg.seed,
    dataCentres: FUZZ_DATA_CENTRES,
    entriesPerDataCentre: 2,
    groups: GROUPS,
    tables: GROUPS.map(({id}) => ({
      service: `s${id}`,
      group: id,
      rows: FUZZ_ROWS,
    })),
    endpoints: {maxConnections: 16},
    createEngine,
    observer: {
      onAction: observeAction,
      onEvent: (host, event) => {
        if (event.type === 'peer_up' || event.type === 'peer_down') {
          const {type, generation} = event;
          log(`${host} ${type} ${event.host} ${generation}`);
        }
      },
      onFatal: (host, err) =>
        oracle.fail(
          `${host} failed: ${err instanceof Error ? err.stack : String(err)}`,
        ),
    },
  });
  const oracle = createOracle({platform: site.platform, now});
  const leavingOracle = createLeavingOracle({site, fail: oracle.fail});
  leaving = leavingOracle;
  site.platform.faults.hostListLagMs = HOST_LIST_LAG_MS;
  site.platform.onUpdate(({key, version, value}) =>
    log(`platform ${key} v${version} ${describeObject(key, value)}`),
  );
  site.endpoints.forEach(({ledger, isPrimary}) =>
    ledger.onAppend(entry => {
      if (isPrimary()) {
        oracle.observeCommit(entry);
      }
    }),
  );
  site.runFor(SETTLE_MS);
  isSettled = true;
  const endpointIds = [...site.endpoints.keys()];
  const clients = CLIENT_MODES.map((mode, index) => {
    const group = GROUPS[index % GROUPS.length]!.id;
    return createFuzzClient({
      site,
      oracle,
      prefix: `c${index}`,
      mode,
      service: `s${group}`,
      group,
      log,
    });
  });
  clients.forEach((client, index) =>
    client.roam(site.hostIds[index % site.hostIds.length]!),
  );

  return {
    site,
    oracle,
    clients,
    flood: createFlood({site, oracle, log}),
    endpointIds,
    timeline,
    log,
    endpoint: index =>
      site.endpoints.get(endpointIds[index % endpointIds.length]!)!,
    hostId: index => site.hostIds[index % site.hostIds.length]!,
    setServiceTime: ms =>
      site.endpoints.forEach(({load}) => {
        load.serviceMs = () => ms;
      }),
    updatePlatformAccess: leavingOracle.updatePlatformAccess,
    check: () => {
      if (oracle.violations.length > 0) {
        throw new Error(oracle.violations.join('\n'));
      }
    },
  };
}

function describeObject(key: string, value: unknown): string {
  if (!key.startsWith('groups/')) {
    return '';
  }
  const {term, primary, fence, owners, starts} = value as GroupObject;
  return JSON.stringify({term, primary, fence, owners, starts});
}
