/** Bundles the host into the file under target/ that deploy/system.toml runs. */

import {build} from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/lacewingroad.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  tsconfig: 'deploy/tsconfig.json',
  // Its CommonJS form cannot be bundled.
  external: ['ts-results'],
  logLevel: 'warning',
  // Bundled CommonJS modules load Node.js built-ins with require().
  banner: {
    js: "import {createRequire as createBundleRequire} from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
