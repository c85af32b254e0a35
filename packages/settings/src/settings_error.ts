/** Errors of reading a settings file. */

/** One fault of a settings file. */
export interface SettingsFault {
  /** Where, for instance `users[0].name`; `(file)` for the whole. */
  readonly path: string;
  /** What stands there; secrets are not shown. */
  readonly found: string;
  /** What may stand there. */
  readonly allowed: string;
  /** What to do about it. */
  readonly remedy: string;
}

/** Why settings could not be loaded. */
export type SettingsErrorKind = 'unreadable' | 'not_yaml' | 'invalid';

/** All faults of one settings file. */
export interface SettingsError {
  readonly kind: SettingsErrorKind;
  /** One line for each fault, and what to do. */
  readonly message: string;
  readonly faults: readonly SettingsFault[];
}

/** First line of the message of each kind. */
const HEADINGS: Readonly<Record<SettingsErrorKind, string>> = {
  unreadable:
    'The settings file cannot be read; check its path and permissions.',
  not_yaml: 'The settings are not valid YAML; correct the lines named here.',
  invalid: 'The settings are not valid; correct each entry named here.',
};

/** Returns a fault as one line. */
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
