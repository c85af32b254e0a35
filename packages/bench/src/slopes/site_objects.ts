/** Objects of the platform for a fleet of a given size. */

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
  /** Edits that each table object keeps. */
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
function nameDataCentre(at: number): string {
  return `region-${Math.floor(at / 3) + 1}-dc-${(at % 3) + 1}`;
}

function createHost(at: number, size: FleetSize): HostObject {
  const dataCentre = nameDataCentre(at % size.dataCentres);
  const address = `10.${at % size.dataCentres}.${at >> 8}.${at & 255}`;
  return {
    id: `${dataCentre}-${Math.floor(at / size.dataCentres) + 1}`,
    dataCentre,
    state: 'live',
    peerAddress: `${address}:7001`,
    callerAddress: `${address}:3306`,
    operatorAddress: `${address}:7002`,
  };
}

function createGroup(
  at: number,
  size: FleetSize,
  byDataCentre: ReadonlyMap<string, readonly string[]>,
): GroupObject {
  const id = `ledger-${at + 1}`;
  const endpoints = Array.from({length: ENDPOINTS_PER_GROUP}, (_, nth) => ({
    id: `${id}-${nth + 1}`,
    dataCentre: nameDataCentre((at + nth) % size.dataCentres),
    address: `10.100.${at >> 8}.${at & 255}`,
    port: 3306 + nth,
    slots: 3,
    maxConnections: 24,
    leaving: false,
  }));
  const owners = endpoints.map(endpoint => [
    endpoint.id,
    chooseByRendezvous(
      `owner:${endpoint.id}`,
      byDataCentre.get(endpoint.dataCentre) ?? [],
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

/** Returns a table with the given number of rows and kept edits. */
export function createTable(
  at: number,
  size: FleetSize,
  editId: string,
): TableObject {
  return {
    service: `service-${at + 1}`,
    group: `ledger-${at + 1}`,
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
      editId: `edit-${at}-${edit}`,
      editedBy: 'operator',
      note: EDIT_NOTE,
      at: 1_764_830_000_000 + edit,
      changes: [`kind-${edit % 7}: rank standard -> urgent`],
    })),
  };
}

/** Creates the objects of a fleet; owners are those that hosts choose. */
export function createFleet(size: FleetSize): Fleet {
  const hosts = Array.from({length: size.hosts}, (_, at) =>
    createHost(at, size),
  );
  const byDataCentre = new Map<string, string[]>();
  for (const host of hosts) {
    const known = byDataCentre.get(host.dataCentre) ?? [];
    byDataCentre.set(host.dataCentre, [...known, host.id]);
  }
  return {
    hosts,
    groups: Array.from({length: size.groups}, (_, at) =>
      createGroup(at, size, byDataCentre),
    ),
    tables: Array.from({length: size.groups}, (_, at) =>
      createTable(at, size, `edit-${at}`),
    ),
  };
}

/** Lists all objects of a fleet as the first read of the platform gives them. */
export function listObjects(fleet: Fleet): readonly ObjectChange[] {
  const objects: readonly (readonly [string, unknown])[] = [
    ...fleet.hosts.map(host => [`hosts/${host.id}`, host] as const),
    ...fleet.groups.map(group => [`groups/${group.id}`, group] as const),
    ...fleet.tables.map(table => [`tables/${table.service}`, table] as const),
  ];
  return objects.map(([key, value], at) => ({
    key,
    version: 1,
    revision: at + 1,
    value,
  }));
}
