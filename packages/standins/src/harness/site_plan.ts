/** Addresses, ports and initial objects of a test site. */

import {FALLBACK_ROW} from '@lacewingroad/core';
import type {
  GroupObject,
  HostObject,
  TableObject,
  TableRow,
} from '@lacewingroad/core';
import type {FaultLink} from '../fault/fault.js';
import {formatHostPort} from '../http.js';
import type {HostPort} from '../http.js';
import {pickPort} from './ports.js';

/** A service of a site and its table. */
export interface ServicePlan {
  readonly service: string;
  readonly group: string;
  /** Rows; each may leave out what the fallback row states. */
  readonly rows: readonly (Partial<TableRow> & Pick<TableRow, 'kind'>)[];
}

/** What a site consists of. */
export interface SiteOptions {
  /** Ids of the data centres, at most 9. */
  readonly dataCentres: readonly string[];
  readonly entriesPerDataCentre: number;
  /** Group ids; each has one endpoint per data centre, GROUP-DC. */
  readonly groups?: readonly string[];
  readonly services?: readonly ServicePlan[];
  readonly slots?: number;
  readonly maxConnections?: number;
  readonly connectMs?: number;
  readonly serviceMs?: number;
  readonly lagMs?: number;
  readonly lockWaitMs?: number;
  readonly hostListLagMs?: number;
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
  /** Log level of the entry hosts. */
  readonly logLevel?: string;
  /**
   * Command of an entry host, to which `--settings FILE` is added; the first
   * part is a script for node.
   */
  readonly entryCommand?: readonly string[];
}

/** An entry host of the site. */
export interface EntryPlan {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly caller: HostPort;
  readonly peer: HostPort;
  readonly operator: HostPort;
}

/** An endpoint of the site. */
export interface EndpointPlan {
  readonly id: string;
  readonly group: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly listen: HostPort;
  readonly isPrimary: boolean;
}

/** Everything that is fixed before the first process starts. */
export interface SitePlan {
  readonly entries: readonly EntryPlan[];
  readonly endpoints: readonly EndpointPlan[];
  readonly platform: HostPort;
}

const DEFAULT_GROUP = 'g1';
const DEFAULT_SLOTS = 3;
const DEFAULT_MAX_CONNECTIONS = 24;
const FIRST_ENTRY_BYTE = 11;
const FIRST_ENDPOINT_BYTE = 101;

/** Address that no data centre has: fault proxy and platform. */
export const NEUTRAL_ADDRESS = '127.0.0.1';

/** Default table: one service on the first group. */
const DEFAULT_SERVICES: readonly ServicePlan[] = [
  {
    service: 'shop',
    group: DEFAULT_GROUP,
    rows: [
      {kind: '*', rank: 'standard'},
      {kind: 'payment', rank: 'urgent', worth: 100},
      {kind: 'gallery', rank: 'background', maxStalenessMs: 10_000},
    ],
  },
];

/** Returns the source address prefix of a data centre, for fault rules. */
export function dataCentrePrefix(
  options: SiteOptions,
  dataCentre: string,
): string {
  const at = options.dataCentres.indexOf(dataCentre);
  if (at < 0) {
    throw new Error(`no data centre '${dataCentre}' in this site`);
  }
  return `127.0.${at + 1}.`;
}

/** Chooses addresses and free ports. */
export async function planSite(options: SiteOptions): Promise<SitePlan> {
  const entries: EntryPlan[] = [];
  const endpoints: EndpointPlan[] = [];
  const groups = options.groups ?? [DEFAULT_GROUP];
  for (const dataCentre of options.dataCentres) {
    const prefix = dataCentrePrefix(options, dataCentre);
    for (let at = 0; at < options.entriesPerDataCentre; at += 1) {
      const address = `${prefix}${FIRST_ENTRY_BYTE + at}`;
      entries.push({
        id: `${dataCentre}-${at + 1}`,
        dataCentre,
        address,
        caller: await pickPort(address),
        peer: await pickPort(address),
        operator: await pickPort(address),
      });
    }
    for (const [at, group] of groups.entries()) {
      const address = `${prefix}${FIRST_ENDPOINT_BYTE + at}`;
      const primaryAt = at % options.dataCentres.length;
      endpoints.push({
        id: `${group}-${dataCentre}`,
        group,
        dataCentre,
        address,
        listen: await pickPort(address),
        isPrimary: options.dataCentres[primaryAt] === dataCentre,
      });
    }
  }
  return {entries, endpoints, platform: await pickPort(NEUTRAL_ADDRESS)};
}

