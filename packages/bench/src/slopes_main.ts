#!/usr/bin/env node
/** `lacewingroad-slopes`: measures the figures that docs/CAPACITY.md is based on. */

import {runSlopes} from './slopes/command.js';

await runSlopes(process.argv.slice(2));
