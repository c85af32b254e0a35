/**
 * Starts the bundled host with V8's code cache, since compiling the bundle takes
 * most of the start of a process. With `--write-cache` it writes that cache
 * instead: V8 accepts it only under the same flags, and ignores it otherwise.
 */

import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {fileURLToPath} from 'node:url';
import {Script} from 'node:vm';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const BUNDLE = `${FOLDER}lacewingroad.cjs`;
const CACHE = `${FOLDER}lacewingroad.cache`;
const isWriting = process.argv.includes('--write-cache');

/** Returns the cached code; undefined if there is none. */
function readCache() {
  try {
    return readFileSync(CACHE);
  } catch {
    return undefined;
  }
}

const source = readFileSync(BUNDLE, 'utf8');
const script = new Script(
  `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
  {filename: BUNDLE, cachedData: isWriting ? undefined : readCache()},
);
if (isWriting) {
  // Without settings the host ends at once; what it compiled is then cached.
  delete process.env.LACEWINGROAD_SETTINGS;
  process.stderr.write = () => true;
  process.on('exit', () => {
    writeFileSync(CACHE, script.createCachedData());
    process.exitCode = 0;
  });
}
const module = {exports: {}};
const require = createRequire(BUNDLE);
script.runInThisContext()(module.exports, require, module, BUNDLE, FOLDER);
