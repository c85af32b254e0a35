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

/** Entries that differ, by whether they take effect at once. */
export interface SettingsChange {
  readonly applied: readonly Key[];
  readonly needRestart: readonly Key[];
}

/** Compares the settings in force with those of a file read again. */
export function compareSettings(
  inForce: Settings,
  next: Settings,
): SettingsChange {
  const keys = Object.keys(CHANGES_IN_PLACE) as readonly Key[];
  const changed = keys.filter(
    key => !isDeepStrictEqual(inForce[key], next[key]),
  );
  return {
    applied: changed.filter(key => CHANGES_IN_PLACE[key]),
    needRestart: changed.filter(key => !CHANGES_IN_PLACE[key]),
  };
}
