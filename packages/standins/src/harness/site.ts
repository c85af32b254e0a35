/** Starts all processes of a site on loopback addresses for one test. */

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

const STANDIN_SCRIPT = join(WORKSPACE, 'packages/standins/dist/main.js');
const ENTRY_COMMAND = [join(WORKSPACE, 'packages/cli/dist/main.js'), 'entry'];
const START_TIMEOUT_MS = 20_000;
const POLL_MS = 50;
const ADDRESSES_LINE = /^\{"address":"([^"]+)","control":"([^"]+)"\}$/m;
const ANY_FREE_PORT = `${NEUTRAL_ADDRESS}:0`;

/** Names of the platform and fault proxy processes. */
export const PLATFORM_PROCESS = 'platform';
export const FAULT_PROCESS = 'fault';

/** A running site. Entry host and endpoint processes are named by their ids. */
export interface Site {
  readonly plan: SitePlan;
  readonly processes: ProcessSet;
  readonly platform: PlatformControl;
  readonly fault: FaultControl;
  readonly endpoint: (id: string) => EndpointControl;
  /** Returns the address of a link on the fault proxy; see LINKS. */
  readonly proxyAddress: (link: string) => HostPort;
  /** Returns the source address prefix of a data centre, for fault rules. */
  readonly prefix: (dataCentre: string) => string;
  /** Starts an entry host, or restarts it after it has exited. */
  readonly startEntry: (id: string) => void;
  /** Restarts an endpoint as an empty replica that follows no primary. */
  readonly restartEndpoint: (id: string) => Promise<void>;
  /** Resolves once `/readyz` of the host returns 200. */
  readonly waitUntilReady: (id: string) => Promise<void>;
  /**
   * Sets the state of a host in the platform's host list, or removes it; takes
   * effect after the list's lag.
   */
  readonly setListedState: (
    id: string,
    state: HostObject['state'] | 'gone',
  ) => Promise<void>;
  /** Stops all processes and removes the site's files. */
  readonly close: () => Promise<void>;
}

/** Converts values to command line options; leaves out undefined ones. */
function formatOptions(
  values: Readonly<Record<string, string | number | undefined>>,
): readonly string[] {
  return Object.entries(values)
    .filter(([, value]) => value !== undefined)
    .flatMap(([name, value]) => [`--${name}`, String(value)]);
}

interface SiteContext {
  readonly plan: SitePlan;
  readonly options: SiteOptions;
  readonly processes: ProcessSet;
  readonly directory: string;
  readonly runtime: Runtime;
}

/**
 * Starts a stand-in process and resolves with the address of its control port.
 */
async function startStandin(
  context: SiteContext,
  name: string,
  args: readonly string[],
): Promise<string> {
  context.processes.start(name, [STANDIN_SCRIPT, ...args]);
  const match = await context.processes.waitForOutput(
    name,
    ADDRESSES_LINE,
    START_TIMEOUT_MS,
  );
  return match[2]!;
}

function startEndpointProcess(
  context: SiteContext,
  endpoint: EndpointPlan,
  follow: string | undefined,
  term: number,
): Promise<string> {
  const {options} = context;
  const isPrimary = endpoint.isPrimary && term > 0;
  return startStandin(context, endpoint.id, [
    'endpoint',
    ...formatOptions({
      id: endpoint.id,
      listen: formatHostPort(endpoint.listen),
      control: ANY_FREE_PORT,
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
  context: SiteContext,
  objects: Readonly<Record<string, unknown>>,
): Promise<string> {
  const {options, directory, plan} = context;
  const seedFile = join(directory, 'seed.json');
  writeFileSync(seedFile, JSON.stringify(objects));
  return startStandin(context, PLATFORM_PROCESS, [
    'platform',
    ...formatOptions({
      listen: formatHostPort(plan.platform),
      control: ANY_FREE_PORT,
      'seed-file': seedFile,
      'host-list-lag-ms': options.hostListLagMs,
      'writes-per-second': options.writesPerSecond,
      'reads-per-second': options.readsPerSecond,
    }),
  ]);
}

function startEntryProcess(
  context: SiteContext,
  entry: EntryPlan,
  proxyAddress: (link: string) => HostPort,
): void {
  const {options, directory, plan, processes} = context;
  const file = join(directory, `${entry.id}.yaml`);
  const platform = proxyAddress(LINKS.platform);
  const seeds = plan.entries
    .filter(({id}) => id !== entry.id)
    .map(other => ({...other, peer: proxyAddress(LINKS.peer(other.id))}));
  const text = formatEntrySettings(entry, platform, options.logLevel, seeds);
  writeFileSync(file, text);
  const command = options.entryCommand ?? ENTRY_COMMAND;
  processes.start(entry.id, [...command, '--settings', file]);
}

async function waitForReady(
  context: SiteContext,
  entry: EntryPlan,
): Promise<void> {
  const {processes, runtime} = context;
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
    throw new Error(`this site has no '${id}'`);
  }
  return item;
}

function createLinkResolver(
  links: readonly LinkState[],
): (link: string) => HostPort {
  const addresses = new Map(
    links.map(({name, address}) => [name, parseHostPort(address)]),
  );
  return link => {
    const address = addresses.get(link);
    if (address === undefined) {
      throw new Error(`this site has no link '${link}'; see LINKS`);
    }
    return address;
  };
}

async function startEndpoints(
  context: SiteContext,
  proxyAddress: (link: string) => HostPort,
): Promise<Map<string, EndpointControl>> {
  const controls = new Map<string, EndpointControl>();
  const {endpoints} = context.plan;
  await Promise.all(
    endpoints.map(async endpoint => {
      const primary = endpoints.find(
        ({group, isPrimary}) => isPrimary && group === endpoint.group,
      )!;
      const primaryAddress = formatHostPort(
        proxyAddress(LINKS.endpoint(primary.id)),
      );
      const follow = `${primary.id}@${primaryAddress}`;
      const control = await startEndpointProcess(context, endpoint, follow, 1);
      controls.set(endpoint.id, createEndpointControl(control));
    }),
  );
  return controls;
}

async function startSite(context: SiteContext): Promise<Site> {
  const {plan, options, processes} = context;
  const faultControl = await startStandin(context, FAULT_PROCESS, [
    'fault',
    '--control',
    ANY_FREE_PORT,
  ]);
  const fault = createFaultControl(faultControl);
  const proxyAddress = createLinkResolver(
    await fault.setLinks(planLinks(plan)),
  );
  const objects = seedObjects(plan, options, proxyAddress);
  const platform = createPlatformControl(
    await startPlatformProcess(context, objects),
  );
  const endpoints = await startEndpoints(context, proxyAddress);
  const startEntry = (id: string): void =>
    startEntryProcess(context, findById(plan.entries, id), proxyAddress);
  const waitUntilReady = (id: string): Promise<void> =>
    waitForReady(context, findById(plan.entries, id));
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
    proxyAddress,
    prefix: dataCentre => dataCentrePrefix(options, dataCentre),
    startEntry,
    restartEndpoint: async id => {
      const endpoint = findById(plan.endpoints, id);
      const control = await startEndpointProcess(
        context,
        endpoint,
        undefined,
        0,
      );
      endpoints.set(id, createEndpointControl(control));
    },
    waitUntilReady,
    setListedState: (id, state) =>
      state === 'gone'
        ? platform.deleteHost(id)
        : platform.putHost(
            id,
            hostObject(findById(plan.entries, id), proxyAddress, state),
          ),
    close: () => closeSite(context),
  };
}

async function closeSite(context: SiteContext): Promise<void> {
  await context.processes.close();
  rmSync(context.directory, {recursive: true, force: true});
}

/**
 * Starts the platform, the fault proxy, the endpoints and the entry hosts, with
 * all links through the proxy. Stops all processes if one fails to start.
 */
export async function launchSite(options: SiteOptions): Promise<Site> {
  const runtime = createSystemRuntime();
  const plan = await planSite(options);
  const directory = mkdtempSync(join(tmpdir(), 'lacewingroad-site-'));
  const processes = createProcessSet(directory, runtime);
  const context = {plan, options, processes, directory, runtime};
  try {
    return await startSite(context);
  } catch (err) {
    await closeSite(context);
    throw err;
  }
}
