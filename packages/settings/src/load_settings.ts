/** Reads and validates a settings file. */

import {readFileSync} from 'node:fs';
import tsResults from 'ts-results';
import type {Err as ErrResult, Result} from 'ts-results';
import {parseDocument} from 'yaml';
import type {z} from 'zod';
import {SETTINGS_SCHEMA} from './schema.js';
import type {SettingsFile} from './schema.js';
import type {Settings} from './settings.js';
import {createSettingsError} from './settings_error.js';
import type {SettingsError, SettingsFault} from './settings_error.js';

// The package is CommonJS without named exports for ES modules.
const {Err, Ok} = tsResults;

type Path = readonly PropertyKey[];

/** Keys whose values are never shown in errors. */
const SECRET_KEYS: ReadonlySet<PropertyKey> = new Set([
  'password',
  'password_sha1',
]);
/** Maximum length of an invalid value in an error message, in characters. */
const MAX_FOUND_LENGTH = 80;

/** Formats a path as in `users[0].name`. */
function formatPath(path: Path): string {
  if (path.length === 0) {
    return '(file)';
  }
  return path
    .map(key => (typeof key === 'number' ? `[${key}]` : `.${String(key)}`))
    .join('')
    .replace(/^\./, '');
}

/** Returns the value at a path, or undefined. */
function readPath(root: unknown, path: Path): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    root,
  );
}

/** Describes an invalid value without revealing secrets. */
function describeFound(value: unknown, path: Path): string {
  if (value === undefined) {
    return 'nothing';
  }
  if (path.some(key => SECRET_KEYS.has(key))) {
    return `a hidden ${typeof value}`;
  }
  if (typeof value === 'object' && value !== null) {
    return Array.isArray(value) ? 'a list' : 'a mapping';
  }
  return (JSON.stringify(value) ?? String(value)).slice(0, MAX_FOUND_LENGTH);
}

/** Converts a schema issue into faults, one for each unknown key. */
function toFaults(issue: z.core.$ZodIssue, root: unknown): SettingsFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      path: formatPath([...issue.path, key]),
      found: 'an unknown key',
      allowed: issue.message,
      remedy: 'remove the key, or correct its name',
    }));
  }
  const value = readPath(root, issue.path);
  return [
    {
      path: formatPath(issue.path),
      found: describeFound(value, issue.path),
      allowed: issue.message,
      remedy: value === undefined ? 'add the key' : 'replace the value',
    },
  ];
}

/** Finds duplicates among values that must be distinct. */
function findDuplicates(
  values: readonly (readonly [Path, unknown])[],
  allowed: string,
): readonly SettingsFault[] {
  const seen = new Set<unknown>();
  const faults: SettingsFault[] = [];
  for (const [path, value] of values) {
    if (value !== undefined && seen.has(value)) {
      const found = `${describeFound(value, path)} more than once`;
      const remedy = 'change one of them';
      faults.push({path: formatPath(path), found, allowed, remedy});
    }
    seen.add(value);
  }
  return faults;
}

/** Finds conflicts between entries: equal ports and equal user names. */
function findConflicts(root: unknown): readonly SettingsFault[] {
  const ports = ['caller', 'peer', 'operator'].map(key => {
    const path = ['listen', key];
    return [path, readPath(root, path)] as const;
  });
  const users = readPath(root, ['users']);
  const names = (Array.isArray(users) ? users : []).map((_, index) => {
    const path = ['users', index, 'name'];
    return [path, readPath(root, path)] as const;
  });
  return [
    ...findDuplicates(ports, 'a different port for each listener'),
    ...findDuplicates(names, 'each user name once'),
  ];
}

/** Converts a parsed file to settings, with camelCase names. */
function toSettings(file: SettingsFile): Settings {
  return {
    host: file.host,
    dataCentre: file.data_centre,
    address: file.address,
    listen: file.listen,
    platform: file.platform,
    endpoints: file.endpoints,
    users: file.users.map(user => ({
      name: user.name,
      passwordSha1: user.password_sha1,
      services: user.services,
    })),
    seeds: file.seeds.map(seed => ({
      host: seed.host,
      dataCentre: seed.data_centre,
      peerAddress: seed.peer,
    })),
    log: {
      level: file.log.level,
      linesPerSecond: file.log.lines_per_second,
    },
    drainSeconds: file.drain_seconds,
  };
}

/** Finds faults that involve more than one entry. */
type FindConflicts = (root: unknown) => readonly SettingsFault[];

/** Validates a YAML text against a schema; the error lists every fault. */
export function checkYaml<T>(
  text: string,
  schema: z.ZodType<T>,
  findFurtherFaults: FindConflicts = () => [],
): Result<T, SettingsError> {
  const document = parseDocument(text);
  if (document.errors.length > 0) {
    const faults = document.errors.map(err => ({
      path: `line ${err.linePos?.[0].line ?? 1}`,
      found: err.message.split('\n')[0] ?? err.code,
      allowed: 'YAML with each key once',
      remedy: 'correct the line',
    }));
    return Err(createSettingsError('not_yaml', faults));
  }
  const root: unknown = document.toJS();
  const checked = schema.safeParse(root);
  const conflicts = findFurtherFaults(root);
  if (checked.success && conflicts.length === 0) {
    return Ok(checked.data);
  }
  const issues = checked.success ? [] : checked.error.issues;
  const faults = issues.flatMap(issue => toFaults(issue, root));
  return Err(createSettingsError('invalid', [...faults, ...conflicts]));
}

/** Creates the error for a file that could not be read. */
export function createUnreadableError(err: unknown): ErrResult<SettingsError> {
  const found = err instanceof Error ? err.message : String(err);
  const allowed = 'a YAML file that this process can read';
  const remedy = 'check its path and permissions';
  const fault = {path: '(file)', found, allowed, remedy};
  return Err(createSettingsError('unreadable', [fault]));
}

/** Parses the text of a settings file; the error lists every fault. */
export function parseSettings(text: string): Result<Settings, SettingsError> {
  return checkYaml(text, SETTINGS_SCHEMA, findConflicts).map(toSettings);
}

/** Reads and validates the settings file at `path`. */
export function loadSettings(path: string): Result<Settings, SettingsError> {
  try {
    return parseSettings(readFileSync(path, 'utf8'));
  } catch (err) {
    return createUnreadableError(err);
  }
}
