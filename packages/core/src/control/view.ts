/** The view: the platform's objects as this host last learned them. */

import type {Map as ImmutableMap} from 'immutable';
import type {Versioned, ViewSlice} from './state.js';
import {sortByRevision} from './view_index.js';
import type {Action} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Change} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';
import type {HostObject} from '../model/host.js';
import type {Instant} from '../model/ids.js';
import type {ObjectChange} from '../model/message.js';
import type {TableObject} from '../model/table.js';

/** Kinds of object that the view keeps, by the prefix of their keys. */
type ObjectKind = 'groups' | 'tables' | 'hosts';

interface ParsedKey {
  readonly kind: ObjectKind;
  readonly id: string;
}

const OBJECT_KINDS: readonly ObjectKind[] = ['groups', 'tables', 'hosts'];

function parseKey(key: string): ParsedKey | null {
  const [prefix, ...rest] = key.split('/');
  const kind = OBJECT_KINDS.find(candidate => candidate === prefix);
  return kind === undefined || rest.length === 0
    ? null
    : {kind, id: rest.join('/')};
}

/** Version of a host of the settings, below all that the platform gives. */
export const SEED_VERSION = 0;

/** Cheap checks that keep a damaged object from harming the host. */
const IS_WELL_FORMED: Readonly<
  Record<ObjectKind, (value: Record<string, unknown>) => boolean>
> = {
  groups: value =>
    typeof value['term'] === 'number' &&
    typeof value['primary'] === 'string' &&
    Array.isArray(value['endpoints']) &&
    Array.isArray(value['starts']) &&
    typeof value['owners'] === 'object',
  tables: value =>
    typeof value['service'] === 'string' && Array.isArray(value['rows']),
  hosts: value =>
    typeof value['dataCentre'] === 'string' &&
    typeof value['peerAddress'] === 'string',
};

function isWellFormed(kind: ObjectKind, value: unknown): boolean {
  return (
    typeof value === 'object' &&
    value !== null &&
    IS_WELL_FORMED[kind](value as Record<string, unknown>)
  );
}

/** Returns the version that the view has of an object, 0 for none. */
function readVersion(view: ViewSlice, key: string, parsed: ParsedKey): number {
  const standing = view[parsed.kind].get(parsed.id)?.version ?? 0;
  return Math.max(standing, view.deleted.get(key)?.version ?? 0);
}

/**
 * Drops the edits that a table keeps: operators' tools read them from the
 * platform, and they are by far the larger part of the object.
 */
function withoutHistory(table: Versioned<TableObject>): Versioned<TableObject> {
  return {...table, value: {...table.value, history: []}};
}

function storeObject(
  view: ViewSlice,
  change: ObjectChange,
  parsed: ParsedKey,
  now: Instant,
): ViewSlice {
  const {version, revision} = change;
  if (change.value === null) {
    return {
      ...view,
      [parsed.kind]: view[parsed.kind].delete(parsed.id),
      deleted: view.deleted.set(change.key, {version, revision, value: null}),
    };
  }
  const stored = {version, revision, value: change.value};
  const store: Readonly<Record<ObjectKind, () => ViewSlice>> = {
    groups: () => ({
      ...view,
      groups: view.groups.set(parsed.id, stored as Versioned<GroupObject>),
    }),
    tables: () => ({
      ...view,
      tables: view.tables.set(
        parsed.id,
        withoutHistory(stored as Versioned<TableObject>),
      ),
      tablesInForceSince: view.tablesInForceSince.set(parsed.id, now),
    }),
    hosts: () => ({
      ...view,
      hosts: view.hosts.set(parsed.id, stored as Versioned<HostObject>),
    }),
  };
  return store[parsed.kind]();
}

function describeChange(change: ObjectChange, parsed: ParsedKey): Action[] {
  const record: Action = {
    type: 'record',
    level: 'info',
    event: 'object_in_force',
    fields: {key: change.key, version: change.version},
  };
  if (parsed.kind !== 'groups') {
    return [record];
  }
  return [
    record,
    {type: 'emit', event: {type: 'group_changed', group: parsed.id}},
  ];
}

/** Applies changes of objects; an older version never replaces a newer one. */
export function applyChanges(
  board: Blackboard,
  changes: readonly ObjectChange[],
  now: Instant,
): Change {
  let view = board.view;
  const actions: Action[] = [];
  for (const change of changes) {
    const parsed = parseKey(change.key);
    if (
      parsed === null ||
      change.version <= readVersion(view, change.key, parsed)
    ) {
      continue;
    }
    if (change.value !== null && !isWellFormed(parsed.kind, change.value)) {
      actions.push({
        type: 'record',
        level: 'error',
        event: 'object_malformed',
        fields: {key: change.key, version: change.version},
      });
      continue;
    }
    view = storeObject(view, change, parsed, now);
    actions.push(...describeChange(change, parsed));
  }
  return {board: view === board.view ? board : {...board, view}, actions};
}

/** Notes that the view has everything up to a revision, as of an instant. */
export function markFresh(
  board: Blackboard,
  revision: number,
  freshAt: Instant | null,
): Blackboard {
  const {view} = board;
  const nextFreshAt =
    freshAt === null
      ? view.freshAt
      : Math.max(view.freshAt ?? freshAt, freshAt);
  // Hosts of the settings count until the platform's list is known.
  const isFirst = view.freshAt === null && nextFreshAt !== null;
  const hosts = isFirst
    ? view.hosts.filter(({version}) => version > SEED_VERSION)
    : view.hosts;
  return {
    ...board,
    view: {
      ...view,
      hosts,
      revision: Math.max(view.revision, revision),
      freshAt: nextFreshAt,
    },
  };
}

/** Returns the objects of one kind that changed after a revision. */
function listSince(
  objects: ImmutableMap<string, Versioned<unknown>>,
  since: number,
  createKey: (id: string) => string,
): readonly ObjectChange[] {
  const changes: ObjectChange[] = [];
  for (const {id, object} of sortByRevision(objects)) {
    if (object.revision <= since) {
      break;
    }
    changes.push({key: createKey(id), ...object});
  }
  return changes;
}

/** Returns the objects that changed after a revision, in order of revision. */
export function listChangesSince(
  view: ViewSlice,
  since: number,
): readonly ObjectChange[] {
  if (since >= view.revision) {
    return [];
  }
  const kinds = OBJECT_KINDS.map(kind =>
    listSince(view[kind], since, id => `${kind}/${id}`),
  );
  const deleted = listSince(view.deleted, since, key => key);
  return [...kinds.flat(), ...deleted].sort((a, b) => a.revision - b.revision);
}
