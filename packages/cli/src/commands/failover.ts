/** `failover`: changes the primary of a group as a planned operation. */

import type {ArgsDef} from 'citty';
import {EXIT_FAILURE, EXIT_OK} from '../cli_error.js';
import type {CliError} from '../cli_error.js';
import {OPERATOR_ARGS} from '../command.js';
import type {CommandInput, CommandSpec} from '../command.js';
import {findHosts} from '../host_list.js';
import type {KnownHost} from '../host_list.js';
import {failoverAnswerSchema} from '../operator_answers.js';
import type {OperatorPort} from '../ports.js';
import type {Report} from '../report.js';
import {Err, Ok} from '../result.js';
import type {Result} from '../result.js';

const FAILOVER_ARGS = {
  group: {type: 'positional', description: 'the group', required: true},
  to: {
    type: 'string',
    description: 'endpoint that becomes primary (default: the best replica)',
    valueHint: 'ENDPOINT',
  },
  ...OPERATOR_ARGS,
} as const satisfies ArgsDef;

/** `failover GROUP [--to ENDPOINT]`. */
export const FAILOVER_SPEC: CommandSpec<typeof FAILOVER_ARGS> = {
  name: 'failover',
  description: 'perform a planned change of primary; no write is lost',
  args: FAILOVER_ARGS,
  handler: runFailover,
};

async function runFailover(
  input: CommandInput<typeof FAILOVER_ARGS>,
): Promise<Result<Report, CliError>> {
  const hosts = await findHosts(input.sources);
  if (hosts.err) {
    return hosts;
  }
  const {group, to} = input.args;
  const live = hosts.val.filter(host => host.state === 'live');
  const body = {group, to: to ?? null};
  const answer = await postToOneHost(input.sources.operators, live, body);
  if (answer.err) {
    return answer;
  }
  const parsed = failoverAnswerSchema.safeParse(answer.val);
  if (!parsed.success) {
    return Err(
      describeUnknownOutcome(group, 'the answer has an unexpected format'),
    );
  }
  const {ok, detail} = parsed.data;
  const line = ok ? `Done: ${detail}` : `Not done: ${detail}`;
  return Ok({
    exitCode: ok ? EXIT_OK : EXIT_FAILURE,
    lines: [line],
    data: {group, ok, detail},
  });
}

/**
 * Sends the request to one host. Tries the next host only when the request
 * certainly did not reach the previous one.
 */
async function postToOneHost(
  operators: OperatorPort,
  hosts: readonly KnownHost[],
  body: {readonly group: string; readonly to: string | null},
): Promise<Result<unknown, CliError>> {
  for (const host of hosts) {
    const path = '/failover';
    const answer = await operators.post(host.operatorAddress, path, body);
    if (answer.ok || answer.val.kind === 'refused') {
      return answer;
    }
    if (answer.val.kind === 'no_answer') {
      return Err(describeUnknownOutcome(body.group, answer.val.message));
    }
  }
  return Err({
    kind: 'unreachable',
    message:
      'No live entry host is reachable, so nothing was changed. See `hosts`.',
  });
}

function describeUnknownOutcome(group: string, detail: string): CliError {
  return {
    kind: 'no_answer',
    message:
      `It is not known whether the primary of ${group} was changed (${detail}). ` +
      'Run `groups` to see the primary before you try again.',
  };
}
