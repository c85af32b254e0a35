/** Starts a whole site of processes on loopback addresses for one test. */

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createSystemRuntime, waitUntil} from '@lacewingroad/runtime';
import type {HostObject} from '@lacewingroad/core';
import type {Runtime} from '@lacewingroad/runtime';
import {formatHostPort, parseHostPort} from '../http.js';
import type {HostPort} from '../http.js';
import {
  createEndpointControl,
  createFaultControl,
  createPlatformControl,
} from './control_client.js';
import type {
  EndpointControl,
  FaultControl,
  LinkState,
  PlatformControl,
} from './control_client.js';
import {formatEntrySettings} from './entry_settings.js';
import {WORKSPACE, createProcessSet} from './process_set.js';
import type {ProcessSet} from './process_set.js';
import {
  LINKS,
  NEUTRAL_ADDRESS,
  dataCentrePrefix,
  hostObject,
  planLinks,
  planSite,
  seedObjects,
} from './site_plan.js';
import type {
  EndpointPlan,
  EntryPlan,
  SiteOptions,
  SitePlan,
} from './site_plan.js';

const STANDIN = join(WORKSPACE, 'packages/standins/dist/main.js');
const ENTRY_COMMAND = [join(WORKSPACE, 'packages/cli/dist/main.js'), 'entry'];
const START_TIMEOUT_MS = 20_000;
const POLL_MS = 50;
const ANNOUNCEMENT = /^\{"address":"([^"]+)","control":"([^"]+)"\}$/m;
const FREE_PORT = `${NEUTRAL_ADDRESS}:0`;

/** Names of the processes besides entry hosts and endpoints. */
export const PLATFORM_PROCESS = 'platform';
export const FAULT_PROCESS = 'fault';

/** A running site. Processes go by the ids of hosts and endpoints. */
export interface Site {
  readonly plan: SitePlan;
  readonly processes: ProcessSet;
  readonly platform: PlatformControl;
  readonly fault: FaultControl;
  readonly endpoint: (id: string) => EndpointControl;
  /** The proxy's address of a link; see LINKS. */
  readonly proxied: (link: string) => HostPort;
  /** Source address prefix of a data centre, for fault rules. */
  readonly prefix: (dataCentre: string) => string;
  /** Starts an entry host again after its end. */
  readonly startEntry: (id: string) => void;
  /** Starts an endpoint again: empty, without a primary. */
  readonly restartEndpoint: (id: string) => Promise<void>;
  /** Resolves once the host answers /readyz with 200. */
  readonly waitUntilReady: (id: string) => Promise<void>;
  /** Changes what the platform's host list says of a host, after its lag. */
  readonly listHost: (
    id: string,
    state: HostObject['state'] | 'gone',
  ) => Promise<void>;
  /** Ends every process and removes the site's files. */
  readonly close: () => Promise<void>;
}

/** Turns settings into options of the command line. */
function optionsOf(
  values: Readonly<Record<string, string | number | undefined>>,
): readonly string[] {
  return Object.entries(values)
    .filter(([, value]) => value !== undefined)
    .flatMap(([name, value]) => [`--${name}`, String(value)]);
}

interface Builder {
  readonly plan: SitePlan;
  readonly options: SiteOptions;
  readonly processes: ProcessSet;
  readonly directory: string;
  readonly runtime: Runtime;
}

/** Starts a stand-in and resolves with the address of its control port. */
async function startStandin(
  builder: Builder,
  name: string,
  args: readonly string[],
): Promise<string> {
  builder.processes.start(name, [STANDIN, ...args]);
  const match = await builder.processes.waitForOutput(
    name,
    ANNOUNCEMENT,
    START_TIMEOUT_MS,
  );
  return match[2]!;
}

function startEndpointProcess(
  builder: Builder,
  endpoint: EndpointPlan,
  follow: string | undefined,
  term: number,
): Promise<string> {
  const {options} = builder;
  const isPrimary = endpoint.isPrimary && term > 0;
  return startStandin(builder, endpoint.id, [
    'endpoint',
    ...optionsOf({
      id: endpoint.id,
      listen: formatHostPort(endpoint.listen),
      control: FREE_PORT,
      role: isPrimary ? 'primary' : 'replica',
      term,
      follow: isPrimary ? undefined : follow,
      address: endpoint.address,
      slots: options.slots,
      'max-connections': options.maxConnections,
      'connect-ms': options.connectMs,
      'service-ms': options.serviceMs,
      'lag-ms': options.lagMs,
      'lock-wait-ms': options.lockWaitMs,
    }),
  ]);
}

async function startPlatformProcess(
  builder: Builder,
  objects: Readonly<Record<string, unknown>>,
): Promise<string> {
  const {options, directory, plan} = builder;
  const seedFile = join(directory, 'seed.json');
  writeFileSync(seedFile, JSON.stringify(objects));
  return startStandin(builder, PLATFORM_PROCESS, [
    'platform',
    ...optionsOf({
      listen: formatHostPort(plan.platform),
      control: FREE_PORT,
      'seed-file': seedFile,
      'host-list-lag-ms': options.hostListLagMs,
      'writes-per-second': options.writesPerSecond,
      'reads-per-second': options.readsPerSecond,
    }),
  ]);
}

function startEntryProcess(
  builder: Builder,
  entry: EntryPlan,
  proxied: (link: string) => HostPort,
): void {
  const {options, directory, plan, processes} = builder;
  const file = join(directory, `${entry.id}.yaml`);
  const platform = proxied(LINKS.platform);
  const seeds = plan.entries
    .filter(({id}) => id !== entry.id)
    .map(other => ({...other, peer: proxied(LINKS.peer(other.id))}));
  const text = formatEntrySettings(entry, platform, options.logLevel, seeds);
  writeFileSync(file, text);
  const command = options.entryCommand ?? ENTRY_COMMAND;
  processes.start(entry.id, [...command, '--settings', file]);
}

async function waitForReady(builder: Builder, entry: EntryPlan): Promise<void> {
  const {processes, runtime} = builder;
  const deadline = runtime.now() + START_TIMEOUT_MS;
  const url = `http://${formatHostPort(entry.operator)}/readyz`;
  const isReady = async (): Promise<boolean> => {
    try {
      const res = await fetch(url, {headers: {connection: 'close'}});
      await res.arrayBuffer();
      return res.ok;
    } catch {
      return false;
    }
  };
  while (!(await isReady())) {
    if (!processes.isRunning(entry.id) || runtime.now() > deadline) {
      throw new Error(
        `entry host '${entry.id}' is not ready; its output:\n${processes.output(entry.id)}`,
      );
    }
    await waitUntil(runtime, runtime.now() + POLL_MS);
  }
}

function findById<T extends {readonly id: string}>(
  items: readonly T[],
  id: string,
): T {
  const item = items.find(candidate => candidate.id === id);
  if (item === undefined) {
    throw new Error(`no '${id}' in this site`);
  }
  return item;
}

function createProxied(
  links: readonly LinkState[],
): (link: string) => HostPort {
  const addresses = new Map(
    links.map(({name, address}) => [name, parseHostPort(address)]),
  );
  return link => {
    const address = addresses.get(link);
    if (address === undefined) {
      throw new Error(`no link '${link}' in this site; see LINKS`);
    }
    return address;
  };
}

async function startEndpoints(
  builder: Builder,
  proxied: (link: string) => HostPort,
): Promise<Map<string, EndpointControl>> {
  const controls = new Map<string, EndpointControl>();
  const {endpoints} = builder.plan;
  await Promise.all(
    endpoints.map(async endpoint => {
      const primary = endpoints.find(
        ({group, isPrimary}) => isPrimary && group === endpoint.group,
      )!;
      const at = formatHostPort(proxied(LINKS.endpoint(primary.id)));
      const follow = `${primary.id}@${at}`;
      const control = await startEndpointProcess(builder, endpoint, follow, 1);
      controls.set(endpoint.id, createEndpointControl(control));
    }),
  );
  return controls;
}

async function startSite(builder: Builder): Promise<Site> {
  const {plan, options, processes} = builder;
  const faultControl = await startStandin(builder, FAULT_PROCESS, [
    'fault',
    '--control',
    FREE_PORT,
  ]);
  const fault = createFaultControl(faultControl);
  const proxied = createProxied(await fault.setLinks(planLinks(plan)));
  const objects = seedObjects(plan, options, proxied);
  const platform = createPlatformControl(
    await startPlatformProcess(builder, objects),
  );
  const endpoints = await startEndpoints(builder, proxied);
  const startEntry = (id: string): void =>
    startEntryProcess(builder, findById(plan.entries, id), proxied);
  const waitUntilReady = (id: string): Promise<void> =>
    waitForReady(builder, findById(plan.entries, id));
  plan.entries.forEach(({id}) => startEntry(id));
  await Promise.all(plan.entries.map(({id}) => waitUntilReady(id)));

  return {
    plan,
    processes,
    platform,
    fault,
    endpoint: id => {
      findById(plan.endpoints, id);
      return endpoints.get(id)!;
    },
    proxied,
    prefix: dataCentre => dataCentrePrefix(options, dataCentre),
    startEntry,
    restartEndpoint: async id => {
      const endpoint = findById(plan.endpoints, id);
      const control = await startEndpointProcess(
        builder,
        endpoint,
        undefined,
        0,
      );
      endpoints.set(id, createEndpointControl(control));
    },
    waitUntilReady,
    listHost: (id, state) =>
      state === 'gone'
        ? platform.deleteHost(id)
        : platform.putHost(
            id,
            hostObject(findById(plan.entries, id), proxied, state),
          ),
    close: () => closeBuilder(builder),
  };
}

async function closeBuilder(builder: Builder): Promise<void> {
  await builder.processes.close();
  rmSync(builder.directory, {recursive: true, force: true});
}

/**
 * Starts platform, fault proxy, endpoints and entry hosts, with every link
 * through the proxy. When a start fails, all processes are ended again.
 */
export async function launchSite(options: SiteOptions): Promise<Site> {
  const runtime = createSystemRuntime();
  const plan = await planSite(options);
  const directory = mkdtempSync(join(tmpdir(), 'lacewingroad-site-'));
  const processes = createProcessSet(directory, runtime);
  const builder = {plan, options, processes, directory, runtime};
  try {
    return await startSite(builder);
  } catch (err) {
    await closeBuilder(builder);
    throw err;
  }
}
