import {readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {defineConfig} from 'vitest/config';

const root = fileURLToPath(new URL('.', import.meta.url));

/** Unit tests import the sources; integration tests start built programs. */
const alias = Object.fromEntries(
  readdirSync(`${root}packages`).map(name => [
    `@lacewingroad/${name}`,
    `${root}packages/${name}/src/index.ts`,
  ]),
);

/** Tests that bound the memory of processes, run apart from all others. */
const EXCLUSIVE =
  'platform/src/__tests__/integration/untrusted_clients.test.ts';

const UNIT_TIMEOUT_MS = 30_000;
const INTEGRATION_TIMEOUT_MS = 120_000;

export default defineConfig({
  resolve: {alias},
  test: {
    tags: [
      {
        name: 'long',
        description:
          'Long scenarios that CI skips; `npm run test:long` runs them.',
      },
    ],
    projects: [
      {
        extends: true,
        test: {
          name: 'unit',
          include: [
            'packages/*/src/__tests__/unit/**/*.test.ts',
            'platform/src/__tests__/unit/**/*.test.ts',
          ],
          testTimeout: UNIT_TIMEOUT_MS,
          hookTimeout: UNIT_TIMEOUT_MS,
          sequence: {groupOrder: 0},
        },
      },
      {
        extends: true,
        test: {
          name: 'integration',
          include: [
            'packages/*/src/__tests__/integration/**/*.test.ts',
            'platform/src/__tests__/integration/**/*.test.ts',
          ],
          exclude: [EXCLUSIVE],
          testTimeout: INTEGRATION_TIMEOUT_MS,
          hookTimeout: INTEGRATION_TIMEOUT_MS,
          maxWorkers: 4,
          fileParallelism: true,
          sequence: {groupOrder: 1},
        },
      },
      {
        extends: true,
        test: {
          name: 'exclusive',
          include: [EXCLUSIVE],
          testTimeout: INTEGRATION_TIMEOUT_MS,
          hookTimeout: INTEGRATION_TIMEOUT_MS,
          maxWorkers: 1,
          fileParallelism: false,
          sequence: {groupOrder: 2},
        },
      },
    ],
  },
});
