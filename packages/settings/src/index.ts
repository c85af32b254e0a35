/** Settings of an entry host: a YAML file, validated strictly. */

export {
  checkYaml,
  createUnreadableError,
  loadSettings,
  parseSettings,
} from './load_settings.js';
export {LOG_LEVELS} from './settings.js';
export type {
  ListenSettings,
  LogLevel,
  SeedSettings,
  Settings,
  UserSettings,
} from './settings.js';
export type {
  SettingsError,
  SettingsErrorKind,
  SettingsFault,
} from './settings_error.js';
