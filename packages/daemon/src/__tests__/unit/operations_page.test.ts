/** Checks that part 3 of docs/OPERATIONS.md lists exactly what the code has. */

import {readFileSync, readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {expect, it} from 'vitest';
import {SETTINGS_SCHEMA} from '../../../../settings/src/schema.js';

const ROOT = fileURLToPath(new URL('../../../../../', import.meta.url));
const PAGE = readFileSync(`${ROOT}docs/OPERATIONS.md`, 'utf8');
const SOURCES = readSources(['core', 'daemon', 'telemetry'].map(toSources));
const PLATFORM_SOURCES = readSources([toSources('pooler'), 'platform/src']);

function toSources(name: string): string {
  return `packages/${name}/src`;
}

function readSources(directories: readonly string[]): string {
  return (
    directories
      .flatMap(listFiles)
      .filter(path => path.endsWith('.ts') && !path.includes('__tests__'))
      // It describes events, but records none.
      .filter(path => !path.endsWith('explain.ts'))
      .map(path => readFileSync(path, 'utf8'))
      .join('\n')
  );
}

function listFiles(directory: string): readonly string[] {
  const root = `${ROOT}${directory}`;
  return readdirSync(root, {encoding: 'utf8', recursive: true}).map(
    path => `${root}/${path}`,
  );
}

/** Returns the names in the first column of a section's table. */
function listNames(section: string): readonly string[] {
  const start = PAGE.indexOf(`\n## ${section}\n`);
  expect(start).toBeGreaterThan(0);
  const end = PAGE.indexOf('\n## ', start + 1);
  const text = PAGE.slice(start, end < 0 ? undefined : end);
  return [...text.matchAll(/^\| `([^`]+)`/gm)].map(match => match[1]!).sort();
}

/** Returns the distinct first groups of all matches in the sources. */
function find(
  patterns: readonly RegExp[],
  sources = SOURCES,
): readonly string[] {
  const names = patterns.flatMap(pattern =>
    [...sources.matchAll(pattern)].flatMap(match =>
      match.slice(1).filter(name => name !== undefined),
    ),
  );
  return [...new Set(names)].sort();
}

interface Shape {
  readonly shape?: Readonly<Record<string, Shape>>;
  readonly def?: {readonly innerType?: Shape; readonly element?: Shape};
}

/** Returns the paths of all settings, without the indexes of lists. */
function listSettings(schema: Shape, path: string): readonly string[] {
  const inner = schema.def?.innerType ?? schema.def?.element;
  if (schema.shape !== undefined) {
    return Object.entries(schema.shape).flatMap(([key, value]) =>
      listSettings(value, path === '' ? key : `${path}.${key}`),
    );
  }
  const isScalarText = path === 'users.services';
  return inner === undefined || isScalarText
    ? [path]
    : listSettings(inner, path);
}

it('lists every event, and no other', () => {
  const recorded = find([
    /\bevent: '([a-z_]+)'/g,
    /\bevent: \w+ \? '([a-z_]+)' : '([a-z_]+)'/g,
    /const event = [^;]*\? '([a-z_]+)' : '([a-z_]+)'/g,
    /\brecord\(\s*turn,\s*'\w+',\s*'([a-z_]+)'/g,
    /\brecordOwn\(\s*'([a-z_]+)'/g,
    /\bcreate\(level, '([a-z_]+)'/g,
  ]);
  expect(listNames('Events')).toEqual(recorded);
});

it("lists every event of the users' platform, and no other", () => {
  const recorded = find(
    [
      /\brecord\(\s*'\w+',\s*'([a-z_]+)'/g,
      /\brecord\(\s*\w+ \? '\w+' : '\w+',\s*\w+ \? '([a-z_]+)' : '([a-z_]+)'/g,
      /\brecord\('info', \w+ \? '([a-z_]+)' : '([a-z_]+)'/g,
      /: '(request_[a-z_]+)',/g,
    ],
    PLATFORM_SOURCES,
  );
  expect(listNames("Events on the users' platform")).toEqual(recorded);
});

it('lists every metric, and no other', () => {
  expect(listNames('Metrics')).toEqual(
    find([/name: '(lacewingroad_[a-z_]+)'/g]),
  );
});

it('lists every setting, and no other', () => {
  const settings = listSettings(SETTINGS_SCHEMA as unknown as Shape, '');
  expect(listNames('Settings')).toEqual([...settings].sort());
});
