/** The site of the failure tests, and fault rules for it. */

import {vi} from 'vitest';
import type {Connection} from 'mysql2/promise';
import {
  CALLER_ACCOUNT,
  LINKS,
  formatHostPort,
  launchSite,
  openMysql,
} from '@lacewingroad/standins';
import type {
  FaultEffect,
  FaultRule,
  Site,
  SiteOptions,
} from '@lacewingroad/standins';
import type {GroupObject} from '@lacewingroad/core';

export const GROUP = 'g1';
/** Documented upper bound of a change of primary, in milliseconds. */
export const CHANGE_BOUND_MS = 12_000;
const SETTLE_WAIT = {timeout: 60_000, interval: 100};
const CALLER_LAST_OCTET = 200;

const SERVICES: NonNullable<SiteOptions['services']> = [
  {
    service: 'shop',
    group: GROUP,
    rows: [
      {kind: '*', rank: 'standard', connectionLimit: 12},
      {kind: 'payment', rank: 'urgent', connectionLimit: 12},
      {kind: 'quick', rank: 'urgent', connectionLimit: 12, timeoutMs: 1_000},
      {kind: 'safe', rank: 'urgent', connectionLimit: 12, ack: 'replica'},
      {kind: 'browse', rank: 'background', timeoutMs: 1_000},
      {kind: 'gallery', rank: 'background', maxStalenessMs: 60_000},
    ],
  },
];

/**
 * Starts a site of three data centres with the primary in `a`, and creates a
 * table without a unique column, so that only request keys prevent a write from
 * running twice.
 */
async function launchFailureSite(): Promise<Site> {
  const site = await launchSite({
    dataCentres: ['a', 'b', 'c'],
    entriesPerDataCentre: 2,
    connectMs: 5,
    services: SERVICES,
  });
  try {
    await waitUntilPromotable(site, 'b-1');
    const caller = await connect(site, 'b-1');
    await caller.query('CREATE TABLE orders (id BIGINT)');
    caller.destroy();
  } catch (err) {
    await site.close();
    throw err;
  }
  return site;
}

/** A site that tests of one file reuse after a reset. */
export interface SharedSite {
  /** Returns the reusable site, or starts a new one. */
  readonly acquire: () => Promise<Site>;
  /** Restores the site and keeps it for the next test. */
  readonly resetForReuse: () => Promise<void>;
  /** Closes the site if the test did not reset it for reuse. */
  readonly release: () => Promise<void>;
  readonly close: () => Promise<void>;
}

/** Creates the shared site of one test file; `acquire` starts it. */
export function createSharedSite(): SharedSite {
  let site: Site | null = null;
  let isReusable = false;
  const close = async (): Promise<void> => {
    const closing = site;
    site = null;
    await closing?.close();
  };
  return {
    acquire: async () => {
      isReusable = false;
      site ??= await launchFailureSite();
      return site;
    },
    resetForReuse: async () => {
      await restoreSite(site!);
      isReusable = true;
    },
    release: async () => {
      if (!isReusable) {
        await close();
      }
    },
    close,
  };
}

/** Ends all faults, restarts processes and waits until the site is healthy. */
async function restoreSite(site: Site): Promise<void> {
  const {entries, endpoints} = site.plan;
  const {processes} = site;
  await site.fault.setRules([]);
  await site.platform.set({mode: 'up', delayMs: 0, loseAnswers: 0});
  for (const {id} of endpoints) {
    if (!processes.isRunning(id)) {
      await site.restartEndpoint(id);
    }
    await site.endpoint(id).set({lagMs: 0, serviceMs: 0});
  }
  for (const {id} of entries) {
    if (!processes.isRunning(id)) {
      site.startEntry(id);
    }
    await site.waitUntilReady(id);
  }
  await waitUntilPromotable(site, 'b-1');
  for (const {id} of endpoints) {
    await waitForRole(site, id);
    await waitUntilCaughtUp(site, id);
  }
}

/** Waits until an endpoint has caught up with the primary. */
async function waitUntilCaughtUp(site: Site, id: string): Promise<void> {
  await vi.waitFor(async () => {
    const {primary} = await readGroup(site);
    const {index: primaryIndex} = await site.endpoint(primary).state();
    const {index} = await site.endpoint(id).state();
    if (index < primaryIndex) {
      throw new Error(`${id} is at ${index} of ${primaryIndex}`);
    }
  }, SETTLE_WAIT);
}

/** Waits until an endpoint has the role and term of its group object. */
export async function waitForRole(site: Site, id: string): Promise<void> {
  await vi.waitFor(async () => {
    const {term, primary} = await readGroup(site);
    const state = await site.endpoint(id).state();
    const role = id === primary ? 'primary' : 'replica';
    if (state.role !== role || state.term !== term) {
      throw new Error(`${id} is ${state.role} of term ${state.term}`);
    }
  }, SETTLE_WAIT);
}

