/** Entry point of the demo program. */

import {createSystemRuntime} from '@lacewingroad/runtime';
import {runDemo} from './demo.js';

await runDemo(createSystemRuntime(), line => {
  process.stdout.write(`${line}\n`);
});
