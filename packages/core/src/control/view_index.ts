/**
 * Indexes of the objects of the view. Each is computed once for a snapshot of
 * the objects and kept as long as that snapshot, since the objects change far
 * more rarely than the indexes are read.
 */

import type {Map as ImmutableMap} from 'immutable';
import {orderByRendezvous} from './rendezvous.js';
import type {Versioned, ViewSlice} from './state.js';
import type {DataCentreId, EndpointId, GroupId, HostId} from '../model/ids.js';

/** Hosts, or data centres, in order of id. */
export interface HostList {
  readonly ids: readonly string[];
  /** Returns all of them in the order that a key gives them. */
  readonly orderFor: (key: string) => readonly string[];
}

/** The listed hosts by data centre. */
export interface HostIndex {
  readonly all: HostList;
  /** The data centres that have listed hosts. */
  readonly places: HostList;
  readonly byDataCentre: ReadonlyMap<DataCentreId, HostList>;
  /** The hosts that are not leaving, for each data centre that has any. */
  readonly live: ReadonlyMap<DataCentreId, readonly HostId[]>;
}

/** An endpoint's place. */
export interface EndpointPlace {
  readonly group: GroupId;
  readonly endpoint: EndpointId;
}

/** The endpoints of all groups. */
export interface EndpointIndex {
  readonly byDataCentre: ReadonlyMap<DataCentreId, readonly EndpointPlace[]>;
  readonly groupOf: ReadonlyMap<EndpointId, GroupId>;
  /** Groups by the hosts that are registered as owners. */
  readonly byOwner: ReadonlyMap<HostId, readonly GroupId[]>;
}

/** Returns a function that computes once for each object that it is given. */
function memoize<K extends object, V>(compute: (key: K) => V): (key: K) => V {
  const known = new WeakMap<K, {readonly value: V}>();
  return key => {
    const entry = known.get(key) ?? {value: compute(key)};
    known.set(key, entry);
    return entry.value;
  };
}

/** Creates a list whose orders are kept: use it with a bounded set of keys. */
function createHostList(unsorted: readonly string[]): HostList {
  const ids = [...unsorted].sort();
  const orders = new Map<string, readonly string[]>();
  return {
    ids,
    orderFor: key => {
      const order = orders.get(key) ?? orderByRendezvous(key, ids);
      orders.set(key, order);
      return order;
    },
  };
}

/** Appends to the list that a map has for a key. */
function append<K, V>(lists: Map<K, V[]>, key: K, value: V): void {
  const list = lists.get(key);
  if (list === undefined) {
    lists.set(key, [value]);
    return;
  }
  list.push(value);
}

/** Returns the index of the listed hosts. */
export const indexHosts = memoize((hosts: ViewSlice['hosts']): HostIndex => {
  const byDataCentre = new Map<DataCentreId, HostId[]>();
  const live = new Map<DataCentreId, HostId[]>();
  hosts.forEach(({value}) => {
    append(byDataCentre, value.dataCentre, value.id);
    if (value.state === 'live') {
      append(live, value.dataCentre, value.id);
    }
  });
  return {
    all: createHostList([...byDataCentre.values()].flat()),
    places: createHostList([...byDataCentre.keys()]),
    byDataCentre: new Map(
      [...byDataCentre].map(([place, ids]) => [place, createHostList(ids)]),
    ),
    live,
  };
});

/** Returns the index of the endpoints of all groups. */
export const indexEndpoints = memoize(
  (groups: ViewSlice['groups']): EndpointIndex => {
    const byDataCentre = new Map<DataCentreId, EndpointPlace[]>();
    const groupOf = new Map<EndpointId, GroupId>();
    const byOwner = new Map<HostId, GroupId[]>();
    groups.forEach(({value}) => {
      Object.values(value.owners).forEach(host =>
        append(byOwner, host, value.id),
      );
      for (const {id, dataCentre} of value.endpoints) {
        append(byDataCentre, dataCentre, {group: value.id, endpoint: id});
        groupOf.set(id, value.id);
      }
    });
    return {byDataCentre, groupOf, byOwner};
  },
);

/** An object with its id. */
export interface IdentifiedObject {
  readonly id: string;
  readonly object: Versioned<unknown>;
}

/** Returns objects in order of revision, the latest first. */
export const sortByRevision = memoize(
  (
    objects: ImmutableMap<string, Versioned<unknown>>,
  ): readonly IdentifiedObject[] =>
    [...objects]
      .map(([id, object]) => ({id, object}))
      .sort((a, b) => b.object.revision - a.object.revision),
);
