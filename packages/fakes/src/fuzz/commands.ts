/** All fuzz commands: work of callers, actions of operators, and faults. */

import type {CommandArbitrary} from './commands/command.js';
import {NETWORK_COMMANDS} from './commands/network_commands.js';
import {PLATFORM_COMMANDS} from './commands/platform_commands.js';
import {PROCESS_COMMANDS} from './commands/process_commands.js';
import {STOP_COMMANDS} from './commands/stop_commands.js';
import {WORK_COMMANDS} from './commands/work_commands.js';
import {WRITER_COMMANDS} from './commands/writer_commands.js';

/** All commands; a command listed more often is drawn more often. */
export const FUZZ_COMMANDS: readonly CommandArbitrary[] = [
  ...WORK_COMMANDS,
  ...NETWORK_COMMANDS,
  ...PROCESS_COMMANDS,
  ...PLATFORM_COMMANDS,
  ...WRITER_COMMANDS,
  ...STOP_COMMANDS,
];
