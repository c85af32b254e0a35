/** Which settings a running entry host can change. */

import {isDeepStrictEqual} from 'node:util';
import type {Settings} from '@lacewingroad/settings';

type Key = keyof Settings;

/** Whether a change of each entry takes effect without a restart. */
const CHANGES_IN_PLACE: Readonly<Record<Key, boolean>> = {
  host: false,
  dataCentre: false,
  address: false,
  listen: false,
  platform: false,
  endpoints: false,
  seeds: false,
  users: true,
  log: true,
  drainSeconds: true,
};

/** What a running host does with settings that were read again. */
export interface Reload {
  /** The settings in force from now on. */
  readonly settings: Settings;
  /** Entries that changed. */
  readonly applied: readonly Key[];
  /** Entries that differ in the file and take effect at a restart only. */
  readonly needRestart: readonly Key[];
}

/** Compares the settings in force with those of a file read again. */
export function planReload(inForce: Settings, next: Settings): Reload {
  const keys = Object.keys(CHANGES_IN_PLACE) as readonly Key[];
  const changed = keys.filter(
    key => !isDeepStrictEqual(inForce[key], next[key]),
  );
  const {users, log, drainSeconds} = next;
  return {
    settings: {...inForce, users, log, drainSeconds},
    applied: changed.filter(key => CHANGES_IN_PLACE[key]),
    needRestart: changed.filter(key => !CHANGES_IN_PLACE[key]),
  };
}
