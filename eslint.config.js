import js from '@eslint/js';
import tseslint from 'typescript-eslint';

/** Packages that each package may import, as in docs/DESIGN.md. */
const ALLOWED_IMPORTS = {
  core: [],
  runtime: [],
  settings: [],
  telemetry: ['core', 'runtime'],
  mysql: ['core', 'runtime'],
  platform: ['core', 'runtime'],
  peer: ['core', 'runtime'],
  pooler: ['core', 'runtime'],
  adapter: [
    'core',
    'runtime',
    'settings',
    'telemetry',
    'platform',
    'peer',
    'pooler',
  ],
  daemon: [
    'core',
    'runtime',
    'settings',
    'telemetry',
    'mysql',
    'platform',
    'peer',
  ],
  cli: [
    'core',
    'runtime',
    'settings',
    'platform',
    'telemetry',
    'daemon',
    'bench',
  ],
  standins: ['core', 'runtime'],
  fakes: ['core', 'runtime'],
  demo: ['cli', 'runtime', 'standins', 'telemetry'],
  bench: ['core', 'runtime', 'peer', 'standins', 'fakes'],
};

const ALL_PACKAGES = Object.keys(ALLOWED_IMPORTS);

/** Builds the rule that limits a package's imports to the allowed packages. */
function directionRule(name) {
  const allowed = new Set([name, ...ALLOWED_IMPORTS[name]]);
  const banned = ALL_PACKAGES.filter(other => !allowed.has(other));
  return {
    files: [
      name === 'adapter'
        ? 'platform/src/**/*.ts'
        : `packages/${name}/src/**/*.ts`,
    ],
    ignores: ['**/__tests__/**'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: banned.map(other => ({
            name: `@lacewingroad/${other}`,
            message: `${name} must not depend on ${other}; see docs/DESIGN.md.`,
          })),
          patterns: [
            {
              group: ['@lacewingroad/*/*', '../../*/src/*'],
              message:
                "Import another package through its index, '@lacewingroad/NAME'.",
            },
          ],
        },
      ],
    },
  };
}

const CLOCK_MESSAGE =
  'Take the clock, timers and random numbers from the Runtime port (@lacewingroad/runtime).';

const CLOCK_RULES = {
  'no-restricted-globals': [
    'error',
    ...['setTimeout', 'setInterval', 'setImmediate', 'performance'].map(
      name => ({name, message: CLOCK_MESSAGE}),
    ),
  ],
  'no-restricted-properties': [
    'error',
    {object: 'Date', property: 'now', message: CLOCK_MESSAGE},
    {object: 'Math', property: 'random', message: CLOCK_MESSAGE},
    {object: 'process', property: 'hrtime', message: CLOCK_MESSAGE},
  ],
  'no-restricted-syntax': [
    'error',
    {
      selector: "NewExpression[callee.name='Date'][arguments.length=0]",
      message: CLOCK_MESSAGE,
    },
    {
      selector: 'ExportDefaultDeclaration',
      message: 'Use named exports only.',
    },
  ],
};

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'target/**',
      '**/node_modules/**',
      'reports/**',
      'coverage/**',
    ],
  },
  js.configs.recommended,
  ...tseslint.configs.recommended,
  ...tseslint.configs.stylistic,
  {
    languageOptions: {
      globals: {process: 'readonly', console: 'readonly', Buffer: 'readonly'},
    },
    rules: {
      curly: 'error',
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'no-console': 'error',
      'no-undef': 'off',
      'prefer-const': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'function',
          format: ['camelCase'],
        },
        {
          selector: 'variable',
          modifiers: ['const'],
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
          leadingUnderscore: 'allow',
        },
      ],
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['packages/runtime/**', '**/__tests__/**'],
    rules: CLOCK_RULES,
  },
  ...ALL_PACKAGES.map(directionRule),
  {
    files: [
      '*.js',
      'scripts/**/*.js',
      'deploy/*.mjs',
      '**/__tests__/**',
      '*.config.ts',
    ],
    rules: {'no-restricted-syntax': 'off', 'no-console': 'off'},
  },
);
