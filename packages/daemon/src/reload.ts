/** Determines which changed settings apply without a restart. */

import {isDeepStrictEqual} from 'node:util';
import type {Settings} from '@lacewingroad/settings';

type SettingsKey = keyof Settings;

/** Whether a change of each setting takes effect without a restart. */
const IS_RELOADABLE: Readonly<Record<SettingsKey, boolean>> = {
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

/** Result of comparing reloaded settings with those in force. */
export interface ReloadPlan {
  /** The settings in force from now on. */
  readonly settings: Settings;
  /** Changed settings that are now in force. */
  readonly applied: readonly SettingsKey[];
  /** Changed settings that take effect only after a restart. */
  readonly needRestart: readonly SettingsKey[];
}

/** Compares the settings in force with those of the reloaded file. */
export function planReload(inForce: Settings, next: Settings): ReloadPlan {
  const keys = Object.keys(IS_RELOADABLE) as readonly SettingsKey[];
  const changed = keys.filter(
    key => !isDeepStrictEqual(inForce[key], next[key]),
  );
  const {users, log, drainSeconds} = next;
  return {
    settings: {...inForce, users, log, drainSeconds},
    applied: changed.filter(key => IS_RELOADABLE[key]),
    needRestart: changed.filter(key => !IS_RELOADABLE[key]),
  };
}
