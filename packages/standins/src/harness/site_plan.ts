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

/** A service of a site and the rows of its table. */
export interface ServicePlan {
  readonly service: string;
  readonly group: string;
  /** Table rows; missing fields default to those of the fallback row. */
  readonly rows: readonly (Partial<TableRow> & Pick<TableRow, 'kind'>)[];
}

/** Options of a test site. */
export interface SiteOptions {
  /** Ids of the data centres, at most 9. */
  readonly dataCentres: readonly string[];
  readonly entriesPerDataCentre: number;
  /** Group ids; each group has one endpoint per data centre, named GROUP-DC. */
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
   * Arguments to node that start an entry host: a script and its arguments.
   * `--settings FILE` is appended.
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

/** Ids, addresses and ports, chosen before the first process starts. */
export interface SitePlan {
  readonly entries: readonly EntryPlan[];
  readonly endpoints: readonly EndpointPlan[];
  readonly platform: HostPort;
}

const DEFAULT_GROUP = 'g1';
const DEFAULT_SLOTS = 3;
const DEFAULT_MAX_CONNECTIONS = 24;
const FIRST_ENTRY_OCTET = 11;
const FIRST_ENDPOINT_OCTET = 101;

/** Address of the fault proxy and the platform, outside of all data centres. */
export const NEUTRAL_ADDRESS = '127.0.0.1';

/** Default services: one, on the default group. */
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
  const index = options.dataCentres.indexOf(dataCentre);
  if (index < 0) {
    throw new Error(`this site has no data centre '${dataCentre}'`);
  }
  return `127.0.${index + 1}.`;
}

/** Chooses addresses and free ports. */
export async function planSite(options: SiteOptions): Promise<SitePlan> {
  const entries: EntryPlan[] = [];
  const endpoints: EndpointPlan[] = [];
  const groups = options.groups ?? [DEFAULT_GROUP];
  for (const dataCentre of options.dataCentres) {
    const prefix = dataCentrePrefix(options, dataCentre);
    for (
      let entryIndex = 0;
      entryIndex < options.entriesPerDataCentre;
      entryIndex += 1
    ) {
      const address = `${prefix}${FIRST_ENTRY_OCTET + entryIndex}`;
      entries.push({
        id: `${dataCentre}-${entryIndex + 1}`,
        dataCentre,
        address,
        caller: await pickPort(address),
        peer: await pickPort(address),
        operator: await pickPort(address),
      });
    }
    for (const [groupIndex, group] of groups.entries()) {
      const address = `${prefix}${FIRST_ENDPOINT_OCTET + groupIndex}`;
      const primaryIndex = groupIndex % options.dataCentres.length;
      endpoints.push({
        id: `${group}-${dataCentre}`,
        group,
        dataCentre,
        address,
        listen: await pickPort(address),
        isPrimary: options.dataCentres[primaryIndex] === dataCentre,
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

/** Returns the links of a site; the fault proxy picks its own ports. */
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

/** Builds a host object with the addresses on the fault proxy. */
export function hostObject(
  entry: EntryPlan,
  proxyAddress: (link: string) => HostPort,
  state: HostObject['state'] = 'live',
): HostObject {
  const address = (link: string): string => formatHostPort(proxyAddress(link));
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
  proxyAddress: (link: string) => HostPort,
): GroupObject {
  const members = plan.endpoints.filter(({group}) => group === id);
  return {
    id,
    term: 1,
    primary: members.find(({isPrimary}) => isPrimary)!.id,
    fence: null,
    starts: [{term: 1, index: 0}],
    endpoints: members.map(member => {
      const {host, port} = proxyAddress(LINKS.endpoint(member.id));
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

/** Builds the initial objects of the platform by key. */
export function seedObjects(
  plan: SitePlan,
  options: SiteOptions,
  proxyAddress: (link: string) => HostPort,
): Readonly<Record<string, unknown>> {
  const groups = options.groups ?? [DEFAULT_GROUP];
  const services = options.services ?? DEFAULT_SERVICES;
  return Object.fromEntries<unknown>([
    ...groups.map(id => [
      `groups/${id}`,
      groupObject(id, plan, options, proxyAddress),
    ]),
    ...services.map(service => [
      `tables/${service.service}`,
      tableObject(service),
    ]),
    ...plan.entries.map(entry => [
      `hosts/${entry.id}`,
      hostObject(entry, proxyAddress),
    ]),
  ] as [string, unknown][]);
}
