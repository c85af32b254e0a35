/**
 * Indexes of the view's objects. Each is computed once per immutable snapshot of
 * the objects and cached with it, since the objects change far less often than
 * the indexes are read.
 */

import type {Map as ImmutableMap} from 'immutable';
import {orderByRendezvous} from './rendezvous.js';
import type {Versioned, ViewSlice} from './state.js';
import type {DataCentreId, EndpointId, GroupId, HostId} from '../model/ids.js';

/** Ids of hosts or data centres, in ascending order. */
export interface IdList {
  readonly ids: readonly string[];
  /** Returns all ids in the rendezvous order of a key. */
  readonly orderFor: (key: string) => readonly string[];
}

/** The listed hosts by data centre. */
export interface HostIndex {
  readonly all: IdList;
  /** The data centres that have listed hosts. */
  readonly dataCentres: IdList;
  readonly byDataCentre: ReadonlyMap<DataCentreId, IdList>;
  /** The hosts in state `live` by data centre. */
  readonly live: ReadonlyMap<DataCentreId, readonly HostId[]>;
}

/** An endpoint and its group. */
export interface EndpointRef {
  readonly group: GroupId;
  readonly endpoint: EndpointId;
}

/** The endpoints of all groups. */
export interface EndpointIndex {
  readonly byDataCentre: ReadonlyMap<DataCentreId, readonly EndpointRef[]>;
  readonly groupOf: ReadonlyMap<EndpointId, GroupId>;
  /** Groups by registered owner; a group repeats for each endpoint owned. */
  readonly byOwner: ReadonlyMap<HostId, readonly GroupId[]>;
}

/** Returns a function that caches its result per argument object. */
function memoize<K extends object, V>(compute: (key: K) => V): (key: K) => V {
  const cache = new WeakMap<K, {readonly value: V}>();
  return key => {
    const entry = cache.get(key) ?? {value: compute(key)};
    cache.set(key, entry);
    return entry.value;
  };
}

/** Creates a list that caches its order per key, for a bounded set of keys. */
function createIdList(unsorted: readonly string[]): IdList {
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

/** Appends a value to a key's list in a map. */
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
    all: createIdList([...byDataCentre.values()].flat()),
    dataCentres: createIdList([...byDataCentre.keys()]),
    byDataCentre: new Map(
      [...byDataCentre].map(([dataCentre, ids]) => [
        dataCentre,
        createIdList(ids),
      ]),
    ),
    live,
  };
});

/** Returns the index of the endpoints of all groups. */
export const indexEndpoints = memoize(
  (groups: ViewSlice['groups']): EndpointIndex => {
    const byDataCentre = new Map<DataCentreId, EndpointRef[]>();
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

/** Returns objects in descending order of revision. */
export const sortByRevision = memoize(
  (
    objects: ImmutableMap<string, Versioned<unknown>>,
  ): readonly IdentifiedObject[] =>
    [...objects]
      .map(([id, object]) => ({id, object}))
      .sort((a, b) => b.object.revision - a.object.revision),
);
