/**
 * Stores the platform's objects with versions, revisions and conditional
 * updates.
 */

/** One object, or its deletion when `value` is null. */
export interface StoredObject {
  readonly key: string;
  /** Starts at 1 and increases with each change of the object. */
  readonly version: number;
  /** Revision of the whole store after the change. */
  readonly revision: number;
  readonly value: unknown;
}

/** Result of an update. */
type UpdateResult =
  | {readonly type: 'updated'; readonly object: StoredObject}
  | {readonly type: 'conflict'; readonly object: StoredObject};

/** An in-memory object store. */
export interface ObjectStore {
  readonly revision: () => number;
  /** Returns the object, or null if it does not exist or was deleted. */
  readonly get: (key: string) => StoredObject | null;
  /** Returns the objects changed after `since`, in order of revision. */
  readonly changesSince: (since: number) => readonly StoredObject[];
  /**
   * Replaces the object if its current version is `version` (0: it does not
   * exist).
   */
  readonly update: (
    key: string,
    version: number,
    value: unknown,
  ) => UpdateResult;
  /** Replaces the object regardless of its version. */
  readonly force: (key: string, value: unknown) => StoredObject;
  /** Calls `fn` after each change; returns a function that unsubscribes. */
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
    // Reinserted so that the map iterates in order of revision.
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
      const currentVersion = isAbsent ? 0 : object.version;
      if (currentVersion !== version) {
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
