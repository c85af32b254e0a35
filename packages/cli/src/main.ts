#!/usr/bin/env node
/** The program `lacewingroad`. */

import {runCli} from './cli.js';
import {createSystemContext} from './system_context.js';

process.exitCode = await runCli(createSystemContext(), process.argv.slice(2));
