/** The view: this host's latest copy of the platform's objects. */

import type {Map as ImmutableMap} from 'immutable';
import {HOST_RETURN_MS, PLATFORM_OUTAGE_MS} from './constants.js';
import type {Versioned, ViewSlice} from './state.js';
import {sortByRevision} from './view_index.js';
import type {Action, FieldValue} from '../engine/action.js';
import type {Blackboard} from '../engine/blackboard.js';
import type {Change} from '../engine/engine.js';
import type {GroupObject} from '../model/group.js';
import type {HostObject} from '../model/host.js';
import type {HostId, Instant} from '../model/ids.js';
import type {ObjectChange} from '../model/message.js';
import type {TableObject} from '../model/table.js';

/** Kinds of objects in the view, which are the prefixes of their keys. */
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

/** Version of a host from the settings, lower than any platform version. */
export const SEED_VERSION = 0;

/** Minimal checks that keep malformed objects out of the view. */
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

/** Returns the version of an object in the view, deleted or not; 0 for none. */
function readVersion(view: ViewSlice, key: string, parsed: ParsedKey): number {
  const storedVersion = view[parsed.kind].get(parsed.id)?.version ?? 0;
  return Math.max(storedVersion, view.deleted.get(key)?.version ?? 0);
}

/**
 * Drops the edit history of a table. It is by far the larger part of the object,
 * and operators' tools read it from the platform.
 */
function withoutHistory(table: Versioned<TableObject>): Versioned<TableObject> {
  return {...table, value: {...table.value, history: []}};
}

/** Returns whether a view is so old that the platform must have been down. */
function isFromBeforeOutage(view: ViewSlice, now: Instant): boolean {
  return view.freshAt !== null && now - view.freshAt > PLATFORM_OUTAGE_MS;
}

/**
 * Returns until when a host with a deleted entry stays listed, or null when it
 * is removed at once. Entries expire during an outage of the platform, and
 * running hosts register again soon after it.
 */
function findGraceEnd(view: ViewSlice, now: Instant): Instant | null {
  if (isFromBeforeOutage(view, now)) {
    return now + HOST_RETURN_MS;
  }
  const regainedAt = view.platformRegainedAt;
  return regainedAt !== null && now < regainedAt + HOST_RETURN_MS
    ? regainedAt + HOST_RETURN_MS
    : null;
}

/** Deletes an object; a host may stay listed for a grace period. */
function deleteObject(
  view: ViewSlice,
  change: ObjectChange,
  parsed: ParsedKey,
  now: Instant,
): ViewSlice {
  const {version, revision} = change;
  const deleted = view.deleted.set(change.key, {
    version,
    revision,
    value: null,
  });
  const isListedHost = parsed.kind === 'hosts' && view.hosts.has(parsed.id);
  const graceEnd = isListedHost ? findGraceEnd(view, now) : null;
  if (graceEnd !== null) {
    return {...view, deleted, lapsed: view.lapsed.set(parsed.id, graceEnd)};
  }
  return {
    ...view,
    [parsed.kind]: view[parsed.kind].delete(parsed.id),
    deleted,
  };
}

/** Removes a host with an expired entry that did not register again in time. */
export function dropLapsedHost(
  board: Blackboard,
  host: HostId,
  now: Instant,
): Change {
  const {view} = board;
  const graceEnd = view.lapsed.get(host);
  if (graceEnd === undefined || now < graceEnd) {
    return {board, actions: []};
  }
  const next = {
    ...view,
    hosts: view.hosts.delete(host),
    lapsed: view.lapsed.delete(host),
  };
  return {
    board: {...board, view: next},
    actions: [
      {
        type: 'record',
        level: 'warn',
        event: 'host_gone',
        fields: {host, reason: 'entry_lapsed', grace_ms: HOST_RETURN_MS},
      },
    ],
  };
}

function storeObject(
  view: ViewSlice,
  change: ObjectChange,
  parsed: ParsedKey,
  now: Instant,
): ViewSlice {
  const {version, revision} = change;
  if (change.value === null) {
    return deleteObject(view, change, parsed, now);
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
      lapsed: view.lapsed.delete(parsed.id),
    }),
  };
  return store[parsed.kind]();
}

/** Returns the log fields of a group: its term, primary and fence. */
function describeGroup(
  view: ViewSlice,
  parsed: ParsedKey,
): Readonly<Record<string, FieldValue>> {
  const group =
    parsed.kind === 'groups' ? view.groups.get(parsed.id)?.value : undefined;
  return group === undefined
    ? {}
    : {
        group: group.id,
        term: group.term,
        primary: group.primary,
        fenced_term: group.fence?.term ?? null,
      };
}

function describeChange(
  view: ViewSlice,
  change: ObjectChange,
  parsed: ParsedKey,
): Action[] {
  const record: Action = {
    type: 'record',
    level: 'info',
    event: 'object_in_force',
    fields: {
      key: change.key,
      version: change.version,
      is_deleted: change.value === null,
      ...describeGroup(view, parsed),
    },
  };
  const graceEnd =
    parsed.kind === 'hosts' ? view.lapsed.get(parsed.id) : undefined;
  if (graceEnd !== undefined) {
    const timer = {name: 'host_lapsed', host: parsed.id} as const;
    return [record, {type: 'set_timer', at: graceEnd, timer}];
  }
  if (parsed.kind !== 'groups') {
    return [record];
  }
  return [
    record,
    {type: 'emit', event: {type: 'group_changed', group: parsed.id}},
  ];
}

/** Applies changes of objects. An older version never replaces a newer one. */
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
    actions.push(...describeChange(view, change, parsed));
  }
  return {board: view === board.view ? board : {...board, view}, actions};
}

/** Records that the view is complete up to a revision as of an instant. */
export function markFresh(
  board: Blackboard,
  revision: number,
  freshAt: Instant | null,
  now: Instant,
): Blackboard {
  const {view} = board;
  const nextFreshAt =
    freshAt === null
      ? view.freshAt
      : Math.max(view.freshAt ?? freshAt, freshAt);
  const hasRecovered =
    view.freshAt !== null &&
    nextFreshAt !== null &&
    nextFreshAt - view.freshAt > PLATFORM_OUTAGE_MS;
  // Hosts from the settings are only used until the platform's list is known.
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
      platformRegainedAt: hasRecovered ? now : view.platformRegainedAt,
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
