/** Errors in a settings file. */

/** One fault of a settings file. */
export interface SettingsFault {
  /** The key, for example `users[0].name`; `(file)` for the whole file. */
  readonly path: string;
  /** The value that was found; secrets are not shown. */
  readonly found: string;
  /** The values that are allowed. */
  readonly allowed: string;
  /** How to correct it. */
  readonly remedy: string;
}

/** Why settings could not be loaded. */
export type SettingsErrorKind = 'unreadable' | 'not_yaml' | 'invalid';

/** All faults of one settings file. */
export interface SettingsError {
  readonly kind: SettingsErrorKind;
  /** A heading and one line for each fault. */
  readonly message: string;
  readonly faults: readonly SettingsFault[];
}

/** First line of the message for each kind of error. */
const HEADINGS: Readonly<Record<SettingsErrorKind, string>> = {
  unreadable:
    'The settings file cannot be read; check its path and permissions.',
  not_yaml: 'The settings are not valid YAML; correct the lines named here.',
  invalid: 'The settings are not valid; correct each entry named here.',
};

/** Formats a fault as one line. */
function formatFault(fault: SettingsFault): string {
  return `  ${fault.path}: found ${fault.found}; allowed: ${fault.allowed}; ${fault.remedy}`;
}

/** Creates an error whose message lists every fault. */
export function createSettingsError(
  kind: SettingsErrorKind,
  faults: readonly SettingsFault[],
): SettingsError {
  const lines = [HEADINGS[kind], ...faults.map(formatFault)];
  return {kind, faults, message: lines.join('\n')};
}
