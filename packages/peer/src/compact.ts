/**
 * Compact encoding of the messages that every host sends continuously: an array
 * that begins with the message type and has no field names. Empty lists and
 * false values at the end are omitted.
 */

import type {
  ObjectChange,
  PeerMessage,
  SyncedMessage,
  SyncMessage,
} from '@lacewingroad/core';
import type {TypedMessage} from './typed_message.js';

type CompactMessage = readonly unknown[];

/** Removes empty lists and false values from the end. */
function trimDefaults(values: CompactMessage): CompactMessage {
  const last = values.findLastIndex(
    value => value !== false && !(Array.isArray(value) && value.length === 0),
  );
  return values.slice(0, last + 1);
}

const COMPACTORS: {
  readonly [T in PeerMessage['type']]?: (
    msg: Extract<PeerMessage, {type: T}>,
  ) => CompactMessage;
} = {
  sync: ({type, ask, since, isDraining}) => [type, ask, since, isDraining],
  synced: ({type, ask, revision, ageMs, ...lists}) => [
    type,
    ask,
    revision,
    ageMs,
    lists.silentHosts,
    lists.drainingHosts,
    lists.changes,
  ],
};

/** Returns the encoded form of a message: compact if its type has one. */
export function compactMessage(msg: TypedMessage): unknown {
  const compact = Object.hasOwn(COMPACTORS, msg.type)
    ? COMPACTORS[msg.type as PeerMessage['type']]
    : undefined;
  return compact === undefined ? msg : trimDefaults(compact(msg as never));
}

function isStringList(value: unknown): value is readonly string[] {
  return (
    Array.isArray(value) && value.every(entry => typeof entry === 'string')
  );
}

function expandSync(fields: CompactMessage): SyncMessage | null {
  const [ask, since, isDraining = false] = fields;
  const isValid =
    typeof ask === 'number' &&
    typeof since === 'number' &&
    typeof isDraining === 'boolean';
  return isValid ? {type: 'sync', ask, since, isDraining} : null;
}

function expandSynced(fields: CompactMessage): SyncedMessage | null {
  const [ask, revision, ageMs, silentHosts = [], drainingHosts = []] = fields;
  const changes = fields[5] ?? [];
  const isValid =
    typeof ask === 'number' &&
    typeof revision === 'number' &&
    (ageMs === null || typeof ageMs === 'number') &&
    isStringList(silentHosts) &&
    isStringList(drainingHosts) &&
    Array.isArray(changes);
  return isValid
    ? {
        type: 'synced',
        ask,
        revision,
        ageMs,
        silentHosts,
        drainingHosts,
        changes: changes as readonly ObjectChange[],
      }
    : null;
}

const EXPANDERS: Readonly<
  Record<string, (fields: CompactMessage) => PeerMessage | null>
> = {
  sync: expandSync,
  synced: expandSynced,
};

/** Decodes a compact message; returns null if it is malformed. */
export function expandMessage(compact: CompactMessage): PeerMessage | null {
  const [type, ...fields] = compact;
  const name = String(type);
  return Object.hasOwn(EXPANDERS, name)
    ? (EXPANDERS[name]?.(fields) ?? null)
    : null;
}
