/** `entry` runs an entry host; `check` validates its settings. */

import type {ArgsDef} from 'citty';
import {reportOk} from '../command.js';
import type {CommandSpec} from '../command.js';
import {Ok} from '../result.js';

const ENTRY_ARGS = {
  settings: {
    type: 'string',
    description: 'YAML settings file of the host',
    valueHint: 'FILE',
    required: true,
  },
} as const satisfies ArgsDef;

/** `entry --settings FILE`. */
export const ENTRY_SPEC: CommandSpec<typeof ENTRY_ARGS> = {
  name: 'entry',
  description: 'run an entry host until it receives a stop signal',
  args: ENTRY_ARGS,
  handler: async ({cli, args}) => {
    const exitCode = await cli.programs.runEntry(args.settings);
    return Ok({exitCode, lines: [], data: {exitCode}});
  },
};

const CHECK_ARGS = {
  settings: {
    type: 'positional',
    description: 'YAML settings file of a host',
    required: true,
  },
} as const satisfies ArgsDef;

/** `check SETTINGS`. */
export const CHECK_SPEC: CommandSpec<typeof CHECK_ARGS> = {
  name: 'check',
  description: 'check a settings file without starting anything',
  args: CHECK_ARGS,
  handler: async ({cli, args}) => {
    const checked = await cli.programs.checkSettings(args.settings);
    return checked.map(summary =>
      reportOk([`${args.settings} is valid.`], summary),
    );
  },
};
