#!/usr/bin/env node
/** `lacewingroad-slopes`: measures what docs/CAPACITY.md is worked out from. */

import {runSlopes} from './slopes/command.js';

await runSlopes(process.argv.slice(2));
