/** The platform's objects: versions, revisions and conditional updates. */

/** One object, or its deletion when `value` is null. */
export interface StoredObject {
  readonly key: string;
  /** Counts the changes of the object from 1. */
  readonly version: number;
  /** Revision of the whole store that the change made. */
  readonly revision: number;
  readonly value: unknown;
}

/** What became of an update. */
type UpdateResult =
  | {readonly type: 'updated'; readonly object: StoredObject}
  | {readonly type: 'conflict'; readonly object: StoredObject};

/** Objects in memory. */
export interface ObjectStore {
  readonly revision: () => number;
  /** Returns the object, or null when it is absent or deleted. */
  readonly get: (key: string) => StoredObject | null;
  /** Returns the objects changed after `since`, in order of revision. */
  readonly changesSince: (since: number) => readonly StoredObject[];
  /** Replaces the object if it stands at `version` (0: absent). */
  readonly update: (
    key: string,
    version: number,
    value: unknown,
  ) => UpdateResult;
  /** Replaces the object whatever its version. */
  readonly force: (key: string, value: unknown) => StoredObject;
  /** Calls `fn` after each change. */
  readonly onChange: (fn: () => void) => () => void;
}

/** Creates an empty store. */
export function createObjectStore(): ObjectStore {
  const objects = new Map<string, StoredObject>();
  const listeners = new Set<() => void>();
  let revision = 0;

  const write = (key: string, value: unknown): StoredObject => {
    revision += 1;
    const version = (objects.get(key)?.version ?? 0) + 1;
    const object = {key, version, revision, value};
    // Reinserted, so that the map stays in order of revision.
    objects.delete(key);
    objects.set(key, object);
    [...listeners].forEach(fn => fn());
    return object;
  };

  return {
    revision: () => revision,
    get: key => {
      const object = objects.get(key);
      return object === undefined || object.value === null ? null : object;
    },
    changesSince: since =>
      [...objects.values()].filter(
        object =>
          object.revision > since && (since > 0 || object.value !== null),
      ),
    update: (key, version, value) => {
      const object = objects.get(key);
      const isAbsent = object === undefined || object.value === null;
      const standing = isAbsent ? 0 : object.version;
      if (standing !== version) {
        const absent = {key, version: 0, revision, value: null};
        return {type: 'conflict', object: isAbsent ? absent : object};
      }
      return {type: 'updated', object: write(key, value)};
    },
    force: write,
    onChange: fn => {
      listeners.add(fn);
      return () => {
        listeners.delete(fn);
      };
    },
  };
}
