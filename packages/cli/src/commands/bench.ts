/** `bench`: runs an experiment. */

import type {ArgsDef} from 'citty';
import {reportOk} from '../command.js';
import type {CommandSpec} from '../command.js';

const BENCH_ARGS = {
  experiment: {
    type: 'positional',
    description: 'YAML file that defines the experiment',
    required: true,
  },
  out: {
    type: 'string',
    description: 'output directory of the JSON result and the HTML report',
    valueHint: 'DIR',
    default: 'reports',
  },
  overhead: {
    type: 'boolean',
    description: 'also measure the cost of one hop with real processes',
  },
} as const satisfies ArgsDef;

/** `bench EXPERIMENT`. */
export const BENCH_SPEC: CommandSpec<typeof BENCH_ARGS> = {
  name: 'bench',
  description:
    'run an experiment that measures the proxy under load and faults',
  args: BENCH_ARGS,
  handler: async ({cli, args}) => {
    const {experiment: file, out} = args;
    const request = {file, out, withOverhead: args.overhead === true};
    const answer = await cli.programs.runBench(request, cli.printError);
    return answer.map(({lines, data}) => reportOk(lines, data));
  },
};