/** Names of the links through the fault proxy. */
export const LINKS = {
  platform: 'platform',
  endpoint: (id: string) => `endpoint:${id}`,
  peer: (id: string) => `peer:${id}`,
  caller: (id: string) => `caller:${id}`,
  operator: (id: string) => `operator:${id}`,
} as const;

/** Lists the links of a site; the proxy picks its ports. */
export function planLinks(plan: SitePlan): readonly FaultLink[] {
  const link = (name: string, target: HostPort): FaultLink => ({
    name,
    listen: `${NEUTRAL_ADDRESS}:0`,
    target: formatHostPort(target),
  });
  return [
    link(LINKS.platform, plan.platform),
    ...plan.endpoints.map(({id, listen}) => link(LINKS.endpoint(id), listen)),
    ...plan.entries.flatMap(({id, caller, peer, operator}) => [
      link(LINKS.peer(id), peer),
      link(LINKS.caller(id), caller),
      link(LINKS.operator(id), operator),
    ]),
  ];
}

/** Builds a host object from the addresses at the proxy. */
export function hostObject(
  entry: EntryPlan,
  proxied: (link: string) => HostPort,
  state: HostObject['state'] = 'live',
): HostObject {
  const address = (link: string): string => formatHostPort(proxied(link));
  return {
    id: entry.id,
    dataCentre: entry.dataCentre,
    state,
    peerAddress: address(LINKS.peer(entry.id)),
    callerAddress: address(LINKS.caller(entry.id)),
    operatorAddress: address(LINKS.operator(entry.id)),
  };
}

function groupObject(
  id: string,
  plan: SitePlan,
  options: SiteOptions,
  proxied: (link: string) => HostPort,
): GroupObject {
  const members = plan.endpoints.filter(({group}) => group === id);
  return {
    id,
    term: 1,
    primary: members.find(({isPrimary}) => isPrimary)!.id,
    fence: null,
    starts: [{term: 1, index: 0}],
    endpoints: members.map(member => {
      const {host, port} = proxied(LINKS.endpoint(member.id));
      return {
        id: member.id,
        dataCentre: member.dataCentre,
        address: host,
        port,
        slots: options.slots ?? DEFAULT_SLOTS,
        maxConnections: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
        leaving: false,
      };
    }),
    owners: {},
  };
}

function tableObject(service: ServicePlan): TableObject {
  return {
    service: service.service,
    group: service.group,
    rows: service.rows.map(row => ({...FALLBACK_ROW, ...row})),
    editId: `seed-${service.service}`,
    editedBy: 'seed',
    note: 'first table',
    history: [],
  };
}

/** Builds the objects that the platform starts with, by key. */
export function seedObjects(
  plan: SitePlan,
  options: SiteOptions,
  proxied: (link: string) => HostPort,
): Readonly<Record<string, unknown>> {
  const groups = options.groups ?? [DEFAULT_GROUP];
  const services = options.services ?? DEFAULT_SERVICES;
  return Object.fromEntries<unknown>([
    ...groups.map(id => [
      `groups/${id}`,
      groupObject(id, plan, options, proxied),
    ]),
    ...services.map(service => [
      `tables/${service.service}`,
      tableObject(service),
    ]),
    ...plan.entries.map(entry => [
      `hosts/${entry.id}`,
      hostObject(entry, proxied),
    ]),
  ] as [string, unknown][]);
}
