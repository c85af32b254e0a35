/** Creates the platform's objects for a fleet of a given size. */

import {FALLBACK_ROW, chooseByRendezvous} from '@lacewingroad/core';
import type {
  GroupObject,
  HostObject,
  ObjectChange,
  TableObject,
} from '@lacewingroad/core';

/** Size of a fleet. */
export interface FleetSize {
  readonly hosts: number;
  readonly groups: number;
  readonly dataCentres: number;
  /** Rows of each table. */
  readonly rows: number;
  /** Edits in the history of each table. */
  readonly edits: number;
}

/** The objects of a fleet. */
export interface Fleet {
  readonly hosts: readonly HostObject[];
  readonly groups: readonly GroupObject[];
  readonly tables: readonly TableObject[];
}

const ENDPOINTS_PER_GROUP = 3;
const EDIT_NOTE = 'rush orders come first until the end of the night';

/** Returns the id of a data centre. */
function createDataCentreId(index: number): string {
  return `region-${Math.floor(index / 3) + 1}-dc-${(index % 3) + 1}`;
}

function createHost(index: number, size: FleetSize): HostObject {
  const dataCentre = createDataCentreId(index % size.dataCentres);
  const address = `10.${index % size.dataCentres}.${index >> 8}.${index & 255}`;
  return {
    id: `${dataCentre}-${Math.floor(index / size.dataCentres) + 1}`,
    dataCentre,
    state: 'live',
    peerAddress: `${address}:7001`,
    callerAddress: `${address}:3306`,
    operatorAddress: `${address}:7002`,
  };
}

function createGroup(
  index: number,
  size: FleetSize,
  hostIdsByDataCentre: ReadonlyMap<string, readonly string[]>,
): GroupObject {
  const id = `ledger-${index + 1}`;
  const endpoints = Array.from({length: ENDPOINTS_PER_GROUP}, (_, nth) => ({
    id: `${id}-${nth + 1}`,
    dataCentre: createDataCentreId((index + nth) % size.dataCentres),
    address: `10.100.${index >> 8}.${index & 255}`,
    port: 3306 + nth,
    slots: 3,
    maxConnections: 24,
    leaving: false,
  }));
  const owners = endpoints.map(endpoint => [
    endpoint.id,
    chooseByRendezvous(
      `owner:${endpoint.id}`,
      hostIdsByDataCentre.get(endpoint.dataCentre) ?? [],
    ),
  ]);
  return {
    id,
    term: 1,
    primary: endpoints[0]!.id,
    fence: null,
    starts: [{term: 1, index: 0}],
    endpoints,
    owners: Object.fromEntries(owners) as Record<string, string>,
  };
}

/** Returns a table with the size's numbers of rows and edits. */
export function createTable(
  index: number,
  size: FleetSize,
  editId: string,
): TableObject {
  return {
    service: `service-${index + 1}`,
    group: `ledger-${index + 1}`,
    rows: Array.from({length: size.rows}, (_, row) => ({
      ...FALLBACK_ROW,
      kind: row === 0 ? '*' : `kind-${row}`,
      maxStalenessMs: null,
    })),
    editId,
    editedBy: 'operator',
    note: EDIT_NOTE,
    history: Array.from({length: size.edits}, (_, edit) => ({
      version: edit + 1,
      editId: `edit-${index}-${edit}`,
      editedBy: 'operator',
      note: EDIT_NOTE,
      at: 1_764_830_000_000 + edit,
      changes: [`kind-${edit % 7}: rank standard -> urgent`],
    })),
  };
}

/** Creates the objects of a fleet; owners are chosen as the hosts do it. */
export function createFleet(size: FleetSize): Fleet {
  const hosts = Array.from({length: size.hosts}, (_, index) =>
    createHost(index, size),
  );
  const hostIdsByDataCentre = new Map<string, string[]>();
  for (const host of hosts) {
    const existing = hostIdsByDataCentre.get(host.dataCentre) ?? [];
    hostIdsByDataCentre.set(host.dataCentre, [...existing, host.id]);
  }
  return {
    hosts,
    groups: Array.from({length: size.groups}, (_, index) =>
      createGroup(index, size, hostIdsByDataCentre),
    ),
    tables: Array.from({length: size.groups}, (_, index) =>
      createTable(index, size, `edit-${index}`),
    ),
  };
}

/** Lists all objects of a fleet as the first read of the platform does. */
export function listObjects(fleet: Fleet): readonly ObjectChange[] {
  const objects: readonly (readonly [string, unknown])[] = [
    ...fleet.hosts.map(host => [`hosts/${host.id}`, host] as const),
    ...fleet.groups.map(group => [`groups/${group.id}`, group] as const),
    ...fleet.tables.map(table => [`tables/${table.service}`, table] as const),
  ];
  return objects.map(([key, value], index) => ({
    key,
    version: 1,
    revision: index + 1,
    value,
  }));
}