/** The primary of a site and the owner of its pool. */
export interface PrimaryInfo {
  readonly id: string;
  readonly owner: string;
  readonly term: number;
  readonly dataCentre: string;
  /** All data centres but that of the primary. */
  readonly otherDataCentres: readonly string[];
}

/** Reads the current primary from the platform. */
export async function findPrimary(site: Site): Promise<PrimaryInfo> {
  const {primary, owners, term} = await readGroup(site);
  const {endpoints} = site.plan;
  const {dataCentre} = endpoints.find(({id}) => id === primary)!;
  const others = endpoints
    .map(endpoint => endpoint.dataCentre)
    .filter(other => other !== dataCentre);
  return {
    id: primary,
    owner: owners[primary]!,
    term,
    dataCentre,
    otherDataCentres: others,
  };
}

/** Connects to an entry host from a caller in the same data centre. */
export function connect(site: Site, host: string): Promise<Connection> {
  const dataCentre = host.split('-')[0]!;
  return openMysql({
    to: site.proxyAddress(LINKS.caller(host)),
    from: `${site.prefix(dataCentre)}${CALLER_LAST_OCTET}`,
    ...CALLER_ACCOUNT,
    database: 'shop',
  });
}

/** Calls an entry host's operator port directly, without the fault proxy. */
export async function callOperator<T>(
  site: Site,
  host: string,
  path: string,
  body?: unknown,
): Promise<T> {
  const entry = site.plan.entries.find(({id}) => id === host)!;
  const res = await fetch(`http://${formatHostPort(entry.operator)}${path}`, {
    headers: {connection: 'close'},
    ...(body === undefined ? {} : {method: 'POST', body: JSON.stringify(body)}),
  });
  return (await res.json()) as T;
}

/** Returns the group object stored in the platform. */
export async function readGroup(site: Site): Promise<GroupObject> {
  const objects = await site.platform.objects();
  return objects.find(({key}) => key === `groups/${GROUP}`)!
    .value as GroupObject;
}

/**
 * Waits until every endpoint has an owner and the write owner may promote. The
 * answer to a failover to an unknown endpoint shows that without any change.
 */
export async function waitUntilPromotable(
  site: Site,
  host: string,
): Promise<void> {
  await vi.waitFor(async () => {
    const {endpoints, owners} = await readGroup(site);
    if (!endpoints.every(({id}) => owners[id] !== undefined)) {
      throw new Error(`owners: ${JSON.stringify(owners)}`);
    }
    const {detail} = await callOperator<{readonly detail: string}>(
      site,
      host,
      '/failover',
      {group: GROUP, to: 'none'},
    );
    if (!detail.includes('has no endpoint')) {
      throw new Error(detail);
    }
  }, SETTLE_WAIT);
}

/** Waits until the platform holds a term, and returns the group object. */
export async function waitForTerm(
  site: Site,
  term: number,
  timeout = CHANGE_BOUND_MS,
): Promise<GroupObject> {
  return vi.waitFor(
    async () => {
      const group = await readGroup(site);
      if (group.term < term) {
        throw new Error(`term ${group.term} after ${timeout} ms`);
      }
      return group;
    },
    {timeout, interval: 20},
  );
}

/** Returns the wall clock times of a log event on all hosts, sorted, in ms. */
export function readEventTimes(
  site: Site,
  event: string,
  field = '',
): readonly number[] {
  return site.plan.entries
    .flatMap(({id}) => site.processes.output(id).split('\n'))
    .filter(line => line.includes(` event=${event} `) && line.includes(field))
    .map(line => Number(/^stamp=(\d+)/.exec(line)?.[1]))
    .sort((a, b) => a - b);
}

/** Returns the wall clock time of the last promotion sent, in ms. */
export function readLastPromotionTime(site: Site): number {
  const times = readEventTimes(site, 'group_update_sent', 'purpose=promote');
  return times.at(-1) ?? Infinity;
}

/** Returns rules for all connections from one data centre to another. */
export function cutBetween(
  site: Site,
  from: string,
  to: string,
  effect: FaultEffect = {type: 'drop'},
): readonly FaultRule[] {
  const links = [
    ...site.plan.entries
      .filter(({dataCentre}) => dataCentre === to)
      .map(({id}) => LINKS.peer(id)),
    ...site.plan.endpoints
      .filter(({dataCentre}) => dataCentre === to)
      .map(({id}) => LINKS.endpoint(id)),
  ];
  return links.map(link => ({from: site.prefix(from), link, effect}));
}

/** Returns rules that cut a data centre from others, in both directions. */
export function partition(
  site: Site,
  from: string,
  others: readonly string[],
): readonly FaultRule[] {
  return others.flatMap(other => [
    ...cutBetween(site, from, other),
    ...cutBetween(site, other, from),
  ]);
}

/** Returns rules that cut a data centre from the platform. */
export function cutPlatform(
  site: Site,
  dataCentre: string,
): readonly FaultRule[] {
  return [
    {
      from: site.prefix(dataCentre),
      link: LINKS.platform,
      effect: {type: 'drop'},
    },
  ];
}

export function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
