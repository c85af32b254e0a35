/** Bundles the host into the files under target/ that deploy/system.toml runs. */

import {copyFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/lacewingroad.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  tsconfig: 'deploy/tsconfig.json',
  // Its CommonJS form cannot be bundled.
  external: ['ts-results'],
  // Unused parts can be left out of the ES modules only.
  alias: {
    rxjs: fileURLToPath(
      new URL('../node_modules/rxjs/dist/esm/index.js', import.meta.url),
    ),
  },
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
});
copyFileSync('deploy/start.mjs', 'target/start.mjs');
