/** `hosts`: shows the entry hosts and whether they accept callers. */

import {z} from 'zod';
import {EXIT_FAILURE, EXIT_OK} from '../cli_error.js';
import type {CliError} from '../cli_error.js';
import {OPERATOR_ARGS} from '../command.js';
import type {CommandInput, CommandSpec} from '../command.js';
import {alignColumns} from '../format_text.js';
import {queryAllHosts} from '../host_list.js';
import type {HostAnswer} from '../host_list.js';
import type {Report} from '../report.js';
import {Ok} from '../result.js';
import type {Result} from '../result.js';

const HEADINGS = [
  'HOST',
  'DATA CENTRE',
  'LISTED AS',
  'CALLERS AT',
  'OPERATORS AT',
  'STATE',
] as const;

/** `hosts`. */
export const HOSTS_SPEC: CommandSpec<typeof OPERATOR_ARGS> = {
  name: 'hosts',
  description: 'list the entry hosts and whether each takes callers',
  args: OPERATOR_ARGS,
  handler: showHosts,
};

async function showHosts(
  input: CommandInput<typeof OPERATOR_ARGS>,
): Promise<Result<Report, CliError>> {
  const result = await queryAllHosts(input.sources, '/readyz', z.unknown());
  if (result.err) {
    return result;
  }
  const answers = result.val;
  const data = answers.map(answer => ({
    ...answer.host,
    ready: answer.answer.ok,
    detail: describeReadiness(answer),
  }));
  const rows = data.map(host => [
    host.id,
    host.dataCentre,
    host.state,
    host.callerAddress,
    host.operatorAddress,
    host.detail,
  ]);
  const isFine = data.every(host => host.ready || host.state === 'leaving');
  return Ok({
    exitCode: isFine ? EXIT_OK : EXIT_FAILURE,
    lines: alignColumns(HEADINGS, rows),
    data,
  });
}

function describeReadiness({answer}: HostAnswer<unknown>): string {
  if (answer.ok) {
    return 'takes callers';
  }
  return answer.val.kind === 'refused'
    ? `takes no callers: ${answer.val.message}`
    : `no answer: ${answer.val.message}`;
}
