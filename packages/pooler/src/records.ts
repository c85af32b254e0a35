/** Immutable records by key; updates replace a whole record. */

/** A map of immutable records. */
export interface Records<K, T> {
  readonly get: (key: K) => T | undefined;
  readonly put: (key: K, record: T) => void;
  /** Replaces fields of a record and returns it; null if there is none. */
  readonly update: (key: K, part: Partial<T>) => T | null;
  /** Removes a record; returns whether it existed. */
  readonly remove: (key: K) => boolean;
  /** Returns a snapshot that is safe to iterate while records change. */
  readonly list: () => readonly T[];
  readonly count: () => number;
}

/** Creates an empty map of records; `onRemoved` is called after a removal. */
export function createRecords<K, T extends object>(
  onRemoved?: (key: K) => void,
): Records<K, T> {
  const byKey = new Map<K, T>();
  return {
    get: key => byKey.get(key),
    put: (key, record) => {
      byKey.set(key, record);
    },
    update: (key, part) => {
      const record = byKey.get(key);
      if (record === undefined) {
        return null;
      }
      const next = {...record, ...part};
      byKey.set(key, next);
      return next;
    },
    remove: key => {
      const existed = byKey.delete(key);
      if (existed) {
        onRemoved?.(key);
      }
      return existed;
    },
    list: () => [...byKey.values()],
    count: () => byKey.size,
  };
}
