/** `explain`: shows how one request was handled. */

import {explainRequest} from '@lacewingroad/telemetry';
import type {ArgsDef} from 'citty';
import {EXIT_FAILURE, EXIT_OK} from '../cli_error.js';
import type {CliError} from '../cli_error.js';
import {OPERATOR_ARGS} from '../command.js';
import type {CommandInput, CommandSpec} from '../command.js';
import {gatherEvents} from '../gather_events.js';
import type {Report} from '../report.js';
import {Ok} from '../result.js';
import type {Result} from '../result.js';

const EXPLAIN_ARGS = {
  request: {
    type: 'positional',
    description: 'id of the request, from its error message',
    required: true,
  },
  ...OPERATOR_ARGS,
} as const satisfies ArgsDef;

/** `explain REQUEST [files...]`. */
export const EXPLAIN_SPEC: CommandSpec<typeof EXPLAIN_ARGS> = {
  name: 'explain',
  description:
    'show what was decided about a request and why, from the events of all hosts or from log files (- for standard input)',
  args: EXPLAIN_ARGS,
  allowsExtraPositionals: true,
  handler: explain,
};

async function explain(
  input: CommandInput<typeof EXPLAIN_ARGS>,
): Promise<Result<Report, CliError>> {
  const {cli, sources, args, positionals} = input;
  const gathered = await gatherEvents(cli, sources, positionals.slice(1));
  if (gathered.err) {
    return gathered;
  }
  const {events, gaps} = gathered.val;
  const found = explainRequest(events, args.request);
  if (found === null) {
    const line = `No event mentions request ${args.request}; name the log files of all hosts of that time.`;
    const data = {request: args.request, story: null, gaps};
    return Ok({exitCode: EXIT_FAILURE, lines: [line, ...gaps], data});
  }
  const {story, context, remedy} = found;
  const isComplete = gaps.length === 0;
  return Ok({
    exitCode: isComplete ? EXIT_OK : EXIT_FAILURE,
    lines: [
      `Request ${args.request}:`,
      ...story.map(line => `  ${line}`),
      ...(remedy === '' ? [] : ['What would have changed it:', `  ${remedy}`]),
      ...(context.length === 0 ? [] : ['What else changed around it:']),
      ...context.map(line => `  ${line}`),
      ...gaps,
    ],
    data: {...found, gaps},
  });
}
